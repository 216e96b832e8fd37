package audit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"mangoloft/event"
	"mangoloft/ident"
)

// The chain of hashes reveals a record that was changed, removed, inserted or
// moved, unless all later records were rewritten as well. It can't reveal records
// that were cut off at the end, because the trail of a running or killed instance
// also ends without a stop. A copy of the instance's Head that is stored elsewhere
// reveals rewritten records as well as missing ones.

// maxLineBytes is the maximum length of a line of the stream.
const maxLineBytes = 16 << 20

// FaultKind classifies the ways in which a trail differs from what was written.
type FaultKind uint8

const (
	// Malformed is a line that is not a record.
	Malformed FaultKind = iota
	// Edited is a record whose content doesn't match its hash.
	Edited
	// Gap is one or more missing records.
	Gap
	// Misplaced is a duplicate record, or a record that appears too late.
	Misplaced
	// Replaced is a record that doesn't contain the hash of the previous one.
	Replaced
	// Truncated is a known head that no record has, because the trail was cut off
	// before that record or was rewritten.
	Truncated
)

var kindNames = [...]string{
	Malformed: "malformed", Edited: "edited", Gap: "gap", Misplaced: "misplaced", Replaced: "replaced", Truncated: "truncated",
}

// String returns the name of the kind.
func (k FaultKind) String() string { return kindNames[k] }

// Fault is one place where a trail differs from what was written.
type Fault struct {
	// Line is the number of the line, counting from 1. For Truncated it is one more
	// than the number of complete lines.
	Line int
	Kind FaultKind
	// Chain names the record's chain, followed by a colon and a space. It is empty if
	// the chain is unknown.
	Chain  string
	Detail string
}

// String formats the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s%s", f.Line, f.Kind, f.Chain, f.Detail)
}

// Chain summarizes the trail of one incarnation of an instance.
type Chain struct {
	Instance    string
	Incarnation ident.Incarnation
	Records     int
	Head        Head
	// Dropped counts the records that the instance reported as dropped.
	Dropped uint64
	// Stopped reports whether the trail ends with the instance's stop. If not,
	// records may be missing at its end.
	Stopped bool
}

// Report is the result of a verification.
type Report struct {
	// Chains are in the order of their first records.
	Chains []*Chain
	Faults []Fault
	// LogLines counts the lines that belong to the event log.
	LogLines int
	// Incomplete reports whether the last line lacks its line feed, because it was
	// cut off or is still being written.
	Incomplete bool
}

// Verify checks the chains of all incarnations in a stream, in which their
// records can be interleaved. heads are the hashes of records that are known to
// have been written. Verify returns an error only if the stream can't be read.
func Verify(r io.Reader, heads ...string) (Report, error) {
	v := &verifier{chains: map[string]*Chain{}, heads: map[string]bool{}}
	for _, head := range heads {
		v.heads[head] = true
	}
	lines := bufio.NewReader(r)
	for number := 1; ; number++ {
		line, err := readLine(lines)
		if err != nil && !errors.Is(err, io.EOF) {
			return v.report, err
		}
		if err != nil {
			v.report.Incomplete = len(line) > 0
			v.reportMissingHeads(number, heads)
			return v.report, nil
		}
		v.verifyLine(number, line)
	}
}

// readLine returns the next line without its line feed. A line longer than
// maxLineBytes is truncated to a length above that limit, so that it counts as
// malformed.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line) <= maxLineBytes {
			line = append(line, part...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return bytes.TrimSuffix(line, []byte("\n")), err
		}
	}
}

// verifier verifies the lines of one stream.
type verifier struct {
	report Report
	chains map[string]*Chain
	// heads holds the known heads that were not found yet.
	heads map[string]bool
}

// reportMissingHeads reports the heads that were not found, in the given order.
func (v *verifier) reportMissingHeads(number int, heads []string) {
	for _, head := range heads {
		if v.heads[head] {
			v.addFault(number, Truncated, nil, fmt.Sprintf("no record has the hash %s: the trail was cut off before it or rewritten", head))
		}
	}
}

// lineWire holds the fields of a record that the verification needs.
type lineWire struct {
	Event       event.ID          `json:"event"`
	Instance    string            `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
	Previous    *string           `json:"previous"`
	Hash        string            `json:"hash"`
	Record      json.RawMessage   `json:"record"`
}

// verifyLine verifies one line, and counts it if it belongs to the event log.
func (v *verifier) verifyLine(number int, line []byte) {
	var wire lineWire
	if len(line) > maxLineBytes || json.Unmarshal(line, &wire) != nil {
		v.addFault(number, Malformed, nil, "the line is not a record")
		return
	}
	if wire.Hash == "" && wire.Previous == nil && wire.Sequence == 0 && wire.Event != 0 {
		v.report.LogLines++
		return
	}
	if wire.Sequence == 0 || wire.Previous == nil || wire.Instance == "" {
		v.addFault(number, Malformed, nil, "the record lacks its instance, its sequence or the hash of the previous record")
		return
	}
	chain := v.chainOf(wire)
	intact := isIntact(line, wire.Hash)
	if !intact {
		v.addFault(number, Edited, chain, fmt.Sprintf("record %d does not match its hash", wire.Sequence))
	}
	if intact {
		delete(v.heads, wire.Hash)
	}
	if v.checkPosition(number, chain, wire) {
		chain.Head = Head{wire.Sequence, wire.Hash}
		chain.Stopped = wire.Event == event.InstanceStopped
		chain.Records++
		chain.Dropped += droppedRecords(wire)
	}
}

// chainOf returns the chain of the record's incarnation, creating it if needed.
func (v *verifier) chainOf(wire lineWire) *Chain {
	name := wire.Instance + " " + wire.Incarnation.String()
	chain, ok := v.chains[name]
	if !ok {
		chain = &Chain{Instance: wire.Instance, Incarnation: wire.Incarnation}
		v.chains[name] = chain
		v.report.Chains = append(v.report.Chains, chain)
	}
	return chain
}

// checkPosition checks a record against the head of its chain. It reports whether
// the record becomes the new head.
func (v *verifier) checkPosition(number int, chain *Chain, wire lineWire) bool {
	expected := chain.Head.Sequence + 1
	switch {
	case wire.Sequence < expected:
		v.addFault(number, Misplaced, chain, fmt.Sprintf("record %d comes after record %d", wire.Sequence, chain.Head.Sequence))
		return false
	case wire.Sequence > expected:
		v.addFault(number, Gap, chain, missingRecords(expected, wire.Sequence-1))
	case *wire.Previous != chain.Head.Hash:
		v.addFault(number, Replaced, chain, fmt.Sprintf("record %d does not contain the hash of the previous record; one of the two was replaced", wire.Sequence))
	}
	return true
}

func missingRecords(first, last uint64) string {
	if first == last {
		return fmt.Sprintf("record %d is missing", first)
	}
	return fmt.Sprintf("records %d to %d are missing", first, last)
}

// isIntact reports whether the line ends with the given hash and the hash matches
// the fields before it.
func isIntact(line []byte, hash string) bool {
	content, ok := bytes.CutSuffix(line, []byte(hashField+hash+hashEnd))
	return ok && hashOf(append(bytes.Clone(content), '}')) == hash
}

// droppedRecords returns the number of dropped records if the record reports a gap,
// and 0 otherwise.
func droppedRecords(wire lineWire) uint64 {
	var gap gapRecord
	if wire.Event != event.AuditGap || json.Unmarshal(wire.Record, &gap) != nil {
		return 0
	}
	return gap.Dropped
}

func (v *verifier) addFault(line int, kind FaultKind, chain *Chain, detail string) {
	fault := Fault{Line: line, Kind: kind, Detail: detail}
	if chain != nil {
		fault.Chain = fmt.Sprintf("%s, incarnation %s: ", chain.Instance, chain.Incarnation)
	}
	v.report.Faults = append(v.report.Faults, fault)
}

// String formats the report as text.
func (r Report) String() string {
	var text strings.Builder
	for _, fault := range r.Faults {
		fmt.Fprintln(&text, fault)
	}
	for _, chain := range r.Chains {
		fmt.Fprintf(&text, "%s, incarnation %s: %d records, the last is number %d with hash %s\n",
			chain.Instance, chain.Incarnation, chain.Records, chain.Head.Sequence, chain.Head.Hash)
		if chain.Dropped > 0 {
			fmt.Fprintf(&text, "  the instance dropped %d records, because its output was blocked\n", chain.Dropped)
		}
		if !chain.Stopped {
			fmt.Fprintln(&text, "  the trail has no end: the instance runs or was killed, or records were cut off")
		}
	}
	if r.Incomplete {
		fmt.Fprintln(&text, "the last line is incomplete: it is being written, or was cut off")
	}
	return text.String()
}

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

// What the chain of hashes shows: a record that was changed, left out, put in
// or moved, unless whoever did it wrote all later records anew as well. What
// it can't show: records cut off at the end of a trail, because the trail of a
// running instance, or of one that was killed, ends as abruptly. A copy of an
// instance's Head, kept elsewhere, closes both holes.

// maxLineBytes bounds one line of a stream that is verified.
const maxLineBytes = 16 << 20

// FaultKind says in what way a trail is not as it was written.
type FaultKind uint8

const (
	// Malformed is a line that is no record.
	Malformed FaultKind = iota
	// Edited is a record that doesn't fit its own hash.
	Edited
	// Gap is one or more records that are missing.
	Gap
	// Misplaced is a record that comes again, or later than it should.
	Misplaced
	// Replaced is a record that doesn't hold the hash of the one before it.
	Replaced
	// Truncated is a known head that no record has: the trail was cut off
	// before it, or written anew.
	Truncated
)

var kindNames = [...]string{
	Malformed: "malformed", Edited: "edited", Gap: "gap", Misplaced: "misplaced", Replaced: "replaced", Truncated: "truncated",
}

// String returns the kind's name.
func (k FaultKind) String() string { return kindNames[k] }

// Fault is one place where a trail is not as it was written.
type Fault struct {
	// Line counts from 1; for Truncated it is that of the stream's end.
	Line   int
	Kind   FaultKind
	Chain  string
	Detail string
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s%s", f.Line, f.Kind, f.Chain, f.Detail)
}

// Chain is what was seen of one incarnation's trail.
type Chain struct {
	Instance    string
	Incarnation ident.Incarnation
	Records     int
	Head        Head
	// Dropped counts the records that the instance itself says it dropped.
	Dropped uint64
	// Stopped says that the trail ends with the instance's stop. Otherwise
	// records may have been cut off its end.
	Stopped bool
}

// Report is what a verification found.
type Report struct {
	// Chains are in the order of their first records.
	Chains []*Chain
	Faults []Fault
	// LogLines counts lines of the event log, which are no records.
	LogLines int
	// Incomplete says that the last line has no end: it was cut off, or is
	// still being written.
	Incomplete bool
}

// Verify checks the chain of every incarnation in a stream of records, which
// may be interleaved. Heads are hashes of records that are known to have been
// written. The error is that of reading the stream.
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
			v.end(number, heads)
			return v.report, nil
		}
		v.line(number, line)
	}
}

// readLine returns the next line without its end; what goes beyond
// maxLineBytes is left out, so that the line is malformed.
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

type verifier struct {
	report Report
	chains map[string]*Chain
	// heads holds the known heads that no record has had yet.
	heads map[string]bool
}

// end reports the heads that were not seen, in the order they were given.
func (v *verifier) end(number int, heads []string) {
	for _, head := range heads {
		if v.heads[head] {
			v.fault(number, Truncated, nil, fmt.Sprintf("no record has the hash %s: the trail was cut off before it, or written anew", head))
		}
	}
}

// lineWire is a record as far as its place in the chain goes.
type lineWire struct {
	Event       event.ID          `json:"event"`
	Instance    string            `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
	Previous    *string           `json:"previous"`
	Hash        string            `json:"hash"`
	Record      json.RawMessage   `json:"record"`
}

func (v *verifier) line(number int, line []byte) {
	var wire lineWire
	if len(line) > maxLineBytes || json.Unmarshal(line, &wire) != nil {
		v.fault(number, Malformed, nil, "the line is no record")
		return
	}
	if wire.Hash == "" && wire.Previous == nil && wire.Sequence == 0 && wire.Event != 0 {
		v.report.LogLines++
		return
	}
	if wire.Sequence == 0 || wire.Previous == nil || wire.Instance == "" {
		v.fault(number, Malformed, nil, "the line is a record without its place in a chain")
		return
	}
	chain := v.chain(wire)
	intact := isIntact(line, wire.Hash)
	if !intact {
		v.fault(number, Edited, chain, fmt.Sprintf("record %d does not fit its own hash", wire.Sequence))
	}
	if intact {
		delete(v.heads, wire.Hash)
	}
	if v.place(number, chain, wire) {
		chain.Head = Head{wire.Sequence, wire.Hash}
		chain.Stopped = wire.Event == event.InstanceStopped
		chain.Records++
		chain.Dropped += dropped(wire)
	}
}

func (v *verifier) chain(wire lineWire) *Chain {
	name := wire.Instance + " " + wire.Incarnation.String()
	chain, ok := v.chains[name]
	if !ok {
		chain = &Chain{Instance: wire.Instance, Incarnation: wire.Incarnation}
		v.chains[name] = chain
		v.report.Chains = append(v.report.Chains, chain)
	}
	return chain
}

// place checks a record's place and reports whether the chain goes on from it.
func (v *verifier) place(number int, chain *Chain, wire lineWire) bool {
	next := chain.Head.Sequence + 1
	switch {
	case wire.Sequence < next:
		v.fault(number, Misplaced, chain, fmt.Sprintf("record %d comes after record %d", wire.Sequence, chain.Head.Sequence))
		return false
	case wire.Sequence > next:
		v.fault(number, Gap, chain, missing(next, wire.Sequence-1))
	case *wire.Previous != chain.Head.Hash:
		v.fault(number, Replaced, chain, fmt.Sprintf("record %d does not follow the record before it; one of the two is not the one that was written", wire.Sequence))
	}
	return true
}

func missing(first, last uint64) string {
	if first == last {
		return fmt.Sprintf("record %d is missing", first)
	}
	return fmt.Sprintf("records %d to %d are missing", first, last)
}

// isIntact reports whether the line is the bytes that its hash was made over,
// and the hash behind them.
func isIntact(line []byte, hash string) bool {
	content, ok := bytes.CutSuffix(line, []byte(hashField+hash+hashEnd))
	return ok && hashOf(append(bytes.Clone(content), '}')) == hash
}

func dropped(wire lineWire) uint64 {
	var gap gapRecord
	if wire.Event != event.AuditGap || json.Unmarshal(wire.Record, &gap) != nil {
		return 0
	}
	return gap.Dropped
}

func (v *verifier) fault(line int, kind FaultKind, chain *Chain, detail string) {
	fault := Fault{Line: line, Kind: kind, Detail: detail}
	if chain != nil {
		fault.Chain = fmt.Sprintf("%s, incarnation %s: ", chain.Instance, chain.Incarnation)
	}
	v.report.Faults = append(v.report.Faults, fault)
}

// String returns the report in lines for people.
func (r Report) String() string {
	var text strings.Builder
	for _, fault := range r.Faults {
		fmt.Fprintln(&text, fault)
	}
	for _, chain := range r.Chains {
		fmt.Fprintf(&text, "%s, incarnation %s: %d records, the last is number %d with hash %s\n",
			chain.Instance, chain.Incarnation, chain.Records, chain.Head.Sequence, chain.Head.Hash)
		if chain.Dropped > 0 {
			fmt.Fprintf(&text, "  the instance says that it dropped %d records, because its output was stuck\n", chain.Dropped)
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

package audit_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/audit"
	"mangoloft/event"
	"mangoloft/ident"
)

type testRecord struct {
	Text string `json:"text"`
}

func newTrail(w *bytes.Buffer, instance string, incarnation ident.Incarnation) *audit.Trail {
	at := time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)
	home := ident.Home{Peer: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: incarnation}
	return audit.NewTrail(w, instance, home, func() time.Time { return at })
}

// trailLines returns the lines of a complete trail of n records.
func trailLines(t *testing.T, instance string, incarnation ident.Incarnation, n int) []string {
	t.Helper()
	var out bytes.Buffer
	trail := newTrail(&out, instance, incarnation)
	for i := range n - 1 {
		trail.Append(event.RequestEnded, "", testRecord{fmt.Sprint("record ", i+1)})
	}
	trail.Append(event.InstanceStopped, "", testRecord{"stop"})
	assert.Assert(t, trail.Close(time.Now().Add(30*time.Second)))
	all := strings.SplitAfter(out.String(), "\n")
	return all[:len(all)-1]
}

// verify verifies the stream. It returns the lines and kinds of the faults, and the
// report.
func verify(t *testing.T, stream []string, heads ...string) (string, audit.Report) {
	t.Helper()
	report, err := audit.Verify(strings.NewReader(strings.Join(stream, "")), heads...)
	assert.NilError(t, err)
	var faults []string
	for _, fault := range report.Faults {
		faults = append(faults, fmt.Sprintf("%d %s", fault.Line, fault.Kind))
	}
	return strings.Join(faults, ", "), report
}

func edit(line, old, replacement string) string { return strings.Replace(line, old, replacement, 1) }

func TestVerifyDetectsTampering(t *testing.T) {
	for name, c := range map[string]struct {
		change func(a []string) []string
		want   string
	}{
		"no change":                   {func(a []string) []string { return a }, ""},
		"a changed value":             {func(a []string) []string { a[2] = edit(a[2], "record 3", "record 9"); return a }, "3 edited"},
		"a changed hash":              {func(a []string) []string { a[2] = edit(a[2], `"hash":"`, `"hash":"0`); return a }, "3 edited, 4 replaced"},
		"added white space":           {func(a []string) []string { a[2] = edit(a[2], `,"name"`, `, "name"`); return a }, "3 edited"},
		"a field after the hash":      {func(a []string) []string { a[2] = edit(a[2], "}\n", ",\"x\":1}\n"); return a }, "3 edited"},
		"a missing record":            {func(a []string) []string { return slices.Delete(a, 2, 3) }, "3 gap"},
		"a missing start":             {func(a []string) []string { return a[2:] }, "1 gap"},
		"two gaps":                    {func(a []string) []string { return slices.Delete(slices.Delete(a, 4, 5), 1, 2) }, "2 gap, 4 gap"},
		"two records swapped":         {func(a []string) []string { a[1], a[2] = a[2], a[1]; return a }, "2 gap, 3 misplaced"},
		"a duplicate record":          {func(a []string) []string { return slices.Insert(a, 3, a[2]) }, "4 misplaced"},
		"a line that is not a record": {func(a []string) []string { return slices.Insert(a, 3, "x\n") }, "4 malformed"},
		"a garbled record":            {func(a []string) []string { a[2] = a[2][:20] + "\n"; return a }, "3 malformed, 4 gap"},
		"a record without sequence":   {func(a []string) []string { a[2] = edit(a[2], `"sequence":3`, `"sequence":0`); return a }, "3 malformed, 4 gap"},
		"a record of another trail": {func(a []string) []string {
			other := trailLines(t, "b", 1, 6)
			a[2] = edit(other[2], `"instance":"b"`, `"instance":"a"`)
			return a
		}, "3 edited, 3 replaced, 4 replaced"},
		"a line of the event log": {func(a []string) []string { return slices.Insert(a, 3, `{"event":101,"name":"x"}`+"\n") }, ""},
		"an empty stream":         {func([]string) []string { return nil }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			faults, _ := verify(t, c.change(trailLines(t, "a", 1, 6)))
			assert.Equal(t, faults, c.want)
		})
	}
}

// TestVerifyEndOfTrail checks that the report distinguishes a trail that was cut off
// from a trail that ends with the instance's stop. Neither is a fault.
func TestVerifyEndOfTrail(t *testing.T) {
	for name, c := range map[string]struct {
		change              func(a []string) []string
		stopped, incomplete bool
		records             int
	}{
		"a planned stop":             {func(a []string) []string { return a }, true, false, 6},
		"missing records at the end": {func(a []string) []string { return a[:4] }, false, false, 4},
		"an incomplete line":         {func(a []string) []string { a[5] = a[5][:9]; return a }, false, true, 5},
	} {
		t.Run(name, func(t *testing.T) {
			faults, report := verify(t, c.change(trailLines(t, "a", 1, 6)))
			assert.Equal(t, faults, "")
			assert.Equal(t, len(report.Chains), 1)
			assert.Equal(t, report.Chains[0].Stopped, c.stopped)
			assert.Equal(t, report.Chains[0].Records, c.records)
			assert.Equal(t, report.Incomplete, c.incomplete)
		})
	}
}

// TestVerifyHeads checks that a known head reveals truncated and rewritten trails,
// which the chain alone can't.
func TestVerifyHeads(t *testing.T) {
	complete, rewritten := trailLines(t, "a", 1, 6), trailLines(t, "a", 1, 5)
	_, report := verify(t, complete)
	head := report.Chains[0].Head.Hash
	for name, c := range map[string]struct {
		stream []string
		want   string
	}{
		"complete":        {complete, ""},
		"continued":       {append(slices.Clone(complete), trailLines(t, "a", 2, 3)...), ""},
		"truncated":       {complete[:5], "6 truncated"},
		"rewritten":       {rewritten, "6 truncated"},
		"edited":          {append(slices.Clone(complete[:5]), edit(complete[5], "stop", "stay")), "6 edited, 7 truncated"},
		"an empty stream": {nil, "1 truncated"},
	} {
		t.Run(name, func(t *testing.T) {
			faults, _ := verify(t, c.stream, head)
			assert.Equal(t, faults, c.want)
		})
	}
}

// TestVerifyInterleaved checks that the chains of several incarnations in one stream
// are verified separately.
func TestVerifyInterleaved(t *testing.T) {
	a, b, later := trailLines(t, "a", 1, 4), trailLines(t, "b", 1, 4), trailLines(t, "a", 2, 4)
	var stream []string
	for i := range a {
		stream = append(stream, a[i], later[i], b[i])
	}
	faults, report := verify(t, stream)
	assert.Equal(t, faults, "")
	assert.Equal(t, len(report.Chains), 3)
	faults, _ = verify(t, slices.Delete(stream, 4, 5))
	assert.Equal(t, faults, "7 gap")
}

// FuzzVerify checks that Verify returns no error for any stream, and that a chain
// without records has a fault.
func FuzzVerify(f *testing.F) {
	f.Add([]byte("{}\n"))
	f.Add([]byte(`{"event":501,"name":"request_ended","instance":"a","incarnation":1,"sequence":1,"time":"2027-01-31T09:30:00Z","previous":"","record":null,"hash":"00"}` + "\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		report, err := audit.Verify(bytes.NewReader(stream))
		assert.NilError(t, err)
		for _, chain := range report.Chains {
			assert.Assert(t, chain.Records > 0 || len(report.Faults) > 0)
		}
	})
}

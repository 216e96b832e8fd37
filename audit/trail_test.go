package audit_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/audit"
	"mangoloft/event"
	"mangoloft/ident"
)

// lockableStream is a stream whose writes block while it is locked.
type lockableStream struct {
	sync.Mutex
	text bytes.Buffer
}

func (s *lockableStream) Write(b []byte) (int, error) {
	s.Lock()
	defer s.Unlock()
	return s.text.Write(b)
}

// TestAppendToBlockedStream checks that Append doesn't block while writes to the
// stream block, and that the trail later records the number of dropped records.
func TestAppendToBlockedStream(t *testing.T) {
	s := &lockableStream{}
	s.Lock()
	trail := audit.NewTrail(s, "a", ident.Home{Incarnation: 1}, time.Now)
	long := strings.Repeat("x", 1<<20)
	for range 10 {
		trail.Append(event.RequestEnded, "", testRecord{long})
	}
	trail.Append(event.RequestEnded, "r-last", testRecord{long})
	dropped := trail.Dropped()
	assert.Assert(t, dropped > 0)
	found := trail.Find("r-last")
	assert.Equal(t, len(found), 1, "the dropped record must be kept in memory")
	assert.Assert(t, strings.Contains(string(found[0]), `"sequence":0,`))
	s.Unlock()
	// The buffer drains once writes succeed again.
	for trail.Append(event.RequestEnded, "", testRecord{"after"}); trail.Dropped() > dropped; trail.Append(event.RequestEnded, "", testRecord{"after"}) {
		dropped = trail.Dropped()
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, trail.Close(time.Now().Add(30*time.Second)))
	_, report := verify(t, []string{s.text.String()})
	assert.Equal(t, len(report.Faults), 0)
	assert.Assert(t, report.Chains[0].Dropped >= 7, "%+v", report.Chains[0])
	assert.Equal(t, trail.Head(), report.Chains[0].Head)
}

// TestKeptRecordsAreLimited checks that the records kept for Find are limited in
// number and total size.
func TestKeptRecordsAreLimited(t *testing.T) {
	for name, c := range map[string]struct{ size, wantMin, wantMax int }{
		"short records": {10, 4096, 4096},
		"long records":  {1 << 20, 7, 8},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			trail := newTrail(&out, "a", 1)
			text := strings.Repeat("x", c.size)
			for i := range 5000 {
				trail.Append(event.RequestEnded, fmt.Sprint("r-", i%5000), testRecord{text})
				if c.size > 1000 && i > 50 {
					break
				}
			}
			kept := 0
			for i := range 5000 {
				kept += len(trail.Find(fmt.Sprint("r-", i)))
			}
			assert.Assert(t, kept >= c.wantMin && kept <= c.wantMax, "%d records are kept, outside of the wanted range", kept)
			trail.Close(time.Now().Add(30 * time.Second))
		})
	}
}

func TestFindReturnsCopies(t *testing.T) {
	var out bytes.Buffer
	trail := newTrail(&out, "a", 1)
	trail.Append(event.RequestEnded, "r-1", testRecord{"first"})
	trail.Append(event.StreamResumed, "r-1", testRecord{"second"})
	found := trail.Find("r-1")
	assert.Equal(t, len(found), 2)
	clear(found[0])
	found[1] = nil
	foundAgain := trail.Find("r-1")
	assert.Assert(t, strings.Contains(string(foundAgain[0]), "first") && strings.Contains(string(foundAgain[1]), "second"))
	assert.Assert(t, trail.Close(time.Now().Add(30*time.Second)))
}

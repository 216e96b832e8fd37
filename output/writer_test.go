package output_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/output"
)

// faultyStream is a stream whose first writes fail half-way and whose writes block
// while mu is locked.
type faultyStream struct {
	mu       sync.Mutex
	failures int
	text     bytes.Buffer
}

func (s *faultyStream) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures > 0 {
		s.failures--
		n, _ := s.text.Write(b[:len(b)/2])
		return n, errors.New("full")
	}
	return s.text.Write(b)
}

// deadline returns a time that no test should reach.
func deadline() time.Time { return time.Now().Add(30 * time.Second) }

// TestLinesAreCompleteAndInOrder checks that all lines are written in order, even if
// writes fail half-way.
func TestLinesAreCompleteAndInOrder(t *testing.T) {
	for name, failures := range map[string]int{"a working stream": 0, "a stream that fails twice": 2} {
		t.Run(name, func(t *testing.T) {
			s := &faultyStream{failures: failures}
			w := output.New(s)
			var want strings.Builder
			for i := range 1000 {
				line := fmt.Sprintln("line", i)
				want.WriteString(line)
				assert.Assert(t, w.Enqueue([]byte(line)))
			}
			// Wait until all failures have happened: a write that fails after Close is
			// not retried.
			for failures > 0 {
				s.mu.Lock()
				failures = s.failures
				s.mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
			assert.Assert(t, w.Close(deadline()))
			assert.Equal(t, s.text.String(), want.String())
			assert.Equal(t, w.Dropped(), uint64(0))
		})
	}
}

// TestBlockedStream checks that lines are queued up to the limit, and further ones
// dropped, while writes to the stream block.
func TestBlockedStream(t *testing.T) {
	s := &faultyStream{}
	s.mu.Lock()
	w := output.New(s)
	line := bytes.Repeat([]byte("x"), 1<<20)
	var accepted int
	for range 100 {
		if w.Enqueue(line) {
			accepted++
		}
	}
	assert.Equal(t, accepted, 4, "the buffer must accept exactly 4 MiB")
	assert.Equal(t, w.Dropped(), uint64(96))
	assert.Assert(t, !w.Close(time.Now().Add(time.Millisecond)), "Close must report that not all lines were written")
	assert.Assert(t, !w.Enqueue([]byte("late")))
	s.mu.Unlock()
	assert.Assert(t, w.Close(deadline()))
	assert.Equal(t, s.text.Len(), accepted<<20)
}

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

// stream is a stream whose first writes fail half-way and whose writes wait
// while gate is locked.
type stream struct {
	gate     sync.Mutex
	failures int
	text     bytes.Buffer
}

func (s *stream) Write(b []byte) (int, error) {
	s.gate.Lock()
	defer s.gate.Unlock()
	if s.failures > 0 {
		s.failures--
		n, _ := s.text.Write(b[:len(b)/2])
		return n, errors.New("full")
	}
	return s.text.Write(b)
}

func soon() time.Time { return time.Now().Add(30 * time.Second) }

func TestLinesComeWholeAndInOrder(t *testing.T) {
	for name, failures := range map[string]int{"a good stream": 0, "a stream that fails twice": 2} {
		t.Run(name, func(t *testing.T) {
			s := &stream{failures: failures}
			w := output.New(s)
			var want strings.Builder
			for i := range 1000 {
				line := fmt.Sprintln("line", i)
				want.WriteString(line)
				assert.Assert(t, w.Offer([]byte(line)))
			}
			// A failing stream is tried again until the closing, not after it.
			for failures > 0 {
				s.gate.Lock()
				failures = s.failures
				s.gate.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
			assert.Assert(t, w.Close(soon()))
			assert.Equal(t, s.text.String(), want.String())
			assert.Equal(t, w.Dropped(), uint64(0))
		})
	}
}

func TestStuckStreamHoldsUpNobody(t *testing.T) {
	s := &stream{}
	s.gate.Lock()
	w := output.New(s)
	line := bytes.Repeat([]byte("x"), 1<<20)
	var taken int
	for range 100 {
		if w.Offer(line) {
			taken++
		}
	}
	assert.Equal(t, taken, 4, "the buffer is not bounded in bytes")
	assert.Equal(t, w.Dropped(), uint64(96))
	assert.Assert(t, !w.Close(time.Now().Add(time.Millisecond)), "a stuck stream counts as written")
	assert.Assert(t, !w.Offer([]byte("late")))
	s.gate.Unlock()
	assert.Assert(t, w.Close(soon()))
	assert.Equal(t, s.text.Len(), taken<<20)
}

// Package output writes lines to a stream that may be slow, stuck or closed,
// such as standard output, without ever holding up who writes them.
package output

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the lines that wait to be written.
	bufferBytes = 4 << 20
	// retryInterval is the time between two tries to write to a stream that fails.
	retryInterval = 1 * time.Second
)

// Writer holds lines in a bounded buffer from which a goroutine of its own
// writes them, in order. A line is written whole, or, when the buffer is full,
// not at all. A stream that fails is tried again. It may be used by several
// goroutines.
type Writer struct {
	stream io.Writer
	group  sync.WaitGroup
	// wake tells the goroutine of new lines, or that the writer is closing.
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	lines   [][]byte
	bytes   int
	closed  bool
	dropped uint64
}

// New returns a writer to the stream. It must be closed.
func New(stream io.Writer) *Writer {
	w := &Writer{stream: stream, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	w.group.Go(w.run)
	return w
}

// Offer takes a line, which must not be changed afterwards. It reports false
// and counts the line as dropped when there is no room for it.
func (w *Writer) Offer(line []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.bytes+len(line) > bufferBytes {
		w.dropped++
		return false
	}
	w.lines = append(w.lines, line)
	w.bytes += len(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

// Write implements io.Writer for whole lines. It never fails: a line without
// room is counted as dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.Offer(bytes.Clone(line))
	return len(line), nil
}

// Dropped returns how many lines had no room.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close takes no more lines, and waits for those taken to be written, but not
// past until. It reports whether all were written.
func (w *Writer) Close(until time.Time) bool {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.closing)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(time.Until(until)):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes == 0
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		lines := w.take()
		if len(lines) > 0 {
			if !w.write(bytes.Join(lines, nil)) {
				return
			}
			continue
		}
		select {
		case <-w.wake:
		case <-w.closing:
			// What was offered before the closing is still written.
			if w.empty() {
				return
			}
		}
	}
}

func (w *Writer) take() [][]byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := w.lines
	w.lines = nil
	return lines
}

func (w *Writer) empty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.lines) == 0
}

// write writes the block, however many tries that takes. Once the writer is
// closing, the first failure is the last: it then reports false.
func (w *Writer) write(block []byte) bool {
	for len(block) > 0 {
		closing := w.isClosing()
		n, err := w.stream.Write(block)
		block = block[n:]
		w.mu.Lock()
		w.bytes -= n
		w.mu.Unlock()
		if err == nil {
			continue
		}
		if closing {
			return false
		}
		select {
		case <-w.closing:
		case <-time.After(retryInterval):
		}
	}
	return true
}

func (w *Writer) isClosing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

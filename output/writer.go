// Package output writes lines to a stream such as standard output. The caller never
// blocks, even if writes to the stream are slow, block or fail.
package output

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes is the maximum total size of the lines that are not written yet.
	maxQueuedBytes = 4 << 20
	// retryInterval is the time between two attempts to write to a failing stream.
	retryInterval = 1 * time.Second
)

// Writer queues lines in a bounded buffer, from which its own goroutine writes them
// in order. If the buffer is full, a line is dropped as a whole. Failed writes are
// retried. A Writer is safe for concurrent use.
type Writer struct {
	stream io.Writer
	group  sync.WaitGroup
	// wake holds a value while the goroutine must check for new lines.
	wake chan struct{}
	// closing is closed by Close, and done when the goroutine ends.
	closing chan struct{}
	done    chan struct{}

	mu    sync.Mutex
	lines [][]byte
	// queuedBytes counts the bytes that are not written yet, including those that the
	// goroutine is writing.
	queuedBytes int
	closed      bool
	dropped     uint64
}

// New returns a writer to the stream. The caller must close the writer.
func New(stream io.Writer) *Writer {
	w := &Writer{stream: stream, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	w.group.Go(w.run)
	return w
}

// Enqueue queues a line, which must not be changed afterwards. If the buffer is full
// or the writer closed, it counts the line as dropped and returns false.
func (w *Writer) Enqueue(line []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.queuedBytes+len(line) > maxQueuedBytes {
		w.dropped++
		return false
	}
	w.lines = append(w.lines, line)
	w.queuedBytes += len(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

// Write implements io.Writer for complete lines. It never fails: a line that doesn't
// fit into the buffer is counted as dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.Enqueue(bytes.Clone(line))
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close refuses further lines and waits until the queued ones are written, but no
// later than the deadline. It reports whether all were written.
func (w *Writer) Close(deadline time.Time) bool {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.closing)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(time.Until(deadline)):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queuedBytes == 0
}

// run writes queued lines until the writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	for {
		lines := w.takeLines()
		if len(lines) > 0 {
			if !w.write(bytes.Join(lines, nil)) {
				return
			}
			continue
		}
		select {
		case <-w.wake:
		case <-w.closing:
			// Lines queued before Close are still written.
			if w.empty() {
				return
			}
		}
	}
}

// takeLines removes and returns the queued lines.
func (w *Writer) takeLines() [][]byte {
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

// write writes the block and retries after failures. Once the writer is closing, it
// returns false after the first failure.
func (w *Writer) write(block []byte) bool {
	for len(block) > 0 {
		closing := w.isClosing()
		n, err := w.stream.Write(block)
		block = block[n:]
		w.mu.Lock()
		w.queuedBytes -= n
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

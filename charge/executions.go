package charge

import (
	"crypto/sha256"

	"mangoloft/ident"
)

const (
	// maxKeptResults and maxKeptResultBytes bound the results that an instance
	// keeps for callers that repeat a request.
	maxKeptResults     = 4096
	maxKeptResultBytes = 8 << 20
)

// executionKey identifies one charge across all of its attempts.
type executionKey struct {
	home     ident.Home
	sequence uint64
}

// execution is the call of one ticket, running or completed.
type execution struct {
	bodyHash [sha256.Size]byte
	// done is closed when result is set.
	done   chan struct{}
	result Result
}

// executions holds the running calls and the latest results.
type executions struct {
	byKey map[executionKey]*execution
	// completed holds the keys of the completed calls, oldest first.
	completed []executionKey
	bytes     int
}

func (o *executions) add(key executionKey, bodyHash [sha256.Size]byte) *execution {
	e := &execution{bodyHash: bodyHash, done: make(chan struct{})}
	o.byKey[key] = e
	return e
}

// retain keeps the result of a completed call and evicts the oldest results
// beyond the bounds.
func (o *executions) retain(key executionKey) {
	o.completed = append(o.completed, key)
	o.bytes += o.byKey[key].result.size()
	for len(o.completed) > maxKeptResults || o.bytes > maxKeptResultBytes {
		oldest := o.completed[0]
		o.completed = o.completed[1:]
		o.bytes -= o.byKey[oldest].result.size()
		delete(o.byKey, oldest)
	}
}

// resultOverheadBytes is the fixed part of a kept result's size.
const resultOverheadBytes = 512

func (r Result) size() int {
	size := resultOverheadBytes + len(r.Answer.Body) + len(r.Answer.ContentType)
	for _, step := range r.Steps {
		size += len(step)
	}
	return size
}

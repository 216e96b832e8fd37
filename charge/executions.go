package charge

import (
	"crypto/sha256"

	"mangoloft/ident"
)

const (
	// maxKeptResults and maxKeptResultBytes limit the number and total size of the
	// results that an instance keeps for callers that repeat a request.
	maxKeptResults     = 4096
	maxKeptResultBytes = 8 << 20
)

// executionKey identifies one call across all attempts of its ticket.
type executionKey struct {
	home     ident.Home
	sequence uint64
}

// execution is the call of one ticket, running or completed.
type execution struct {
	bodyHash [sha256.Size]byte
	// done is closed once result is set.
	done   chan struct{}
	result Result
}

// executions holds the running calls and the latest results.
type executions struct {
	byKey map[executionKey]*execution
	// completed holds the keys of the completed calls, oldest first.
	completed []executionKey
	// bytes is the total size of the results of completed calls.
	bytes int
}

func (all *executions) add(key executionKey, bodyHash [sha256.Size]byte) *execution {
	e := &execution{bodyHash: bodyHash, done: make(chan struct{})}
	all.byKey[key] = e
	return e
}

// retain keeps the result of a completed call. While the results exceed a limit,
// it evicts the oldest one.
func (all *executions) retain(key executionKey) {
	all.completed = append(all.completed, key)
	all.bytes += all.byKey[key].result.size()
	for len(all.completed) > maxKeptResults || all.bytes > maxKeptResultBytes {
		oldest := all.completed[0]
		all.completed = all.completed[1:]
		all.bytes -= all.byKey[oldest].result.size()
		delete(all.byKey, oldest)
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

package charge

import (
	"crypto/sha256"

	"mangoloft/ident"
)

const (
	// maxOutcomes and maxOutcomeBytes bound the results that an instance keeps
	// for callers that ask again.
	maxOutcomes     = 4096
	maxOutcomeBytes = 8 << 20
)

// entryKey names one charge over all attempts.
type entryKey struct {
	home     ident.Home
	sequence uint64
}

// entry is the call of one ticket, under way or over.
type entry struct {
	body [sha256.Size]byte
	// done is closed when result is there.
	done   chan struct{}
	result Result
}

// outcomes holds the calls under way and the latest results.
type outcomes struct {
	entries map[entryKey]*entry
	// order holds the keys of the calls that are over, oldest first.
	order []entryKey
	bytes int
}

func (o *outcomes) begin(key entryKey, body [sha256.Size]byte) *entry {
	e := &entry{body: body, done: make(chan struct{})}
	o.entries[key] = e
	return e
}

// keep counts a call that is over, and drops the oldest beyond the bounds.
func (o *outcomes) keep(key entryKey) {
	o.order = append(o.order, key)
	o.bytes += o.entries[key].result.size()
	for len(o.order) > maxOutcomes || o.bytes > maxOutcomeBytes {
		oldest := o.order[0]
		o.order = o.order[1:]
		o.bytes -= o.entries[oldest].result.size()
		delete(o.entries, oldest)
	}
}

// keptOverhead is the part of a kept result's size that does not vary.
const keptOverhead = 512

func (r Result) size() int {
	size := keptOverhead + len(r.Answer.Body) + len(r.Answer.ContentType)
	for _, step := range r.Steps {
		size += len(step)
	}
	return size
}

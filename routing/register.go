package routing

// Document is a table together with the bytes that it was read from, which
// are passed on to peers as they came.
type Document struct {
	Table *Table
	Raw   []byte
}

// Register holds the newest table seen. Its version never falls.
type Register struct{ current Document }

// Current returns the document in force. Its table is nil before the first.
func (r *Register) Current() Document { return r.current }

// Version returns the version in force, 0 before the first.
func (r *Register) Version() uint64 {
	if r.current.Table == nil {
		return 0
	}
	return r.current.Table.Version
}

// Offer takes the document when it is newer than the one in force, and reports
// whether it did.
func (r *Register) Offer(d Document) bool {
	if d.Table == nil || d.Table.Version <= r.Version() {
		return false
	}
	r.current = d
	return true
}

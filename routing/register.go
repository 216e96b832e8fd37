package routing

// Document is a table with its encoded form, which is passed on to peers
// unchanged.
type Document struct {
	Table *Table
	Raw   []byte
}

// Register holds the newest table seen. Its version never decreases.
type Register struct{ current Document }

// Current returns the document in force. Its table is nil before the first one.
func (r *Register) Current() Document { return r.current }

// Version returns the version in force, 0 before the first one.
func (r *Register) Version() uint64 {
	if r.current.Table == nil {
		return 0
	}
	return r.current.Table.Version
}

// Update replaces the document in force if the offered one is newer, and reports
// whether it did.
func (r *Register) Update(d Document) bool {
	if d.Table == nil || d.Table.Version <= r.Version() {
		return false
	}
	r.current = d
	return true
}

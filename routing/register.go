package routing

import "mangoloft/history"

// Document is a table with its encoded form, which is forwarded to peers
// unchanged.
type Document struct {
	Table *Table
	Raw   []byte
	// ReadAt is the store's position at which the instance read the table; zero if a
	// peer sent it.
	ReadAt history.Position
}

// Register contains the newest table received. Its version never decreases.
type Register struct{ current Document }

// Current returns the active document. Its table is nil until one is received.
func (r *Register) Current() Document { return r.current }

// Version returns the version of the active table; 0 until one is received.
func (r *Register) Version() uint64 {
	if r.current.Table == nil {
		return 0
	}
	return r.current.Table.Version
}

// Update replaces the active document if the given one is newer. It reports
// whether it did.
func (r *Register) Update(d Document) bool {
	if d.Table == nil || d.Table.Version <= r.Version() {
		return false
	}
	r.current = d
	return true
}

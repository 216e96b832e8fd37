// Package history defines positions in the history of the platform's store.
package history

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of the store's contents. A store that was
// restored from an older copy starts a new era, in which it issues revisions of the
// previous one again, so revisions of different eras can't be compared.
type Position struct {
	// Era counts the restores of the store; 0 if the store does not report it.
	Era uint64
	// Revision counts the changes of the store.
	Revision uint64
}

// Compare returns a negative number if p is before q, a positive one if it is after q,
// and 0 if they are equal.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// IsZero reports whether p is the zero value, which is before every position of a
// store.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of two positions.
func Max(p, q Position) Position {
	if p.After(q) {
		return p
	}
	return q
}

// String returns the position in the form era/revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }

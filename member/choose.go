package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Chooser chooses among a set of names by rendezvous hashing. Instances with
// the same set of names make the same choices without communicating, and when a
// name is added or removed only the keys of that name move.
type Chooser struct {
	names []string
	table *rendezvous.Rendezvous
	// withoutBest maps a first choice to the chooser among the remaining names.
	// The rendezvous library's removal of a name does not work correctly.
	withoutBest map[string]*Chooser
}

// NewChooser returns a chooser among the names.
func NewChooser(names []string) *Chooser {
	names = slices.Sorted(slices.Values(names))
	return &Chooser{names, rendezvous.New(names, xxhash.Sum64String), map[string]*Chooser{}}
}

// Choose returns the n highest-ranked names for the key, best first, or all
// names if there are fewer.
func (c *Chooser) Choose(key string, n int) []string {
	if n == 0 || len(c.names) == 0 {
		return nil
	}
	best := c.table.Lookup(key)
	if n == 1 {
		return []string{best}
	}
	withoutBest, ok := c.withoutBest[best]
	if !ok {
		withoutBest = NewChooser(slices.DeleteFunc(slices.Clone(c.names), func(name string) bool { return name == best }))
		c.withoutBest[best] = withoutBest
	}
	return append([]string{best}, withoutBest.Choose(key, n-1)...)
}

package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Chooser chooses among a set of names by rendezvous hashing. Instances that
// know the same names choose the same ones without asking each other, and when
// a name comes or goes only its own share of the keys moves.
type Chooser struct {
	names []string
	table *rendezvous.Rendezvous
	// rest holds, by its first choice, the chooser among the other names. The
	// library's own way to remove a name is broken.
	rest map[string]*Chooser
}

// NewChooser returns a chooser among the names.
func NewChooser(names []string) *Chooser {
	names = slices.Sorted(slices.Values(names))
	return &Chooser{names, rendezvous.New(names, xxhash.Sum64String), map[string]*Chooser{}}
}

// Choose returns the n names that the key falls to, best first, or all when
// there are fewer.
func (c *Chooser) Choose(key string, n int) []string {
	if n == 0 || len(c.names) == 0 {
		return nil
	}
	best := c.table.Lookup(key)
	if n == 1 {
		return []string{best}
	}
	rest, ok := c.rest[best]
	if !ok {
		rest = NewChooser(slices.DeleteFunc(slices.Clone(c.names), func(name string) bool { return name == best }))
		c.rest[best] = rest
	}
	return append([]string{best}, rest.Choose(key, n-1)...)
}

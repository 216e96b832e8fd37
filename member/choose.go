package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Choose returns the n names that rendezvous hashing gives the key, best
// first, or all when there are fewer. Instances that know the same names
// choose the same ones without asking each other, and when a name comes or
// goes only its own share of the keys moves.
func Choose(names []string, key string, n int) []string {
	names = slices.Sorted(slices.Values(names))
	var chosen []string
	for len(chosen) < n && len(names) > 0 {
		best := rendezvous.New(names, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, best)
		names = slices.DeleteFunc(names, func(name string) bool { return name == best })
	}
	return chosen
}

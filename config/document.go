// Package config holds the published configuration: small versioned values
// under one index, checked alike at every instance, and a register whose
// version only rises.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Index lists the published values. Its version rises with every change.
type Index struct {
	Version uint64                `json:"version"`
	Values  map[string]IndexEntry `json:"values"`
}

// IndexEntry is one value's place in the index.
type IndexEntry struct {
	// Version is the index version in which the value last changed.
	Version uint64 `json:"version"`
	// SHA256 is the hash of the value's bytes, in hexadecimal.
	SHA256 string `json:"sha256"`
}

// Document is an index with the bytes of all its values.
type Document struct {
	Index  Index
	Values map[string][]byte
}

// Hash returns the hash that an index entry holds for the value.
func Hash(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// digestLetters is how much of the index's hash tells two documents of one
// version apart. Every heartbeat carries it, so it is short.
const digestLetters = 16

// Digest returns a hash over the whole index and so over all values. It tells
// two documents of one version apart.
func (i Index) Digest() string {
	content, err := json.Marshal(i) // Map keys are sorted, so equal indexes give equal bytes.
	if err != nil {
		panic(err) // An Index always marshals.
	}
	return Hash(content)[:digestLetters]
}

// Missing returns the keys whose values, as listed in the index, are not in
// have, in order.
func (i Index) Missing(have map[string][]byte, haveIndex Index) []string {
	var keys []string
	for key, entry := range i.Values {
		if _, ok := have[key]; !ok || haveIndex.Values[key].SHA256 != entry.SHA256 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Removed returns the keys of the older index that this one no longer has, in
// order.
func (i Index) Removed(older Index) []string {
	var keys []string
	for key := range older.Values {
		if _, ok := i.Values[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Package config implements the published configuration: small versioned values listed
// in one index, a validation that gives the same result at every instance, and a
// register of the active configuration, whose version never decreases.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Index lists the published values. Its version increases with every change.
type Index struct {
	Version uint64                `json:"version"`
	Values  map[string]IndexEntry `json:"values"`
}

// IndexEntry describes one value in the index.
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

// Hash returns the value's SHA-256 hash in the form that index entries contain.
func Hash(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// digestLength is the length of a digest in hexadecimal digits. Digests are short
// because every heartbeat carries one.
const digestLength = 16

// Digest returns a hash over the whole index, and so over all values. It
// distinguishes documents of the same version.
func (i Index) Digest() string {
	content, err := json.Marshal(i) // Map keys are sorted, so equal indexes give equal bytes.
	if err != nil {
		panic(err) // An Index always marshals.
	}
	return Hash(content)[:digestLength]
}

// ChangedKeys returns, sorted, the keys whose values differ from the values in an
// older document, or are not in it.
func (i Index) ChangedKeys(olderValues map[string][]byte, olderIndex Index) []string {
	var keys []string
	for key, entry := range i.Values {
		if _, ok := olderValues[key]; !ok || olderIndex.Values[key].SHA256 != entry.SHA256 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Removed returns, sorted, the keys of the older index that are not in this one.
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

// Package config holds the published configuration: small versioned values
// under one index, checked alike at every instance, and a register whose
// version only rises.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Index lists the published values. Its version rises with every change.
type Index struct {
	Version uint64           `json:"version"`
	Values  map[string]Entry `json:"values"`
}

// Entry is one value's place in the index.
type Entry struct {
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

// Digest returns a hash over the whole index and so over all values. It tells
// two documents of one version apart.
func (i Index) Digest() string {
	content, err := json.Marshal(i) // Map keys are sorted, so equal indexes give equal bytes.
	if err != nil {
		panic(err) // An Index always marshals.
	}
	return Hash(content)
}

// Missing returns the keys whose values, as listed in the index, are not in have.
func (i Index) Missing(have map[string][]byte, haveIndex Index) []string {
	var keys []string
	for key, entry := range i.Values {
		if _, ok := have[key]; !ok || haveIndex.Values[key].SHA256 != entry.SHA256 {
			keys = append(keys, key)
		}
	}
	return keys
}

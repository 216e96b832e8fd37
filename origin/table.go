// Package origin remembers which version of the engines' software began each stream, so
// that a caller can take its stream up through any instance: what two versions generate
// doesn't fit together.
package origin

import (
	"fmt"
	"hash/fnv"
	"math"
	"strconv"
	"time"
)

// Key identifies a stream by its team and the caller's attempt that began it. Zero is no
// stream.
type Key uint64

// NewKey returns the key of a stream; zero if the attempt has no ID. The keys of different
// teams differ, so that no team learns of another one's streams.
func NewKey(team, attempt string) Key {
	if attempt == "" {
		return 0
	}
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%q %q", team, attempt)
	return Key(max(1, hash.Sum64()))
}

// ParseKey parses the text of a key.
func ParseKey(text string) (Key, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	return Key(n), err
}

// Fraction returns a pseudo-random number in [0, 1) that depends only on the key.
func (k Key) Fraction() float64 {
	// FNV changes the high bits too little for similar inputs.
	return float64((uint64(k)*0x9e3779b97f4a7c15)>>11) / (1 << 53)
}

// String returns the key as a hexadecimal number.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

const (
	// Retention is the time for which a stream is remembered at least. Callers take up
	// streams within their deadline.
	Retention = time.Minute
	// maxStreams is the maximum number of streams that are recorded within Retention, and
	// maxVersions that of versions.
	maxStreams  = 50_000
	maxVersions = math.MaxUint16
)

// Table contains the origins of streams.
type Table struct {
	// versions contains the names of the versions, which current and previous refer to by
	// index.
	versions []string
	indexes  map[string]uint16
	// current contains the streams recorded since rotatedAt, and previous those recorded
	// in the Retention before.
	current, previous map[Key]uint16
	rotatedAt         time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{indexes: map[string]uint16{}, current: map[Key]uint16{}, previous: map[Key]uint16{}}
}

// Record records the version that began a stream.
func (t *Table) Record(now time.Time, key Key, version string) {
	t.rotate(now)
	if key == 0 || len(t.current) >= maxStreams {
		return
	}
	index, ok := t.indexes[version]
	if !ok {
		if len(t.versions) >= maxVersions {
			return
		}
		index = uint16(len(t.versions))
		t.versions, t.indexes[version] = append(t.versions, version), index
	}
	t.current[key] = index
}

// Find returns the version that began a stream, if it is known.
func (t *Table) Find(now time.Time, key Key) (string, bool) {
	t.rotate(now)
	index, ok := t.current[key]
	if !ok {
		index, ok = t.previous[key]
	}
	if !ok {
		return "", false
	}
	return t.versions[index], true
}

func (t *Table) rotate(now time.Time) {
	age := now.Sub(t.rotatedAt)
	if age < Retention {
		return
	}
	t.previous, t.current, t.rotatedAt = t.current, map[Key]uint16{}, now
	if age >= 2*Retention {
		clear(t.previous)
	}
}

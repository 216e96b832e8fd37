package standin

import "time"

// readers are those that attached to one generation.
type readers struct {
	// newest is the reader that attached first most lately; attached counts
	// the open connections of every reader that ever attached.
	newest   string
	attached map[string]int
	// leftAt is when the latest connection ended.
	leftAt time.Time
}

// open returns how many connections read the generation.
func (r *readers) open() int {
	open := 0
	for _, n := range r.attached {
		open += n
	}
	return open
}

// attach counts a connection of the reader in.
func (r *readers) attach(reader string) {
	if _, ok := r.attached[reader]; !ok {
		r.newest = reader
	}
	r.attached[reader]++
}

// belongsToOther reports whether a cancel for the reader must be ignored,
// because another one attached after it or is reading now.
func (r *readers) belongsToOther(reader string) bool {
	if reader != r.newest {
		return true
	}
	for other, open := range r.attached {
		if other != reader && open > 0 {
			return true
		}
	}
	return false
}

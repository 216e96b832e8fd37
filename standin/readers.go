package standin

import "time"

// readers tracks the readers of one generation.
type readers struct {
	// latest is the reader whose first connection is the most recent;
	// connections counts the open connections of every reader so far.
	latest      string
	connections map[string]int
	// lastDetachedAt is when a connection last ended.
	lastDetachedAt time.Time
}

// openConnections returns how many connections read the generation.
func (r *readers) openConnections() int {
	open := 0
	for _, n := range r.connections {
		open += n
	}
	return open
}

// attach adds a connection of the reader.
func (r *readers) attach(reader string) {
	if _, ok := r.connections[reader]; !ok {
		r.latest = reader
	}
	r.connections[reader]++
}

// takenOverFrom reports whether a cancel by the reader must be refused because
// another reader attached later or is connected.
func (r *readers) takenOverFrom(reader string) bool {
	if reader != r.latest {
		return true
	}
	for other, open := range r.connections {
		if other != reader && open > 0 {
			return true
		}
	}
	return false
}

package standin

import "time"

// readers tracks the readers of one generation.
type readers struct {
	// latest is the reader that attached last, by the time of its first connection.
	latest string
	// connections is the number of open connections by reader. Readers without an
	// open connection remain in it.
	connections map[string]int
	// lastDetachedAt is the time at which the latest connection ended.
	lastDetachedAt time.Time
}

// openConnections returns the number of open connections of all readers.
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

// takenOverFrom reports whether another reader has attached after the given one or
// has an open connection. A cancel request of the given reader must then be refused.
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

package standin

import (
	"cmp"
	"slices"
	"time"
)

// maxUnread is the maximum number of unread generations in one load report.
const maxUnread = 32

// unreadWire is an unfinished generation without a connected reader.
type unreadWire struct {
	Generation string `json:"generation"`
	// Reader is the latest reader of the generation.
	Reader string `json:"reader"`
	// ForMS is the time since its last connection ended.
	ForMS int64 `json:"for_ms"`
}

// unread returns the unfinished generations without a connected reader, in descending
// order of the time without one.
func (e *Engine) unread(now time.Time) []unreadWire {
	var list []unreadWire
	for id, r := range e.readers {
		if _, finish, ok := e.model.Progress(id); ok && finish == "" && r.openConnections() == 0 {
			list = append(list, unreadWire{id, r.latest, now.Sub(r.lastDetachedAt).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b unreadWire) int { return cmp.Compare(b.ForMS, a.ForMS) })
	return list[:min(len(list), maxUnread)]
}

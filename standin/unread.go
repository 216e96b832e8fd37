package standin

import (
	"cmp"
	"slices"
	"time"
)

// maxUnread bounds the unread generations in one load report.
const maxUnread = 32

// unreadWire is a generation under way that has no reader.
type unreadWire struct {
	Generation string `json:"generation"`
	// Reader is the latest that it had.
	Reader string `json:"reader"`
	ForMS  int64  `json:"for_ms"`
}

// unread lists the generations under way that nobody reads, longest first.
func (e *Engine) unread(now time.Time) []unreadWire {
	var list []unreadWire
	for id, r := range e.readers {
		if _, finish, ok := e.model.Progress(id); ok && finish == "" && r.open() == 0 {
			list = append(list, unreadWire{id, r.newest, now.Sub(r.leftAt).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b unreadWire) int { return cmp.Compare(b.ForMS, a.ForMS) })
	return list[:min(len(list), maxUnread)]
}

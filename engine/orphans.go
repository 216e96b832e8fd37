package engine

import (
	"context"
	"time"

	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/relay"
	"mangoloft/verdict"
)

// orphanAfter is how long a generation may have no reader. The instance that
// serves it ends it sooner itself, and may need up to 10 s to come back over a
// link that was cut; only when that instance is gone does nobody come.
const orphanAfter = 15 * time.Second

// unreadWire is a generation under way that has no reader.
type unreadWire struct {
	Generation string `json:"generation"`
	// Reader is the latest that it had.
	Reader string `json:"reader"`
	ForMS  int64  `json:"for_ms"`
}

// orphanRecord is the audit record of a generation whose instance was gone.
type orphanRecord struct {
	Upstream   string `json:"upstream"`
	Generation string `json:"generation"`
	Reader     string `json:"reader"`
	ForMS      int64  `json:"for_ms"`
	Ended      bool   `json:"ended"`
	Detail     string `json:"detail,omitempty"`
}

// cancelOrphans frees the engine from generations that nobody comes back for.
// Any instance that asks the engine for its load may do it: the cancel names
// the latest reader, so the engine ignores it when another one has come since.
func (l *loadReports) cancelOrphans(ctx context.Context, u decide.Upstream, unread []unreadWire) {
	for _, orphan := range unread {
		if time.Duration(orphan.ForMS)*time.Millisecond < orphanAfter {
			continue
		}
		ended, err := l.client.Cancel(ctx, u.Addr, relay.Attachment{Generation: orphan.Generation, Reader: orphan.Reader})
		record := orphanRecord{u.Name, orphan.Generation, orphan.Reader, orphan.ForMS, ended, ""}
		if err != nil {
			record.Detail = verdict.Of(err).Detail
		}
		l.rt.Trail.Append(event.GenerationOrphaned, "", record)
	}
}

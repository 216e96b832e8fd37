package engine

import (
	"context"
	"time"

	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/relay"
	"mangoloft/verdict"
)

// orphanAge is the time without a reader after which a generation is cancelled as
// orphaned. An instance that relays a generation reconnects within 10 s of a link
// failure, and cancels the generation itself when it gives up. So a generation that
// has had no reader for longer has most likely lost its instance.
const orphanAge = 15 * time.Second

// readerlessWire is a running generation that has no reader.
type readerlessWire struct {
	Generation string `json:"generation"`
	// Reader is the name of the last reader.
	Reader string `json:"reader"`
	// ForMS is the time without a reader in milliseconds.
	ForMS int64 `json:"for_ms"`
}

// orphanRecord is the audit record of the cancel of an orphaned generation.
type orphanRecord struct {
	Upstream   string `json:"upstream"`
	Generation string `json:"generation"`
	Reader     string `json:"reader"`
	ForMS      int64  `json:"for_ms"`
	// Ended reports whether the generation has ended; false if another reader has
	// attached or the cancel failed.
	Ended  bool   `json:"ended"`
	Detail string `json:"detail,omitempty"`
}

// cancelOrphans cancels generations that have had no reader for orphanAge. Any
// instance that polls the engine can cancel them: the cancel contains the name of
// the latest reader, so the engine ignores it if another reader has attached since.
func (l *loadPoller) cancelOrphans(ctx context.Context, u decide.Upstream, readerless []readerlessWire) {
	for _, orphan := range readerless {
		if time.Duration(orphan.ForMS)*time.Millisecond < orphanAge {
			continue
		}
		ended, err := l.client.Cancel(ctx, u.Addr, relay.Attachment{Generation: orphan.Generation, Reader: orphan.Reader})
		record := orphanRecord{u.Name, orphan.Generation, orphan.Reader, orphan.ForMS, ended, ""}
		if err != nil {
			record.Detail = verdict.OutcomeOf(err).Detail
		}
		l.rt.Trail.Append(event.GenerationOrphaned, "", record)
	}
}

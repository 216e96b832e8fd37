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
// orphaned. A live instance that relays the generation cancels it sooner itself,
// and needs at most 10 s to reconnect after a link failure. So a generation is
// without a reader for longer only if that instance has exited.
const orphanAge = 15 * time.Second

// readerlessWire is a running generation that has no reader.
type readerlessWire struct {
	Generation string `json:"generation"`
	// Reader is the latest reader.
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
	Ended      bool   `json:"ended"`
	Detail     string `json:"detail,omitempty"`
}

// cancelOrphans cancels generations whose instance has exited. Any instance that
// polls the engine can cancel them: the cancel contains the name of the latest
// reader, so the engine ignores it if another reader has attached since.
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

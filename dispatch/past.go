package dispatch

import (
	"context"
	"time"

	"mangoloft/decide"
	"mangoloft/upstream"
)

// minHistoryAge is the age by which an upstream must be younger than the store's history for
// its start to be expected there.
const minHistoryAge = 2 * time.Second

// ExtendPast passes on the changes of the list before this instance knew it, as the store's
// history contains them since a time. It reports whether they show all versions that served:
// an entry that was deleted must be known from before, and the start of each upstream since
// then must be there, or else the store has lost a part of its history.
func (c *Controller) ExtendPast(ctx context.Context, items []upstream.Item, since time.Time) bool {
	return query(ctx, c, func(now time.Time) bool {
		past, ok := pastVersions(c.directory.All(), items, since.Add(minHistoryAge))
		if ok {
			c.scheduler.ExtendPast(now, past, since)
		}
		return ok
	})
}

// pastVersions returns the versions in the changes of the list. ok is false if they are
// incomplete.
func pastVersions(current []upstream.Status, items []upstream.Item, startedSince time.Time) (past []decide.PastVersion, ok bool) {
	known := map[string]bool{}
	for _, item := range items {
		switch {
		case item.Deleted && !known[item.ID]:
			return nil, false
		case item.Entry != nil:
			past = append(past, decide.PastVersion{Pool: item.Entry.Service, Version: item.Entry.Version})
		}
		known[item.ID] = item.Entry != nil
	}
	seen := map[string]bool{}
	for _, item := range items {
		seen[item.ID] = true
	}
	for _, status := range current {
		if time.UnixMilli(status.StartUnixMS).After(startedSince) && !seen[status.ID] {
			return nil, false
		}
	}
	return past, true
}

package catalog

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/history"
	"mangoloft/upstream"
)

// maxPastRevisions is the number of revisions before the current one that are searched for
// the beginning of the history.
const maxPastRevisions = 4096

// Past returns the changes of the list up to the position that the store still has, the
// oldest first. The store keeps them for some time, or discards them sooner.
func (f *Follower) Past(ctx context.Context, at history.Position) ([]upstream.Item, error) {
	// The history after gone is no longer available, that after held is.
	gone, held := uint64(0), at.Revision
	if at.Revision > maxPastRevisions {
		gone = at.Revision - maxPastRevisions
	}
	var past []upstream.Item
	for revision := gone; ; revision = gone + (held-gone)/2 {
		items, err := f.changesAfter(ctx, revision, at)
		switch {
		case err == nil:
			held, past = revision, items
		case errorx.IsOfType(err, ErrHistoryGone):
			gone = revision
		default:
			return nil, err
		}
		if held <= gone+1 {
			return past, nil
		}
	}
}

// changesAfter returns the changes after a revision, up to a position of the same era.
func (f *Follower) changesAfter(ctx context.Context, revision uint64, to history.Position) (changes []upstream.Item, err error) {
	for revision < to.Revision {
		f.calls.Add(1)
		items, at, err := f.Store.WatchList(ctx, history.Position{Era: to.Era, Revision: revision}, time.Now())
		if err != nil {
			return nil, err
		}
		if at.Era != to.Era {
			return nil, errEarlierEra.New("the store was restored")
		}
		changes = append(changes, items...)
		if at.Revision <= revision {
			break
		}
		revision = at.Revision
	}
	return changes, nil
}

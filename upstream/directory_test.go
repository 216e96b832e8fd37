package upstream_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangoloft/history"
	"mangoloft/upstream"
)

var start = time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)

func entry(startUnixMS int64, draining bool) *upstream.Entry {
	return &upstream.Entry{
		ID: "u1", Service: "pool", Addr: netip.MustParseAddrPort("127.0.0.1:1000"), DataCentre: "a", StartUnixMS: startUnixMS, Draining: draining,
	}
}

func listed(revision uint64, e *upstream.Entry) upstream.Item {
	return upstream.Item{ID: "u1", Revision: revision, Entry: e, Raw: []byte("x")}
}

func deleted(revision uint64) upstream.Item {
	return upstream.Item{ID: "u1", Revision: revision, Deleted: true}
}

// step is one input of the directory, after a delay since the previous one.
type step struct {
	delay time.Duration
	do    func(d *upstream.Directory, now time.Time)
}

func apply(items ...upstream.Item) func(*upstream.Directory, time.Time) {
	return func(d *upstream.Directory, now time.Time) { d.Apply(now, items, 0) }
}

// replace applies a complete list, and change a change, of an era.
func replace(era, revision uint64, items ...upstream.Item) func(*upstream.Directory, time.Time) {
	return func(d *upstream.Directory, now time.Time) {
		at := history.Position{Era: era, Revision: revision}
		d.Replace(now, items, at)
		d.Advance(at)
	}
}

func change(era uint64, item upstream.Item) func(*upstream.Directory, time.Time) {
	return func(d *upstream.Directory, now time.Time) { d.Apply(now, []upstream.Item{item}, era) }
}

// TestStatus checks the state of an upstream after a sequence of inputs.
func TestStatus(t *testing.T) {
	tests := map[string]struct {
		steps []step
		want  upstream.State
	}{
		"listed":                                 {[]step{{0, apply(listed(1, entry(7, false)))}}, upstream.Ready},
		"draining":                               {[]step{{0, apply(listed(1, entry(7, false)))}, {0, apply(listed(2, entry(7, true)))}}, upstream.Draining},
		"older entry arrives late":               {[]step{{0, apply(listed(2, entry(7, true)))}, {0, apply(listed(1, entry(7, false)))}}, upstream.Draining},
		"draining is sticky":                     {[]step{{0, apply(listed(1, entry(7, true)))}, {0, apply(listed(2, entry(7, false)))}}, upstream.Draining},
		"new incarnation":                        {[]step{{0, apply(listed(1, entry(7, true)))}, {0, apply(listed(2, entry(8, false)))}}, upstream.Ready},
		"deleted without announcement":           {[]step{{0, apply(listed(1, entry(7, false)))}, {time.Second, apply(deleted(2))}}, upstream.Draining},
		"deletion received twice":                {[]step{{0, apply(listed(1, entry(7, false)))}, {0, apply(deleted(2))}, {0, apply(deleted(2))}}, upstream.Draining},
		"deleted after draining":                 {[]step{{0, apply(listed(1, entry(7, true)))}, {0, apply(deleted(2))}}, upstream.Removed},
		"deleted long ago":                       {[]step{{0, apply(listed(1, entry(7, false)))}, {0, apply(deleted(2))}, {11 * time.Second, tick}}, upstream.Removed},
		"listed again":                           {[]step{{0, apply(listed(1, entry(7, false)))}, {0, apply(deleted(2))}, {0, apply(listed(3, entry(7, false)))}}, upstream.Ready},
		"deleted in an outage":                   {[]step{{0, apply(listed(1, entry(7, false)))}, {0, setUnreadable}, {time.Millisecond, apply(deleted(2))}}, upstream.Lapsed},
		"deleted in an outage, not listed again": {[]step{{0, apply(listed(1, entry(7, false)))}, {0, setUnreadable}, {0, apply(deleted(2))}, {1600 * time.Millisecond, tick}}, upstream.Draining},
		"deleted in an outage, listed again":     {[]step{{0, apply(listed(1, entry(7, false)))}, {0, setUnreadable}, {0, apply(deleted(2))}, {time.Second, apply(listed(3, entry(7, false)))}}, upstream.Ready},
		"deleted some time after an outage":      {[]step{{0, apply(listed(1, entry(7, false)))}, {0, setUnreadable}, {3 * time.Second, apply(deleted(2))}}, upstream.Draining},
		"undecodable entry": {[]step{
			{0, apply(listed(1, entry(7, false)))},
			{0, apply(upstream.Item{ID: "u1", Revision: 2})},
		}, upstream.Ready},
		"its own announcement": {[]step{{0, apply(listed(1, entry(7, false)))}, {0, func(d *upstream.Directory, now time.Time) {
			d.MarkLeaving(now, "u1", 7, time.Time{}, upstream.FromReport)
		}}, {0, apply(listed(2, entry(7, false)))}}, upstream.Draining},
		"announcement of an earlier incarnation": {[]step{{0, apply(listed(1, entry(8, false)))}, {0, func(d *upstream.Directory, now time.Time) {
			d.MarkLeaving(now, "u1", 7, time.Time{}, upstream.FromPeer)
		}}}, upstream.Ready},
		"another incarnation at its address": {[]step{{0, apply(listed(1, entry(7, false)))}, {0, func(d *upstream.Directory, now time.Time) {
			d.MarkRemoved(now, "u1", 7, upstream.FromAnswer)
		}}, {0, apply(listed(2, entry(7, false)))}}, upstream.Removed},
		"drains after a restore at a lower revision": {[]step{
			{0, replace(1, 90, listed(90, entry(7, false)))}, {0, replace(2, 60, listed(50, entry(7, false)))}, {0, change(2, listed(62, entry(7, true)))},
		}, upstream.Draining},
		"change of a later era before its list": {[]step{
			{0, replace(1, 90, listed(90, entry(7, false)))}, {0, change(2, listed(95, entry(7, true)))},
		}, upstream.Ready},
		"change of an earlier era": {[]step{
			{0, replace(2, 60, listed(60, entry(7, false)))}, {0, change(1, listed(95, entry(7, true)))},
		}, upstream.Ready},
		"list of an earlier era": {[]step{
			{0, replace(2, 60, listed(60, entry(7, false)))}, {0, replace(1, 95)},
		}, upstream.Ready},
		"missing after a restore": {[]step{
			{0, replace(1, 90, listed(90, entry(7, false)))}, {0, replace(2, 60)},
		}, upstream.Lapsed},
		"missing after a restore, not written again": {[]step{
			{0, replace(1, 90, listed(90, entry(7, false)))}, {0, replace(2, 60)}, {1600 * time.Millisecond, tick},
		}, upstream.Draining},
		"missing after a restore, written again": {[]step{
			{0, replace(1, 90, listed(90, entry(7, false)))}, {0, replace(2, 60)}, {time.Second, change(2, listed(61, entry(7, false)))},
		}, upstream.Ready},
		"removed before a restore, in the copy": {[]step{
			{0, replace(1, 50, listed(50, entry(7, false)))}, {0, change(1, deleted(90))}, {0, replace(2, 60, listed(50, entry(7, false)))},
		}, upstream.Draining},
		"removed before a restore, written again": {[]step{
			{0, replace(1, 50, listed(50, entry(7, false)))},
			{0, change(1, deleted(90))},
			{0, replace(2, 60, listed(50, entry(7, false)))},
			{0, change(2, listed(62, entry(7, false)))},
		}, upstream.Ready},
		"restarted before a restore, previous incarnation in the copy": {[]step{
			{0, replace(1, 50, listed(50, entry(7, false)))},
			{0, change(1, listed(90, entry(8, true)))},
			{0, replace(2, 60, listed(50, entry(7, false)))},
		}, upstream.Draining},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d, now := upstream.NewDirectory(), start
			for _, s := range test.steps {
				now = now.Add(s.delay)
				s.do(d, now)
			}
			status, ok := d.Find("u1")
			assert.Assert(t, ok)
			assert.Equal(t, status.State.String(), test.want.String())
		})
	}
}

func setUnreadable(d *upstream.Directory, now time.Time) { d.SetListUnreadable(now) }

func tick(d *upstream.Directory, now time.Time) { d.Tick(now) }

func TestReplaceDeletesMissingEntries(t *testing.T) {
	d := upstream.NewDirectory()
	d.Apply(start, []upstream.Item{listed(1, entry(7, false))}, 0)
	changes := d.Replace(start.Add(time.Minute), nil, history.Position{Revision: 5})
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].State, upstream.Draining)
	assert.Equal(t, len(d.Replace(start.Add(time.Minute), nil, history.Position{Revision: 6})), 0, "a missing entry must be reported once")
}

// TestLeavingIsSticky applies random sequences of announcements, entries and
// deletions of one incarnation. After an announcement that it leaves, the
// incarnation must never become ready again.
func TestLeavingIsSticky(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, now := upstream.NewDirectory(), start
		d.Apply(now, []upstream.Item{listed(1, entry(7, false))}, 0)
		announced := false
		for revision := uint64(2); revision < 20; revision++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				d.Apply(now, []upstream.Item{listed(revision, entry(7, true))}, 0)
				announced = true
			case 1:
				d.Apply(now, []upstream.Item{listed(revision-uint64(rapid.IntRange(0, 1).Draw(t, "late")), entry(7, false))}, 0)
			case 2:
				d.Apply(now, []upstream.Item{deleted(revision)}, 0)
			case 3:
				_, ok := d.MarkLeaving(now, "u1", 7, time.Time{}, upstream.FromPeer)
				announced = announced || ok
			case 4:
				d.SetListUnreadable(now)
			case 5:
				d.Tick(now)
			}
			if status, ok := d.Find("u1"); ok && announced && status.State < upstream.Draining {
				t.Fatalf("got state %s after the announcement that the incarnation is leaving, want draining or gone", status.State)
			}
		}
	})
}

package upstream_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/upstream"
)

// TestColdTimeOfEntries checks that a later end of the cold time is reported once, and that
// entries that only repeat it, or are behind, are not.
func TestColdTimeOfEntries(t *testing.T) {
	d, now := upstream.NewDirectory(), start
	cold := func(revision uint64, after, left time.Duration) []upstream.Status {
		now = now.Add(after)
		e := entry(5, false)
		e.ColdRemaining = left
		d.Apply(now, []upstream.Item{listed(revision, e)}, 0)
		return d.TakeColder()
	}
	// The change of a new incarnation contains its cold time.
	assert.Equal(t, len(cold(1, 0, 4*time.Second)), 0)
	status, _ := d.Find("u1")
	assert.Equal(t, status.ColdUntil, start.Add(4*time.Second))
	assert.Equal(t, status.SeenAt, start)
	assert.Equal(t, len(cold(2, 1200*time.Millisecond, 2900*time.Millisecond)), 0)
	assert.Equal(t, len(cold(3, 5*time.Second, 0)), 0)
	again := cold(4, time.Second, 3*time.Second)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].ColdUntil, now.Add(3*time.Second))
	// Another reader forwards the same revision.
	assert.Equal(t, len(cold(4, 500*time.Millisecond, 3*time.Second)), 0)
}

package gossip

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/decide"
)

// TestLimitNotices checks that notices of limits and cold times survive the wire, and that those
// without a limit are accepted by builds that know no cold times.
func TestLimitNotices(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	limit := decide.LimitNotice{Upstream: "u", Incarnation: 7, Limited: true, PerSecond: 3.8, HeardAt: now.Add(-time.Second), Sent: 2}
	cold := limit
	cold.DataCentre, cold.ColdUntil, cold.ColdHeardAt = "a", now.Add(4*time.Second), now.Add(-90*time.Millisecond)
	for name, n := range map[string]decide.LimitNotice{
		"limit": limit, "limit and cold": cold,
		"cold":     {Upstream: "u", Incarnation: 7, Sent: 1, DataCentre: "a", HeardAt: now.Add(-maxLimitAge), ColdUntil: now.Add(time.Second), ColdHeardAt: now},
		"warm now": {Upstream: "u", Incarnation: 7, DataCentre: "a", HeardAt: now.Add(-maxLimitAge), ColdUntil: now, ColdHeardAt: now},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := decodeLimit(now, encodeLimit(now, n))
			assert.NilError(t, err)
			assert.DeepEqual(t, got, n)
		})
	}
	// An upstream that has never declared a limit.
	w := encodeLimit(now, decide.LimitNotice{Upstream: "u", Sent: 1, DataCentre: "a"})
	assert.Equal(t, w.HeardAgoMS, maxLimitAge.Milliseconds())
	content, err := json.Marshal(encodeLimit(now, limit))
	assert.NilError(t, err)
	assert.Equal(t, string(content), `{"id":"u","born":7,"limited":true,"per_second":3.8,"heard_ago_ms":1000,"sent":2}`)
	for name, malformed := range map[string]limitWire{
		"negative": {ID: "u", ColdKnown: true, ColdInMS: -1}, "too long": {ID: "u", ColdKnown: true, ColdInMS: maxColdTime.Milliseconds() + 1}, "from the future": {ID: "u", ColdKnown: true, ColdAgoMS: -1},
	} {
		malformed.Sent = 3
		got, err := decodeLimit(now, malformed)
		assert.NilError(t, err, name)
		assert.Equal(t, got.Sent, 3, name)
		assert.Assert(t, got.ColdHeardAt.IsZero(), name)
	}
	// An upstream that declared long ago that it was cold, and has a limit now.
	got, err := decodeLimit(now, encodeLimit(now, decide.LimitNotice{Upstream: "u", Sent: 2, ColdHeardAt: now.Add(-25 * time.Hour), ColdUntil: now.Add(-24 * time.Hour)}))
	assert.NilError(t, err)
	assert.Equal(t, got.Sent, 2)
}

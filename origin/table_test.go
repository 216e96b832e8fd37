package origin_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/origin"
)

func TestStreamsAreRememberedForTheRetention(t *testing.T) {
	table, now := origin.New(), time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)
	key := origin.NewKey("team", "9c41")
	for _, version := range []string{"v1", "", "v2"} {
		table.Record(now, key, version)
		now = now.Add(origin.Retention - time.Millisecond)
		got, ok := table.Find(now, key)
		assert.Assert(t, ok)
		assert.Equal(t, got, version)
	}
	for range 3 {
		now = now.Add(origin.Retention)
		table.Record(now, origin.NewKey("team", "other"), "v1")
	}
	_, ok := table.Find(now, key)
	assert.Assert(t, !ok)
}

func TestStreamsOfOtherTeamsAreUnknown(t *testing.T) {
	table, now := origin.New(), time.Now()
	table.Record(now, origin.NewKey("team", "9c41"), "v1")
	table.Record(now, origin.NewKey("team", ""), "v1")
	for _, key := range []origin.Key{origin.NewKey("other", "9c41"), origin.NewKey("team", ""), origin.NewKey("team\" \"9c41", ""), 0} {
		_, ok := table.Find(now, key)
		assert.Assert(t, !ok)
	}
}

func TestTableIsBounded(t *testing.T) {
	table, now := origin.New(), time.Now()
	for i := range 200_000 {
		table.Record(now, origin.Key(i+1), fmt.Sprint("v", i))
	}
	_, ok := table.Find(now, 200_000)
	assert.Assert(t, !ok)
	got, ok := table.Find(now, 1)
	assert.Assert(t, ok)
	assert.Equal(t, got, "v0")
}

func TestFractionsAreSpread(t *testing.T) {
	const keys = 10_000
	var counts [10]int
	for i := range keys {
		counts[int(10*origin.NewKey("team", fmt.Sprint(i)).Fraction())]++
	}
	for _, count := range counts {
		assert.Assert(t, count > keys/10-keys/50 && count < keys/10+keys/50, "%v", counts)
	}
}

func TestKeyText(t *testing.T) {
	key := origin.NewKey("team", "9c41")
	got, err := origin.ParseKey(key.String())
	assert.NilError(t, err)
	assert.Equal(t, got, key)
	_, err = origin.ParseKey("no key")
	assert.Assert(t, err != nil)
}

package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/upstream"
)

// TestColdUntil checks for how long an upstream counts as cold from when it was first listed.
func TestColdUntil(t *testing.T) {
	seen := time.UnixMilli(1_800_000_000_000)
	const coldStart = 4 * time.Second
	for name, test := range map[string]struct {
		age, entry, want time.Duration
	}{
		"new":                        {time.Second, 0, coldStart},
		"new, cold for longer":       {time.Second, 9 * time.Second, 9 * time.Second},
		"clock ahead":                {-3 * time.Second, 0, coldStart},
		"ran when first seen":        {time.Minute, 0, listDelay},
		"cold again when first seen": {time.Minute, 3 * time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			status := upstream.Status{SeenAt: seen, Entry: upstream.Entry{StartUnixMS: seen.Add(-test.age).UnixMilli()}}
			if test.entry > 0 {
				status.ColdUntil = seen.Add(test.entry)
			}
			assert.Equal(t, coldUntil(status, coldStart).Sub(seen), test.want)
		})
	}
}

// Package pause waits for a time, unless what waits is given up first.
package pause

import (
	"context"
	"time"
)

// For waits for the duration. It reports false when ctx ended before.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

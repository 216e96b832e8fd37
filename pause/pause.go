// Package pause sleeps with cancellation by a context.
package pause

import (
	"context"
	"time"
)

// Sleep waits for the duration d and returns true, or returns false as soon as ctx
// ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

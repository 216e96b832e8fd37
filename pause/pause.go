// Package pause sleeps with cancellation by a context.
package pause

import (
	"context"
	"time"
)

// Sleep sleeps for the duration. It returns false early if ctx ends.
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

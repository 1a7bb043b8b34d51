// Package wait holds the pause that retries and polls share.
package wait

import (
	"context"
	"time"
)

// For waits for d or the end of ctx, and reports whether ctx goes on.
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

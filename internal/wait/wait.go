// Package wait provides the context-aware delay used by retries and polling loops.
package wait

import (
	"context"
	"time"
)

// For waits until d has elapsed or ctx ends. It reports false if ctx ended first.
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

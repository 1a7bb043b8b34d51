// Package instant measures time that includes the suspension of the machine.
package instant

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time whose age includes the time for which the machine was suspended. The monotonic clock, which
// time.Since uses, stands still meanwhile.
type Instant struct {
	Monotonic time.Time
	sinceBoot time.Duration
}

// Now returns the current instant.
func Now() Instant { return Instant{time.Now(), sinceBoot()} }

// Age returns the time that has passed since the instant.
func (i Instant) Age() time.Duration {
	return max(time.Since(i.Monotonic), sinceBoot()-i.sinceBoot)
}

// sinceBoot returns the time since the machine was started, or 0 if the system doesn't tell.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

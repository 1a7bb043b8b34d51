package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// instant is a point in time whose age includes the time for which the machine was suspended. The monotonic clock, which
// time.Since uses, stands still meanwhile.
type instant struct {
	monotonic time.Time
	sinceBoot time.Duration
}

func currentInstant() instant { return instant{time.Now(), sinceBoot()} }

// age returns the time that has passed since the instant.
func (i instant) age() time.Duration {
	return max(time.Since(i.monotonic), sinceBoot()-i.sinceBoot)
}

// sinceBoot returns the time since the machine was started, or 0 if the system doesn't tell.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

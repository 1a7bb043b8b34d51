package workerproc

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the reading of the monotonic clock that all processes of a machine share.
func Now() time.Duration {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) // can't fail for this clock
	return time.Duration(ts.Nano())
}

// never is later than any reading of the clock.
const never = time.Duration(1<<63 - 1)

// Package port defines the interfaces between the core and other systems: store, host list, workers, peers and clock.
// Adapters translate their own failures into the errors of this package.
package port

import "time"

// Clock returns the current time. Durations are measured with its monotonic reading.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the host.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

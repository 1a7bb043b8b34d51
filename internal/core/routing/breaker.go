package routing

import "time"

// Limits of a circuit breaker. A probe's back-off doubles from the first to the last.
const (
	breakerFailuresInRow = 5
	breakerWindow        = 10 * time.Second
	breakerMinRequests   = 20
	breakerFirstBackOff  = 500 * time.Millisecond
	breakerLastBackOff   = 30 * time.Second
)

// Breaker is the circuit breaker of one instance. It opens on failures in a row or when half of a window's requests
// fail; after a back-off it lets one probe through at a time. The zero value is closed.
type Breaker struct {
	inRow       int
	requests    int
	failures    int
	windowStart time.Time
	open        bool
	probing     bool
	backOff     time.Duration
	probeAt     time.Time
}

// Allows reports whether a request may go to the instance now.
func (b *Breaker) Allows(now time.Time) bool {
	return !b.open || (!b.probing && !now.Before(b.probeAt))
}

// Begin notes that a request goes out and reports whether it is a probe. Call it only when Allows.
func (b *Breaker) Begin() (probe bool) {
	b.probing = b.open
	return b.open
}

// Record notes the end of a request. Ends of requests that were under way when the breaker opened neither close it
// nor lengthen the back-off.
func (b *Breaker) Record(probe, failed bool, now time.Time) {
	if b.open {
		if probe {
			b.recordProbe(failed, now)
		}
		return
	}
	if now.Sub(b.windowStart) >= breakerWindow {
		b.windowStart, b.requests, b.failures = now, 0, 0
	}
	b.requests++
	if failed {
		b.inRow++
		b.failures++
	} else {
		b.inRow = 0
	}
	if b.inRow >= breakerFailuresInRow || (b.requests >= breakerMinRequests && 2*b.failures >= b.requests) {
		b.open, b.backOff = true, breakerFirstBackOff
		b.probeAt = now.Add(b.backOff)
	}
}

// Abandon ends a request that says nothing about the instance, such as one that its caller gave up.
func (b *Breaker) Abandon(probe bool) {
	if probe {
		b.probing = false
	}
}

func (b *Breaker) recordProbe(failed bool, now time.Time) {
	b.probing = false
	if !failed {
		*b = Breaker{windowStart: now}
		return
	}
	b.backOff = min(2*b.backOff, breakerLastBackOff)
	b.probeAt = now.Add(b.backOff)
}

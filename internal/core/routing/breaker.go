package routing

import "time"

// Parameters of a circuit breaker. The back-off between probes doubles from the minimum to the maximum.
const (
	breakerConsecutiveFailures = 5
	breakerWindow              = 10 * time.Second
	breakerMinRequests         = 20 // in a window, before the ratio of failures counts
	breakerMinBackoff          = 500 * time.Millisecond
	breakerMaxBackoff          = 30 * time.Second
)

// Breaker is the circuit breaker of one instance. It opens on consecutive failures or when half of a window's requests
// fail; after a back-off it allows one probe at a time. The zero value is closed.
type Breaker struct {
	consecutiveFailures int
	requests            int
	failures            int
	windowStart         time.Time
	open                bool
	probing             bool
	backoff             time.Duration
	probeAt             time.Time
}

// Allow reports whether a request may be sent to the instance now.
func (b *Breaker) Allow(now time.Time) bool {
	return !b.open || (!b.probing && !now.Before(b.probeAt))
}

// Begin records the start of a request and reports whether it is a probe. Call it only if Allow returns true.
func (b *Breaker) Begin() (probe bool) {
	b.probing = b.open
	return b.open
}

// Record records the result of a request. Results of requests that were in flight when the breaker opened neither close
// it nor lengthen the back-off.
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
		b.consecutiveFailures++
		b.failures++
	} else {
		b.consecutiveFailures = 0
	}
	if b.consecutiveFailures >= breakerConsecutiveFailures ||
		(b.requests >= breakerMinRequests && 2*b.failures >= b.requests) {
		b.open, b.backoff = true, breakerMinBackoff
		b.probeAt = now.Add(b.backoff)
	}
}

// Abandon ends a request whose result says nothing about the instance, such as one that its caller canceled.
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
	b.backoff = min(2*b.backoff, breakerMaxBackoff)
	b.probeAt = now.Add(b.backoff)
}

package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what is known about a failed attempt.
type Outcome int

// Outcomes. Unknown is the zero value, so that an Outcome that was never assigned doesn't permit a retry of a
// non-idempotent request.
const (
	Unknown Outcome = iota
	NotRun          // nothing was sent, or the instance reported that it didn't run the request
	Ran             // the instance responded
)

// String returns the outcome as it appears in callers' errors.
func (o Outcome) String() string { return [...]string{"unknown", "not_run", "ran"}[o] }

// Limits of retries.
const (
	MaxAttempts     = 3                    // per request, including the first attempt
	minRetryTime    = 5 * time.Millisecond // no request can be answered in less time
	budgetRatio     = 0.1                  // tokens added for each first attempt
	budgetPerSecond = 3.0                  // tokens added per second regardless of requests, up to this number
	budgetBurst     = 20.0                 // maximum number of tokens
)

// Budget bounds the retries and hedges of a service to a fraction of its requests plus a small constant rate.
type Budget struct {
	tokens float64
	last   time.Time
}

// Deposit adds the share of a first attempt to the budget.
func (b *Budget) Deposit(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+budgetRatio, budgetBurst)
}

// Withdraw takes one retry or hedge from the budget and reports whether the budget allowed it.
func (b *Budget) Withdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.last, b.tokens = now, budgetPerSecond
	}
	if elapsed := now.Sub(b.last); elapsed > 0 {
		// The constant rate fills the bucket to at most one second's worth; only requests fill it further.
		if b.tokens < budgetPerSecond {
			b.tokens = min(b.tokens+elapsed.Seconds()*budgetPerSecond, budgetPerSecond)
		}
		b.last = now
	}
}

// RetryVerdict is the result of DecideRetry.
type RetryVerdict int

// Verdicts. All but Retry end the request.
const (
	Retry RetryVerdict = iota
	StopRan
	StopNotIdempotent
	StopAttempts
	StopDeadline
	StopBudget
)

// String returns the verdict for logs.
func (v RetryVerdict) String() string {
	return [...]string{"retry", "ran", "not idempotent", "tries used up", "deadline", "retry budget"}[v]
}

// DecideRetry returns whether a failed attempt may be retried: only if a retry is safe (the request is idempotent, or
// provably didn't run) and attempts, time and budget allow it. A Retry is withdrawn from the budget.
func DecideRetry(o Outcome, idempotent bool, attempts int, b *Budget, deadline, now time.Time) RetryVerdict {
	switch {
	case o == Ran:
		return StopRan
	case o == Unknown && !idempotent:
		return StopNotIdempotent
	case attempts >= MaxAttempts:
		return StopAttempts
	case deadline.Sub(now) < minRetryTime:
		return StopDeadline
	case !b.Withdraw(now):
		return StopBudget
	}
	return Retry
}

// AttemptTimeout divides the remaining time among the remaining attempts. A non-idempotent request gets all of it,
// since an attempt that timed out can't be retried.
func AttemptTimeout(remaining time.Duration, idempotent bool, attempts int) time.Duration {
	if left := MaxAttempts - attempts; idempotent && left > 1 {
		return remaining / time.Duration(left)
	}
	return remaining
}

// Range and precision of recorded latencies, and parameters of the hedge delay.
const (
	latencyMaxMicros         = 60_000_000
	latencyDigits            = 2
	latencyWindow            = 10 * time.Second
	latencyRecomputeInterval = time.Second
	hedgeMinSamples          = 50
	hedgeQuantile            = 95.0
	hedgeMinDelay            = time.Millisecond
)

// Latency estimates the 95th percentile (p95) of a service's latency over the current window, or over the
// previous one until the current one has enough samples.
type Latency struct {
	current, previous *hdrhistogram.Histogram
	start, computed   time.Time
	p95               time.Duration
}

// NewLatency returns an empty estimator.
func NewLatency() *Latency {
	return &Latency{
		current:  hdrhistogram.New(1, latencyMaxMicros, latencyDigits),
		previous: hdrhistogram.New(1, latencyMaxMicros, latencyDigits),
	}
}

// Record records the latency of a response.
func (l *Latency) Record(d time.Duration, now time.Time) {
	if now.Sub(l.start) >= latencyWindow {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		l.start = now
	}
	// The value is clamped to the histogram's range, so RecordValue can't fail.
	_ = l.current.RecordValue(min(max(d.Microseconds(), 1), latencyMaxMicros))
}

// HedgeDelay returns how long to wait before a second attempt is sent in parallel with the first. It returns false if
// there are too few samples.
func (l *Latency) HedgeDelay(now time.Time) (time.Duration, bool) {
	h := l.current
	if h.TotalCount() < hedgeMinSamples {
		h = l.previous
	}
	if h.TotalCount() < hedgeMinSamples {
		return 0, false
	}
	if now.Sub(l.computed) >= latencyRecomputeInterval {
		l.p95 = time.Duration(h.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
		l.computed = now
	}
	return max(l.p95, hedgeMinDelay), true
}

package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what is known about a try that failed.
type Outcome int

// Outcomes. Unknown is the zero value, so that a forgotten assignment never permits a retry.
const (
	Unknown Outcome = iota
	NotRun          // nothing was sent, or the instance said so
	Ran             // an answer came
)

// String returns the outcome as callers' errors have it.
func (o Outcome) String() string { return [...]string{"unknown", "not_run", "ran"}[o] }

// Limits of retries.
const (
	MaxTries        = 3
	minRetryTime    = 5 * time.Millisecond // less time than this can't answer a request
	budgetRatio     = 0.1
	budgetPerSecond = 3.0
	budgetBurst     = 20.0
)

// Budget bounds the retries and hedges of a service to a part of its requests and a small rate besides.
type Budget struct {
	tokens float64
	last   time.Time
}

// Deposit notes a first try.
func (b *Budget) Deposit(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+budgetRatio, budgetBurst)
}

// Withdraw takes one retry or hedge from the budget, if it has one.
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
		// The rate alone fills the bucket to one second's worth; only requests save up more.
		if b.tokens < budgetPerSecond {
			b.tokens = min(b.tokens+elapsed.Seconds()*budgetPerSecond, budgetPerSecond)
		}
		b.last = now
	}
}

// Verdict is the answer of Decide.
type Verdict int

// Verdicts; all but Retry end the request.
const (
	Retry Verdict = iota
	StopRan
	StopNotIdempotent
	StopTries
	StopDeadline
	StopBudget
)

// String returns the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"retry", "ran", "not idempotent", "tries used up", "deadline", "retry budget"}[v]
}

// Decide says whether a failed try may be repeated: only when repeating does no harm (idempotent, or provably not run)
// and when tries, time and budget allow it. A Retry is taken from the budget.
func Decide(o Outcome, idempotent bool, tries int, b *Budget, deadline, now time.Time) Verdict {
	switch {
	case o == Ran:
		return StopRan
	case o == Unknown && !idempotent:
		return StopNotIdempotent
	case tries >= MaxTries:
		return StopTries
	case deadline.Sub(now) < minRetryTime:
		return StopDeadline
	case !b.Withdraw(now):
		return StopBudget
	}
	return Retry
}

// TryTimeout divides the time that remains among the tries that remain. A non-idempotent request gets all of it, since
// a try that timed out can't be repeated.
func TryTimeout(remaining time.Duration, idempotent bool, tries int) time.Duration {
	if left := MaxTries - tries; idempotent && left > 1 {
		return remaining / time.Duration(left)
	}
	return remaining
}

// Range and precision of observed latencies.
const (
	latencyMaxMicros  = 60_000_000
	latencyDigits     = 2
	latencyWindow     = 10 * time.Second
	latencyRecompute  = time.Second
	hedgeMinSamples   = 50
	hedgeQuantile     = 95.0
	hedgeMinimumDelay = time.Millisecond
)

// Latency estimates the p95 of a service's latency over the last one to two windows.
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

// Record notes the latency of an answer.
func (l *Latency) Record(d time.Duration, now time.Time) {
	if now.Sub(l.start) >= latencyWindow {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		l.start = now
	}
	// The value is inside the histogram's range, so that no error can arise.
	_ = l.current.RecordValue(min(max(d.Microseconds(), 1), latencyMaxMicros))
}

// HedgeDelay returns how long to wait before a second try is sent beside the first; false when too little is known.
func (l *Latency) HedgeDelay(now time.Time) (time.Duration, bool) {
	h := l.current
	if h.TotalCount() < hedgeMinSamples {
		h = l.previous
	}
	if h.TotalCount() < hedgeMinSamples {
		return 0, false
	}
	if now.Sub(l.computed) >= latencyRecompute {
		l.p95 = time.Duration(h.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
		l.computed = now
	}
	return max(l.p95, hedgeMinimumDelay), true
}

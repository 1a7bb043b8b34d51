package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against retrying a request that may have run and isn't idempotent, and against unbounded retries.
func TestDecideRetry(t *testing.T) {
	far := epoch.Add(time.Second)
	cases := []struct {
		name       string
		outcome    Outcome
		idempotent bool
		attempts   int
		deadline   time.Time
		tokens     float64
		want       RetryVerdict
	}{
		{"not run, non-idempotent", NotRun, false, 1, far, 3, Retry},
		{"not run, idempotent", NotRun, true, 1, far, 3, Retry},
		{"unknown, idempotent", Unknown, true, 1, far, 3, Retry},
		{"unknown, non-idempotent", Unknown, false, 1, far, 3, StopNotIdempotent},
		{"ran, idempotent", Ran, true, 1, far, 3, StopRan},
		{"ran, non-idempotent", Ran, false, 1, far, 3, StopRan},
		{"last try", NotRun, true, MaxAttempts, far, 3, StopAttempts},
		{"no time", NotRun, true, 1, epoch.Add(time.Millisecond), 3, StopDeadline},
		{"no budget", NotRun, true, 1, far, 0.5, StopBudget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := &Budget{tokens: c.tokens, last: epoch}
			assert.Equal(t, DecideRetry(c.outcome, c.idempotent, c.attempts, b, c.deadline, epoch), c.want)
			assert.Equal(t, b.tokens < c.tokens, c.want == Retry)
		})
	}
}

// Guards against retry storms: retries are limited to a tenth of the requests plus a small constant rate.
func TestBudget(t *testing.T) {
	var b Budget
	retries, now := 0, epoch
	for range 10_000 { // 1,000 requests per second for 10 s, all of which want a retry
		b.Deposit(now)
		if b.Withdraw(now) {
			retries++
		}
		now = now.Add(time.Millisecond)
	}
	assert.Assert(t, retries >= 1000 && retries <= 1035, "%d retries", retries)
	now = now.Add(time.Hour)
	burst := 0
	for b.Withdraw(now) {
		burst++
	}
	assert.Assert(t, burst <= int(budgetPerSecond)+1, "an idle service saved up %d retries", burst)
}

// Guards against an attempt that leaves no time for the next one, and against shortening the timeout of a request that
// can't be retried.
func TestAttemptTimeout(t *testing.T) {
	assert.Equal(t, AttemptTimeout(900*time.Millisecond, true, 0), 300*time.Millisecond)
	assert.Equal(t, AttemptTimeout(600*time.Millisecond, true, 1), 300*time.Millisecond)
	assert.Equal(t, AttemptTimeout(300*time.Millisecond, true, 2), 300*time.Millisecond)
	assert.Equal(t, AttemptTimeout(900*time.Millisecond, false, 0), 900*time.Millisecond)
}

// Guards against hedging on too few samples, a wrong p95, and a p95 that still counts old latencies.
func TestHedgeDelay(t *testing.T) {
	l := NewLatency()
	now := epoch
	for i := range 100 {
		if i < hedgeMinSamples {
			_, ok := l.HedgeDelay(now)
			assert.Assert(t, !ok)
		}
		l.Record(time.Duration(i+1)*10*time.Millisecond, now)
	}
	now = now.Add(latencyRecomputeInterval)
	d, ok := l.HedgeDelay(now)
	assert.Assert(t, ok)
	assert.Assert(t, d >= 940*time.Millisecond && d <= 960*time.Millisecond, "p95 is %v", d)
	for range 2 {
		now = now.Add(latencyWindow)
		for range 100 {
			l.Record(20*time.Millisecond, now)
		}
	}
	d, _ = l.HedgeDelay(now.Add(latencyRecomputeInterval))
	assert.Assert(t, d < 21*time.Millisecond, "p95 is %v", d)
	assert.Equal(t, testing.AllocsPerRun(100, func() { l.Record(time.Millisecond, now) }), 0.0)
}

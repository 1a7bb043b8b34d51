package control

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/port"
)

// Start orders and renewals may be sent twice: a worker that has the run already answers a second start like the first. If
// an answer takes much longer than usual, the call is therefore made again before the first one has timed out.

const (
	// minHedgeDelay is the shortest delay before an order is sent a second time.
	minHedgeDelay = 60 * time.Millisecond
	// hedgeFactor is how many times the usual duration an order may take before it is sent a second time. While all
	// answers are slow, nothing is sent twice, so that hedges don't add to an overload.
	hedgeFactor = 4
	// latencyWeight is the weight of the latest duration in the usual one.
	latencyWeight = 0.05
)

// retryBudget bounds the calls that are made only because others have no answer: second calls, and renewals with a short
// wait. A large cell may have thousands of calls without an answer at once, after the loss of a node, and must not answer
// that with many times as many. It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

const (
	// retriesPerSecond is the rate of such calls, and maxRetryBurst how many may be made at once.
	retriesPerSecond = 100
	maxRetryBurst    = 100
	// maxLoopGap is the time between two rounds of the scheduler from which this node counts as busy for busyPeriod. Its
	// answers are late then because of itself, and second calls would only add to its work.
	maxLoopGap = 60 * time.Millisecond
	busyPeriod = time.Second
)

// allow takes a call from the budget and reports whether there was one left.
func (b *retryBudget) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last.IsZero() {
		b.tokens = maxRetryBurst
	} else {
		b.tokens = min(maxRetryBurst, b.tokens+retriesPerSecond*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// orderLatency tracks how long the answers to orders usually take. It is safe for concurrent use.
type orderLatency struct {
	mu    sync.Mutex
	usual time.Duration
}

// observe records the duration of an answered order.
func (l *orderLatency) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.usual == 0 {
		l.usual = d
		return
	}
	l.usual += time.Duration(latencyWeight * float64(d-l.usual))
}

// hedgeDelay returns after how long without an answer an order is sent a second time.
func (l *orderLatency) hedgeDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(minHedgeDelay, hedgeFactor*l.usual)
}

// hedge calls attempt, and calls it a second time if it hasn't returned after delay and allow permits it; second tells the
// calls apart. spawn runs a function in the background. hedge returns the first success. Without one it waits for both calls, and the outcome
// is unknown if that of either is, because a refusal of one doesn't show that the other has no effect.
func hedge[T any](spawn func(func()), delay time.Duration, allow func() bool, attempt func(second bool) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 2)
	start := func(second bool) {
		spawn(func() {
			r := result{err: port.ErrUnknownOutcome} // also after a panic
			defer func() { results <- r }()
			r.value, r.err = attempt(second)
		})
	}
	start(false)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.value, r.err
	case <-timer.C:
	}
	if !allow() {
		r := <-results
		return r.value, r.err
	}
	start(true)
	first := <-results
	if first.err == nil || decidesBoth(first.err) {
		return first.value, first.err
	}
	last := <-results
	if last.err == nil || decidesBoth(last.err) || errors.Is(last.err, port.ErrUnknownOutcome) {
		return last.value, last.err
	}
	return first.value, first.err
}

// decidesBoth reports whether an error of one attempt holds for the other one too.
func decidesBoth(err error) bool {
	return errors.Is(err, port.ErrFenced) || errors.Is(err, port.ErrInstanceChanged) || errors.Is(err, port.ErrStaleRun)
}

// attempts tracks the attempts of a call that may be made twice, beyond the end of hedge. It is safe for concurrent use.
type attempts struct {
	inFlight atomic.Int32
	decided  atomic.Bool
}

// run makes an attempt. The attempt has to check superfluous before it sends anything.
func (a *attempts) run(attempt func() error) error {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	return attempt()
}

// superfluous reports whether the outcome of the call has been decided by the other attempt.
func (a *attempts) superfluous() bool { return a.decided.Load() }

// decide ends the call and reports whether an attempt is still in flight. No further one is sent.
func (a *attempts) decide() bool {
	a.decided.Store(true)
	return a.inFlight.Load() > 0
}

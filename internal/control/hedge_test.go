package control

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/port"
)

func spawnGo(fn func()) { go fn() }

func always() bool { return true }

// Guards against a task that waits for the timeout of its start order whenever the answer is lost.
func TestUnansweredStartIsSentAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		began := time.Now()
		value, err := hedge(spawnGo, 60*time.Millisecond, always, func(bool) (int, error) {
			if calls.Add(1) == 1 {
				time.Sleep(350 * time.Millisecond)
				return 0, port.ErrUnknownOutcome
			}
			time.Sleep(10 * time.Millisecond)
			return 7, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, value, 7)
		assert.Equal(t, time.Since(began), 70*time.Millisecond)
		time.Sleep(time.Second) // for the first attempt
	})
}

// Guards against a refusal of one attempt that hides that the other one may still start the run.
func TestRefusalOfOneAttemptDoesNotDecideTheOther(t *testing.T) {
	for _, test := range []struct{ first, second, expected error }{
		{port.ErrUnknownOutcome, port.ErrRefused, port.ErrUnknownOutcome},
		{port.ErrRefused, port.ErrUnknownOutcome, port.ErrUnknownOutcome},
		{port.ErrUnavailable, port.ErrRefused, port.ErrRefused},
		{port.ErrUnknownOutcome, port.ErrFenced, port.ErrFenced},
		{port.ErrUnknownOutcome, port.ErrStaleRun, port.ErrStaleRun},
	} {
		synctest.Test(t, func(t *testing.T) {
			var calls atomic.Int64
			_, err := hedge(spawnGo, 60*time.Millisecond, always, func(bool) (int, error) {
				if calls.Add(1) == 1 {
					time.Sleep(350 * time.Millisecond)
					return 0, test.first
				}
				time.Sleep(10 * time.Millisecond)
				return 0, test.second
			})
			assert.Assert(t, errors.Is(err, test.expected), "%v, then %v: %v", test.first, test.second, err)
			time.Sleep(time.Second) // for the first attempt
		})
	}
}

// Guards against hedges that double the orders while a link or the workers are slow.
func TestNothingIsSentTwiceWhileAllAnswersAreSlow(t *testing.T) {
	var l orderLatency
	assert.Equal(t, l.hedgeDelay(), minHedgeDelay)
	l.observe(10 * time.Millisecond)
	assert.Equal(t, l.hedgeDelay(), minHedgeDelay)
	for range 200 {
		l.observe(200 * time.Millisecond)
	}
	assert.Assert(t, l.hedgeDelay() > 500*time.Millisecond)
}

// Guards against thousands of second calls and short renewals after the loss of a node in a large cell, which would keep
// the scheduling node busy with nothing else.
func TestRetriesAreBounded(t *testing.T) {
	var b retryBudget
	now := time.Unix(1_800_000_000, 0)
	allowed := 0
	for range 5 * retriesPerSecond { // five seconds with twenty times as many calls as the budget allows
		for range 20 {
			if b.allow(now) {
				allowed++
			}
		}
		now = now.Add(time.Second / retriesPerSecond)
	}
	assert.Assert(t, allowed <= 5*retriesPerSecond+maxRetryBurst, "%d", allowed)
	assert.Assert(t, allowed >= 5*retriesPerSecond, "%d", allowed)
}

// Guards against a call without an answer that waits for a second one which the budget doesn't allow.
func TestCallWithoutBudgetIsMadeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		_, err := hedge(spawnGo, 60*time.Millisecond, func() bool { return false }, func(bool) (int, error) {
			calls++
			time.Sleep(350 * time.Millisecond)
			return 0, port.ErrUnknownOutcome
		})
		assert.ErrorIs(t, err, port.ErrUnknownOutcome)
		assert.Equal(t, calls, 1)
	})
}

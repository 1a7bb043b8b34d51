package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

// restartingWorker is a worker that crashes and starts again under its ID. It takes every lease that it is granted, up to
// longestLease.
type restartingWorker struct {
	port.LeasedWorkers

	mu      sync.Mutex
	born    time.Time
	crashed chan struct{} // closed when this instance crashes
	down    error         // what calls fail with after that
	longest time.Duration // the longest lease that this instance has taken
}

const longestLease = 10 * time.Second

// start starts an instance of the given age.
func (w *restartingWorker) start(age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.crashed, w.down, w.longest = time.Now().Add(-age), make(chan struct{}), nil, 0
}

func (w *restartingWorker) crash(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = err
	close(w.crashed)
}

func (w *restartingWorker) take(leaseEndMS int64) (clockMS int64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down != nil {
		return 0, w.down
	}
	clock := time.Since(w.born)
	w.longest = max(w.longest, min(time.Duration(leaseEndMS)*time.Millisecond-clock, longestLease))
	return clock.Milliseconds(), nil
}

func (w *restartingWorker) longestTaken() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest
}

// Renew implements port.LeasedWorkers. It answers after the wait unless the worker crashes in the meantime.
func (w *restartingWorker) Renew(_ context.Context, ref port.WorkerRef, r port.Renewal) (port.RenewalReply, error) {
	if _, err := w.take(r.LeaseEndMS); err != nil {
		return port.RenewalReply{}, err
	}
	w.mu.Lock()
	born, crashed := w.born, w.crashed
	w.mu.Unlock()
	select {
	case <-time.After(r.Wait):
	case <-crashed:
		return port.RenewalReply{}, port.ErrUnknownOutcome
	}
	return port.RenewalReply{ClockMS: time.Since(born).Milliseconds(), Inventory: cell.Inventory{Worker: ref.ID, StartMS: born.UnixMilli()}}, nil
}

// Start implements port.LeasedWorkers.
func (w *restartingWorker) Start(_ context.Context, _ port.WorkerRef, s port.Start) (int64, error) {
	return w.take(s.LeaseEndMS)
}

// Guards against a task that runs twice: a worker restarted under its ID and took a lease on the clock of its earlier instance,
// so that its runs went on for seconds after the lease was taken for expired.
func TestRestartedWorkerTakesNoLeaseOnItsEarlierClock(t *testing.T) {
	for _, down := range []error{port.ErrConnectionRefused, port.ErrUnknownOutcome, port.ErrUnavailable} {
		t.Run(down.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &restartingWorker{}
				l := newTestLink(t, time.Now())
				l.s.carriers = newCarriers(w, spreading{})
				w.start(20 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					for {
						select {
						case event := <-l.s.events:
							event()
						case <-ctx.Done():
							return
						}
					}
				}()
				go l.run(ctx)
				time.Sleep(3 * time.Second)
				w.crash(down)
				time.Sleep(time.Second)
				w.start(0)
				time.Sleep(3 * time.Second)
				assert.Assert(t, w.longestTaken() > workerLease-time.Second, "the lease is renewed again")
				assert.Assert(t, w.longestTaken() <= workerLease, "lease of %v", w.longestTaken())
				cancel()
				time.Sleep(idleRenewalWait) // the last calls end
			})
		})
	}
}

// Guards against a lease that is taken for expired too early: it was granted on the clock of one instance and taken by the
// next one, which shows only in the answer.
func TestLeaseTakenByAnotherInstanceCountsAsTheLongest(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		startMS, clockMS int64
		longest          bool
	}{
		"renewal, same instance":    {startMS: 1, clockMS: 30_980},
		"renewal, another instance": {startMS: 2, clockMS: 100, longest: true},
		"start, same instance":      {clockMS: 30_980},
		"start, another instance":   {clockMS: 100, longest: true},
		"start without a clock":     {},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLink(t, now).lease
			l.answered(1, 30_000, now)
			call, later := l.begin(now.Add(time.Second)), now.Add(1010*time.Millisecond)
			l.finish(call, c.startMS, c.clockMS, nil, later)
			assert.Equal(t, l.expiresAt.After(later.Add(longestLease)), c.longest)
			assert.Equal(t, l.clock.known(), !c.longest, "no lease on the clock of the earlier instance")
		})
	}
}

// Guards against the same where the answers don't say when the worker started: its clock has gone back.
func TestClockThatHasGoneBackIsThatOfAnotherInstance(t *testing.T) {
	now := time.Now()
	l := newTestLink(t, now).lease
	l.answered(0, 30_000, now)
	l.finish(l.begin(now), 0, 0, port.ErrUnknownOutcome, now)
	l.answered(0, 30_500, now.Add(500*time.Millisecond))
	assert.Assert(t, l.expiresAt.Before(now.Add(longestLease)))

	l.finish(l.begin(now), 0, 0, port.ErrUnknownOutcome, now)
	l.answered(0, 100, now.Add(time.Second))
	assert.Assert(t, l.expiresAt.After(now.Add(longestLease)))
	assert.Equal(t, l.begin(now.Add(time.Second)).endMS, 100+workerLease.Milliseconds())
}

// Guards against the same where the restart shows in the registry first, while a call has no answer.
func TestRestartInRegistryEndsLeasesOnTheEarlierClock(t *testing.T) {
	now := time.Now()
	l := newTestLink(t, now)
	l.lease.answered(1, 30_000, now)
	l.applyRegistered(1, false)
	assert.Assert(t, l.lease.clock.known())
	r, call := l.nextRenewal(time.Second, false)
	assert.Assert(t, r.LeaseEndMS != 0)

	l.applyRegistered(2, false)
	r, other := l.nextRenewal(time.Second, false)
	assert.Equal(t, r.LeaseEndMS, int64(0))
	assert.Assert(t, l.lease.expiresAt.After(now.Add(longestLease)))

	later := now.Add(time.Second)
	l.lease.finish(call, 0, 0, port.ErrUnknownOutcome, later)
	assert.Assert(t, l.lease.expiresAt.After(later.Add(longestLease)), "the new instance may have taken the lease of the call in flight")
	l.lease.finish(other, 2, 5, nil, later)
}

// Guards against a takeover shortly after a worker's restart: the earlier holder may have granted the longest lease before
// it knew of the restart.
func TestTakeoverAssumesTheLongestLeaseOfYoungWorkers(t *testing.T) {
	now := time.Now()
	unlisted := newLeaseTracker(newTestNode("a", 1).options, 0, now)
	assert.Assert(t, unlisted.expiresAt.Before(now.Add(maxStoreSilence+longestLease)), "the tasks of lost workers don't wait longer")
	for _, c := range []struct {
		age     time.Duration
		longest bool
	}{{time.Second, true}, {longestLease, true}, {time.Minute, false}} {
		startMS := now.Add(-c.age).UnixMilli()
		l := newLeaseTracker(newTestNode("a", 1).options, startMS, now)
		assert.Equal(t, l.expiresAt.After(now.Add(maxStoreSilence+longestLease)), c.longest, "worker that isn't reached, %v old", c.age)
		l.answered(startMS, c.age.Milliseconds(), now)
		assert.Equal(t, l.expiresAt.After(now.Add(longestLease)), c.longest, "worker that answers, %v old", c.age)
		assert.Assert(t, l.expiresAt.After(now.Add(workerLease)))
	}
}

// Guards against the same where the worker's time of day is behind, so that its instance seems to be older than it is.
func TestTakeoverAssumesTheLongestLeaseOfAYoungClock(t *testing.T) {
	now := time.Now()
	l := newLeaseTracker(newTestNode("a", 1).options, 0, now)
	l.answered(now.Add(-time.Minute).UnixMilli(), 1000, now)
	assert.Assert(t, l.expiresAt.After(now.Add(longestLease)))
}

func never() bool { return false }

// Guards against starts that are turned down because a call to the worker had no answer: the clock is read first.
func TestStartReadsUnknownClockFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &restartingWorker{}
		l := newTestLink(t, time.Now())
		l.s.carriers = newCarriers(w, spreading{})
		w.start(20 * time.Second)
		assert.NilError(t, l.start(cell.Order{Kind: cell.OrderStart}, false, never))
		assert.Equal(t, w.longestTaken(), workerLease)

		l.finishLeaseCall(l.lease.begin(time.Now()), 0, 0, port.ErrUnknownOutcome)
		w.start(0)
		assert.NilError(t, l.start(cell.Order{Kind: cell.OrderStart}, false, never))
		assert.Equal(t, w.longestTaken(), workerLease)

		l.finishLeaseCall(l.lease.begin(time.Now()), 0, 0, port.ErrUnknownOutcome)
		w.crash(port.ErrConnectionRefused)
		assert.ErrorIs(t, l.start(cell.Order{Kind: cell.OrderStart}, false, never), port.ErrUnavailable, "nothing was sent")
	})
}

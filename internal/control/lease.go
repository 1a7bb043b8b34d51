package control

import (
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/port"
)

// leaseTracker tracks until when the runs of a worker may last. It has no I/O.
//
// The end of a lease is a time on the worker's clock, which restarts with each instance of the worker. An end on the clock
// of an earlier instance lies far ahead on the new clock, and the worker then takes the longest lease that it allows.
// Therefore no lease is granted until the current instance has reported its clock. If another instance may have taken a
// lease nevertheless, the longest lease is assumed.
type leaseTracker struct {
	duration time.Duration // of the leases that are granted while the worker doesn't drain
	draining bool          // the worker has announced its end
	longest  time.Duration // the longest lease that a worker keeps
	// startMS is the start of the instance that answered last, or of a later one that the registry lists.
	startMS int64
	// startKnownAt is when the last answer or registry entry has shown startMS, zero before the first one.
	startKnownAt time.Time
	// clock is the clock of the instance that answered last. It is unknown from a call without an answer until the next
	// answer, because the worker may have restarted.
	clock clockSample
	// expiresAt is when all runs on the worker have ended for certain unless the lease is renewed. Calls in flight may
	// renew it.
	expiresAt time.Time
	expired   bool // the scheduler knows that the lease until expiresAt has expired
	calls     int  // number of calls in flight that grant a lease
	starts    int  // number of start orders whose outcome the scheduler doesn't know yet; each may renew the lease
	reached   bool // the worker has answered this holder
}

// newLeaseTracker returns the lease of a worker at the beginning of a term: an earlier holder may have renewed it. startMS
// is 0 for a worker that has left the registry.
func newLeaseTracker(o Options, startMS int64, termWon time.Time) leaseTracker {
	l := leaseTracker{duration: o.workerLeaseDuration(), longest: o.MaxLease, startMS: startMS}
	earlier := l.duration
	if startMS != 0 {
		earlier = l.earlierLease(instanceAge(startMS, 0, termWon))
	}
	l.expiresAt = termWon.Add(orphanTimeout(earlier))
	return l
}

// orphanTimeout returns how long after the start of a term the runs of an unreachable worker have ended for certain, if
// the holder of the earlier term granted leases of the given duration until maxStoreSilence after its last confirmation.
// The result is the sum of maxStoreSilence, the extended lease, and one second.
func orphanTimeout(lease time.Duration) time.Duration {
	return maxStoreSilence + extended(lease) + time.Second
}

// clockSample is a reading of a worker's monotonic clock and the local time at which it was received, which is zero if the
// clock isn't known any more.
type clockSample struct {
	ms int64
	at time.Time
}

func (c clockSample) known() bool { return !c.at.IsZero() }

// forgetClock marks the clock as unknown. It keeps the reading, because readings of one instance never go back.
func (l *leaseTracker) forgetClock() { l.clock.at = time.Time{} }

// leaseCall is a call that may renew a lease. The zero value grants none.
type leaseCall struct {
	endMS   int64     // the end of the lease on the worker's clock, 0 if the call grants none
	expiry  time.Time // when that lease has expired for certain
	startMS int64     // the instance on whose clock endMS is
	clockMS int64     // the least that this clock shows when the call arrives
}

// grants reports whether the call grants a lease. One that grants none can't renew it.
func (c leaseCall) grants() bool { return c.endMS != 0 }

// clockTolerance is by how much a worker's clock may be behind the expected one without being that of another instance.
const clockTolerance = 50 * time.Millisecond

// extended returns a duration on a worker's clock as the longest that it may take on the local clock. It allows for twice
// maxClockDrift and one more millisecond.
func extended(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+2*maxClockDrift)) + time.Millisecond
}

// begin starts a call. It grants a lease only if the worker's clock is known.
func (l *leaseTracker) begin(now time.Time) leaseCall {
	if !l.clock.known() {
		return leaseCall{}
	}
	l.calls++
	since := now.Sub(l.clock.at)
	granted := l.duration
	if l.draining {
		granted = min(granted, drainingWorkerLease)
	}
	return leaseCall{
		endMS:   l.clock.ms + (since + granted).Milliseconds(),
		expiry:  l.clock.at.Add(extended(since + granted)),
		startMS: l.startMS,
		clockMS: l.clock.ms + time.Duration(float64(since)*(1-2*maxClockDrift)).Milliseconds() - clockTolerance.Milliseconds(),
	}
}

// cancel ends a call before it is sent.
func (l *leaseTracker) cancel(c leaseCall) {
	if c.grants() {
		l.calls--
	}
}

// finish ends a call. startMS and clockMS are what the answer says of the worker, 0 if it doesn't. A call that wasn't sent
// hasn't renewed the lease.
func (l *leaseTracker) finish(c leaseCall, startMS, clockMS int64, err error, now time.Time) {
	l.cancel(c)
	sent := !errors.Is(err, port.ErrUnavailable) && !errors.Is(err, port.ErrConnectionRefused)
	if !sent || errors.Is(err, port.ErrUnknownOutcome) {
		l.forgetClock()
	}
	if !sent || !c.grants() {
		return
	}
	l.extend(c.expiry)
	otherInstance := startMS != 0 && startMS != c.startMS || clockMS != 0 && clockMS < c.clockMS
	if otherInstance {
		l.forgetClock()
	}
	if otherInstance || l.startMS != c.startMS {
		l.extendToLongest(now)
	}
}

// answered applies an answer with the worker's start and clock.
func (l *leaseTracker) answered(startMS, clockMS int64, now time.Time) {
	switch {
	case !l.reached:
		// From now on the worker refuses renewals of an earlier holder.
		l.expiresAt = now.Add(extended(l.earlierLease(instanceAge(startMS, clockMS, now))))
	case startMS != l.startMS || clockMS < l.clock.ms:
		l.extendToLongest(now)
	}
	l.startMS, l.startKnownAt, l.clock, l.expired, l.reached = startMS, now, clockSample{clockMS, now}, false, true
}

// outdated reports whether an answer may come from an earlier instance than the current one: its call was sent before the last
// evidence of the current one. The starts alone don't tell, because a worker's time of day may step back between two.
func (l *leaseTracker) outdated(startMS int64, sentAt time.Time) bool {
	return startMS != l.startMS && sentAt.Before(l.startKnownAt)
}

// restarted applies the start of an instance that the registry lists.
func (l *leaseTracker) restarted(startMS int64, now time.Time) {
	if l.startMS == 0 || startMS <= l.startMS {
		return
	}
	l.startMS, l.startKnownAt = startMS, now
	l.forgetClock()
	l.extendToLongest(now)
}

// earlierLease returns the longest lease that an earlier holder may have granted to an instance of the given age. That
// holder may not have noticed a recent restart.
func (l *leaseTracker) earlierLease(age time.Duration) time.Duration {
	if age < 2*l.longest {
		return l.longest
	}
	return l.duration
}

// instanceAge returns how long ago an instance started at the latest. startMS is on the worker's time of day, which may differ
// from that of this node; clockMS is its monotonic clock. Either is 0 if it isn't known.
func instanceAge(startMS, clockMS int64, now time.Time) time.Duration {
	byClock := time.Duration(clockMS) * time.Millisecond
	if startMS == 0 {
		return byClock
	}
	byTimeOfDay := now.Sub(time.UnixMilli(startMS))
	if clockMS == 0 {
		return byTimeOfDay
	}
	return min(byClock, byTimeOfDay)
}

// extend moves the time at which the lease has expired for certain to a later one.
func (l *leaseTracker) extend(expiry time.Time) {
	if expiry.After(l.expiresAt) {
		l.expiresAt, l.expired = expiry, false
	}
}

// lateCallMargin is how much later than its end a call may be executed, because a carrier or the worker was paused.
const lateCallMargin = 2 * time.Second

// extendToLongest assumes that calls which were sent before a restart was noticed have granted the longest lease.
func (l *leaseTracker) extendToLongest(now time.Time) {
	l.extend(now.Add(lateCallMargin + extended(l.longest)))
}

// expire reports, once for each lease, that all runs on the worker have ended because its lease has expired.
func (l *leaseTracker) expire(now time.Time) bool {
	if l.expired || l.calls > 0 || l.starts > 0 || !now.After(l.expiresAt) {
		return false
	}
	l.expired = true
	return true
}

// stillExpired reports whether nothing has renewed the lease since expire reported its end, and nothing may do so.
// Otherwise a later call of expire reports the end.
func (l *leaseTracker) stillExpired(now time.Time) bool {
	l.expired = false
	return l.expire(now)
}

package workerproc

import "time"

type runKey struct {
	task   string
	number int
}

// run is a run of a task on a worker.
type run struct {
	key         runKey
	step        Step
	failing     bool
	started     time.Duration
	workingFrom time.Duration // when its work begins or began; never: it waits for the other members of its gang
	resumedWork time.Duration // work that its checkpoint had saved
	savedWork   time.Duration // work at its last checkpoint
	checkpoint  string
	bounds      Bounds
	stopEnd     time.Duration // when it ends because of a stop; 0: it wasn't stopped
}

// crashDelay is the time from the start of a task that crashes its worker to the crash.
const crashDelay = 10 * time.Millisecond

// failedServiceWork is the work after which a run of a service fails, in multiples of its startup.
const failedServiceWork = 3

// work returns the work that the run has done, with what its checkpoint had saved.
func (r *run) work(now, stalled time.Duration) time.Duration {
	if stalled > 0 {
		now = min(now, stalled)
	}
	return r.resumedWork + max(0, now-r.workingFrom)
}

// percent returns the share of the work that is done.
func (r *run) percent(now, stalled time.Duration) int64 {
	if r.step.Duration <= 0 {
		return 100
	}
	return min(100, int64(100*r.work(now, stalled)/r.step.Duration))
}

// nextTransition returns what happens next to the run without an order.
func (r *run) nextTransition(stalled bool) transition {
	switch {
	case r.stopEnd > 0:
		return transition{at: r.stopEnd, run: r, how: Stopped}
	case r.step.CrashesWorker:
		return transition{at: r.started + crashDelay, run: r, kind: transitionCrash}
	case r.workingFrom == never:
		return transition{at: r.started + r.bounds.GangWait, run: r, how: Alone}
	case stalled:
		return transition{at: never}
	}
	next := transition{at: never, run: r}
	switch {
	case r.failing && r.step.Service:
		next.at, next.how = r.whenDone(failedServiceWork*r.step.Duration), Failed
	case r.failing:
		next.at, next.how = r.whenDone(r.step.Duration/2), Failed
	case !r.step.Service:
		next.at, next.how = r.whenDone(r.step.Duration), Done
	}
	if r.step.Checkpointing {
		if at := r.whenDone(r.savedWork + r.bounds.CheckpointEvery); at < next.at {
			next = transition{at: at, run: r, kind: transitionSave}
		}
	}
	return next
}

// whenDone returns when an amount of work is done if nothing interrupts the run.
func (r *run) whenDone(work time.Duration) time.Duration {
	return r.workingFrom + max(0, work-r.resumedWork)
}

package cell

import "time"

// Long-running steps are services: their tasks run until the job is canceled. A task that ends is started again, without a
// limit of attempts, and before any other work, because its users are without it until then.

const (
	// minRestartPause and maxRestartPause bound the pause before a service task that fails soon after its start is started
	// again. The pause doubles with each such failure; the first one has none.
	minRestartPause = 100 * time.Millisecond
	maxRestartPause = 800 * time.Millisecond
	// maxPauseDoublings is after how many doublings the pause is at its maximum.
	maxPauseDoublings = 3
	// stableRun is how long a service task must run for its next failure to count as the first one again.
	stableRun = 5 * time.Second
	// maxAvoidedByService bounds the workers that a service task avoids after failures, because it may fail any number of
	// times.
	maxAvoidedByService = 3
)

// available reports whether a service task is at work.
func (t *task) available() bool { return t.phase == taskRunning && t.percent >= fullProgress }

// restartService makes a service task wait for its next run after a run has ended.
func (s *Scheduler) restartService(t *task, row EndedRow) {
	w, wasAtWork := t.worker, t.percent >= fullProgress
	if row.Kind == EndFailed && !wasAtWork {
		s.avoidWorker(t, w)
		t.avoid = t.avoid[max(0, len(t.avoid)-maxAvoidedByService):]
		s.recordFault(w, "a run failed")
	}
	if row.Kind == EndFailed || row.Kind == EndDone {
		s.pauseRestart(t)
	}
	if row.Checkpoint != "" {
		t.checkpoint = row.Checkpoint
	}
	s.requeue(t)
	if t.step.spec.Gang {
		s.abortGang(t.step, string(row.Kind))
	}
}

// pauseRestart sets when the next run of a service task may start, after a run that ended by itself.
func (s *Scheduler) pauseRestart(t *task) {
	if t.startedAt.IsZero() || s.now.Sub(t.startedAt) >= stableRun {
		t.shortRuns = 0
	}
	pause := time.Duration(0)
	if t.shortRuns > 0 {
		pause = min(minRestartPause<<min(t.shortRuns-1, maxPauseDoublings), maxRestartPause)
	}
	t.shortRuns++
	t.restartAt = s.now.Add(pause)
}

// evacuateServices moves services away from draining workers, where they would end together with the worker. A task is
// stopped only once another worker has capacity for it and may run it, and if its step allows another unavailable task.
// A gang stays, because stopping it would end its members on other workers too.
func (s *Scheduler) evacuateServices() {
	for _, w := range s.workers {
		if !w.Draining || w.terminated {
			continue
		}
		for t := range w.tasks {
			if t.step.spec.LongRunning && !t.step.spec.Gang && t.available() && !t.step.job.phase.Final() &&
				t.step.mayStopTask() && s.hasDestination(t) {
				s.events.LogDecision(t.id.String(), "evacuated", "run", t.run, "worker", w.ID, "reason", "the worker drains")
				s.requestStop(t)
			}
		}
	}
}

// mayStopTask reports whether the scheduler may make another task of a service step unavailable.
func (st *step) mayStopTask() bool {
	if st.spec.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for _, t := range st.tasks {
		if !t.available() {
			unavailable++
		}
	}
	return unavailable < st.spec.MaxUnavailable
}

// hasDestination reports whether another worker can take over a service task now. If only a ticket is missing, it
// requests one.
func (s *Scheduler) hasDestination(t *task) bool {
	st, q := t.step, s.queueOf(t.step.job)
	var withoutTicket []WorkerID
	for _, w := range s.pass.usable {
		if !w.usable(s.now) || !s.fits(t, w, q) {
			continue
		}
		if s.hasTicket(st, w, q) {
			return true
		}
		if len(withoutTicket) < minWorkersAsked {
			withoutTicket = append(withoutTicket, w.ID)
		}
	}
	if q.needsAdvice() {
		if len(withoutTicket) == 0 {
			withoutTicket = s.workersToAsk(st, q)
		}
		s.requestAdvice(st, q, withoutTicket)
	}
	return false
}

package cell

import (
	"maps"
	"slices"
	"time"
)

const (
	// stallTimeout is how long a run may go without progress before it counts as stalled.
	stallTimeout = 1600 * time.Millisecond
	// fullProgress is the percentage at which a gang member has finished its work and waits for slower members. Such a run
	// doesn't count as stalled.
	fullProgress = 100
	// faultThreshold is the number of consecutive failed or stalled runs after which a worker gets no new work for a while.
	faultThreshold = 2
	// The pause of a faulty worker doubles from minFaultPause up to maxFaultPause.
	minFaultPause = 2 * time.Second
	maxFaultPause = 16 * time.Second
)

// ApplyInventory applies the inventory that a worker returns with each renewal of its lease. It returns stop orders for
// the listed runs that don't belong to a current task.
func (s *Scheduler) ApplyInventory(inv Inventory, now time.Time) []Order {
	s.now = now
	w := s.workers[inv.Worker]
	if w == nil {
		return nil
	}
	if w.outdated(inv) {
		s.events.LogDecision(string(w.ID), "late inventory ignored", "born_ms", inv.StartMS, "current_ms", w.StartMS)
		return nil
	}
	if w.otherInstance(inv) {
		s.clearListed(w, inv)
		s.workerRestarted(w, inv.StartMS)
	}
	if inv.StartMS != 0 {
		w.StartMS = inv.StartMS
	}
	w.terminated = false
	w.lastInventoryAt, w.refusing = now, false
	if w.unresponsive {
		w.unresponsive, s.changed = false, true
		s.events.LogDecision(string(w.ID), "worker answers again", "runs", len(w.tasks))
	}
	if !w.reached {
		w.reached = true
		s.changed = true
		s.events.LogDecision(string(w.ID), "worker reached", "running", len(inv.Running), "ended", len(inv.Ended), "born_ms", inv.StartMS)
	}
	seen := map[*task]bool{}
	var unexpectedStops []Order
	listed := map[RunID]bool{}
	for _, row := range inv.Running {
		if t := s.applyRunning(w, row); t != nil {
			seen[t] = true
			continue
		}
		listed[row.Run] = true
		if inv.RequestSequence >= w.runGoneAt {
			s.addUnexpected(w, row.Run)
			unexpectedStops = append(unexpectedStops, Order{Kind: OrderStop, Worker: w.ID, Instance: w.StartMS, Run: row.Run})
		}
	}
	for _, row := range inv.Ended {
		s.applyEnd(w, row)
	}
	s.removeAbsentUnexpected(w, inv, listed)
	s.controlPace(w, inv.Running)
	if !inv.Truncated {
		s.releaseAbsentRuns(w, inv.RequestSequence, seen)
	}
	s.advanceAck(w)
	return unexpectedStops
}

// otherInstance reports whether an inventory is that of another instance than the current one.
func (w *worker) otherInstance(inv Inventory) bool {
	return w.StartMS != 0 && inv.StartMS != 0 && inv.StartMS != w.StartMS
}

// outdated reports whether an inventory may describe an earlier instance of the worker, or runs that have been released
// since. The order of requests and answers decides that, because the starts of instances are wall-clock times and may go
// back: a request that was sent after an answer of one instance isn't answered by an earlier one.
func (w *worker) outdated(inv Inventory) bool {
	if w.otherInstance(inv) {
		return inv.RequestSequence < w.instanceSince
	}
	return inv.RequestSequence < w.releasedAt
}

// workerRestarted switches to a new instance of a worker. The runs of the earlier instance are lost, and its outstanding
// orders must not be carried out by the new one, so each run is stopped first.
func (s *Scheduler) workerRestarted(w *worker, startMS int64) {
	s.events.LogDecision(string(w.ID), "worker restarted", "runs", len(w.tasks), "born_ms", startMS, "before_ms", w.StartMS)
	s.countCrash(w, "the worker restarted")
	w.StartMS, w.lastEndNumber, w.ackCursor, w.pendingEnds, w.terminated = startMS, 0, 0, nil, false
	w.faults = faults{}
	w.instanceSince, w.releasedAt, w.runGoneAt = s.orderSequence.Add(1), 0, 0
	w.presentSince = w.instanceSince
	for t := range w.tasks {
		delete(t.step.advice.tickets, w.ID) // tickets are valid only for one instance of the worker
		switch t.phase {
		case taskUnresolved, taskDone:
			// The new instance's inventory shows whether the run exists.
		case taskReserved:
			s.requeue(t)
			if t.step.spec.Gang {
				s.releaseReserved(t.step)
			}
		default:
			// The answer to one attempt of the start doesn't show that no other one is carried out by the new instance.
			t.answered = t.answered && !t.startUncertain
			s.abortRun(t, "the worker restarted")
		}
	}
}

// clearListed clears the runs that the inventory of a new instance lists: that instance has started them, so they haven't
// crashed the earlier one.
func (s *Scheduler) clearListed(w *worker, inv Inventory) {
	clearRun := func(r RunID) {
		if t := s.findTask(r.Task); t != nil && t.worker == w && t.run == r.Run {
			t.cleared = true
		}
	}
	for _, row := range inv.Running {
		clearRun(row.Run)
	}
	for _, row := range inv.Ended {
		clearRun(row.Run)
	}
}

// applyRunning applies an inventory row of a running task. It returns nil if the run doesn't belong to a current task.
func (s *Scheduler) applyRunning(w *worker, row RunningRow) *task {
	t := s.findTask(row.Run.Task)
	if t == nil || t.worker != w || t.run != row.Run.Run || t.phase == taskReserved {
		return nil
	}
	if row.Checkpoint != "" {
		t.checkpoint = row.Checkpoint
	}
	switch t.phase {
	case taskUnresolved, taskStarting:
		s.markRunning(t)
		if t.step.job.phase.Final() || t.step.job.cancelRequested {
			s.cancelRun(t)
		} else if t.step.spec.Gang && t.step.waiting > 0 {
			s.abortGang(t.step, "a member's run was lost")
		}
	case taskDone:
		return t // a member of a gang whose end isn't listed yet
	}
	s.clearIfAtWork(t)
	if row.Percent > t.percent || t.progressAt.IsZero() {
		t.percent, t.progressAt = row.Percent, s.now
	}
	return t
}

// applyEnd applies an inventory row of an ended run. The end is acknowledged once the job's record holds it.
func (s *Scheduler) applyEnd(w *worker, row EndedRow) {
	s.removeUnexpected(w, row.Run)
	if row.Number <= w.lastEndNumber {
		return
	}
	w.lastEndNumber, w.runGoneAt = row.Number, s.orderSequence.Add(1)
	t := s.findTask(row.Run.Task)
	if t == nil {
		w.pendingEnds = append(w.pendingEnds, pendingEnd{number: row.Number})
		return
	}
	t.step.job.started = true
	current := t.worker == w && t.run == row.Run.Run
	s.events.LogDecision(t.id.String(), "run ended", "run", row.Run.Run, "worker", w.ID, "how", row.Kind, "current", current)
	switch {
	case t.step.spec.LongRunning:
		if current {
			s.restartService(t, row)
		}
	case row.Kind == EndDone:
		s.completeTask(t, w, row.Run.Run)
	case current && t.phase == taskDone:
		s.deallocate(t)
	case current:
		s.applyUnsuccessfulEnd(t, row)
	case row.Kind == EndFailed:
		s.countFailure(t, row.Run.Run)
	}
	w.pendingEnds = append(w.pendingEnds, pendingEnd{row.Number, t.step.job, s.scheduleWrite(t.step.job)})
	s.archiveIfIdle(t.step.job)
}

// completeTask marks a task, or all members of its gang, as done after the given run on a worker.
func (s *Scheduler) completeTask(t *task, w *worker, run int) {
	w.clearFaults()
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		s.markDone(m, run)
	}
	if t.worker == w && t.run == run {
		s.deallocate(t)
	}
	s.completeIfDone(t.step.job)
}

// markDone marks a single task as done. A run that its worker may still list as running keeps its capacity until the
// worker lists its end. A later run than the one that is done is stopped.
func (s *Scheduler) markDone(t *task, run int) {
	if t.phase == taskDone {
		return
	}
	if t.phase == taskWaiting {
		t.step.waiting--
	}
	if t.startUnsent() {
		s.deallocate(t)
	}
	if t.worker != nil && t.run != run {
		s.events.LogDecision(t.id.String(), "stopped", "run", t.run, "worker", t.worker.ID, "reason", "an earlier run is done")
		s.requestStop(t)
		t.redundant, t.answered = true, false
	}
	t.phase = taskDone
	t.checkAfter = s.orderSequence.Add(1)
	t.step.unfinished--
	s.changed = true
}

// applyUnsuccessfulEnd requeues a task whose run ended without a result.
func (s *Scheduler) applyUnsuccessfulEnd(t *task, row EndedRow) {
	w, st := t.worker, t.step
	if row.Checkpoint != "" {
		t.checkpoint = row.Checkpoint
	}
	jobFailed := false
	if row.Kind == EndFailed {
		s.avoidWorker(t, w)
		s.recordFault(w, "a run failed")
		if !t.startedAt.IsZero() {
			st.job.extendObjective(s.now.Sub(t.startedAt))
		}
		jobFailed = s.countFailure(t, row.Run.Run)
	}
	s.requeue(t)
	if st.spec.Gang && !jobFailed {
		s.abortGang(st, string(row.Kind))
	}
}

// countFailure counts a failed run and reports whether the job has failed because of it. A failed gang run counts once for
// all members. Run numbers keep a failure from being counted twice: a worker lists an end until it is acknowledged, so a
// new lease holder may see one that its predecessor has already counted.
func (s *Scheduler) countFailure(t *task, run int) bool {
	st, failedAttempts := t.step, 0
	if st.spec.Gang {
		if run > st.lastFailedRun {
			st.lastFailedRun = run
			st.gangFailures++
		}
		failedAttempts = st.gangFailures
	} else {
		if run > t.lastFailedRun {
			t.lastFailedRun = run
			t.failures++
		}
		failedAttempts = t.failures
	}
	if failedAttempts < st.job.maxAttempts || st.job.phase.Final() || t.phase == taskDone {
		return false
	}
	s.endJob(st.job, Failed, "task "+t.id.String()+" failed as often as its queue allows")
	return true
}

// releaseAbsentRuns releases the runs that are missing from a complete inventory, if that inventory was requested late
// enough that it would list them.
func (s *Scheduler) releaseAbsentRuns(w *worker, requestSequence uint64, seen map[*task]bool) {
	for t := range w.tasks {
		if seen[t] || requestSequence < t.checkAfter {
			continue
		}
		switch t.phase {
		case taskUnresolved:
			s.releaseRun(t, "not on its worker")
		case taskRunning, taskStarting, taskStopping:
			if t.answered && !t.orderInFlight {
				w.runGoneAt = s.orderSequence.Add(1)
				s.releaseRun(t, "not on its worker")
			}
		case taskDone:
			if !t.redundant || t.answered && !t.orderInFlight {
				s.releaseRun(t, "not on its worker")
			}
		}
	}
}

// runLost requeues a task whose run is known not to exist any more.
func (s *Scheduler) runLost(t *task, reason string) {
	s.events.LogDecision(t.id.String(), "run lost", "run", t.run, "worker", t.worker.ID, "reason", reason)
	st := t.step
	s.requeue(t)
	t.answered = false
	s.scheduleWrite(st.job)
	if st.spec.Gang {
		s.abortGang(st, reason)
	}
}

// advanceAck advances the worker's acknowledgment cursor over the leading ends whose records are durable.
func (s *Scheduler) advanceAck(w *worker) {
	n := 0
	for n < len(w.pendingEnds) {
		p := w.pendingEnds[n]
		if p.job != nil && p.job.recorded < p.version {
			break
		}
		w.ackCursor = p.number
		n++
	}
	w.pendingEnds = slices.Delete(w.pendingEnds, 0, n)
	if len(w.pendingEnds) > 0 {
		s.unacked[w.ID] = true
	}
}

// TakeUnacked returns the workers with ends whose records weren't durable when their acknowledgment cursor was last
// advanced.
func (s *Scheduler) TakeUnacked() []WorkerID {
	ids := slices.Collect(maps.Keys(s.unacked))
	clear(s.unacked)
	return ids
}

// AckCursor returns the number up to which a worker's ends are durable, so that the worker may forget them, and whether
// later ends are pending.
func (s *Scheduler) AckCursor(id WorkerID) (cursor int64, pending bool) {
	w := s.workers[id]
	if w == nil {
		return 0, false
	}
	s.advanceAck(w)
	return w.ackCursor, len(w.pendingEnds) > 0
}

// recordFault counts a failed or stalled run against its worker. From faultThreshold consecutive ones on, the worker gets
// no new work for an exponentially growing pause.
func (s *Scheduler) recordFault(w *worker, reason string) {
	f := &w.faults
	f.streak++
	if f.streak < faultThreshold {
		return
	}
	f.backoff = min(max(minFaultPause, 2*f.backoff), maxFaultPause)
	f.since, f.until = s.now, s.now.Add(f.backoff)
	s.events.LogDecision(string(w.ID), "worker set aside", "reason", reason, "streak", f.streak, "pause_ms", f.backoff.Milliseconds())
}

func (w *worker) clearFaults() { w.faults.streak, w.faults.backoff = 0, 0 }

// stopStalledRuns stops the runs of a job that show no progress in their workers' inventories. The time is measured up to
// the last inventory, because a worker that doesn't answer gives no evidence of a stall. Runs at a reduced pace are left
// alone.
func (s *Scheduler) stopStalledRuns(j *job) {
	if j.allocatedTasks == 0 {
		return
	}
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.phase == taskRunning && t.percent < fullProgress && t.pace == fullPace && t.worker.lastInventoryAt.Sub(t.progressAt) >= stallTimeout {
				s.handleStall(t)
			}
		}
	}
}

// handleStall stops a run that makes no progress and counts a fault against its worker.
func (s *Scheduler) handleStall(t *task) {
	s.avoidWorker(t, t.worker)
	s.recordFault(t.worker, "a run stands still")
	s.events.LogDecision(t.id.String(), "stands still", "run", t.run, "worker", t.worker.ID, "percent", t.percent, "gang", t.step.spec.Gang,
		"still_ms", s.now.Sub(t.progressAt).Milliseconds(), "ran_ms", s.now.Sub(t.startedAt).Milliseconds())
	s.abortRun(t, "no progress")
}

package cell

import (
	"slices"
	"strings"
	"time"
)

// A task may crash every worker that starts it, together with everything else that runs there. The newest runs of a crashed
// worker are suspects, unless an inventory has shown them at work. A suspect is on probation from then on: it holds its
// next worker alone until an inventory shows its run at work, and its job fails when workers have crashed under it again.

const (
	// maxConfirmedCrashes is the number of crashes, each under a run that its worker had confirmed, after which a task is
	// given up.
	maxConfirmedCrashes = 2
	// maxCrashes is the same for all crashes. A start order without an answer may not have reached its worker before the
	// crash, so it takes more of them. A takeover may hide one more crash, and a task must not be started three times more
	// after three crashes.
	maxCrashes = 4
	// clearingTime is how long after the confirmation of a run an inventory that lists it shows that the run hasn't crashed
	// its worker. A task that crashes its worker later than that isn't recognized.
	clearingTime = 200 * time.Millisecond
	// crashSpread is how long before the newest run of a crashed worker another one may have been confirmed to be a suspect
	// too. A worker confirms nothing after its crash, so the cause is among the newest.
	crashSpread = 60 * time.Millisecond
	// probationDivisor bounds the workers that are held by tasks on probation, or were lost with one, to this fraction (1/n)
	// of the usable workers, but one step may always hold workers.
	probationDivisor = 5
	// probationLossWeight is the weight of a worker's running work in the score of a task on probation. It exceeds that of
	// the other criteria, because all of that work is lost if the task crashes the worker.
	probationLossWeight = 4
	// suspectWeight is the weight of each further run on the worker that is still a suspect. A crash would put it on
	// probation too.
	suspectWeight = 0.25
)

// crashHistory holds the crashes of workers under a task since an inventory last showed it at work. Each member of a gang has
// its own, because workers that crash by themselves rarely do so under the same member twice.
type crashHistory struct {
	workers   []WorkerID // one for each crash
	confirmed int        // crashes under a run that its worker had confirmed
	lastRun   int        // last run that was counted; run numbers keep a crash from being counted twice
}

// suspicious reports whether a task with this history is on probation. One crash under a run that its worker hadn't confirmed
// isn't enough: many orders are under way to a worker when another task crashes it.
func (h crashHistory) suspicious() bool { return h.confirmed > 0 || len(h.workers) > 1 }

// onProbation reports whether a worker has crashed under the task, or under a member of its gang, and no inventory has
// cleared it since.
func (t *task) onProbation() bool {
	if t.step.spec.Gang {
		return t.step.onProbation
	}
	return t.crashes.suspicious()
}

// updateProbation derives whether a gang is on probation from the crashes under its members.
func (st *step) updateProbation() {
	st.onProbation = st.spec.Gang && slices.ContainsFunc(st.tasks, func(t *task) bool { return t.crashes.suspicious() })
}

// hasCrashes reports whether crashes under the task, or under a member of its gang, count.
func (t *task) hasCrashes() bool {
	if !t.step.spec.Gang {
		return len(t.crashes.workers) > 0
	}
	return slices.ContainsFunc(t.step.tasks, func(m *task) bool { return len(m.crashes.workers) > 0 })
}

// confirmed reports whether the worker has confirmed the task's current run.
func (t *task) confirmed() bool { return !t.confirmedAt.IsZero() }

// suspect reports whether the task's run may have been the cause if its worker crashes now: a start order may have been
// carried out and no inventory has cleared the run. It isn't known whether the run of an earlier lease holder was ever
// started, so that one isn't a suspect.
func (t *task) suspect() bool {
	switch t.phase {
	case taskStarting, taskRunning, taskStopping:
		return !t.cleared && (t.confirmed() || t.startUncertain)
	}
	return false
}

// suspects returns the number of suspects on the worker.
func (w *worker) suspects() int {
	n := 0
	for t := range w.tasks {
		if t.suspect() {
			n++
		}
	}
	return n
}

// newestConfirmation returns when the worker confirmed its newest run.
func (w *worker) newestConfirmation() time.Time {
	var newest time.Time
	for t := range w.tasks {
		if t.confirmedAt.After(newest) {
			newest = t.confirmedAt
		}
	}
	return newest
}

// countCrash counts the crash of a worker against the suspects on it. The end of a worker that was draining isn't a crash.
func (s *Scheduler) countCrash(w *worker, reason string) {
	if w.Draining {
		return
	}
	var suspects []*task
	newest := w.newestConfirmation()
	for t := range w.tasks {
		ruledOut := t.confirmed() && newest.Sub(t.confirmedAt) > crashSpread
		if t.suspect() && !ruledOut && !t.step.job.phase.Final() {
			suspects = append(suspects, t)
		}
	}
	slices.SortFunc(suspects, func(a, b *task) int { return strings.Compare(a.id.String(), b.id.String()) })
	for _, t := range suspects {
		s.countCrashOf(t, w, reason)
	}
}

// countCrashOf counts a crash against one suspect, and gives up its job if there were too many.
func (s *Scheduler) countCrashOf(t *task, w *worker, reason string) {
	h := &t.crashes
	if t.run <= h.lastRun {
		return
	}
	h.lastRun = t.run
	s.avoidWorker(t, w)
	h.workers = append(h.workers, w.ID)
	confirmed := t.confirmed()
	if confirmed {
		h.confirmed++
	}
	t.step.updateProbation()
	s.scheduleWrite(t.step.job)
	s.events.LogDecision(t.id.String(), "crash counted", "run", t.run, "worker", w.ID, "crashes", len(h.workers),
		"confirmed", h.confirmed, "this_confirmed", confirmed, "reason", reason)
	if (h.confirmed >= maxConfirmedCrashes || len(h.workers) >= maxCrashes) && !t.step.job.phase.Final() {
		s.endJob(t.step.job, Failed, "workers crashed when they started task "+t.id.String()+": "+joinWorkers(h.workers))
	}
}

func joinWorkers(ids []WorkerID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, ", ")
}

// clearIfAtWork clears a run that an inventory lists as running, if it has run for clearingTime. It ends the probation of
// the task; that of a gang ends with the last member that is cleared.
func (s *Scheduler) clearIfAtWork(t *task) {
	if t.cleared || t.phase != taskRunning || s.now.Sub(t.confirmedAt) < clearingTime {
		return
	}
	t.cleared = true
	if !t.hasCrashes() {
		return
	}
	for _, other := range t.step.tasks {
		if t.step.spec.Gang && !other.cleared && other.phase != taskDone {
			return
		}
	}
	s.endProbation(t)
}

// dueProbes returns the workers on which a task on probation has run for clearingTime and no inventory has cleared it yet. Without
// a probe, the next inventory may come a second later, and a worker that crashes by itself until then counts against the task. Each
// run is probed once.
func (s *Scheduler) dueProbes() []WorkerID {
	if s.heldWorkers == 0 {
		return nil
	}
	var due []WorkerID
	for id, w := range s.workers {
		if w.heldBy != nil && w.takeDueProbe(s.now) {
			due = append(due, id)
		}
	}
	return due
}

// takeDueProbe reports whether a run on the worker is due to be probed, and marks all of them as probed.
func (w *worker) takeDueProbe(now time.Time) bool {
	due := false
	for t := range w.tasks {
		if t.holds && t.phase == taskRunning && !t.cleared && !t.probed && now.Sub(t.confirmedAt) >= clearingTime {
			t.probed, due = true, true
		}
	}
	return due
}

// endProbation forgets the crashes under a task and gives its worker, or those of its gang, back to others.
func (s *Scheduler) endProbation(t *task) {
	s.events.LogDecision(t.id.String(), "cleared", "run", t.run, "worker", t.worker.ID, "crashes", len(t.crashes.workers))
	s.scheduleWrite(t.step.job)
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		m.crashes.workers, m.crashes.confirmed = nil, 0
		s.releaseHold(m)
	}
	t.step.updateProbation()
}

// hold reserves the worker of a task on probation for this task, or for the members of its gang.
func (s *Scheduler) hold(t *task) {
	if t.holds || !t.onProbation() {
		return
	}
	t.holds = true
	t.worker.holders++
	t.worker.heldBy = t.step
	if t.worker.holders == 1 {
		s.heldWorkers++
	}
}

// releaseHold ends a task's hold on its worker.
func (s *Scheduler) releaseHold(t *task) {
	if !t.holds {
		return
	}
	w := t.worker
	t.holds = false
	if w.holders--; w.holders == 0 {
		w.heldBy = nil
		w.freed, s.changed = true, true
		s.heldWorkers--
	}
}

// heldAgainst reports whether the worker is held by a task on probation and closed to the given one.
func (w *worker) heldAgainst(t *task) bool {
	return w.heldBy != nil && (w.heldBy != t.step || !t.step.spec.Gang)
}

// probationDelayed reports whether a task on probation has to wait because others hold as many workers as may be held. That
// includes workers that crashed seconds ago, so it ends for a job that stands still.
func (s *Scheduler) probationDelayed(t *task) bool {
	if !t.onProbation() || s.heldWorkers == 0 || s.standsStill(t.step) {
		return false
	}
	wanted := 1
	if t.step.spec.Gang {
		wanted = len(t.step.tasks)
	}
	return s.heldWorkers+wanted > (len(s.pass.usable)+s.heldWorkers)/probationDivisor
}

// expectedLoss rates what would be lost if a task on probation crashed the worker.
func (w *worker) expectedLoss() float64 {
	used := w.Capacity.Sub(w.free).DominantShare(w.Capacity)
	return probationLossWeight*used + suspectWeight*float64(w.suspects())
}

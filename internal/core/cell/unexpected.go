package cell

import "time"

// unexpectedRun is a run on a worker that belongs to no current task: it was given up while it went on, or its job has
// ended. It occupies capacity until it is known to be gone.
type unexpectedRun struct {
	task       *task  // nil if its job isn't known
	startMS    int64  // the worker's instance that listed it
	checkAfter uint64 // an inventory shows whether the run is gone if it was requested at this order sequence or later
}

// addUnexpected counts the resources of an unexpected run, and delays the next run of its task until this one is gone.
func (s *Scheduler) addUnexpected(w *worker, id RunID) {
	if _, known := w.unexpected[id]; known {
		return
	}
	r := &unexpectedRun{task: s.findTask(id.Task), startMS: w.StartMS, checkAfter: s.orderSequence.Add(1)}
	w.unexpected[id] = r
	s.events.LogDecision(id.Task.String(), "unexpected run", "run", id.Run, "worker", w.ID, "known", r.task != nil)
	if r.task == nil {
		w.unknownRuns++
		return
	}
	st := r.task.step
	w.free = w.free.Sub(st.spec.Each)
	if w.free.HasNegative() {
		s.overcommitted[w] = true
	}
	st.tasksPerWorker[w.ID]++
	s.usage[st.job.Team] = s.usage[st.job.Team].Add(st.spec.Each)
	r.task.unexpectedRuns++
	if r.task.startUnsent() {
		s.revokeStart(r.task, "an earlier run goes on")
	}
	s.ordersPending = true
}

// removeUnexpected frees the resources of an unexpected run that is gone.
func (s *Scheduler) removeUnexpected(w *worker, id RunID) {
	r, known := w.unexpected[id]
	if !known {
		return
	}
	delete(w.unexpected, id)
	w.freed, s.changed = true, true
	if r.task == nil {
		w.unknownRuns--
		return
	}
	st := r.task.step
	w.free = w.free.Add(st.spec.Each)
	st.removeFrom(w)
	s.usage[st.job.Team] = s.usage[st.job.Team].Sub(st.spec.Each)
	r.task.unexpectedRuns--
	st.fullScanAt = time.Time{}
}

// removeAbsentUnexpected removes the unexpected runs that an inventory shows to be gone.
func (s *Scheduler) removeAbsentUnexpected(w *worker, inv Inventory, listed map[RunID]bool) {
	for id, r := range w.unexpected {
		earlierInstance := r.startMS != w.StartMS
		if !listed[id] && (earlierInstance || !inv.Truncated && inv.RequestSequence >= r.checkAfter) {
			s.removeUnexpected(w, id)
		}
	}
}

// removeAllUnexpected removes the unexpected runs on a worker that runs nothing any more.
func (s *Scheduler) removeAllUnexpected(w *worker) {
	for id := range w.unexpected {
		s.removeUnexpected(w, id)
	}
}

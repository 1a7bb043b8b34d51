package runcheck

import (
	"slices"
	"time"

	"sequoiastall/internal/standin/workerproc"
)

// checkAsked checks that a client sent what a run does and has not canceled it. It returns false if the job is unknown.
func (j *judge) checkAsked(r *runState) bool {
	e, h := r.start, r.job
	switch {
	case h == nil || e.At < h.sent:
		j.report("UNASKED", e.At, r.name.Job, "%s starts %s, which no client has sent", e.Worker, e.Task)
		return false
	case r.step == nil || r.name.Occurrence != 0 || r.name.Index >= r.step.Count:
		j.report("UNASKED", e.At, h.job.ID, "%s starts %s, which the job doesn't have", e.Worker, e.Task)
		return false
	case e.Spec != h.job.Spec():
		j.report("UNASKED", e.At, h.job.ID, "%s starts run %d of %s with another specification", e.Worker, e.Run, e.Task)
	}
	if h.accepted == 0 && h.unknown == 0 {
		j.report("REFUSED", e.At, h.job.ID, "%s starts %s, though every attempt to submit the job was refused", e.Worker, e.Task)
	}
	unit := j.unit(e.Task, r.name)
	if e.Checkpoint != "" && !j.saved[unit+" "+e.Checkpoint] {
		j.report("UNASKED", e.At, h.job.ID, "run %d of %s on %s starts from checkpoint %s, which isn't its own", e.Run, e.Task, e.Worker, e.Checkpoint)
	}
	j.checkGangCheckpoint(r, unit)
	if h.cancelAcked > 0 && !e.Late && j.calmTime(h.cancelAcked, e.At, e.Worker) > j.rules.CancelWithin {
		j.report("UNASKED", e.At, h.job.ID, "run %d of %s starts on %s %s after the cancellation was acknowledged", e.Run, e.Task, e.Worker, e.At-h.cancelAcked)
	}
	return true
}

// checkGangCheckpoint checks that all members of a gang start from the same checkpoint.
func (j *judge) checkGangCheckpoint(r *runState, unit string) {
	if !r.step.Gang {
		return
	}
	key := runID{unit, r.start.Run}
	first, known := j.gangStarts[key]
	if !known {
		j.gangStarts[key] = r.start.Checkpoint
	} else if first != r.start.Checkpoint {
		j.report("UNASKED", r.start.At, r.name.Job, "members of run %d of %s start from checkpoints %q and %q", r.start.Run, unit, first, r.start.Checkpoint)
	}
}

// checkRanOn checks at the end of a run that it didn't go on for long after its job was canceled.
func (j *judge) checkRanOn(r *runState, ended time.Duration) {
	if r.job == nil || r.job.cancelAcked == 0 {
		return
	}
	from := r.job.cancelAcked
	if r.start.Late {
		from = max(from, r.start.At+j.rules.Settle)
	}
	if j.calmTime(from, ended, r.start.Worker) > j.rules.CancelWithin+j.rules.StopWithin {
		j.report("UNASKED", ended, r.name.Job, "run %d of %s ran on %s until %s after the cancellation was acknowledged", r.start.Run, r.start.Task, r.start.Worker, ended-r.job.cancelAcked)
	}
}

// checkStillRunning applies checkRanOn to the runs that have no end.
func (j *judge) checkStillRunning(until time.Duration) {
	for _, id := range sortedKeys(j.workers) {
		w := j.workers[id]
		for _, r := range w.runs {
			j.checkRanOn(r, w.lastActive(until))
		}
	}
}

// checkOrder checks that all tasks of earlier steps are done.
func (j *judge) checkOrder(r *runState) {
	for _, earlier := range r.step.After {
		if !j.stepDone(r.job, earlier, r.start.At) {
			j.report("ORDER", r.start.At, r.name.Job, "%s starts before step %d is done", r.start.Task, earlier)
		}
	}
}

// stepDone returns whether all tasks of a step ended done before a moment.
func (j *judge) stepDone(h *history, step int, at time.Duration) bool {
	for i := range h.job.Steps[step].Count {
		if done, ok := j.done[j.unit(taskName(h, step, i))]; !ok || done > at {
			return false
		}
	}
	return true
}

func taskName(h *history, step, index int) (string, workerproc.TaskName) {
	name := workerproc.TaskName{Job: h.job.ID, Step: step, Index: index}
	return name.String(), name
}

// checkAttempts checks that a task isn't started again after its last permitted failure.
func (j *judge) checkAttempts(r *runState) {
	failures := slices.Clone(j.failures[j.unit(r.start.Task, r.name)])
	failures = slices.DeleteFunc(failures, func(f runFailure) bool {
		return f.noted == 0 || r.step.Speculative && f.noted+j.rules.NoteWithin > r.start.At
	})
	if r.step.Service || len(failures) < j.rules.MaxAttempts {
		return
	}
	j.report("BUDGET", r.start.At, r.name.Job, "run %d of %s starts on %s after %d failed runs", r.start.Run, r.start.Task, r.start.Worker, len(failures))
}

// checkTwice checks that no other run of the task is under way, and that none has ended done.
func (j *judge) checkTwice(r *runState) {
	e := r.start
	if !r.step.Speculative {
		for _, id := range sortedKeys(j.workers) {
			j.checkNoOtherRun(j.workers[id], r)
		}
	}
	end, wasNoted := j.noted[j.unit(e.Task, r.name)]
	switch {
	case wasNoted && !r.step.Speculative:
		j.report("TWICE", e.At, r.name.Job, "run %d of %s starts on %s %s after it was done, which was acknowledged", e.Run, e.Task, e.Worker, e.At-end.ended)
	case wasNoted && !e.Late && e.At > end.noted+j.rules.NoteWithin:
		j.report("TWICE", e.At, r.name.Job, "run %d of %s starts on %s %s after its end was acknowledged", e.Run, e.Task, e.Worker, e.At-end.noted)
	case !e.Late && slices.ContainsFunc(r.job.shown, func(s shown) bool { return s.state == "completed" && e.At > s.at+j.rules.NoteWithin }):
		j.report("TWICE", e.At, r.name.Job, "run %d of %s starts on %s after the job was shown as completed", e.Run, e.Task, e.Worker)
	}
}

func (j *judge) checkNoOtherRun(w *workerState, r *runState) {
	e := r.start
	if !w.isActive(e.At) {
		return
	}
	for id, other := range w.runs {
		if id.task == e.Task {
			late := ""
			if e.Late || other.start.Late {
				late = ", one by a late order"
			}
			j.report("TWICE", e.At, r.name.Job, "run %d of %s starts on %s while run %d is under way on %s%s", e.Run, e.Task, e.Worker, other.start.Run, other.start.Worker, late)
		}
	}
}

// checkPlace checks that the worker may run the task.
func (j *judge) checkPlace(w *workerState, r *runState) {
	e := r.start
	if r.step.Label != "" && !slices.Contains(w.up.Labels, r.step.Label) {
		j.report("ROUTE", e.At, r.name.Job, "%s starts on %s without label %s", e.Task, e.Worker, r.step.Label)
	}
	if r.job.job.Service != "" && w.up.Service != r.job.job.Service {
		j.report("ROUTE", e.At, r.name.Job, "%s starts on %s of service %s", e.Task, e.Worker, w.up.Service)
	}
	if n := w.countOfStep(r.name); r.step.MaxPerServer > 0 && n >= r.step.MaxPerServer {
		j.report("ROUTE", e.At, r.name.Job, "%s starts on %s beside %d tasks of its step", e.Task, e.Worker, n)
	}
}

func (w *workerState) countOfStep(name workerproc.TaskName) int {
	n := 0
	for _, r := range w.runs {
		if r.name.StepName() == name.StepName() {
			n++
		}
	}
	return n
}

func (w *workerState) used() workerproc.Capacity {
	var sum workerproc.Capacity
	for _, r := range w.runs {
		sum = sum.Plus(r.uses())
	}
	return sum
}

// checkRoom checks that a start doesn't bring a worker over its capacity.
func (j *judge) checkRoom(w *workerState, r *runState) {
	used := w.used()
	if used.Fits(w.capacity) {
		return
	}
	if slices.ContainsFunc(w.former, func(f formerCapacity) bool { return r.start.At <= f.until && used.Fits(f.capacity) }) {
		return
	}
	j.report("LIMIT", r.start.At, r.name.Job, "run %d of %s brings %s to %+v of %+v", r.start.Run, r.start.Task, r.start.Worker, used, w.capacity)
}

// checkTeam checks that a start doesn't bring a team over its limit by more than the permitted excess and one task.
func (j *judge) checkTeam(r *runState) {
	if r.job == nil {
		return
	}
	limit, limited := j.rules.Limits[r.job.job.Team]
	if !limited {
		return
	}
	used := j.usedBy(r.job.job.Team, r.start.At).Minus(r.uses())
	exceeds := func(used, limit int64) bool {
		return limit > 0 && float64(used) > float64(limit)*(1+j.rules.LimitExcess)
	}
	if exceeds(used.CPU, limit.CPU) || exceeds(used.MemMB, limit.MemMB) {
		j.report("QUOTA", r.start.At, r.name.Job, "%s starts on %s while its team has %+v of %+v", r.start.Task, r.start.Worker, used, limit)
	}
}

// usedBy returns what a team has running.
func (j *judge) usedBy(team string, at time.Duration) workerproc.Capacity {
	var sum workerproc.Capacity
	for _, w := range j.workers {
		for _, r := range w.runs {
			if w.isActive(at) && r.job != nil && r.job.job.Team == team {
				sum = sum.Plus(r.uses())
			}
		}
	}
	return sum
}

// checkAlone checks that a member of a gang doesn't wait in vain without a fault.
func (j *judge) checkAlone(r *runState, e workerproc.Event) {
	if r.job == nil || (r.job.cancelSent > 0 && r.job.cancelSent < e.At) {
		return
	}
	from := e.At - j.rules.GangWait - j.rules.CalmBefore
	if j.longestCalm(from, e.At) == e.At-from {
		j.report("GANG", e.At, r.name.Job, "run %d of %s ends alone on %s", e.Run, e.Task, e.Worker)
	}
}

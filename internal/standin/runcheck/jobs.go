package runcheck

import (
	"slices"
	"time"

	"sequoiastall/internal/standin/workerproc"
)

// checkShown checks the states that clients were shown against what ran.
func (j *judge) checkShown(h *history) {
	for _, s := range h.shown {
		switch s.state {
		case "completed":
			for step := range h.job.Steps {
				if !j.stepDone(h, step, s.at) {
					j.report("MIXED", s.at, h.job.ID, "%s is shown as completed, but step %d isn't done", h.job.ID, step)
				}
			}
		case "failed":
			if !j.mayHaveFailed(h) {
				j.report("LOST", s.at, h.job.ID, "%s is shown as failed, but no task has failed %d times", h.job.ID, j.rules.MaxAttempts)
			}
		case "canceled":
			if h.cancelSent == 0 || s.at < h.cancelSent {
				j.report("LOST", s.at, h.job.ID, "%s is shown as canceled, but no client has canceled it", h.job.ID)
			}
		case "unknown":
			if h.accepted > 0 && h.cancelSent == 0 && h.accepted < s.at-j.rules.VisibleWithin {
				j.report("LOST", s.at, h.job.ID, "%s was accepted, but isn't known", h.job.ID)
			}
		}
	}
}

func (j *judge) mayHaveFailed(h *history) bool {
	for step, s := range h.job.Steps {
		for i := range s.Count {
			if len(j.failures[j.unit(taskName(h, step, i))]) >= j.rules.MaxAttempts {
				return true
			}
		}
	}
	return false
}

// idleSubject is what must not stand still: the tasks of a job together, or each task that runs until it is stopped.
type idleSubject struct {
	name  string // of the job or the task
	job   *history
	steps []int
}

// idleSubjects returns the subjects of a job.
func idleSubjects(h *history) []idleSubject {
	all := idleSubject{name: h.job.ID, job: h}
	var subjects []idleSubject
	for i, step := range h.job.Steps {
		if !step.Service {
			all.steps = append(all.steps, i)
			continue
		}
		for index := range step.Count {
			name, _ := taskName(h, i, index)
			subjects = append(subjects, idleSubject{name, h, []int{i}})
		}
	}
	return append(subjects, all)
}

// idleState is a subject of which nothing runs.
type idleState struct {
	job   *history
	since time.Duration // from when that counts
}

// markIdle notes since when each subject could run but has nothing running.
func (j *judge) markIdle(at time.Duration) {
	running := map[string]bool{}
	for _, w := range j.workers {
		for _, r := range w.runs {
			running[r.name.Job], running[r.start.Task] = true, true
		}
	}
	for _, h := range j.jobs {
		for _, s := range idleSubjects(h) {
			_, idle := j.idle[s.name]
			switch {
			case running[s.name] || !j.couldRun(s, at):
				delete(j.idle, s.name)
			case !idle:
				j.idle[s.name] = idleState{h, max(at, h.accepted) + j.graceOf(s)}
			}
		}
	}
}

// graceOf returns for how long a subject may have nothing running before that counts.
func (j *judge) graceOf(s idleSubject) time.Duration {
	if s.name == s.job.job.ID {
		return 0
	}
	return j.rules.RestartWithin
}

// checkIdle checks that nothing has stood still for too long at a moment.
func (j *judge) checkIdle(at time.Duration) {
	for _, name := range sortedKeys(j.idle) {
		state, until := j.idle[name], at
		if state.job.cancelSent > 0 {
			until = min(until, state.job.cancelSent)
		}
		if until-state.since <= j.rules.StillFor || j.longestCalm(state.since-j.rules.CalmBefore, until) <= j.rules.StillFor+j.rules.CalmBefore {
			continue
		}
		j.report("LOST", until, state.job.job.ID, "nothing of %s has run for %s", name, until-state.since)
		j.reportedIdle[name] = true
		delete(j.idle, name)
	}
}

// couldRun returns whether a task's turn has come, and there is room for it twice over.
func (j *judge) couldRun(s idleSubject, at time.Duration) bool {
	h := s.job
	if h.accepted == 0 || j.reportedIdle[s.name] || (h.cancelSent > 0 && h.cancelSent <= at) || j.mayHaveFailed(h) {
		return false
	}
	if !j.hasSpareCapacity() || !j.isWellWithinLimit(h.job.Team, at) {
		return false
	}
	return slices.ContainsFunc(s.steps, func(step int) bool { return j.isDue(h, step) && j.fitsTwice(h, step) })
}

func (j *judge) isDue(h *history, step int) bool {
	for _, earlier := range h.job.Steps[step].After {
		if !j.stepKept(h, earlier) {
			return false
		}
	}
	return !j.stepKept(h, step)
}

// stepKept returns whether all tasks of a step ended done, and a worker hasn't lost all ends of one of them.
func (j *judge) stepKept(h *history, step int) bool {
	for i := range h.job.Steps[step].Count {
		if j.kept[j.unit(taskName(h, step, i))] == 0 {
			return false
		}
	}
	return true
}

// hasSpareCapacity returns whether so little of the capacity is in use that nothing may stand still.
func (j *judge) hasSpareCapacity() bool {
	var used, capacity workerproc.Capacity
	for _, w := range j.workers {
		if w.alive && w.ready {
			used, capacity = used.Plus(w.used()), capacity.Plus(w.capacity)
		}
	}
	within := func(used, capacity int64) bool { return float64(used) <= j.rules.MaxInUse*float64(capacity) }
	return within(used.CPU, capacity.CPU) && within(used.MemMB, capacity.MemMB)
}

// isWellWithinLimit returns whether a team has under half of its limit running.
func (j *judge) isWellWithinLimit(team string, at time.Duration) bool {
	limit, limited := j.rules.Limits[team]
	if !limited {
		return true
	}
	used := j.usedBy(team, at)
	return (limit.CPU == 0 || 2*used.CPU < limit.CPU) && (limit.MemMB == 0 || 2*used.MemMB < limit.MemMB)
}

// fitsTwice returns whether the workers that may run a step have room for one of its tasks twice, or for its gang twice.
func (j *judge) fitsTwice(h *history, step int) bool {
	s := h.job.Steps[step]
	needed := 2
	if s.Gang {
		needed *= s.Count
	}
	_, name := taskName(h, step, 0)
	places := 0
	for id, w := range j.workers {
		if w.alive && w.ready && j.mayRunOn(h, name, id, w) {
			places += w.placesFor(s, name)
		}
	}
	return places >= needed
}

func (j *judge) mayRunOn(h *history, name workerproc.TaskName, id string, w *workerState) bool {
	s := h.job.Steps[name.Step]
	if s.Label != "" && !slices.Contains(w.up.Labels, s.Label) || h.job.Service != "" && w.up.Service != h.job.Service {
		return false
	}
	return !h.job.Advised || j.rules.Admits == nil || j.rules.Admits(name.StepName(), id)
}

// placesFor returns how many more tasks of a step fit on the worker.
func (w *workerState) placesFor(s workerproc.Step, name workerproc.TaskName) int {
	free := w.capacity.Minus(w.used())
	places := int64(s.Count) * 2
	if s.CPU > 0 {
		places = min(places, free.CPU/s.CPU)
	}
	if s.MemMB > 0 {
		places = min(places, free.MemMB/s.MemMB)
	}
	if s.MaxPerServer > 0 {
		places = min(places, int64(s.MaxPerServer-w.countOfStep(name)))
	}
	return max(0, int(places))
}

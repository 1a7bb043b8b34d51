package cell

import (
	"slices"
	"time"
)

// A task avoids the workers on which its runs failed, stalled or crashed the worker, and no task is placed on a worker that
// is set aside. Neither may keep a task waiting for good: few workers may have the label, the room or the ticket that it
// needs.

// avoidance is how long a task avoids a worker. A worker that fails everything may be sound again then, and the attempts of
// a job are few. After that the task prefers other workers but doesn't wait for one: an accepted job must not stand still for
// 3 s beside capacity that it may use.
const avoidance = 2 * time.Second

// avoidWorker makes a task avoid a worker.
func (s *Scheduler) avoidWorker(t *task, w *worker) {
	t.avoidedAt = s.now
	if !slices.Contains(t.avoid, w.ID) {
		t.avoid = append(t.avoid, w.ID)
	}
}

// avoids reports whether the task isn't placed on the worker now because of an earlier run there. A task that would avoid
// half of the usable workers avoids none.
func (s *Scheduler) avoids(t *task, w *worker) bool {
	return slices.Contains(t.avoid, w.ID) && len(t.avoid) < len(s.pass.usable)/2 && s.now.Sub(t.avoidedAt) < avoidance
}

// mayEverRun reports whether the step may run another task on the worker once it has capacity. A worker on which there is no
// advice yet counts.
func (s *Scheduler) mayEverRun(st *step, w *worker, q *Queue) bool {
	if !s.eligible(st, w) || !st.belowMaxPerWorker(w) || !st.spec.Each.Fits(w.Capacity) {
		return false
	}
	answer := st.advice.answers[w.ID]
	return !q.needsAdvice() || answer.allowed() || !answer.current(w)
}

// lastResort returns the workers that are set aside if no other worker may run the step, if the others can't hold all members
// of a gang, or if the step's job stands still because they have no capacity.
func (s *Scheduler) lastResort(st *step, q *Queue) []*worker {
	switch {
	case len(s.pass.setAside)+len(s.pass.unrested) == 0:
		return nil
	case s.standsStill(st):
		return slices.Concat(s.pass.setAside, s.pass.unrested)
	}
	room := 0
	for _, w := range s.pass.usable {
		s.pass.workerChecks++
		if !s.mayEverRun(st, w, q) {
			continue
		}
		room += st.tasksOnIdle(w)
		if !st.spec.Gang || room >= len(st.tasks) {
			return nil
		}
	}
	return s.pass.setAside
}

// workersFor returns the workers to consider for a step: the usable ones and the last resort.
func (s *Scheduler) workersFor(st *step, q *Queue) []*worker {
	if last := s.lastResort(st, q); len(last) > 0 {
		return slices.Concat(s.pass.usable, last)
	}
	return s.pass.usable
}

// logReturn logs that a task is placed on a worker that it avoided, or that is set aside.
func (s *Scheduler) logReturn(t *task) {
	avoided, setAside := slices.Contains(t.avoid, t.worker.ID), s.now.Before(t.worker.faults.until)
	if !avoided && !setAside {
		return
	}
	avoidedFor := time.Duration(0)
	if avoided {
		avoidedFor = s.now.Sub(t.avoidedAt)
	}
	s.events.LogDecision(t.id.String(), "returns to a worker", "run", t.run, "worker", t.worker.ID, "set_aside", setAside,
		"avoided_ms", avoidedFor.Milliseconds(), "streak", t.worker.faults.streak)
}

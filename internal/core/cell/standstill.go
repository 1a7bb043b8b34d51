package cell

import (
	"time"

	"sequoiastall/internal/core/resource"
)

// A job stands still if it has waiting tasks, nothing of it runs, and most of its pool is free. So does a step of a service
// that has waiting tasks, whatever else runs. The workers that may run such tasks are few then. What keeps tasks from a
// worker only for the benefit of other work, or to spare attempts, ends after standstillLimit: an accepted job must not wait
// for 3 s beside capacity that it may use.

// standstillLimit is how long a job stands still before its tasks may use capacity that is withheld for other steps, and
// workers that are set aside.
const standstillLimit = 2 * time.Second

// standsStill reports whether the job of a step, or a service step itself, has stood still for standstillLimit.
func (s *Scheduler) standsStill(st *step) bool {
	since := st.job.idleSince
	if st.spec.LongRunning {
		since = st.waitingSince
	}
	return !since.IsZero() && s.now.Sub(since) >= standstillLimit && s.pass.poolOf(st.job.Service).mostlyFree()
}

// noteWaiting notes since when the step has had waiting tasks.
func (st *step) noteWaiting(now time.Time) {
	switch {
	case st.waiting == 0:
		st.waitingSince = time.Time{}
	case st.waitingSince.IsZero():
		st.waitingSince = now
	}
}

// capacityFor returns the capacity of a worker that a step may use now.
func (s *Scheduler) capacityFor(st *step, w *worker) resource.Vector {
	if s.standsStill(st) {
		return w.free
	}
	return w.free.Sub(w.withheld)
}

// hasRoom reports whether a worker has capacity that a task of the step may use now. Most workers of a full cell don't have
// enough in any case, so whether the step stands still is asked last.
func (s *Scheduler) hasRoom(st *step, w *worker) bool {
	return st.spec.Each.Fits(w.free) && (st.spec.Each.Fits(w.free.Sub(w.withheld)) || s.standsStill(st))
}

const (
	// standstillLogInterval is the minimum time between two log lines about one step that stands still.
	standstillLogInterval = 5 * time.Second
	// maxStandstillLines bounds the lines about such steps in one sweep. Without workers, all jobs may stand still.
	maxStandstillLines = 2
)

// logStandstills logs which steps of a job stand still, in the given number of lines at most, and returns their number.
func (s *Scheduler) logStandstills(j *job, most int) int {
	lines := 0
	if j.phase.Final() {
		return lines
	}
	for _, st := range j.steps {
		if lines == most {
			break
		}
		if st.waiting > 0 && st.ready() && s.now.Sub(st.standstillLoggedAt) >= standstillLogInterval && s.standsStill(st) {
			s.logStandstill(st, s.queueOf(j))
			lines++
		}
	}
	return lines
}

// logStandstill logs what is known of the workers that may run a step that stands still.
func (s *Scheduler) logStandstill(st *step, q *Queue) {
	st.standstillLoggedAt = s.now
	eligible, mayRun, unasked, room := 0, 0, 0, 0
	for _, w := range s.workersFor(st, q) {
		if !s.eligible(st, w) {
			continue
		}
		eligible++
		if s.mayRun(st, w, q) {
			mayRun++
			room += st.tasksFitting(w, s.capacityFor(st, w))
		} else if s.mayEverRun(st, w, q) {
			unasked++
		}
	}
	s.events.LogDecision(st.id.String(), "waits beside free capacity", "waiting", st.waiting, "gang", st.spec.Gang, "eligible_workers", eligible,
		"may_run", mayRun, "room_for_tasks", room, "without_advice", unasked, "advice_calls", st.advice.inFlight,
		"within_limit", s.withinLimit(st, 1), "waited_ms", s.now.UnixMilli()-st.job.AcceptedMS)
}

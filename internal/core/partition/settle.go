package partition

import (
	"time"

	"sequoiastall/internal/core/job"
)

// expire finds workers whose leases have certainly lapsed, and accounts for their tasks.
func (m *Machine) expire(now time.Time) {
	for _, id := range m.workerIDs() {
		w := m.workers[id]
		if w.held || w.accounted || !m.lapsed(w, now) {
			continue
		}
		w.accounted, w.expired = true, true
		if !w.deadAt.IsZero() {
			m.died(w, now)
		}
		m.loseTasks(w, now)
	}
}

func (m *Machine) lapsed(w *worker, now time.Time) bool {
	if m.claimed {
		return false
	}
	last := w.lastSent
	margin := m.options.Timing.Own()
	if !w.owned {
		last = m.since
		margin = m.options.Timing.Foreign()
	}
	if !w.deadAt.IsZero() && now.Sub(later(w.deadAt, last)) >= m.options.Timing.Foreign() {
		return true
	}
	return !m.exclusive.IsZero() && now.Sub(later(m.exclusive, last)) >= margin
}

// fresh reports whether the worker obeys this owner at now: its control lease, renewed by a message that it has
// accepted, can't have lapsed.
func (m *Machine) fresh(w *worker, now time.Time) bool {
	lease := m.options.Timing.ControlLease
	return w.held && now.Sub(w.renewed) < lease-lease*driftPercent/100
}

// anchored reports whether a worker has obeyed this owner without a break until now. As long as one does, no other
// owner can have settled, because it needs the report of every worker.
func (m *Machine) anchored(now time.Time) bool {
	for _, w := range m.workers {
		if m.fresh(w, now) {
			return true
		}
	}
	return false
}

// unsettle gives up what this owner concluded before a time in which another one may have run the partition.
func (m *Machine) unsettle(now time.Time) {
	m.settled, m.progress.marking = false, false
	m.since = now
	for id, r := range m.requeued {
		r.certain = false
		m.requeued[id] = r
	}
	for _, w := range m.workers {
		if !w.held {
			w.accounted, w.expired, w.owned = false, false, false
		}
	}
}

// settle decides whether tasks that aren't accounted for may be started.
func (m *Machine) settle(now time.Time) {
	m.expire(now)
	if !m.settled && m.allReported(now) {
		m.settled = true
		m.progress.dirty = true // the first document of a settled owner allows marks
	}
	if m.settled {
		m.resolveIntents()
	}
}

func (m *Machine) listLags(now time.Time) bool {
	lapsed := !m.exclusive.IsZero() && now.Sub(later(m.exclusive, m.since)) >= m.options.Timing.Foreign()
	return len(m.workers) < m.announced && !lapsed
}

func (m *Machine) allReported(now time.Time) bool {
	if !m.jobsLoaded || !m.progress.loaded || len(m.workers) == 0 || m.listLags(now) {
		return false
	}
	for _, w := range m.workers {
		if !w.accounted || w.mark > m.progress.sequence || (w.held && !m.fresh(w, now)) {
			return false
		}
	}
	return true
}

// resolveIntents decides on non-idempotent tasks that a former owner may have started. A worker that has reported
// without a record of the task never started it, unless it has lost its memory, as a durable mark of 0 shows. What a
// lost worker did can't be known.
func (m *Machine) resolveIntents() {
	for id, on := range m.progress.intents {
		s := m.jobs[id.Job]
		if s == nil {
			continue
		}
		w := m.workers[on]
		if w != nil && !w.accounted {
			continue // it isn't held at the moment; its tasks wait
		}
		delete(m.progress.intents, id)
		m.progress.dirty = true
		if m.task(id) != nil && m.task(id).Phase == job.TaskPending && (w == nil || !w.held || w.mark == 0) {
			m.setPhase(s, id.Index, job.TaskUnknown)
		}
	}
}

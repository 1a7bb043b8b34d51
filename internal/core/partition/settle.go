package partition

import (
	"time"

	"sequoiastall/internal/core/job"
)

// expireWorkers finds workers whose leases have certainly lapsed and releases their tasks.
func (m *Machine) expireWorkers(now time.Time) {
	for _, id := range m.workerIDs() {
		w := m.workers[id]
		if w.held || w.tasksKnown || !m.leasesLapsed(w, now) {
			continue
		}
		w.tasksKnown, w.expired = true, true
		if !w.deadAt.IsZero() {
			m.workerDied(w, now)
		}
		m.releaseLostTasks(w, now)
	}
}

func (m *Machine) leasesLapsed(w *worker, now time.Time) bool {
	if m.claimedElsewhere {
		return false
	}
	last := w.lastSent
	margin := m.options.Timing.OwnLeaseExpiry()
	if !w.heldBefore {
		last = m.acquiringSince
		margin = m.options.Timing.ForeignLeaseExpiry()
	}
	if !w.deadAt.IsZero() && now.Sub(laterTime(w.deadAt, last)) >= m.options.Timing.ForeignLeaseExpiry() {
		return true
	}
	return !m.exclusiveSince.IsZero() && now.Sub(laterTime(m.exclusiveSince, last)) >= margin
}

// leaseValid reports whether the worker certainly obeys this owner at now: the control lease, renewed by the last
// message that the worker accepted, can't have lapsed.
func (m *Machine) leaseValid(w *worker, now time.Time) bool {
	lease := m.options.Timing.ControlLease
	return w.held && now.Sub(w.lastAccepted) < lease-lease*clockDriftPercent/100
}

// anyLeaseValid reports whether some worker has obeyed this owner without interruption until now. As long as one does,
// no other owner can have settled, because that requires the report of every worker.
func (m *Machine) anyLeaseValid(now time.Time) bool {
	for _, w := range m.workers {
		if m.leaseValid(w, now) {
			return true
		}
	}
	return false
}

// unsettle discards the conclusions that this owner drew before a period in which another owner may have run the
// partition.
func (m *Machine) unsettle(now time.Time) {
	m.settled, m.verified, m.progress.marksAllowed = false, false, false
	m.progress.awaitingMarks, m.progress.nextAwaitingMarks = nil, nil
	m.acquiringSince = now
	for id, r := range m.requeued {
		r.endConfirmed = false
		m.requeued[id] = r
	}
	for _, w := range m.workers {
		if !w.held {
			w.tasksKnown, w.expired, w.heldBefore = false, false, false
		}
	}
}

// settle decides whether tasks that were unaccounted for may be started.
func (m *Machine) settle(now time.Time) {
	m.expireWorkers(now)
	if (!m.settled || m.anyUncertain) && m.allReported(now) {
		if !m.settled {
			// The first document of a settled owner allows marks. Without marks, every successor depends on the store.
			m.progress.dirty, m.progress.urgent = true, true
		}
		m.settled, m.anyUncertain = true, false
		for id, r := range m.requeued {
			r.uncertain = false
			m.requeued[id] = r
		}
	}
	if m.settled {
		m.resolveIntents()
	}
}

func (m *Machine) hostListIncomplete(now time.Time) bool {
	lapsed := !m.exclusiveSince.IsZero() && now.Sub(laterTime(m.exclusiveSince, m.acquiringSince)) >= m.options.Timing.ForeignLeaseExpiry()
	return len(m.workers) < m.announcedWorkers && !lapsed
}

func (m *Machine) allReported(now time.Time) bool {
	if !m.jobsLoaded || !m.progress.loaded || len(m.workers) == 0 || m.hostListIncomplete(now) {
		return false
	}
	for _, w := range m.workers {
		if !w.tasksKnown || w.durableMark > m.progress.sequence || (w.held && !m.leaseValid(w, now)) {
			return false
		}
	}
	return m.verified || m.majorityMarked(1)
}

// resolveIntents decides the outcome of non-idempotent tasks that a former owner may have started. A worker that has
// reported without a record of the task never started it, unless it has lost its memory, which a durable mark of 0
// shows. What a lost worker did can't be known.
func (m *Machine) resolveIntents() {
	for id, workerID := range m.progress.intents {
		s := m.jobs[id.Job]
		if s == nil || m.task(id) == nil || m.task(id).Phase == job.TaskRunning {
			continue
		}
		w := m.workers[workerID]
		if w != nil && !w.tasksKnown {
			continue // the worker isn't held at the moment; its tasks wait
		}
		delete(m.progress.intents, id)
		m.progress.dirty = true
		if m.task(id).Phase == job.TaskPending && (w == nil || !w.held || w.durableMark == 0) {
			m.setPhase(s, id.Index, job.TaskUnknown)
		}
	}
}

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
			m.workerLost(w, now)
		}
		m.releaseLostTasks(w, now)
	}
}

// leasesLapsed reports whether the leases of a worker have certainly lapsed: no other member claims the partition, and
// for the required time this owner has sent nothing that renews them, and either no other owner can have renewed them or
// the host list has reported the worker as dead.
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

// leaseValid reports whether this owner certainly has the worker's control lease at now: the lease, renewed by the last
// message that the worker accepted, can't have lapsed even with clock drift.
func (m *Machine) leaseValid(w *worker, now time.Time) bool {
	lease := m.options.Timing.ControlLease
	return w.held && now.Sub(w.lastAccepted) < lease-lease*clockDriftPercent/100
}

// anyLeaseValid reports whether this owner has had the control lease of some worker without interruption until now. As
// long as it has one, no other owner can have settled, because that requires the report of every worker.
func (m *Machine) anyLeaseValid(now time.Time) bool {
	for _, w := range m.workers {
		if m.leaseValid(w, now) {
			return true
		}
	}
	return false
}

// unsettle resets the state that this owner established before a period in which another owner may have run the
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

// settle releases the tasks of lost workers. Once the tasks of every worker are accounted for, it marks the partition as
// settled, so that tasks that may have run elsewhere can start, and resolves the intents of previous owners.
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

// hostListIncomplete reports whether the host list has fewer workers than a previous owner announced, unless the leases
// of the missing ones have lapsed.
func (m *Machine) hostListIncomplete(now time.Time) bool {
	lapsed := !m.exclusiveSince.IsZero() && now.Sub(laterTime(m.exclusiveSince, m.acquiringSince)) >= m.options.Timing.ForeignLeaseExpiry()
	return len(m.workers) < m.announcedWorkers && !lapsed
}

// allReported reports whether the state is complete: the jobs and the progress document are loaded and recent enough, and
// the tasks of every worker are accounted for.
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

// resolveIntents decides the outcome of non-idempotent tasks that a previous owner may have started. A worker that
// has reported without a record of the task never started it, unless it has lost its state in a restart, which a durable
// mark of 0 shows. The outcome of a task on a lost worker is unknown.
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

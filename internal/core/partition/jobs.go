package partition

import (
	"fmt"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/port"
)

// SetJob adds a job or applies a newer record of it.
func (m *Machine) SetJob(r job.Record, now time.Time) {
	s := m.jobs[r.ID]
	if r.Phase.Final() {
		m.RemoveJob(r.ID)
		return
	}
	if s != nil {
		s.Record.CancelRequested = s.Record.CancelRequested || r.CancelRequested
		m.applyCancellation(s)
		return
	}
	s = job.NewState(r)
	m.jobs[r.ID] = s
	m.queue.add(s)
	r.Completed.Each(func(i int32) { m.finishTask(s, i, job.TaskSucceeded) })
	r.Undecided.Each(func(i int32) { m.finishTask(s, i, job.TaskUnknown) })
	m.bookKnownTasks(s, now)
	if jp, known := m.pendingProgress[r.ID]; known {
		delete(m.pendingProgress, r.ID)
		m.mergeProgress(s, jp)
	}
	m.applyCancellation(s)
}

// RemoveJob removes a job that has ended, was moved to another partition or was deleted, and stops its running tasks.
func (m *Machine) RemoveJob(id job.ID) {
	if s := m.jobs[id]; s != nil {
		m.forgetJob(s)
	}
	if _, loaded := m.pendingProgress[id]; loaded {
		delete(m.pendingProgress, id)
		m.progress.dirty = true
	}
	for _, w := range m.workers {
		if len(takeOrphans(w, id)) > 0 {
			m.progress.dirty = true
		}
	}
}

// HasJob reports whether the job is known and not ended.
func (m *Machine) HasJob(id job.ID) bool { return m.jobs[id] != nil }

func (m *Machine) forgetJob(s *job.State) {
	for i := range s.Tasks {
		id := job.TaskID{Job: s.Record.ID, Index: int32(i)}
		delete(m.requeued, id)
		delete(m.progress.intents, id)
		switch s.Tasks[i].Phase {
		case job.TaskRunning:
			m.unbookRunning(s, int32(i))
		case job.TaskIntended:
			m.unbook(s, int32(i))
		default:
		}
	}
	id := s.Record.ID
	delete(m.jobs, id)
	delete(m.waitReasons, id)
	delete(m.startTimes, id)
	delete(m.endReportedAt, id)
	delete(m.pendingProgress, id)
	delete(m.moving, id)
	m.health.ForgetJob(id)
	if m.reservation != nil && m.reservation.job == id {
		m.reservation = nil
	}
	m.queue.remove(id)
	m.progress.dirty = true
}

// applyCancellation stops the running tasks of a job whose cancellation was requested.
func (m *Machine) applyCancellation(s *job.State) {
	if !s.Record.CancelRequested {
		return
	}
	for i := range s.Tasks {
		switch s.Tasks[i].Phase {
		case job.TaskRunning:
			m.sendCommand(s, int32(i), stopCommand)
		case job.TaskIntended:
			m.unbook(s, int32(i))
			m.setPhase(s, int32(i), job.TaskPending)
		default:
		}
	}
	m.queue.add(s)
}

// abandon gives up a job that won't be retried: its running tasks are stopped and its pending tasks become broken.
func (m *Machine) abandon(s *job.State) {
	s.Abandoned = true
	for i := range s.Tasks {
		switch s.Tasks[i].Phase {
		case job.TaskRunning:
			m.sendCommand(s, int32(i), stopCommand)
		case job.TaskIntended:
			m.unbook(s, int32(i))
			m.setPhase(s, int32(i), job.TaskPending)
			m.setPhase(s, int32(i), job.TaskBroken)
		case job.TaskPending:
			m.setPhase(s, int32(i), job.TaskBroken)
		default:
		}
	}
}

// restartGang restarts a whole gang when one of its tasks has to run again: the other tasks are checkpointed, and the
// gang is placed again once none of them runs.
func (m *Machine) restartGang(s *job.State, failed int32, now time.Time) {
	if s.Record.Spec.Class != job.Gang || s.Abandoned {
		return
	}
	for i := range s.Tasks {
		t := &s.Tasks[i]
		switch {
		case int32(i) == failed:
		case t.Phase == job.TaskIntended:
			m.unbook(s, int32(i))
			m.setPhase(s, int32(i), job.TaskPending)
			m.requeued[job.TaskID{Job: s.Record.ID, Index: int32(i)}] = requeued{now, !m.requeueUncertain, m.requeueUncertain}
		case t.Phase == job.TaskRunning:
			m.sendCommand(s, int32(i), checkpointCommand)
		}
	}
}

// reconcileGangs restarts gangs of which only some tasks run, for instance after a takeover in the middle of their
// start. A gang with a task that can never succeed is abandoned.
func (m *Machine) reconcileGangs(now time.Time) {
	for _, s := range m.jobs {
		if s.Record.Spec.Class != job.Gang || !m.settled || s.Abandoned || s.Record.CancelRequested || s.Ended() {
			continue
		}
		switch {
		case s.Count(job.TaskUnknown)+s.Count(job.TaskBroken) > 0:
			m.abandon(s)
		case s.Count(job.TaskPending) > 0 && s.Count(job.TaskRunning)+s.Count(job.TaskIntended) > 0:
			m.restartGang(s, -1, now)
		}
	}
}

// sendStart queues the start of a placed task for its worker.
func (m *Machine) sendStart(s *job.State, index int32, now time.Time) {
	t := &s.Tasks[index]
	w := m.workers[t.Worker]
	id := job.TaskID{Job: s.Record.ID, Index: index}
	if w == nil || !w.held {
		m.requeue(s, index, "worker lost before the start", now)
		return
	}
	m.setPhase(s, index, job.TaskRunning)
	w.starts = append(w.starts, pendingStart{id, t.Attempt})
}

// sendCommand queues a command for the worker of a running task to stop, checkpoint or drain it. Repeated commands are
// dropped, except that a stop may follow a checkpoint or drain.
func (m *Machine) sendCommand(s *job.State, index int32, action port.Action) {
	t := &s.Tasks[index]
	w := m.workers[t.Worker]
	if t.Phase != job.TaskRunning || w == nil || (t.Stopping && action != stopCommand) {
		return
	}
	if b := w.tasks[job.TaskID{Job: s.Record.ID, Index: index}]; b != nil {
		if b.command != nil && *b.command == action {
			return
		}
		b.command = &action
	}
	t.Stopping = true
	w.commands = append(w.commands, port.Command{Task: job.TaskID{Job: s.Record.ID, Index: index}, Attempt: t.Attempt, Action: action})
}

// collectEnded returns the final records of jobs that have no task left to run. A record is returned again every
// repeatAfter until the store holds it.
func (m *Machine) collectEnded(now time.Time) []job.Record {
	const repeatAfter = 2 * time.Second
	var records []job.Record
	for id, s := range m.jobs {
		if s.Record.Spec.Class == job.Service || !m.isFinished(s) {
			continue
		}
		if at, sent := m.endReportedAt[id]; sent && now.Sub(at) < repeatAfter {
			continue
		}
		m.endReportedAt[id] = now
		records = append(records, m.finalRecord(s, now))
	}
	return records
}

func (m *Machine) isFinished(s *job.State) bool {
	if s.Record.CancelRequested {
		return m.settled && s.Count(job.TaskRunning)+s.Count(job.TaskIntended) == 0
	}
	return s.Ended()
}

func (m *Machine) finalRecord(s *job.State, now time.Time) job.Record {
	r := s.Record
	r.EndedMS = now.UnixMilli()
	r.Succeeded, r.Unknown = s.Count(job.TaskSucceeded), s.Count(job.TaskUnknown)
	switch {
	case r.Succeeded == r.Spec.Tasks:
		r.Phase = job.Done
	case r.CancelRequested:
		r.Phase = job.Cancelled
	default:
		r.Phase = job.Failed
		if r.Unknown > 0 {
			r.Reason = fmt.Sprintf("the outcome of %d non-idempotent tasks is unknown; they were not run again", r.Unknown)
		}
	}
	return r
}

func (m *Machine) markStarted(s *job.State, now time.Time) {
	if _, known := m.startTimes[s.Record.ID]; !known {
		m.startTimes[s.Record.ID] = now
	}
}

package partition

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/port"
)

// JobsLoaded tells that SetJob has been called for every job of the partition that the store holds.
func (m *Machine) JobsLoaded() { m.jobsLoaded = true }

// StateVerified tells that the jobs that were set agree with the store at a time after this machine was made. Running
// tasks of other jobs may then be stopped.
func (m *Machine) StateVerified() { m.verified = true }

// Movable returns the record of a job of which no task runs or can run, with its progress, for a move to another
// partition; nil if the job must stay. The job doesn't start until MoveFailed is called or its record has changed.
func (m *Machine) Movable(id job.ID) *job.Record {
	s := m.jobs[id]
	if s == nil || !m.settled || s.Record.CancelRequested || s.Record.Spec.Class == job.Service ||
		s.Count(job.TaskRunning)+s.Count(job.TaskIntended) > 0 || s.Ended() {
		return nil
	}
	r := s.Record
	for i := range s.Tasks {
		switch s.Tasks[i].Phase {
		case job.TaskSucceeded:
			r.Completed.Add(int32(i))
		case job.TaskUnknown:
			r.Undecided.Add(int32(i))
		default:
		}
	}
	m.moving[id] = true
	return &r
}

// Stuck returns the records of jobs of which nothing runs although they have waited for a time, oldest first.
func (m *Machine) Stuck(now time.Time, waited time.Duration) []job.Record {
	var stuck []job.Record
	for id, s := range m.jobs {
		if m.settled && !m.moving[id] && s.Record.Spec.Class != job.Service && m.runnable(s) &&
			s.Count(job.TaskRunning)+s.Count(job.TaskIntended) == 0 && now.Sub(s.Record.Submitted()) >= waited {
			stuck = append(stuck, s.Record)
		}
	}
	slices.SortFunc(stuck, func(a, b job.Record) int {
		return cmp.Or(cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.ID, b.ID))
	})
	return stuck
}

// MoveFailed tells that a job which was to move to another partition stays.
func (m *Machine) MoveFailed(id job.ID) { delete(m.moving, id) }

// SetJob adds a job or applies a newer record of it.
func (m *Machine) SetJob(r job.Record, now time.Time) {
	s := m.jobs[r.ID]
	if r.Phase.Final() {
		if s != nil {
			m.drop(s)
		}
		return
	}
	if s != nil {
		s.Record.CancelRequested = s.Record.CancelRequested || r.CancelRequested
		m.cancel(s)
		return
	}
	s = job.NewState(r)
	m.jobs[r.ID] = s
	m.queue.touch(s)
	finish := func(phase job.TaskPhase) func(int32) {
		return func(i int32) {
			if int(i) < len(s.Tasks) && !s.Tasks[i].Phase.Final() {
				m.setPhase(s, i, phase)
			}
		}
	}
	r.Completed.Each(finish(job.TaskSucceeded))
	r.Undecided.Each(finish(job.TaskUnknown))
	m.adopt(s, now)
	if jp, known := m.loadedJobs[r.ID]; known {
		m.mergeProgress(s, jp)
	}
	m.cancel(s)
}

// RemoveJob forgets a job that moved to another partition or was deleted. It must not have running tasks.
func (m *Machine) RemoveJob(id job.ID) {
	if s := m.jobs[id]; s != nil {
		m.drop(s)
	}
}

// HasJob reports whether the job is known and not ended.
func (m *Machine) HasJob(id job.ID) bool { return m.jobs[id] != nil }

func (m *Machine) drop(s *job.State) {
	for i := range s.Tasks {
		id := job.TaskID{Job: s.Record.ID, Index: int32(i)}
		delete(m.requeued, id)
		if s.Tasks[i].Phase == job.TaskRunning {
			m.sendCommand(s, int32(i), stopCommand)
		}
		if s.Tasks[i].Phase == job.TaskRunning || s.Tasks[i].Phase == job.TaskIntended {
			m.unbook(s, int32(i))
		}
	}
	id := s.Record.ID
	delete(m.jobs, id)
	delete(m.waiting, id)
	delete(m.started, id)
	delete(m.ended, id)
	delete(m.loadedJobs, id)
	delete(m.moving, id)
	m.health.ForgetJob(id)
	if m.reservation != nil && m.reservation.job == id {
		m.reservation = nil
	}
	m.queue.remove(id)
	m.progress.dirty = true
}

// cancel stops what runs of a job whose cancellation was requested.
func (m *Machine) cancel(s *job.State) {
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
	m.queue.touch(s)
}

// abandon stops a job that will not be tried again; its pending tasks are broken.
func (m *Machine) abandon(s *job.State) {
	for i := range s.Tasks {
		switch s.Tasks[i].Phase {
		case job.TaskRunning:
			m.sendCommand(s, int32(i), stopCommand)
		case job.TaskPending:
			m.setPhase(s, int32(i), job.TaskBroken)
		default:
		}
	}
}

// breakGang restarts a gang as a whole when one of its tasks has to run again: the others stop with a checkpoint, and
// the gang is placed again when none is running.
func (m *Machine) breakGang(s *job.State, failed int32) {
	if s.Record.Spec.Class != job.Gang {
		return
	}
	for i := range s.Tasks {
		t := &s.Tasks[i]
		switch {
		case int32(i) == failed:
		case t.Phase == job.TaskIntended:
			m.unbook(s, int32(i))
			m.setPhase(s, int32(i), job.TaskPending)
			m.account(job.TaskID{Job: s.Record.ID, Index: int32(i)})
		case t.Phase == job.TaskRunning:
			m.sendCommand(s, int32(i), checkpointCommand)
		}
	}
}

// sendStart hands a placed task to its worker.
func (m *Machine) sendStart(s *job.State, index int32, now time.Time) {
	t := &s.Tasks[index]
	w := m.workers[t.Worker]
	id := job.TaskID{Job: s.Record.ID, Index: index}
	if w == nil || !w.held {
		m.requeue(s, index, "worker lost before the start", now)
		return
	}
	m.setPhase(s, index, job.TaskRunning)
	w.tasks[id] = t.Attempt
	w.starts = append(w.starts, pendingStart{id, t.Attempt})
}

// sendCommand tells the worker of a running task to stop, checkpoint or drain it. Repeated commands are dropped,
// except that a stop follows a checkpoint or drain.
func (m *Machine) sendCommand(s *job.State, index int32, action port.Action) {
	t := &s.Tasks[index]
	w := m.workers[t.Worker]
	if t.Phase != job.TaskRunning || w == nil || (t.Stopping && action != stopCommand) {
		return
	}
	t.Stopping = true
	w.commands = append(w.commands, port.Command{Task: job.TaskID{Job: s.Record.ID, Index: index}, Attempt: t.Attempt, Action: action})
}

// collectEnded returns the final records of jobs none of whose tasks will run any more. A record is returned again
// after repeatAfter until the store holds it.
func (m *Machine) collectEnded(now time.Time) []job.Record {
	const repeatAfter = 2 * time.Second
	var records []job.Record
	for id, s := range m.jobs {
		if s.Record.Spec.Class == job.Service || !m.finished(s) {
			continue
		}
		if at, sent := m.ended[id]; sent && now.Sub(at) < repeatAfter {
			continue
		}
		m.ended[id] = now
		records = append(records, m.finalRecord(s, now))
	}
	return records
}

func (m *Machine) finished(s *job.State) bool {
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
	if _, known := m.started[s.Record.ID]; !known {
		m.started[s.Record.ID] = now
	}
}

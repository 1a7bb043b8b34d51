package partition

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
)

// movePrepareTimeout bounds how long a job waits for its move to be prepared.
const movePrepareTimeout = 10 * time.Second

// move is a job that is about to leave the partition. Before its record may change, a progress document that names the
// job has to be durable, and most workers have to hold its mark, unless no worker is held. A successor whose copy of the
// record predates the move finds the move in the document, and doesn't start the job before it has compared its records
// with the store.
type move struct {
	startedAt  time.Time
	sequence   uint64 // of the progress document; 0 until it is durable
	handedOver bool   // its record may have changed
	inherited  bool   // begun by a previous owner
}

// PrepareMove returns the record of a job, with its progress, for a move to another partition. No task of the job runs
// or can run then. It returns nil if the job must stay, or if the move has to be prepared first, which the first call
// begins. The job doesn't start until MoveFailed is called or its record has changed.
func (m *Machine) PrepareMove(id job.ID, now time.Time) *job.Record {
	s := m.jobs[id]
	if s == nil || !m.settled || !m.noInterveningOwner(now) || s.Record.CancelRequested || s.Record.Spec.Class == job.Service ||
		s.Count(job.TaskRunning)+s.Count(job.TaskIntended) > 0 || s.Ended() || m.hasIntents(id) {
		return nil
	}
	mv := m.moving[id]
	if mv == nil {
		m.moving[id] = &move{startedAt: now}
		m.progress.dirty = true
		return nil
	}
	if mv.sequence == 0 || mv.handedOver || !(m.majorityMarked(mv.sequence) || m.UnheldWorkers() == len(m.workers)) {
		return nil
	}
	mv.handedOver = true
	r := s.Record
	r.Completed, r.Undecided = r.Completed.Clone(), r.Undecided.Clone()
	for i := range s.Tasks {
		switch s.Tasks[i].Phase {
		case job.TaskSucceeded:
			r.Completed.Add(int32(i))
		case job.TaskUnknown, job.TaskBroken:
			r.Undecided.Add(int32(i))
		default:
		}
	}
	return &r
}

// noInterveningOwner reports whether this owner's state is recent enough to move a job: no other owner can have run the
// partition in the meantime, because a lease has been valid throughout, or this owner holds no worker. The latter lets
// jobs leave a partition that has lost all its workers; before it moves jobs, the caller starts over unless the host list
// reports all of them as dead (runMaintenance in internal/node).
func (m *Machine) noInterveningOwner(now time.Time) bool {
	return m.anyLeaseValid(now) || m.UnheldWorkers() == len(m.workers)
}

func (m *Machine) hasIntents(id job.ID) bool {
	for task := range m.progress.intents {
		if task.Job == id {
			return true
		}
	}
	return false
}

// majorityMarked reports whether most workers hold the mark of the document with this sequence or a later one. A
// successor needs the marks of most workers too, or the store, so at least one worker reports the document's mark to it
// even if others have failed or lost their state.
func (m *Machine) majorityMarked(sequence uint64) bool {
	n := 0
	for _, w := range m.workers {
		if w.durableMark >= sequence {
			n++
		}
	}
	return 2*n > len(m.workers)
}

// StalledJobs returns the records of jobs that have waited for at least the given time without a running task, oldest
// first.
func (m *Machine) StalledJobs(now time.Time, waited time.Duration) []job.Record {
	var stalled []job.Record
	for id, s := range m.jobs {
		if mv := m.moving[id]; mv != nil && (mv.handedOver || mv.inherited) {
			continue
		}
		if m.settled && s.Record.Spec.Class != job.Service && s.Count(job.TaskPending) > 0 && !s.Record.CancelRequested &&
			s.Count(job.TaskRunning)+s.Count(job.TaskIntended) == 0 && now.Sub(s.Record.Submitted()) >= waited {
			stalled = append(stalled, s.Record)
		}
	}
	slices.SortFunc(stalled, func(a, b job.Record) int {
		return cmp.Or(cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.ID, b.ID))
	})
	return stalled
}

// MoveFailed reports that a job which was to move to another partition stays in this one.
func (m *Machine) MoveFailed(id job.ID) {
	if m.moving[id] != nil {
		delete(m.moving, id)
		m.progress.dirty = true
	}
}

// expireMoves cancels moves whose preparation timed out, so that their jobs may start again.
func (m *Machine) expireMoves(now time.Time) {
	for id, mv := range m.moving {
		if !mv.handedOver && !mv.inherited && now.Sub(mv.startedAt) >= movePrepareTimeout {
			m.MoveFailed(id)
		}
	}
}

package partition

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
)

// prepareTime bounds how long a job waits for its move to be prepared.
const prepareTime = 10 * time.Second

// move is a job that is about to leave the partition. Before its record may change, a progress document that names the
// job is durable and every held worker has its mark. A successor whose copy of the record is older than the move so
// learns of it, and doesn't start the job before it has compared its records with the store.
type move struct {
	began    time.Time
	sequence uint64 // of the document, 0 until it is durable
	offered  bool   // its record may have changed
	foreign  bool   // of a former owner
}

// Movable returns the record of a job of which no task runs or can run, with its progress, for a move to another
// partition; nil if the job must stay, or if the move has to be prepared first, which the first call begins. The job
// doesn't start until MoveFailed is called or its record has changed.
func (m *Machine) Movable(id job.ID, now time.Time) *job.Record {
	s := m.jobs[id]
	if s == nil || !m.settled || !m.anchoredOrEmpty(now) || s.Record.CancelRequested || s.Record.Spec.Class == job.Service ||
		s.Count(job.TaskRunning)+s.Count(job.TaskIntended) > 0 || s.Ended() || m.hasIntents(id) {
		return nil
	}
	mv := m.moving[id]
	if mv == nil {
		m.moving[id] = &move{began: now}
		m.progress.dirty = true
		return nil
	}
	if mv.sequence == 0 || mv.offered || !m.marked(mv.sequence) {
		return nil
	}
	mv.offered = true
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

// anchoredOrEmpty reports whether no other owner can have run the partition meanwhile.
func (m *Machine) anchoredOrEmpty(now time.Time) bool {
	return m.anchored(now) || m.Unheld() == len(m.workers)
}

func (m *Machine) hasIntents(id job.ID) bool {
	for task := range m.progress.intents {
		if task.Job == id {
			return true
		}
	}
	return false
}

// marked reports whether every held worker has the mark of a document.
func (m *Machine) marked(sequence uint64) bool {
	for _, w := range m.workers {
		if w.held && w.mark < sequence {
			return false
		}
	}
	return true
}

// Stuck returns the records of jobs of which nothing runs although they have waited for a time, oldest first.
func (m *Machine) Stuck(now time.Time, waited time.Duration) []job.Record {
	var stuck []job.Record
	for id, s := range m.jobs {
		if mv := m.moving[id]; mv != nil && (mv.offered || mv.foreign) {
			continue
		}
		if m.settled && s.Record.Spec.Class != job.Service && s.Count(job.TaskPending) > 0 && !s.Record.CancelRequested &&
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
func (m *Machine) MoveFailed(id job.ID) {
	if m.moving[id] != nil {
		delete(m.moving, id)
		m.progress.dirty = true
	}
}

// giveUpMoves lets jobs start again whose move was prepared in vain.
func (m *Machine) giveUpMoves(now time.Time) {
	for id, mv := range m.moving {
		if !mv.offered && !mv.foreign && now.Sub(mv.began) >= prepareTime {
			m.MoveFailed(id)
		}
	}
}

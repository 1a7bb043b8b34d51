package cell

import (
	"slices"
	"time"
)

// Write is a record to be written to the store.
type Write struct {
	Job     JobID
	Version uint64
	Value   []byte
	Final   bool // replaces the job's other records
}

const (
	// finalEntries, firstEntries and progressEntries are the maximum numbers of transaction entries for the final
	// record of a job, its first record and any other. A final record needs 2 conditions (on the progress and the job
	// record), 1 put and 3 deletes; a first record needs 2 conditions and 1 put; any other needs 1 condition and 1 put.
	finalEntries    = 6
	firstEntries    = 3
	progressEntries = 2
	// writeDelay is how long a record without an intent or a final phase is delayed, so that several ends share one write.
	writeDelay = 25 * time.Millisecond
)

// entries returns the number of transaction entries that the job's record needs.
func (j *job) entries() int {
	switch {
	case j.phase.Final() && j.allocatedTasks == 0:
		return finalEntries
	case j.recorded <= 1:
		return firstEntries
	}
	return progressEntries
}

// TakeWrites returns changed records, as many as fit into a transaction with the given number of entries. Urgent records
// come first. It returns none if no record is urgent or has reached writeDelay.
func (s *Scheduler) TakeWrites(entries int) []Write {
	if s.unrecordedSince.IsZero() && len(s.dirty) > 0 {
		s.unrecordedSince = s.now
	}
	var writes []Write
	for _, urgent := range []bool{true, false} {
		for _, j := range s.dirty {
			due := j.urgent || !urgent && (len(writes) > 0 || s.now.Sub(j.dirtyAt) >= writeDelay)
			if j.writing || !j.dirty || !due || j.entries() > entries {
				continue // a job has at most one write in progress
			}
			if w, ok := s.takeWrite(j); ok {
				entries -= j.entries()
				writes = append(writes, w)
			}
		}
	}
	s.dirty = slices.DeleteFunc(s.dirty, func(j *job) bool { return !j.dirty })
	return writes
}

// takeWrite encodes the record of a changed job and marks its write as in progress.
func (s *Scheduler) takeWrite(j *job) (Write, bool) {
	j.dirty, j.urgent = false, false
	w, err := s.encodeWrite(j)
	if err != nil {
		s.events.LogDecision(string(j.ID), "record not written", "error", err.Error())
		return w, false
	}
	j.writing = true
	return w, true
}

func (s *Scheduler) encodeWrite(j *job) (Write, error) {
	w := Write{Job: j.ID, Version: j.version, Final: j.phase.Final() && j.allocatedTasks == 0}
	var err error
	if w.Final {
		w.Value, err = finalRecord(j, s.now)
	} else {
		w.Value, err = encodeProgress(j)
	}
	return w, err
}

// UnwrittenJobs returns the number of jobs whose record has to be written.
func (s *Scheduler) UnwrittenJobs() int { return len(s.dirty) }

// WriteCommitted reports that a record is durable.
func (s *Scheduler) WriteCommitted(w Write) {
	s.unrecordedSince = time.Time{}
	j := s.jobs[w.Job]
	if j == nil {
		return
	}
	j.writing = false
	j.recorded = max(j.recorded, w.Version)
	j.archived = j.archived || w.Final
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.phase == taskPlaced && t.intentVersion <= j.recorded {
				s.intentRecorded(t)
			}
		}
	}
	s.archiveIfIdle(j)
}

// intentRecorded makes the start order of a run due, or requeues the task if its ticket has expired in the meantime.
func (s *Scheduler) intentRecorded(t *task) {
	if t.ticket != "" {
		if now, ok := t.step.advice.tickets[t.worker.ID]; !ok || now.value != t.ticket || s.now.After(now.expires) {
			s.events.LogDecision(t.id.String(), "intent taken back", "run", t.run, "worker", t.worker.ID, "reason", "its ticket has lapsed")
			st := t.step
			s.requeue(t)
			if st.spec.Gang {
				s.abortGang(st, "a member's ticket has lapsed")
			}
			return
		}
	}
	t.phase, t.nextOrderAt, t.startedAt, t.ordersSent = taskStarting, s.now, s.now, 0
	s.ordersPending = true
}

// WriteFailed reports that a record couldn't be written, so that TakeWrites returns it again.
func (s *Scheduler) WriteFailed(w Write) {
	s.unrecordedSince = time.Time{}
	j := s.jobs[w.Job]
	if j == nil {
		return
	}
	j.writing = false
	j.urgent = true
	if !j.dirty && !j.archived {
		s.markDirty(j)
	}
}

// Forget removes a job for which no run was ever recorded by this scheduler. Its unwritten changes are dropped: they would
// never be written, and placement would be suspended while it waits for them.
func (s *Scheduler) Forget(id JobID, reason string) {
	s.unrecordedSince = time.Time{}
	j := s.jobs[id]
	if j == nil {
		return
	}
	s.events.LogDecision(string(id), "forgotten", "reason", reason)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			s.deallocate(t)
		}
	}
	j.cancelRequested, j.archived, j.endedAt = true, true, s.now
	j.recorded = j.version // no record will follow, so the job's ends may be acknowledged
	s.dirty = slices.DeleteFunc(s.dirty, func(d *job) bool { return d == j })
	delete(s.jobs, id)
}

// archiveIfIdle schedules the final record of an ended job once none of its tasks holds capacity on a worker.
func (s *Scheduler) archiveIfIdle(j *job) {
	if j.phase.Final() && !j.archived && j.allocatedTasks == 0 && !j.dirty && j.recorded >= j.version {
		s.scheduleWrite(j)
	}
}

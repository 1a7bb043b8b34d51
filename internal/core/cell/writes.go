package cell

import (
	"slices"
	"time"
)

// Write is a record that has to be made durable.
type Write struct {
	Job     JobID
	Version uint64
	Value   []byte
	Final   bool // replaces the job's other records
}

const (
	// finalEntries, firstEntries and progressEntries are what a record takes of a transaction: a final one, the first of
	// a job, any other.
	finalEntries    = 6
	firstEntries    = 3
	progressEntries = 2
	// writeDelay is how long a record without an intent or a final phase waits, so that several ends share a write.
	writeDelay = 25 * time.Millisecond
)

// entries returns what the job's record takes of a transaction.
func (j *job) entries() int {
	switch {
	case j.phase.Final() && j.allocatedTasks == 0:
		return finalEntries
	case j.recorded <= 1:
		return firstEntries
	}
	return progressEntries
}

// TakeWrites returns records that changed, as many as fit into a transaction with that many entries: first those that
// somebody waits for. It returns none if all can wait.
func (s *Scheduler) TakeWrites(entries int) []Write {
	if s.unrecordedSince.IsZero() && len(s.dirty) > 0 {
		s.unrecordedSince = s.now
	}
	var writes []Write
	for _, urgent := range []bool{true, false} {
		for _, j := range s.dirty {
			due := j.urgent || !urgent && (len(writes) > 0 || s.now.Sub(j.dirtyAt) >= writeDelay)
			if j.writing || !j.dirty || !due || j.entries() > entries {
				continue // a job has one write under way at a time
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

// take encodes the record of a job that changed.
func (s *Scheduler) takeWrite(j *job) (Write, bool) {
	j.dirty, j.urgent = false, false
	w, err := s.encodeWrite(j)
	if err != nil {
		s.events.Decided(string(j.ID), "record not written", "error", err.Error())
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

// UnwrittenJobs returns how many jobs have a record that has to be written.
func (s *Scheduler) UnwrittenJobs() int { return len(s.dirty) }

// Recorded tells that a record is durable.
func (s *Scheduler) Recorded(w Write) {
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

// recordedIntent lets the order for a run go out, or takes the intent back if its ticket has lapsed meanwhile.
func (s *Scheduler) intentRecorded(t *task) {
	if t.ticket != "" {
		if now, ok := t.step.advice.tickets[t.worker.ID]; !ok || now.value != t.ticket || s.now.After(now.expires) {
			s.events.Decided(t.id.String(), "intent taken back", "run", t.run, "worker", t.worker.ID, "reason", "its ticket has lapsed")
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

// NotRecorded returns a record that couldn't be written, so that it is taken again.
func (s *Scheduler) NotRecorded(w Write) {
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

// Forget removes a job none of whose runs was ever recorded here.
func (s *Scheduler) Forget(id JobID, reason string) {
	s.unrecordedSince = time.Time{}
	j := s.jobs[id]
	if j == nil {
		return
	}
	s.events.Decided(string(id), "forgotten", "reason", reason)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			s.deallocate(t)
		}
	}
	j.cancelRequested, j.archived, j.endedAt = true, true, s.now
	delete(s.jobs, id)
}

// archiveIfIdle asks for the final record once an ended job holds no room any more.
func (s *Scheduler) archiveIfIdle(j *job) {
	if j.phase.Final() && !j.archived && j.allocatedTasks == 0 && !j.dirty && j.recorded >= j.version {
		s.scheduleWrite(j)
	}
}

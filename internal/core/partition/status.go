package partition

import (
	"fmt"

	"sequoiastall/internal/core/job"
)

// Status describes a job for its submitter, including why its pending tasks wait.
func (m *Machine) Status(id job.ID) (job.Status, bool) {
	s := m.jobs[id]
	if s == nil {
		return job.Status{}, false
	}
	st := job.Status{Record: s.Record, Phase: job.Pending, Pending: s.Count(job.TaskPending) + s.Count(job.TaskIntended),
		Running: s.Count(job.TaskRunning), Workers: map[string]int{}}
	st.Succeeded, st.Unknown = s.Count(job.TaskSucceeded), s.Count(job.TaskUnknown)
	if st.Running+st.Succeeded > 0 {
		st.Phase = job.Running
	}
	if at, known := m.startTimes[id]; known {
		st.StartedMS = at.UnixMilli()
	}
	for i := range s.Tasks {
		if s.Tasks[i].Phase == job.TaskRunning {
			st.Workers[s.Tasks[i].Worker]++
		}
	}
	if st.Pending > 0 {
		st.Waiting = m.waitReason(s)
	}
	return st, true
}

func (m *Machine) waitReason(s *job.State) string {
	id := s.Record.ID
	switch {
	case s.Record.CancelRequested:
		return "cancellation was requested"
	case !m.mayStart:
		return "the owner is cut off from the store and the other zones"
	case m.reservation != nil && m.reservation.job == id:
		return fmt.Sprintf("workers are reserved for it; expected to start by %s: %s",
			m.reservation.expectedStart.UTC().Format("15:04:05"), m.waitReasons[id])
	case s.Count(job.TaskIntended) > 0 && s.Count(job.TaskPending) == 0:
		return "the intent to start is being written to the store"
	case m.waitReasons[id] != "":
		return m.waitReasons[id]
	}
	return "waits for its turn"
}

// Jobs returns the IDs of the known jobs that aren't services.
func (m *Machine) Jobs() []job.ID {
	var ids []job.ID
	for id, s := range m.jobs {
		if s.Record.Spec.Class != job.Service {
			ids = append(ids, id)
		}
	}
	return ids
}

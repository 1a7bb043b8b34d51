package cell

import (
	"slices"
	"time"
)

// A job runs on the workers of its queue's service. The operators may send a queue to another service: waiting tasks then start
// there, and runs go on where they are. A job whose queue is removed keeps the last service.

// updateServices applies the services of the configuration to the jobs that haven't ended.
func (s *Scheduler) updateServices() {
	for _, j := range s.active {
		if j.phase.Final() {
			continue
		}
		if s.updateService(j) {
			s.scheduleWrite(j)
			s.revokeOnFormerService(j)
		}
	}
}

// updateService applies the service of a job's queue, unless the job's is that of the same or a later configuration, and reports
// whether it has changed.
func (s *Scheduler) updateService(j *job) bool {
	q := s.config.Queue(j.Queue)
	if q == nil || q.Service == j.Service || s.config.Version <= j.ConfigVersion {
		return false
	}
	s.events.LogDecision(string(j.ID), "moved to another service", "queue", j.Queue, "config", s.config.Version, "service", q.Service,
		"before", j.Service, "running_or_decided", j.allocatedTasks, "waiting", j.waitingTasks())
	j.Service, j.ConfigVersion, j.moved = q.Service, s.config.Version, true
	for _, st := range j.steps {
		st.fullScanAt = time.Time{}
	}
	return true
}

// revokeOnFormerService revokes the starts on workers of another service than the job's that haven't been sent. A gang of which
// a member was sent stays where it is.
func (s *Scheduler) revokeOnFormerService(j *job) {
	for _, st := range j.steps {
		if st.spec.Gang && slices.ContainsFunc(st.tasks, func(t *task) bool { return !t.startUnsent() }) {
			continue
		}
		for _, t := range st.tasks {
			if t.worker != nil && t.worker.Service != j.Service && t.startUnsent() {
				s.revokeStart(t, "its queue was sent to another service")
			}
		}
	}
}

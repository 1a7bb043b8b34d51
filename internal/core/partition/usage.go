package partition

import (
	"cmp"
	"time"

	"sequoiastall/internal/core/health"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/preemption"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// observeUsage records the task sizes in a usage report and, if the worker is close to running out of memory, has a task
// throttled, checkpointed or stopped.
func (m *Machine) observeUsage(w *worker, usage []port.TaskUsage, now time.Time) {
	if len(usage) == 0 {
		return
	}
	m.sizes.Expire(now)
	var tasks []preemption.Usage
	for _, u := range usage {
		s, t := m.jobs[u.Task.Job], m.task(u.Task)
		if t == nil || t.Phase != job.TaskRunning || t.Worker != w.host.ID {
			continue
		}
		used := resource.Vector{MilliCPU: u.MilliCPU, MemoryMB: u.MemoryMB}
		m.sizes.Observe(statsKey(s), s.Record.Spec.Resources, used)
		tasks = append(tasks, preemption.Usage{Task: u.Task, Attempt: t.Attempt, Urgent: s.Record.Spec.Urgent,
			Idempotent: s.Record.Spec.Idempotent, CanCheckpoint: s.Record.Spec.Class != job.Service, Throttled: t.Throttled,
			Pending: pendingAction(t), Declared: s.Record.Spec.Resources, Used: used, Progress: now.Sub(t.StartedAt)})
	}
	if relief, needed := preemption.RelieveMemory(w.capacity, tasks); needed {
		m.applyRelief(w, relief)
	}
}

// pendingAction returns the action whose effect is outstanding. Any command that ends the task counts as Checkpoint,
// because the effect on memory is the same.
func pendingAction(t *job.Task) preemption.Action {
	if t.Stopping {
		return preemption.Checkpoint
	}
	return preemption.None
}

func (m *Machine) applyRelief(w *worker, r preemption.MemoryRelief) {
	s := m.jobs[r.Task.Job]
	d := Decision{Task: r.Task, Team: s.Record.Spec.Team, Worker: w.host.ID, Reason: r.Reason}
	switch r.Action {
	case preemption.Throttle:
		d.Kind = DecideThrottle
		s.Tasks[r.Task.Index].Throttled = true
		w.commands = append(w.commands, port.Command{Task: r.Task, Attempt: r.Attempt, Action: port.Throttle})
	case preemption.Checkpoint:
		d.Kind = DecideCheckpoint
		m.sendCommand(s, r.Task.Index, port.Checkpoint)
	default:
		d.Kind = DecideStop
		m.sendCommand(s, r.Task.Index, port.Stop)
	}
	m.recordDecision(d)
}

// recordOutcome reports the end of an attempt to the health tracker and applies its verdicts.
func (m *Machine) recordOutcome(s *job.State, index int32, worker string, succeeded bool, now time.Time) {
	id := job.TaskID{Job: s.Record.ID, Index: index}
	m.applyVerdicts(m.health.Observe(health.Outcome{Worker: worker, Task: id, Kind: statsKey(s), Succeeded: succeeded}, now))
}

// applyVerdicts acts on the verdicts of the health tracker.
func (m *Machine) applyVerdicts(verdicts []health.Verdict) {
	for _, v := range verdicts {
		switch v.Action {
		case health.Quarantine, health.Restore:
			delete(m.quarantined, v.Worker)
			if v.Action == health.Quarantine {
				m.quarantined[v.Worker] = true
			}
			if w := m.workers[v.Worker]; w != nil && w.held {
				m.upsertWorker(w)
			}
			m.recordDecision(Decision{Kind: DecideQuarantine, Worker: v.Worker, Reason: v.Action.String() + ": " + v.Reason})
		case health.FailJob:
			if s := m.jobs[v.Job]; s != nil && s.Record.Spec.Class != job.Service {
				s.Record.Reason = v.Reason
				m.abandon(s)
			}
		}
	}
}

func compareTaskIDs(a, b job.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

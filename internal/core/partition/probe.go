package partition

import (
	"slices"
	"time"

	"sequoiastall/internal/core/health"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/port"
)

// startProbes starts one task on each quarantined worker whose probe is due.
func (m *Machine) startProbes(c *cycle) {
	for _, id := range m.workerIDs() {
		w := m.workers[id]
		if w.held && m.quarantined[id] && w.host.State == port.HostLive && m.health.ProbeDue(id, c.now) {
			m.startProbe(c, w)
		}
	}
}

// startProbe starts an idempotent batch task on a quarantined worker, because its failure costs least.
func (m *Machine) startProbe(c *cycle, w *worker) {
	known, _ := m.cluster.Worker(w.host.ID)
	for _, team := range newTeamHeap(&m.queue, m.shares).names {
		for _, s := range m.queue.jobs(team) {
			spec := &s.Record.Spec
			if spec.Class != job.Batch || !spec.Idempotent || spec.Urgent || !m.runnable(s) || (spec.Pool != "" && spec.Pool != w.pool) {
				continue
			}
			index := m.nextStartable(s, 0)
			if index < 0 || slices.Contains(s.Tasks[index].FailedOn, w.host.ID) {
				continue
			}
			t := &s.Tasks[index]
			t.Reserved = m.sizes.Reservation(statsKey(s), spec.Resources)
			if !t.Reserved.Fits(m.AllowanceSlack(team)) || !t.Reserved.Fits(known.Capacity.Sub(known.Reserved)) {
				continue
			}
			d := placement.Decision{Worker: w.host.ID, Reason: "probe of a quarantined worker", Considered: 1}
			if _, ok := m.assign(c, s, index, d, m.request(s, t)); ok {
				id := job.TaskID{Job: s.Record.ID, Index: index}
				m.health.StartProbe(w.host.ID, id, c.now)
				m.probes[w.host.ID] = id
				return
			}
		}
	}
}

// endProbes cancels the probes that ended without an outcome. The outcomes of the others were already reported to the
// health tracker.
func (m *Machine) endProbes(now time.Time) {
	for worker, id := range m.probes {
		if t := m.task(id); t == nil || t.Phase != job.TaskRunning || t.Worker != worker {
			m.health.CancelProbe(worker, id, now)
			delete(m.probes, worker)
		}
	}
}

// workerLost reports the loss of a worker, or of its state, to the health tracker, along with the jobs that ran on it.
func (m *Machine) workerLost(w *worker, now time.Time) {
	loss := health.WorkerLoss{Worker: w.host.ID, Zone: w.host.Zone, Rack: w.host.Rack, Workers: len(m.workers)}
	seen := map[job.ID]bool{}
	for task := range w.tasks {
		s := m.jobs[task.Job]
		if s == nil || seen[task.Job] || s.Tasks[task.Index].Phase != job.TaskRunning {
			continue
		}
		seen[task.Job] = true
		loss.Jobs = append(loss.Jobs, health.ExposedJob{Job: task.Job, Workers: workersOf(s)})
	}
	delete(m.quarantined, w.host.ID)
	m.applyVerdicts(m.health.RecordLoss(loss, now))
}

func workersOf(s *job.State) int {
	names := map[string]bool{}
	for i := range s.Tasks {
		if s.Tasks[i].Phase == job.TaskRunning {
			names[s.Tasks[i].Worker] = true
		}
	}
	return len(names)
}

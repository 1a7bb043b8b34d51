package partition

import (
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/port"
)

// replaceTimeout bounds how long instances of an old version of a service are kept for the sake of the new version's
// start.
const replaceTimeout = 30 * time.Second

// ServiceID returns the ID of the job whose tasks are a service's instances in a partition. It is the same at every
// node that computes it, so that a new owner recognises the running instances.
func ServiceID(partition string, g ServiceGoal) job.ID {
	return job.NewID("service/"+g.Spec.Service, partition+"/"+g.Version)
}

// applyServices brings the service jobs in line with the configuration. Services have no record in the store: the
// configuration says what should run and the inventories say what does.
func (m *Machine) applyServices(now time.Time) {
	wanted := map[job.ID]ServiceGoal{}
	for _, g := range m.config.Services {
		id := ServiceID(m.options.Partition, g)
		wanted[id] = g
		s := m.jobs[id]
		if s == nil {
			record := job.Record{ID: id, Spec: g.Spec, Partition: m.options.Partition, SubmittedMS: now.UnixMilli(), Phase: job.Pending}
			record.Spec.Tasks = 0
			s = job.NewState(record)
			m.jobs[id] = s
		}
		m.resize(s, g.Spec.Tasks)
		m.queue.touch(s)
		m.adopt(s, now)
	}
	for id, s := range m.jobs {
		if _, keep := wanted[id]; s.Record.Spec.Class == job.Service && !keep && m.ended[id].IsZero() {
			m.ended[id] = now // draining since
		}
	}
	for id := range wanted {
		delete(m.ended, id)
	}
	m.goals = wanted
}

// resize changes the number of instances. Instances beyond a smaller number are drained and dropped when they end.
func (m *Machine) resize(s *job.State, n int32) {
	if n >= int32(len(s.Tasks)) {
		s.Resize(n)
		return
	}
	s.Record.Spec.Tasks = n
	for i := n; i < int32(len(s.Tasks)); i++ {
		m.sendCommand(s, i, drainCommand)
	}
}

// goalDraining reports whether a service job is no longer wanted.
func (m *Machine) goalDraining(id job.ID) bool {
	s := m.jobs[id]
	if s == nil || s.Record.Spec.Class != job.Service {
		return false
	}
	_, wanted := m.goals[id]
	return !wanted
}

// tendServices drains instances that are no longer wanted, once their replacement runs or its time is up, and drops
// what has ended.
func (m *Machine) tendServices(now time.Time) {
	for id, s := range m.jobs {
		if s.Record.Spec.Class != job.Service {
			continue
		}
		if _, wanted := m.goals[id]; wanted {
			m.trim(s)
			continue
		}
		if s.Count(job.TaskRunning)+s.Count(job.TaskIntended) == 0 {
			m.drop(s)
			continue
		}
		if !m.replaced(s) && now.Sub(m.ended[id]) < replaceTimeout {
			continue
		}
		for i := range s.Tasks {
			m.sendCommand(s, int32(i), drainCommand)
		}
	}
}

// trim drops ended instances beyond the wanted number.
func (m *Machine) trim(s *job.State) {
	n := s.Record.Spec.Tasks
	keep := int32(len(s.Tasks))
	for keep > n && s.Tasks[keep-1].Phase != job.TaskRunning {
		keep--
	}
	if keep < int32(len(s.Tasks)) {
		s.Resize(keep)
		s.Record.Spec.Tasks = n
	}
}

// replaced reports whether another version of the service runs in full, or none is wanted.
func (m *Machine) replaced(old *job.State) bool {
	for id, g := range m.goals {
		if g.Spec.Service != old.Record.Spec.Service || g.Spec.Tasks == 0 {
			continue
		}
		if m.ready(m.jobs[id]) < g.Spec.Tasks {
			return false
		}
	}
	return true
}

func (m *Machine) ready(s *job.State) int32 {
	n := int32(0)
	for i := range s.Tasks {
		if s.Tasks[i].Phase == job.TaskRunning && s.Tasks[i].Address != "" && !s.Tasks[i].Stopping {
			n++
		}
	}
	return n
}

// tendLeaving moves work off the workers that are leaving.
func (m *Machine) tendLeaving() {
	for _, w := range m.workers {
		if w.held && w.host.State == port.HostLeaving && len(w.tasks) > 0 {
			m.vacate(w)
		}
	}
}

// vacate moves work off a worker that is leaving: instances are drained and batch tasks continue elsewhere from a
// checkpoint.
func (m *Machine) vacate(w *worker) {
	for id := range w.tasks {
		s := m.jobs[id.Job]
		if s == nil || m.task(id) == nil {
			continue
		}
		if s.Record.Spec.Class == job.Service {
			m.sendCommand(s, id.Index, drainCommand)
		} else {
			m.sendCommand(s, id.Index, checkpointCommand)
		}
	}
}

// Instance is a running service instance with what its permits are divided from.
type Instance struct {
	Endpoint    routing.Endpoint
	Concurrency int32
	Connections int64 // of the whole worker
	Inherited   bool  // started by a former owner
}

// Instances returns the service instances of the partition that have an address.
func (m *Machine) Instances() []Instance {
	var instances []Instance
	for id, s := range m.jobs {
		if s.Record.Spec.Class != job.Service {
			continue
		}
		for i := range s.Tasks {
			t := &s.Tasks[i]
			w := m.workers[t.Worker]
			if t.Phase != job.TaskRunning || t.Address == "" || w == nil {
				continue
			}
			instances = append(instances, Instance{
				Endpoint: routing.Endpoint{Instance: job.TaskID{Job: id, Index: int32(i)}, Attempt: t.Attempt,
					Service: s.Record.Spec.Service, Worker: t.Worker, Zone: w.host.Zone, Address: t.Address,
					Draining: t.Stopping || !w.held},
				Concurrency: s.Record.Spec.Concurrency,
				Connections: w.connections,
				Inherited:   t.Inherited,
			})
		}
	}
	return instances
}

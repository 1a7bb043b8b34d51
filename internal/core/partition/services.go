package partition

import (
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/port"
)

// replacementTimeout bounds how long instances on leaving workers are kept while their replacements start.
const replacementTimeout = 30 * time.Second

// maxInstances bounds the instance indexes that a worker may report for a service, because a task is kept for every
// index up to the highest one.
const maxInstances = 1 << 16

// ServiceID returns the ID of the job whose tasks are a service's instances in a partition. Every node computes the
// same ID, so that a new owner recognises the running instances.
func ServiceID(partition string, d DesiredService) job.ID {
	return job.NewID("service/"+d.Spec.Service, partition+"/"+d.Version)
}

// applyServices updates the service jobs to match the configuration. Services have no record in the store: the
// configuration says what should run, and the inventories say what does run.
func (m *Machine) applyServices(now time.Time) {
	wanted := map[job.ID]DesiredService{}
	for _, d := range m.config.Services {
		id := ServiceID(m.options.Partition, d)
		wanted[id] = d
		s := m.jobs[id]
		if s == nil {
			record := job.Record{ID: id, Spec: d.Spec, Partition: m.options.Partition, SubmittedMS: now.UnixMilli(), Phase: job.Pending}
			record.Spec.Tasks = 0
			s = job.NewState(record)
			m.jobs[id] = s
		}
		if n := d.Spec.Tasks; n > int32(len(s.Tasks)) {
			s.Resize(n)
		}
		s.Record.Spec.Tasks = d.Spec.Tasks
		m.queue.add(s)
		m.bookKnownTasks(s, now)
	}
	m.desiredServices = wanted
}

// isObsoleteService reports whether the job is a service, or a version of one, that is no longer wanted.
func (m *Machine) isObsoleteService(id job.ID) bool {
	s := m.jobs[id]
	if s == nil || s.Record.Spec.Class != job.Service {
		return false
	}
	_, wanted := m.desiredServices[id]
	return !wanted
}

// reconcileServices keeps the wanted number of instances running. Where there is room, replacements for old versions
// and for instances on leaving workers start before those are drained.
func (m *Machine) reconcileServices(now time.Time) {
	for id, s := range m.jobs {
		if s.Record.Spec.Class != job.Service {
			continue
		}
		if d, wanted := m.desiredServices[id]; wanted {
			m.reconcileDesired(s, d.Spec.Tasks, now)
		} else {
			m.drainObsolete(s)
		}
	}
}

// servingInstances lists the instances of a service that aren't draining, either on workers that are leaving or on all
// others. Highest indexes come first.
func (m *Machine) servingInstances(s *job.State, leaving bool) (indexes []int32) {
	for i := int32(len(s.Tasks)) - 1; i >= 0; i-- {
		t := &s.Tasks[i]
		w := m.workers[t.Worker]
		if t.Phase == job.TaskRunning && !t.Stopping && w != nil && (w.host.State == port.HostLeaving) == leaving {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// reconcileDesired makes tasks pending for missing instances and drains surplus ones. The tasks of drained instances are
// in phase succeeded until they are reopened.
func (m *Machine) reconcileDesired(s *job.State, n int32, now time.Time) {
	if !m.settled {
		return
	}
	staying := m.servingInstances(s, false)
	m.setPendingCount(s, max(0, n-int32(len(staying))))
	for len(staying) > int(n) {
		m.sendCommand(s, staying[0], drainCommand)
		staying = staying[1:]
	}
	surplus := m.readyInstances(s) - n
	for _, i := range m.servingInstances(s, true) {
		leavingFor := now.Sub(m.workers[s.Tasks[i].Worker].leavingAt)
		if surplus--; surplus >= 0 || m.waitReasons[s.Record.ID] != "" || leavingFor >= replacementTimeout {
			m.sendCommand(s, i, drainCommand)
		}
	}
	keep := int32(len(s.Tasks))
	for keep > n && s.Tasks[keep-1].Phase == job.TaskSucceeded {
		keep--
	}
	s.Resize(keep)
	s.Record.Spec.Tasks = n
}

// setPendingCount opens or closes tasks until the given number is pending or intended.
func (m *Machine) setPendingCount(s *job.State, n int32) {
	pending := s.Count(job.TaskPending) + s.Count(job.TaskIntended)
	for i := range s.Tasks {
		if pending < n && s.Tasks[i].Phase == job.TaskSucceeded {
			s.Reopen(int32(i))
			pending++
		}
	}
	if pending < n {
		s.Resize(int32(len(s.Tasks)) + n - pending)
	}
	for i := len(s.Tasks) - 1; i >= 0 && pending > n; i-- {
		if s.Tasks[i].Phase == job.TaskPending {
			m.setPhase(s, int32(i), job.TaskSucceeded)
			pending--
		}
	}
	if n == 0 {
		delete(m.waitReasons, s.Record.ID)
	}
	m.queue.add(s)
}

// addReportedInstance adds a task for an instance that a worker reports but that this owner doesn't expect.
func (m *Machine) addReportedInstance(id job.TaskID) {
	s := m.jobs[id.Job]
	if s == nil || s.Record.Spec.Class != job.Service || id.Index < 0 || id.Index > maxInstances {
		return
	}
	for int(id.Index) >= len(s.Tasks) {
		s.Resize(int32(len(s.Tasks)) + 1)
		m.setPhase(s, int32(len(s.Tasks))-1, job.TaskSucceeded)
	}
	if s.Tasks[id.Index].Phase == job.TaskSucceeded {
		s.Reopen(id.Index)
	}
}

// drainObsolete drains the instances of a service or version that is no longer wanted: all of them if the service is
// gone, otherwise as many as the old and the new version together have ready beyond the wanted number, and one at a
// time if the new version finds no room beside the old one.
func (m *Machine) drainObsolete(old *job.State) {
	if old.Count(job.TaskRunning)+old.Count(job.TaskIntended) == 0 {
		m.forgetJob(old)
		return
	}
	running := append(m.servingInstances(old, true), m.servingInstances(old, false)...)
	surplus := int32(len(running))
	for id, d := range m.desiredServices {
		if d.Spec.Service != old.Record.Spec.Service || d.Spec.Tasks == 0 {
			continue
		}
		surplus = m.readyInstances(old) + m.readyInstances(m.jobs[id]) - d.Spec.Tasks
		if surplus <= 0 && m.waitReasons[id] != "" && len(running) == int(old.Count(job.TaskRunning)) {
			surplus = 1
		}
	}
	for _, i := range running {
		if surplus--; surplus >= 0 {
			m.sendCommand(old, i, drainCommand)
		}
	}
}

// awaitsReplacement reports whether unmanaged service instances, which may belong to an old version of a service,
// should keep running until the wanted services run.
func (m *Machine) awaitsReplacement(now time.Time) bool {
	for id, d := range m.desiredServices {
		if m.readyInstances(m.jobs[id]) < d.Spec.Tasks && m.waitReasons[id] == "" {
			return now.Sub(m.acquiringSince) < m.options.Timing.ForeignLeaseExpiry()+replacementTimeout
		}
	}
	return false
}

func (m *Machine) readyInstances(s *job.State) int32 {
	n := int32(0)
	for i := range s.Tasks {
		if s.Tasks[i].Phase == job.TaskRunning && s.Tasks[i].Address != "" && !s.Tasks[i].Stopping {
			n++
		}
	}
	return n
}

// checkpointLeaving checkpoints batch and gang tasks on workers that are leaving; they continue on other workers.
func (m *Machine) checkpointLeaving() {
	for _, w := range m.workers {
		if !w.held || w.host.State != port.HostLeaving {
			continue
		}
		for id := range w.tasks {
			if s := m.jobs[id.Job]; s != nil && m.task(id) != nil && s.Record.Spec.Class != job.Service {
				m.sendCommand(s, id.Index, checkpointCommand)
			}
		}
	}
}

// Instance is a running service instance, with the figures from which its permits are derived.
type Instance struct {
	Endpoint    routing.Endpoint
	Concurrency int32
	Connections int64 // accepted by the whole worker
	Inherited   bool  // started by a previous owner
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

package partition

import (
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// task returns a task of a known job, or nil.
func (m *Machine) task(id job.TaskID) *job.Task {
	s := m.jobs[id.Job]
	if s == nil || id.Index < 0 || int(id.Index) >= len(s.Tasks) {
		return nil
	}
	return &s.Tasks[id.Index]
}

// reconcile merges a worker's inventory. The inventory is complete: a task that is booked on the worker and has no
// record there was never started.
func (m *Machine) reconcile(w *worker, records []port.TaskRecord, now time.Time) {
	present := map[job.TaskID]bool{}
	w.strangers = map[job.TaskID]stranger{}
	m.restoreReservations(w)
	for _, r := range records {
		if r.State == port.TaskRunning {
			present[r.Task] = true
			m.foundRunning(w, r, now)
		}
	}
	for _, r := range records {
		if r.State != port.TaskRunning {
			present[r.Task] = true
			m.apply(w, r, now)
		}
	}
	for id, attempt := range w.tasks {
		if t := m.task(id); !present[id] && t != nil && t.Phase == job.TaskRunning && t.Attempt == attempt {
			m.requeue(m.jobs[id.Job], id.Index, "worker never started it", now)
		}
	}
}

// restoreReservations books the tasks that stayed assigned to a worker while its lease was lost.
func (m *Machine) restoreReservations(w *worker) {
	for id := range w.tasks {
		if t := m.task(id); t != nil {
			m.options.Invariant("host_capacity", m.cluster.Reserve(w.host.ID, m.request(m.jobs[id.Job], t)) == nil,
				"worker", w.host.ID, "task", id.String())
		}
	}
}

// foundRunning books an attempt that a worker reports as running.
func (m *Machine) foundRunning(w *worker, r port.TaskRecord, now time.Time) {
	s, t := m.jobs[r.Task.Job], m.task(r.Task)
	if t == nil {
		m.foundStranger(w, r)
		return
	}
	if t.Phase == job.TaskRunning && t.Worker == w.host.ID {
		t.Attempt, t.Confirmed, t.Address, t.Throttled = r.Attempt, true, r.Address, r.Throttled
		w.tasks[r.Task] = r.Attempt
		return
	}
	if t.Phase == job.TaskRunning || t.Phase.Final() {
		m.options.Invariant("one_place_per_task", false, "task", r.Task.String(), "worker", w.host.ID, "other", t.Worker)
		w.commands = append(w.commands, port.Command{Task: r.Task, Attempt: r.Attempt, Action: stopCommand})
		m.foundStranger(w, r)
		return
	}
	if t.Phase == job.TaskIntended {
		m.unbook(s, r.Task.Index)
		m.setPhase(s, r.Task.Index, job.TaskPending)
	}
	t.Attempt, t.Worker, t.Reserved, t.Address = r.Attempt, w.host.ID, r.Reserved, r.Address
	t.StartedAt, t.Confirmed, t.Throttled, t.Inherited = now, true, r.Throttled, true
	m.setPhase(s, r.Task.Index, job.TaskRunning)
	w.tasks[r.Task] = r.Attempt
	request := m.request(s, t)
	m.options.Invariant("host_capacity", m.cluster.Reserve(w.host.ID, request) == nil, "worker", w.host.ID, "task", r.Task.String())
	m.ledger.Restore(s.Record.Spec.Team, t.Reserved)
	m.shares.AddLocal(s.Record.Spec.Team, t.Reserved)
	m.markStarted(s, now)
}

// foundStranger reserves the capacity of a running task whose job isn't known yet or any more.
func (m *Machine) foundStranger(w *worker, r port.TaskRecord) {
	request := placement.Request{Job: r.Task.Job, Resources: r.Reserved}
	if m.cluster.Reserve(w.host.ID, request) == nil {
		w.strangers[r.Task] = stranger{request: request, attempt: r.Attempt, address: r.Address}
	}
}

// adopt books tasks of a job that becomes known after the inventories that name them.
func (m *Machine) adopt(s *job.State, now time.Time) {
	for _, id := range m.workerIDs() {
		w := m.workers[id]
		for task, x := range w.strangers {
			if task.Job != s.Record.ID {
				continue
			}
			m.cluster.Release(w.host.ID, x.request)
			delete(w.strangers, task)
			m.foundRunning(w, port.TaskRecord{Task: task, Attempt: x.attempt, Reserved: x.request.Resources, Address: x.address}, now)
		}
	}
}

// stopStrangers stops tasks of jobs that don't exist any more, once the job table is complete.
func (m *Machine) stopStrangers() {
	for _, w := range m.workers {
		for id, x := range w.strangers {
			if !w.held || x.stopping {
				continue
			}
			action := stopCommand
			if x.address != "" {
				action = drainCommand
			}
			x.stopping = true
			w.strangers[id] = x
			w.commands = append(w.commands, port.Command{Task: id, Attempt: x.attempt, Action: action})
		}
	}
}

// apply handles the end of an attempt, or the address of a started instance.
func (m *Machine) apply(w *worker, r port.TaskRecord, now time.Time) {
	if x, known := w.strangers[r.Task]; known && r.State != port.TaskRunning {
		m.cluster.Release(w.host.ID, x.request)
		delete(w.strangers, r.Task)
	}
	s, t := m.jobs[r.Task.Job], m.task(r.Task)
	if t == nil {
		return
	}
	booked := t.Phase == job.TaskRunning && t.Worker == w.host.ID && t.Attempt == r.Attempt
	if r.State == port.TaskRunning {
		if booked {
			t.Address, t.Confirmed = r.Address, true
		}
		return
	}
	if !booked {
		m.applyUnbooked(s, t, r)
		return
	}
	m.ended_(s, r, now)
}

// applyUnbooked handles the end of an attempt that this owner hadn't booked, for instance one that a previous owner
// started.
func (m *Machine) applyUnbooked(s *job.State, t *job.Task, r port.TaskRecord) {
	if t.Phase.Final() || t.Phase == job.TaskRunning {
		return
	}
	t.Attempt = max(t.Attempt, r.Attempt)
	switch r.State {
	case port.TaskSucceeded:
		if t.Phase == job.TaskIntended {
			m.unbook(s, r.Task.Index)
		}
		m.setPhase(s, r.Task.Index, job.TaskSucceeded)
	case port.TaskCheckpointed:
		t.Checkpoint = r.Checkpoint
		m.account(r.Task)
	case port.TaskFailed, port.TaskLapsed:
		if !s.Record.Spec.Idempotent {
			m.setPhase(s, r.Task.Index, job.TaskUnknown)
			return
		}
		m.account(r.Task)
	default:
		m.account(r.Task)
	}
}

// ended_ handles the end of a booked attempt.
func (m *Machine) ended_(s *job.State, r port.TaskRecord, now time.Time) {
	index := r.Task.Index
	t := &s.Tasks[index]
	ran, worker := now.Sub(t.StartedAt), t.Worker
	if s.Record.CancelRequested {
		m.unbook(s, index)
		if r.State == port.TaskSucceeded {
			m.setPhase(s, index, job.TaskSucceeded)
		} else {
			m.setPhase(s, index, job.TaskPending)
		}
		return
	}
	switch r.State {
	case port.TaskSucceeded:
		m.unbook(s, index)
		m.setPhase(s, index, job.TaskSucceeded)
		m.sizes.ObserveDuration(sizeKey(s), declaredDuration(s), ran)
		m.recordOutcome(s, index, worker, true, now)
	case port.TaskFailed:
		m.failed(s, index, r.Message, now)
	case port.TaskCheckpointed:
		t.Checkpoint = r.Checkpoint
		m.requeue(s, index, "checkpointed", now)
	case port.TaskLapsed:
		if !s.Record.Spec.Idempotent && s.Record.Spec.Class != job.Service {
			m.unbook(s, index)
			m.setPhase(s, index, job.TaskUnknown)
			return
		}
		m.requeue(s, index, "lease lapsed", now)
	default:
		m.requeue(s, index, "stopped", now)
	}
}

func (m *Machine) failed(s *job.State, index int32, message string, now time.Time) {
	t := &s.Tasks[index]
	w := t.Worker
	if !slices.Contains(t.FailedOn, w) {
		t.FailedOn = append(t.FailedOn, w)
	}
	switch {
	case s.Record.Spec.Class == job.Service:
		m.requeue(s, index, "instance failed: "+message, now)
	case !s.Record.Spec.Idempotent:
		m.unbook(s, index)
		m.setPhase(s, index, job.TaskBroken)
		s.Record.Reason = "task failed: " + message
	default:
		m.requeue(s, index, "failed: "+message, now)
	}
	m.recordOutcome(s, index, w, false, now)
}

// requeue makes a task pending again whose last attempt has certainly ended.
func (m *Machine) requeue(s *job.State, index int32, reason string, now time.Time) {
	id := job.TaskID{Job: s.Record.ID, Index: index}
	worker := s.Tasks[index].Worker
	m.unbook(s, index)
	m.setPhase(s, index, job.TaskPending)
	m.account(id)
	m.requeued[id] = now
	m.decide(Decision{Kind: DecideRequeue, Task: id, Team: s.Record.Spec.Team, Worker: worker, Reason: reason})
	m.breakGang(s, index)
}

// account notes that a pending task has certainly no running attempt, so that it may start before the partition is
// settled.
func (m *Machine) account(id job.TaskID) {
	if _, known := m.requeued[id]; !known {
		m.requeued[id] = time.Time{}
	}
}

func (m *Machine) accountedTask(id job.TaskID) bool {
	_, known := m.requeued[id]
	return known
}

// unbook gives back what a task holds on its worker and of its team's allowance.
func (m *Machine) unbook(s *job.State, index int32) {
	t := &s.Tasks[index]
	id := job.TaskID{Job: s.Record.ID, Index: index}
	if t.Worker == "" {
		return
	}
	if w := m.workers[t.Worker]; w != nil {
		delete(w.tasks, id)
		if w.held {
			m.cluster.Release(t.Worker, m.request(s, t))
		}
	}
	m.roomMade(id)
	m.ledger.Release(s.Record.Spec.Team, t.Reserved)
	m.shares.AddLocal(s.Record.Spec.Team, resource.Vector{}.Sub(t.Reserved))
}

// loseTasks accounts for the tasks of a worker whose leases have certainly lapsed.
func (m *Machine) loseTasks(w *worker, now time.Time) {
	for id := range w.tasks {
		s, t := m.jobs[id.Job], m.task(id)
		if t == nil || t.Worker != w.host.ID || t.Phase.Final() {
			continue
		}
		if s.Record.Spec.Idempotent || s.Record.Spec.Class == job.Service || t.Phase == job.TaskIntended {
			m.requeue(s, id.Index, "worker lost", now)
			continue
		}
		m.unbook(s, id.Index)
		m.setPhase(s, id.Index, job.TaskUnknown)
	}
	w.tasks = map[job.TaskID]int32{}
}

// setPhase moves a task to a phase; a forbidden transition is an invariant violation and changes nothing.
func (m *Machine) setPhase(s *job.State, index int32, to job.TaskPhase) {
	if err := s.Set(index, to); err != nil {
		m.options.Invariant("task_transition", false, "error", err)
		return
	}
	if to.Final() || to == job.TaskIntended || !s.Record.Spec.Idempotent {
		m.progress.dirty = true
	}
	if to.Final() {
		delete(m.requeued, job.TaskID{Job: s.Record.ID, Index: index})
	}
	m.queue.touch(s)
}

// request is what placement sees of a task.
func (m *Machine) request(s *job.State, t *job.Task) placement.Request {
	spec := &s.Record.Spec
	return placement.Request{Job: s.Record.ID, Team: spec.Team, Service: spec.Service, Pool: spec.Pool, Class: spec.Class,
		Urgent: spec.Urgent, Resources: t.Reserved}
}

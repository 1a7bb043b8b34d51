package partition

import (
	"maps"
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

// reconcile merges a worker's inventory. The inventory is complete: an attempt that is booked on the worker but missing
// from the inventory was never started, unless the worker has lost its state in a restart.
func (m *Machine) reconcile(w *worker, inv port.Inventory, now time.Time) {
	present := map[attemptID]bool{}
	for id := range w.unmanaged {
		m.releaseUnmanaged(w, id)
	}
	w.orphans = nil
	for _, b := range w.tasks {
		b.reserved = false
	}
	for _, r := range inv.Tasks {
		present[attemptID{r.Task, r.Attempt}] = true
		if r.State == port.TaskRunning {
			m.bookReported(w, r, now)
		}
	}
	for _, r := range inv.Tasks {
		if r.State != port.TaskRunning {
			m.applyRecord(w, r, now)
		}
	}
	for _, id := range sortedTasks(w.tasks) {
		b, s, t := w.tasks[id], m.jobs[id.Job], m.task(id)
		switch {
		case b == nil || t == nil || b.reserved || present[attemptID{id, b.attempt}]:
		case t.Phase == job.TaskIntended && m.cluster.Reserve(w.host.ID, m.request(s, t)) == nil:
			b.reserved = true
		case t.Phase == job.TaskRunning && inv.DurableMark == 0 && atMostOnce(s):
			m.unbook(s, id.Index)
			m.setPhase(s, id.Index, job.TaskUnknown)
		default:
			m.requeue(s, id.Index, "worker never started it", now)
		}
	}
}

// attemptID identifies an attempt of a task.
type attemptID struct {
	task   job.TaskID
	number int32
}

// atMostOnce reports whether tasks of the job may be attempted at most once, that is, not again after an attempt that
// may have run.
func atMostOnce(s *job.State) bool {
	return !s.Record.Spec.Idempotent && s.Record.Spec.Class != job.Service
}

func sortedTasks[V any](tasks map[job.TaskID]V) []job.TaskID {
	return slices.SortedFunc(maps.Keys(tasks), compareTaskIDs)
}

// bookReported books an attempt that a worker reports as running.
func (m *Machine) bookReported(w *worker, r port.TaskRecord, now time.Time) {
	m.addReportedInstance(r.Task)
	s, t := m.jobs[r.Task.Job], m.task(r.Task)
	if t == nil {
		m.addUnmanaged(w, r)
		return
	}
	delete(m.progress.intents, r.Task)
	t.HighestAttempt = max(t.HighestAttempt, r.Attempt)
	b := w.tasks[r.Task]
	if t.Phase == job.TaskRunning && b != nil && b.attempt == r.Attempt {
		t.Confirmed, t.Address, t.Throttled = true, r.Address, r.Throttled
		b.reserved = m.reserveReported(w, s, t)
		if b.command != nil {
			w.commands = append(w.commands, port.Command{Task: r.Task, Attempt: r.Attempt, Action: *b.command})
		}
		m.stopIfUnwanted(s, r.Task.Index)
		return
	}
	if other := m.workers[t.Worker]; t.Phase.Final() || (t.Phase == job.TaskRunning && other != w && m.leaseValid(other, now)) {
		m.options.Invariant("one_place_per_task", t.Phase == job.TaskUnknown || t.Phase == job.TaskBroken,
			"task", r.Task.String(), "worker", w.host.ID, "other", t.Worker)
		m.addUnmanaged(w, r)
		m.stopUnmanaged(w, r.Task)
		return
	}
	if t.Phase != job.TaskPending {
		// This owner booked the task before another owner restarted it, or hasn't started it yet.
		m.unbook(s, r.Task.Index)
		m.setPhase(s, r.Task.Index, job.TaskPending)
	}
	t.Attempt, t.Worker, t.Reserved, t.Address = r.Attempt, w.host.ID, r.Reserved, r.Address
	t.StartedAt, t.Confirmed, t.Throttled, t.Inherited = now, true, r.Throttled, true
	m.setPhase(s, r.Task.Index, job.TaskRunning)
	w.tasks[r.Task] = &booking{attempt: r.Attempt, reserved: m.reserveReported(w, s, t)}
	m.ledger.Restore(s.Record.Spec.Team, t.Reserved)
	m.shares.AddLocal(s.Record.Spec.Team, t.Reserved)
	m.markStarted(s, now)
	m.stopIfUnwanted(s, r.Task.Index)
}

func (m *Machine) reserveReported(w *worker, s *job.State, t *job.Task) bool {
	return w.held && m.options.Invariant("host_capacity", m.cluster.Reserve(w.host.ID, m.request(s, t)) == nil,
		"worker", w.host.ID, "job", string(s.Record.ID))
}

// stopIfUnwanted stops a running task of a job that was cancelled or abandoned.
func (m *Machine) stopIfUnwanted(s *job.State, index int32) {
	if s.Record.CancelRequested || s.Abandoned {
		m.sendCommand(s, index, stopCommand)
	}
}

// applyRecord applies a worker's record of an attempt: the end of the attempt, or the address of a started instance.
func (m *Machine) applyRecord(w *worker, r port.TaskRecord, now time.Time) {
	if x, known := w.unmanaged[r.Task]; known && r.State != port.TaskRunning && x.attempt == r.Attempt {
		m.releaseUnmanaged(w, r.Task)
		if x.team != "" {
			return
		}
	}
	s, t := m.jobs[r.Task.Job], m.task(r.Task)
	if t == nil {
		if r.State != port.TaskRunning {
			w.orphans, w.orphanedAt = append(w.orphans, r), now
		}
		return
	}
	t.HighestAttempt = max(t.HighestAttempt, r.Attempt)
	booked := t.Phase == job.TaskRunning && t.Worker == w.host.ID && t.Attempt == r.Attempt
	if r.State == port.TaskRunning {
		if booked {
			t.Address, t.Confirmed = r.Address, true
		}
		return
	}
	if !booked {
		m.applyUnbooked(w, s, t, r)
		return
	}
	m.attemptEnded(s, r, now)
}

// applyUnbooked handles the end of an attempt that this owner hasn't booked, for instance one that a previous
// owner started. A later attempt may still run on a worker that hasn't reported yet.
func (m *Machine) applyUnbooked(w *worker, s *job.State, t *job.Task, r port.TaskRecord) {
	if m.progress.intents[r.Task] == w.host.ID {
		delete(m.progress.intents, r.Task)
	}
	if t.Phase.Final() {
		return
	}
	if t.Phase == job.TaskRunning {
		if r.State == port.TaskSucceeded && s.Record.Spec.Class != job.Service {
			m.finishTask(s, r.Task.Index, job.TaskSucceeded)
		}
		return
	}
	switch {
	case r.State == port.TaskSucceeded:
		m.finishTask(s, r.Task.Index, job.TaskSucceeded)
	case r.State == port.TaskCheckpointed:
		if r.Attempt >= t.HighestAttempt {
			t.Checkpoint = r.Checkpoint
		}
	case atMostOnce(s) && !s.Record.CancelRequested:
		m.finishTask(s, r.Task.Index, job.TaskUnknown)
	}
}

// finishTask moves a task to a final phase that is known from a source other than its booked attempt.
func (m *Machine) finishTask(s *job.State, index int32, phase job.TaskPhase) {
	switch {
	case int(index) >= len(s.Tasks) || s.Tasks[index].Phase.Final():
		return
	case s.Tasks[index].Phase == job.TaskRunning:
		m.unbookRunning(s, index)
	case s.Tasks[index].Phase == job.TaskIntended:
		m.unbook(s, index)
		m.setPhase(s, index, job.TaskPending)
	}
	m.setPhase(s, index, phase)
}

// attemptEnded handles the end of a booked attempt.
func (m *Machine) attemptEnded(s *job.State, r port.TaskRecord, now time.Time) {
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
	if t.Stopping && s.Record.Spec.Class == job.Service {
		m.unbook(s, index)
		m.setPhase(s, index, job.TaskSucceeded) // the instance was drained
		return
	}
	switch r.State {
	case port.TaskSucceeded:
		m.unbook(s, index)
		m.setPhase(s, index, job.TaskSucceeded)
		m.sizes.ObserveDuration(statsKey(s), declaredDuration(s), ran)
		m.recordOutcome(s, index, worker, true, now)
	case port.TaskFailed:
		m.attemptFailed(s, index, r.Message, now)
	case port.TaskCheckpointed:
		t.Checkpoint = r.Checkpoint
		m.requeue(s, index, "checkpointed", now)
	default:
		if atMostOnce(s) {
			m.unbook(s, index)
			m.setPhase(s, index, job.TaskUnknown)
			return
		}
		m.requeue(s, index, r.State.String(), now)
	}
}

func (m *Machine) attemptFailed(s *job.State, index int32, message string, now time.Time) {
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

// requeued describes a pending task whose last attempt this owner has seen end.
type requeued struct {
	at time.Time
	// endConfirmed means that no attempt runs anywhere, so that the task may start before the partition is settled.
	endConfirmed bool
	// uncertain means that another owner may have seen the attempt end too and restarted the task. The task then waits
	// until every worker has reported, even if the partition is settled.
	uncertain bool
}

// requeue makes a task pending again after its last attempt has certainly ended.
func (m *Machine) requeue(s *job.State, index int32, reason string, now time.Time) {
	id := job.TaskID{Job: s.Record.ID, Index: index}
	worker := s.Tasks[index].Worker
	m.unbook(s, index)
	m.setPhase(s, index, job.TaskPending)
	m.recordDecision(Decision{Kind: DecideRequeue, Task: id, Team: s.Record.Spec.Team, Worker: worker, Reason: reason})
	if s.Abandoned {
		m.setPhase(s, index, job.TaskBroken)
		return
	}
	m.requeued[id] = requeued{now, !m.requeueUncertain, m.requeueUncertain}
	m.anyUncertain = m.anyUncertain || m.requeueUncertain
	m.restartGang(s, index, now)
}

func (m *Machine) endConfirmed(id job.TaskID) bool { return m.requeued[id].endConfirmed }

// unbook releases the resources that a task holds on its worker and of its team's allowance.
func (m *Machine) unbook(s *job.State, index int32) {
	t := &s.Tasks[index]
	id := job.TaskID{Job: s.Record.ID, Index: index}
	if t.Worker == "" {
		return
	}
	if w := m.workers[t.Worker]; w != nil && w.tasks[id] != nil {
		if w.held && w.tasks[id].reserved {
			m.cluster.Release(t.Worker, m.request(s, t))
		}
		delete(w.tasks, id)
	}
	t.Worker = ""
	m.victimEnded(id)
	m.ledger.Release(s.Record.Spec.Team, t.Reserved)
	m.shares.AddLocal(s.Record.Spec.Team, resource.Vector{}.Sub(t.Reserved))
}

// releaseLostTasks releases the tasks of a worker whose leases have certainly lapsed. They are requeued, or their
// outcome becomes unknown if they must not run again.
func (m *Machine) releaseLostTasks(w *worker, now time.Time) {
	m.requeueUncertain = true
	defer func() { m.requeueUncertain = false }()
	for _, id := range sortedTasks(w.tasks) {
		s, t := m.jobs[id.Job], m.task(id)
		if w.tasks[id] == nil || t == nil || t.Worker != w.host.ID || t.Phase.Final() {
			continue
		}
		if !atMostOnce(s) || t.Phase == job.TaskIntended {
			m.requeue(s, id.Index, "worker lost", now)
			continue
		}
		m.unbook(s, id.Index)
		m.setPhase(s, id.Index, job.TaskUnknown)
	}
	w.tasks = map[job.TaskID]*booking{}
	for id := range w.unmanaged {
		m.releaseUnmanaged(w, id)
	}
	w.orphans = nil
}

// setPhase moves a task to a phase. A forbidden transition is reported as an invariant violation and changes nothing.
func (m *Machine) setPhase(s *job.State, index int32, to job.TaskPhase) {
	if err := s.Set(index, to); err != nil {
		m.options.Invariant("task_transition", false, "error", err)
		return
	}
	if to.Final() || to == job.TaskIntended || !s.Record.Spec.Idempotent {
		m.progress.dirty = true
	}
	if to.Final() {
		delete(m.progress.intents, job.TaskID{Job: s.Record.ID, Index: index})
		delete(m.requeued, job.TaskID{Job: s.Record.ID, Index: index})
	}
	m.queue.add(s)
}

// request returns the placement request of a task.
func (m *Machine) request(s *job.State, t *job.Task) placement.Request {
	spec := &s.Record.Spec
	return placement.Request{Job: s.Record.ID, Team: spec.Team, Service: spec.Service, Pool: spec.Pool, Class: spec.Class,
		Urgent: spec.Urgent, Resources: t.Reserved}
}

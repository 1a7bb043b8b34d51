package partition

import (
	"sort"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// usageInterval is how often a worker is asked for the usage of its tasks. Usage reports lag by seconds in any case.
const usageInterval = 10 * time.Second

const (
	stopCommand       = port.Stop
	checkpointCommand = port.Checkpoint
	drainCommand      = port.Drain
)

// worker is the owner's view of one worker of the partition.
type worker struct {
	host     port.Host
	listedAt time.Time
	// deadAt is when the host list first reported the worker as dead; zero if it doesn't.
	deadAt    time.Time
	leavingAt time.Time // when the host list first reported the worker as leaving; zero if it doesn't
	held      bool      // this node holds the control lease
	token     port.Token
	// lastSent is when the last message that could renew the control lease was sent.
	lastSent      time.Time
	lastAccepted  time.Time // when the last message that the worker accepted was sent
	heldBefore    bool      // this machine has held the control lease before
	tasksKnown    bool      // the worker is held, or its tasks have certainly stopped
	expired       bool      // tasksKnown is set only because the leases have lapsed
	capacity      resource.Vector
	pool          string
	connections   int64
	lastEvent     uint64 // sequence of the last event applied
	forgetThrough uint64 // sequence up to which the effects of events are durable
	durableMark   uint64 // largest durable mark that the worker reported or accepted
	tasks         map[job.TaskID]*booking
	unmanaged     map[job.TaskID]unmanagedTask // running attempts that aren't booked
	orphans       []port.TaskRecord            // records of ended attempts whose jobs aren't known
	orphanedAt    time.Time
	// markAllowed means that the worker had a durable mark when it was acquired, or that a progress document built since
	// then is durable. Otherwise the worker may have lost records that it wasn't told to forget, for instance in a
	// restart, and a durable document has to hold their outcome before the worker gets a mark.
	markAllowed bool
	markSent    bool // since the worker was acquired
	// startsInFlight means that a batch with starts may still arrive. The worker then keeps the records by which it
	// would recognise the batch as a duplicate.
	startsInFlight   bool
	starts           []pendingStart
	commands         []port.Command
	usageRequestedAt time.Time
}

// booking records what a task holds on a worker.
type booking struct {
	attempt  int32
	reserved bool         // reserved in the cluster; false while the worker isn't held
	command  *port.Action // the last command that ends the attempt
}

// unmanagedTask is a running attempt that isn't booked: its job isn't known, or its booking has ended.
type unmanagedTask struct {
	team     string // team whose allowance it still uses; empty if unknown
	reserved bool
	request  placement.Request // what is reserved on the worker
	attempt  int32
	address  string // of a service instance
	stopping bool
}

type pendingStart struct {
	task    job.TaskID
	attempt int32
}

// SetHosts applies the host list's entries for the partition.
func (m *Machine) SetHosts(hosts []port.Host, now time.Time) {
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.ID] = true
		w := m.workers[h.ID]
		if w == nil {
			w = &worker{listedAt: now, tasks: map[job.TaskID]*booking{}, unmanaged: map[job.TaskID]unmanagedTask{}}
			m.workers[h.ID] = w
		}
		switch {
		case h.State != port.HostLeaving:
			w.leavingAt = time.Time{}
		case w.leavingAt.IsZero():
			w.leavingAt = now
		}
		w.host = h
		switch {
		case h.State != port.HostDead:
			w.deadAt = time.Time{}
		case w.deadAt.IsZero():
			w.deadAt = now
		}
		if w.held {
			m.upsertWorker(w)
		}
	}
	for id, w := range m.workers {
		// A worker that disappears from the list counts as dead until its tasks are accounted for.
		if !listed[id] {
			if w.deadAt.IsZero() {
				w.deadAt = now
				w.host.State = port.HostDead
			}
			if w.tasksKnown && !w.held && len(w.tasks) == 0 {
				delete(m.workers, id)
				delete(m.quarantined, id)
				m.health.ForgetWorker(id)
			}
		}
	}
}

func (m *Machine) upsertWorker(w *worker) {
	m.cluster.Upsert(placement.Worker{
		ID: w.host.ID, Zone: w.host.Zone, Rack: w.host.Rack, Pool: w.pool, Capacity: w.capacity,
		Leaving: w.host.State == port.HostLeaving, Quarantined: m.quarantined[w.host.ID],
	})
}

// ToAcquire returns the workers whose control lease this node should request, ordered by ID.
func (m *Machine) ToAcquire(now time.Time) []port.Host {
	var hosts []port.Host
	for _, w := range m.workers {
		if !w.held && now.Sub(w.listedAt) >= m.announceDelay(w) {
			hosts = append(hosts, w.host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}

// announceDelay returns how long a worker must have been listed before it is used. It is 0 for workers that were listed
// when this node began to acquire the partition, because all nodes know of them.
func (m *Machine) announceDelay(w *worker) time.Duration {
	if !w.listedAt.After(m.acquiringSince) {
		return 0
	}
	return m.options.Timing.Announce
}

// Acquired applies the inventory of a worker that granted its control lease in response to a call sent at sentAt.
func (m *Machine) Acquired(id string, inv port.Inventory, sentAt, now time.Time) {
	w := m.workers[id]
	if w == nil {
		return
	}
	if w.held {
		m.LeaseLost(id, now)
	}
	if !m.anyLeaseValid(now) {
		m.unsettle(now)
	}
	continuous := inv.Token == w.token+1 // no other owner has held the worker in between
	w.held, w.heldBefore, w.expired = true, true, false
	w.token, w.lastSent, w.lastAccepted = inv.Token, sentAt, sentAt
	w.forgetThrough, w.startsInFlight = 0, false
	w.capacity, w.pool, w.connections = inv.Capacity, inv.Pool, inv.Connections
	m.maxCapacity = m.maxCapacity.Max(inv.Capacity)
	m.sizes.SetCapacity(m.maxCapacity)
	stateLost := inv.Sequence < w.lastEvent || inv.DurableMark < w.durableMark
	w.lastEvent, w.durableMark, w.markAllowed = inv.Sequence, inv.DurableMark, inv.DurableMark > 0
	m.progress.dirty = m.progress.dirty || !w.markAllowed
	w.markSent = false
	w.starts, w.commands = nil, nil
	if stateLost {
		m.workerLost(w, now) // the worker restarted without its state
	}
	m.upsertWorker(w)
	m.requeueUncertain = !continuous
	m.reconcile(w, inv, now)
	m.requeueUncertain = false
	w.tasksKnown = true
}

// LeaseToken returns the token of a worker whose control lease this node holds, and whether it holds it. The lease
// counts as held until LeaseLost is called.
func (m *Machine) LeaseToken(id string) (port.Token, bool) {
	w := m.workers[id]
	if w == nil || !w.held {
		return 0, false
	}
	return w.token, true
}

// UnheldWorkers returns the number of workers that aren't held.
func (m *Machine) UnheldWorkers() int {
	n := 0
	for _, w := range m.workers {
		if !w.held {
			n++
		}
	}
	return n
}

// AllWorkersDead reports whether the host list says that every worker is dead.
func (m *Machine) AllWorkersDead() bool {
	for _, w := range m.workers {
		if w.deadAt.IsZero() {
			return false
		}
	}
	return true
}

// LeaseLost reports that the worker refused this node's token or couldn't be renewed in time. Its tasks stay booked
// until the worker is held again or its leases have certainly lapsed.
func (m *Machine) LeaseLost(id string, now time.Time) {
	w := m.workers[id]
	if w == nil || !w.held {
		return
	}
	w.held, w.tasksKnown = false, false
	w.starts, w.commands = nil, nil
	w.lastSent = now // polls, which also renew the lease, were sent until now
	m.cluster.Remove(id)
	for task, x := range w.unmanaged {
		x.reserved = false
		w.unmanaged[task] = x
	}
}

// TakeBatch returns the next message for a worker and removes its content from the machine's queues. The caller must
// report the result with Synced or SyncFailed.
func (m *Machine) TakeBatch(id string, now time.Time) (port.Sync, bool) {
	w := m.workers[id]
	if w == nil || !w.held {
		return port.Sync{}, false
	}
	forget, mark := m.DurableThrough(id)
	w.markSent = w.markSent || mark > 0
	s := port.Sync{Token: w.token, Node: m.options.Node, SeenThrough: w.lastEvent, ForgetThrough: forget, DurableMark: mark,
		Commands: w.commands}
	s.Starts = m.groupStarts(w.starts)
	s.Commands, w.commands = splitCommands(w.commands, w.starts)
	w.starts = nil
	w.lastSent = now
	if now.Sub(w.usageRequestedAt) >= usageInterval {
		s.WantUsage, w.usageRequestedAt = true, now
	}
	return s, true
}

// splitCommands holds back commands for tasks whose start is in the same batch, or may have to be repeated after it. A
// worker carries out the commands of a batch before its starts, and ignores a command for a task that it doesn't run.
func splitCommands(commands []port.Command, starts []pendingStart) (now, later []port.Command) {
	starting := map[pendingStart]bool{}
	for _, p := range starts {
		starting[p] = true
	}
	for _, c := range commands {
		if starting[pendingStart{c.Task, c.Attempt}] {
			later = append(later, c)
		} else {
			now = append(now, c)
		}
	}
	return now, later
}

// DurableThrough returns the sequence up to which a worker may forget its events, and the durable mark that goes with
// it.
func (m *Machine) DurableThrough(id string) (forget, mark uint64) {
	w := m.workers[id]
	if w == nil {
		return 0, 0
	}
	if !m.progress.marksAllowed || !w.markAllowed {
		return 0, 0
	}
	m.releaseEvents()
	if !m.progress.dirty && m.progress.inFlight == nil && len(w.orphans) == 0 && m.majorityMarked(m.progress.sequence) {
		w.forgetThrough = w.lastEvent
	}
	if w.startsInFlight {
		return 0, m.progress.sequence
	}
	return w.forgetThrough, m.progress.sequence
}

// HasPendingBatch reports whether starts, commands or the first durable mark are waiting to be sent to the worker.
func (m *Machine) HasPendingBatch(id string) bool {
	w := m.workers[id]
	return w != nil && w.held && (len(w.starts)+len(w.commands) > 0 || m.needsFirstMark(w))
}

// needsFirstMark reports whether a worker without a mark can be given one.
func (m *Machine) needsFirstMark(w *worker) bool {
	return w.durableMark == 0 && !w.markSent && m.progress.marksAllowed && w.markAllowed && m.progress.sequence > 0
}

func (m *Machine) groupStarts(pending []pendingStart) []port.StartGroup {
	var groups []port.StartGroup
	at := map[job.ID]int{}
	for _, p := range pending {
		s := m.jobs[p.task.Job]
		if s == nil || int(p.task.Index) >= len(s.Tasks) {
			continue
		}
		t := &s.Tasks[p.task.Index]
		if t.Phase != job.TaskRunning || t.Attempt != p.attempt {
			continue
		}
		spec := s.Record.Spec
		i, known := at[p.task.Job]
		if !known || groups[i].Reserved != t.Reserved {
			groups = append(groups, port.StartGroup{Job: p.task.Job, Reserved: t.Reserved, Payload: spec.Payload,
				Duration: time.Duration(spec.DurationMS) * time.Millisecond,
				Service:  spec.Class == job.Service, Concurrency: spec.Concurrency, FirstIndex: spec.FirstIndex})
			i = len(groups) - 1
			at[p.task.Job] = i
		}
		groups[i].Tasks = append(groups[i].Tasks, port.TaskStart{Index: p.task.Index, Attempt: t.Attempt, Checkpoint: t.Checkpoint})
	}
	return groups
}

// SyncFailed reports that a batch had no effect, or that its effect isn't known. Starts are repeated with the same
// attempt number, which the worker recognises as long as it keeps the record of the attempt. It keeps all records until
// the lease is acquired again; the new token then fences a batch that is still in transit.
func (m *Machine) SyncFailed(id string, sent port.Sync) {
	w := m.workers[id]
	if w == nil || !w.held || w.token != sent.Token {
		return
	}
	w.startsInFlight = w.startsInFlight || len(sent.Starts) > 0
	for _, g := range sent.Starts {
		for _, t := range g.Tasks {
			w.starts = append(w.starts, pendingStart{job.TaskID{Job: g.Job, Index: t.Index}, t.Attempt})
		}
	}
	w.commands = append(w.commands, sent.Commands...)
}

// Synced applies the answer to a batch that was sent at sentAt.
func (m *Machine) Synced(id string, sent port.Sync, r port.SyncResult, sentAt, now time.Time) {
	w := m.workers[id]
	if w == nil || !w.held || w.token != sent.Token {
		return
	}
	w.lastAccepted = laterTime(w.lastAccepted, sentAt)
	w.durableMark = max(w.durableMark, sent.DurableMark)
	for _, g := range sent.Starts {
		for _, t := range g.Tasks {
			m.confirmStart(w, job.TaskID{Job: g.Job, Index: t.Index}, t.Attempt)
		}
	}
	for _, refusal := range r.Refusals {
		m.applyRefusal(w, refusal, now)
	}
	for _, e := range r.Events {
		if e.Sequence <= w.lastEvent {
			continue
		}
		w.lastEvent = e.Sequence
		m.applyRecord(w, e.Record, now)
	}
	m.observeUsage(w, r.Usage, now)
}

func (m *Machine) confirmStart(w *worker, id job.TaskID, attempt int32) {
	if t := m.task(id); t != nil && t.Phase == job.TaskRunning && t.Worker == w.host.ID && t.Attempt == attempt {
		t.Confirmed = true
	}
}

// applyRefusal applies a worker's refusal to start a task. While an earlier batch may still be in transit, a duplicate
// is left to the inventory that follows. Otherwise the worker keeps the record of an attempt with the same number, from
// before this owner removed the job and loaded it again; the task is requeued and takes the next number.
func (m *Machine) applyRefusal(w *worker, r port.Refusal, now time.Time) {
	if r.Code == port.RefusedDuplicate && w.startsInFlight {
		return
	}
	if x, displaced := w.unmanaged[r.Task]; displaced && x.attempt == r.Attempt {
		m.releaseUnmanaged(w, r.Task)
		return
	}
	s := m.jobs[r.Task.Job]
	if s == nil || m.task(r.Task) == nil {
		return
	}
	t := m.task(r.Task)
	if t.Phase != job.TaskRunning || t.Worker != w.host.ID || t.Attempt != r.Attempt {
		return
	}
	reason := "worker refused: no capacity"
	switch r.Code {
	case port.RefusedLeaving:
		reason = "worker refused: leaving"
	case port.RefusedDuplicate:
		reason = "worker refused: it knows the attempt"
	}
	m.requeue(s, r.Task.Index, reason, now)
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *Machine) workerIDs() []string {
	ids := make([]string, 0, len(m.workers))
	for id := range m.workers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

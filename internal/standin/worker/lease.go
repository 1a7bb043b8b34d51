package worker

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/rpc/workerpb"
)

// lease holds the control lease and the task lease, which ends taskTTL after the control lease. Worker.mu guards it.
type lease struct {
	token        uint64 // of the last grant
	node         string // holder, empty before the first grant
	controlTTL   time.Duration
	taskTTL      time.Duration
	controlUntil time.Time
	tasksUntil   time.Time
}

func (l *lease) renew(now time.Time) {
	l.controlUntil = now.Add(l.controlTTL)
	l.tasksUntil = l.controlUntil.Add(l.taskTTL)
}

func (l *lease) held(now time.Time) bool { return l.node != "" && now.Before(l.controlUntil) }

// accepts reports whether a command with this token and node is accepted.
func (l *lease) accepts(token uint64, node string, now time.Time) bool {
	return l.held(now) && l.token == token && l.node == node
}

// unknownHolder is reported as the holder of a lease that an earlier process of this worker may have granted.
const unknownHolder = "unknown since the worker's restart"

// Acquire implements workerpb.WorkerServer.
func (w *Worker) Acquire(_ context.Context, r *workerpb.AcquireRequest) (*workerpb.AcquireResponse, error) {
	if r.Node == "" || r.ControlTtlMs <= 0 || r.TaskTtlMs <= 0 {
		return nil, status.Errorf(codes.InvalidArgument, "node %q with control lease %d ms and task lease %d ms", r.Node, r.ControlTtlMs, r.TaskTtlMs)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, errStopped
	}
	now := time.Now()
	w.endLapsedTasks(now)
	if w.lease.held(now) && w.lease.node != r.Node {
		return &workerpb.AcquireResponse{Holder: w.lease.node, HeldForMs: ceilMS(w.lease.controlUntil.Sub(now))}, nil
	}
	if wait := w.started.Add(time.Duration(r.ControlTtlMs) * time.Millisecond).Sub(now); w.options.Restarted && wait > 0 {
		return &workerpb.AcquireResponse{Holder: unknownHolder, HeldForMs: ceilMS(wait)}, nil
	}
	w.lease.token++
	w.lease.node = r.Node
	w.lease.controlTTL = time.Duration(r.ControlTtlMs) * time.Millisecond
	w.lease.taskTTL = time.Duration(r.TaskTtlMs) * time.Millisecond
	w.lease.renew(now)
	w.resetLeaseTimer(now)
	w.broadcast()
	return w.inventory(), nil
}

var errStopped = status.Error(codes.Unavailable, "worker is stopping")

func ceilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

func (w *Worker) inventory() *workerpb.AcquireResponse {
	out := &workerpb.AcquireResponse{
		Granted: true, Token: w.lease.token, Capacity: fromVector(w.options.Capacity), Connections: w.options.Connections,
		EventSequence: w.sequence, Pool: w.options.Pool, DurableMark: w.durableMark,
	}
	for _, t := range w.running {
		out.Tasks = append(out.Tasks, t.record(workerpb.TaskState_RUNNING))
	}
	for _, r := range w.endedAttempts {
		out.Tasks = append(out.Tasks, r)
	}
	return out
}

// Release implements workerpb.WorkerServer. A release with an outdated token has no effect.
func (w *Worker) Release(_ context.Context, r *workerpb.ReleaseRequest) (*workerpb.ReleaseResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.endLapsedTasks(now)
	if w.lease.accepts(r.Token, r.Node, now) {
		w.lease.controlUntil = now
		w.lease.tasksUntil = now.Add(w.lease.taskTTL)
		w.resetLeaseTimer(now)
		w.broadcast()
	}
	return &workerpb.ReleaseResponse{}, nil
}

func (w *Worker) resetLeaseTimer(now time.Time) {
	d := w.lease.tasksUntil.Sub(now)
	if w.leaseTimer == nil {
		w.leaseTimer = time.AfterFunc(d, w.onLeaseTimer)
		return
	}
	w.leaseTimer.Reset(d)
}

func (w *Worker) onLeaseTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLapsedTasks(time.Now())
}

// endLapsedTasks ends every task if the task lease has lapsed. The caller holds w.mu.
func (w *Worker) endLapsedTasks(now time.Time) {
	if w.frozen || w.stopped || now.Before(w.lease.tasksUntil) {
		return
	}
	for _, t := range w.running {
		w.end(t, workerpb.TaskState_LAPSED, "task lease lapsed", now)
	}
}

// endTasksLapsedInFreeze ends every task at the end of a freeze if the task lease has lapsed. The runs end at
// the time that endOfFrozenRuns returns, not at now. The caller holds w.mu.
func (w *Worker) endTasksLapsedInFreeze(now time.Time) {
	if now.Before(w.lease.tasksUntil) {
		return
	}
	at := w.endOfFrozenRuns(now)
	for _, t := range w.running {
		w.end(t, workerpb.TaskState_LAPSED, "task lease lapsed", at)
	}
}

// endOfFrozenRuns returns the end time of the runs of a worker that has been frozen until now. They have made no
// progress since the freeze began, so they ended when their lease lapsed during it.
func (w *Worker) endOfFrozenRuns(now time.Time) time.Time {
	end := w.lease.tasksUntil
	if end.Before(w.frozenAt) {
		end = w.frozenAt
	}
	if end.After(now) {
		end = now
	}
	return end
}

func toVector(r *workerpb.Resources) resource.Vector {
	return resource.Vector{
		Slots: r.GetSlots(), MilliCPU: r.GetMilliCpu(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators(),
	}
}

func fromVector(v resource.Vector) *workerpb.Resources {
	return &workerpb.Resources{Slots: v.Slots, MilliCpu: v.MilliCPU, MemoryMb: v.MemoryMB, Accelerators: v.Accelerators}
}

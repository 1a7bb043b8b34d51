package worker

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/rpc/workerpb"
)

// maxWait bounds a long poll.
const maxWait = time.Minute

// Sync implements workerpb.WorkerServer. Within a batch, records are forgotten first and commands applied before
// starts, so that a batch can start tasks on what it frees.
func (w *Worker) Sync(ctx context.Context, r *workerpb.SyncRequest) (*workerpb.SyncResponse, error) {
	out, err := w.apply(r)
	if err != nil || !out.Accepted || len(out.Refusals) > 0 || r.WaitMs == 0 {
		return w.report(r, out), err
	}
	timer := time.NewTimer(min(maxWait, time.Duration(r.WaitMs)*time.Millisecond))
	defer timer.Stop()
	for {
		w.mu.Lock()
		ready, changed := w.sequence > r.SeenThrough || w.stopped || !w.lease.permits(r.Token, r.Node, time.Now()), w.changed
		w.mu.Unlock()
		if ready {
			break
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		}
		break
	}
	return w.report(r, out), nil
}

// apply checks the whole batch, then the token, then renews the lease and applies the batch.
func (w *Worker) apply(r *workerpb.SyncRequest) (*workerpb.SyncResponse, error) {
	if err := validate(r); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, errStopped
	}
	now := time.Now()
	w.expire(now)
	out := &workerpb.SyncResponse{}
	if !w.lease.permits(r.Token, r.Node, now) {
		return out, nil
	}
	if r.ForgetThrough > w.sequence {
		return nil, status.Errorf(codes.InvalidArgument, "forget_through is %d, the last event is %d", r.ForgetThrough, w.sequence)
	}
	out.Accepted = true
	w.lease.renew(now)
	w.armLapse(now)
	w.forget(r.ForgetThrough)
	w.durableMark = max(w.durableMark, r.DurableMark)
	for _, c := range r.Commands {
		w.command(c, now)
	}
	for _, g := range r.Starts {
		for _, s := range g.Tasks {
			if code, ok := w.start(g, s, now); !ok {
				out.Refusals = append(out.Refusals, &workerpb.Refusal{Job: g.Job, Index: s.Index, Attempt: s.Attempt, Code: code})
			}
		}
	}
	return out, nil
}

func validate(r *workerpb.SyncRequest) error {
	if r.WaitMs < 0 {
		return status.Errorf(codes.InvalidArgument, "wait of %d ms is negative", r.WaitMs)
	}
	for _, c := range r.Commands {
		if _, ok := workerpb.Action_name[int32(c.Action)]; !ok {
			return status.Errorf(codes.InvalidArgument, "action %d on %s is not defined", c.Action, taskID(c.Job, c.Index))
		}
	}
	for _, g := range r.Starts {
		switch {
		case g.Job == "":
			return status.Error(codes.InvalidArgument, "start without a job")
		case toVector(g.Reserved).HasNegative() || g.DurationMs < 0:
			return status.Errorf(codes.InvalidArgument, "start of %s has a negative resource or duration", g.Job)
		case g.Service && g.Concurrency < 1:
			return status.Errorf(codes.InvalidArgument, "service instance of %s has concurrency %d", g.Job, g.Concurrency)
		}
	}
	return nil
}

// forget drops events and ended attempts up to a sequence.
func (w *Worker) forget(through uint64) {
	w.events = slices.DeleteFunc(w.events, func(e *workerpb.Event) bool {
		if e.Sequence > through {
			return false
		}
		if e.Task.State != workerpb.TaskState_RUNNING {
			delete(w.ended, attemptID{taskID(e.Task.Job, e.Task.Index), e.Task.Attempt})
		}
		return true
	})
}

// command applies an action to a running attempt. An attempt that has ended is left alone: its event tells.
func (w *Worker) command(c *workerpb.Command, now time.Time) {
	t := w.running[taskID(c.Job, c.Index)]
	if t == nil || t.id.attempt != c.Attempt {
		return
	}
	switch c.Action {
	case workerpb.Action_STOP:
		w.end(t, workerpb.TaskState_STOPPED, "", now)
	case workerpb.Action_CHECKPOINT:
		w.end(t, workerpb.TaskState_CHECKPOINTED, "", now)
	case workerpb.Action_THROTTLE:
		t.throttle(true, now, w.frozen)
	case workerpb.Action_UNTHROTTLE:
		t.throttle(false, now, w.frozen)
	case workerpb.Action_DRAIN:
		w.drain(t, now)
	}
}

// start runs an attempt, or returns why not.
func (w *Worker) start(g *workerpb.StartGroup, s *workerpb.TaskStart, now time.Time) (workerpb.Refusal_Code, bool) {
	id := attemptID{taskID(g.Job, s.Index), s.Attempt}
	reserved := toVector(g.Reserved)
	switch {
	case w.isDuplicate(id):
		return workerpb.Refusal_DUPLICATE, false
	case w.leaving:
		return workerpb.Refusal_LEAVING, false
	case !reserved.Fits(w.options.Capacity.Sub(w.used)):
		return workerpb.Refusal_CAPACITY, false
	}
	t := &task{id: id, first: g.FirstIndex, reserved: reserved, since: now, started: now, changed: make(chan struct{})}
	if err := w.prepare(t, g, s); err != nil {
		r := t.record(workerpb.TaskState_FAILED)
		r.Message = err.Error()
		w.keep(id, r)
		return 0, true
	}
	t.measure(now)
	w.running[id.task] = t
	w.used = w.used.Add(reserved)
	w.options.Log.begin(w.options.ID, t)
	if t.instance != nil {
		w.emit(t.record(workerpb.TaskState_RUNNING))
	}
	go w.run(t)
	return 0, true
}

// isDuplicate reports whether an attempt of the task runs or succeeded, or this very attempt has been here before: a
// batch that is delivered again must not run it again.
func (w *Worker) isDuplicate(id attemptID) bool {
	if w.running[id.task] != nil || w.ended[id] != nil {
		return true
	}
	for other, r := range w.ended {
		if other.task == id.task && r.State == workerpb.TaskState_SUCCEEDED {
			return true
		}
	}
	return false
}

// prepare reads the payload and the checkpoint and opens the instance of a service.
func (w *Worker) prepare(t *task, g *workerpb.StartGroup, s *workerpb.TaskStart) (err error) {
	if w.failing {
		return errStartFails
	}
	if t.payload, err = parsePayload(g.Payload); err != nil {
		return err
	}
	if t.done, err = parseCheckpoint(s.Checkpoint); err != nil {
		return err
	}
	t.total = time.Duration(g.DurationMs) * time.Millisecond
	if t.payload.TrueDurationMS != nil {
		t.total = time.Duration(*t.payload.TrueDurationMS) * time.Millisecond
	}
	if g.Service {
		t.endless = t.payload.TrueDurationMS == nil
		t.instance, err = w.openInstance(t.id, g.Concurrency)
	}
	return err
}

// report adds the events after the last seen one and the usage.
func (w *Worker) report(r *workerpb.SyncRequest, out *workerpb.SyncResponse) *workerpb.SyncResponse {
	if out == nil || !out.Accepted {
		return out
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.events {
		if e.Sequence > r.SeenThrough {
			out.Events = append(out.Events, e)
		}
	}
	if !r.WantUsage {
		return out
	}
	at := time.Now().Add(-w.options.UsageLag)
	for id, t := range w.running {
		if s, ok := t.sampleAt(at); ok {
			out.Usage = append(out.Usage, &workerpb.TaskUsage{
				Job: string(id.Job), Index: id.Index, MilliCpu: s.milliCPU, MemoryMb: s.memoryMB,
			})
		}
	}
	return out
}

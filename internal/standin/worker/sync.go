package worker

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/rpc/workerpb"
)

// maxPollWait bounds a long poll.
const maxPollWait = time.Minute

// Sync implements workerpb.WorkerServer. Within a batch, records are forgotten first and commands applied before
// starts, so that a batch can start tasks on the resources that it frees.
func (w *Worker) Sync(ctx context.Context, r *workerpb.SyncRequest) (*workerpb.SyncResponse, error) {
	out, err := w.apply(r)
	if err != nil || !out.Accepted || len(out.Refusals) > 0 || r.WaitMs == 0 {
		return w.addReport(r, out), err
	}
	timer := time.NewTimer(min(maxPollWait, time.Duration(r.WaitMs)*time.Millisecond))
	defer timer.Stop()
	for {
		w.mu.Lock()
		ready, changed := w.sequence > r.SeenThrough || w.stopped || !w.lease.accepts(r.Token, r.Node, time.Now()), w.changed
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
	return w.addReport(r, out), nil
}

// apply validates the whole batch, checks the token, renews the lease and then applies the batch.
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
	w.endLapsedTasks(now)
	out := &workerpb.SyncResponse{}
	if !w.lease.accepts(r.Token, r.Node, now) {
		return out, nil
	}
	if r.ForgetThrough > w.sequence {
		return nil, status.Errorf(codes.InvalidArgument, "forget_through is %d, the last event is %d", r.ForgetThrough, w.sequence)
	}
	out.Accepted = true
	w.lease.renew(now)
	w.resetLeaseTimer(now)
	w.forget(r.ForgetThrough)
	w.durableMark = max(w.durableMark, r.DurableMark)
	for _, c := range r.Commands {
		w.applyCommand(c, now)
	}
	for _, g := range r.Starts {
		for _, s := range g.Tasks {
			if code, ok := w.startTask(g, s, now); !ok {
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

// forget drops events and ended attempts up to and including a sequence number.
func (w *Worker) forget(through uint64) {
	w.events = slices.DeleteFunc(w.events, func(e *workerpb.Event) bool {
		if e.Sequence > through {
			return false
		}
		if e.Task.State != workerpb.TaskState_RUNNING {
			delete(w.endedAttempts, attemptID{taskID(e.Task.Job, e.Task.Index), e.Task.Attempt})
		}
		return true
	})
}

// applyCommand applies an action to a running attempt. It ignores an attempt that has ended, because its event reports
// the end.
func (w *Worker) applyCommand(c *workerpb.Command, now time.Time) {
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

// startTask starts an attempt, or returns false and the reason for the refusal. An attempt that can't be prepared isn't
// refused but recorded as failed.
func (w *Worker) startTask(g *workerpb.StartGroup, s *workerpb.TaskStart, now time.Time) (workerpb.Refusal_Code, bool) {
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
	t := &task{id: id, firstIndex: g.FirstIndex, reserved: reserved, baseTime: now, started: now, changed: make(chan struct{})}
	if err := w.prepare(t, g, s); err != nil {
		r := t.record(workerpb.TaskState_FAILED)
		r.Message = err.Error()
		w.addEnded(id, r)
		return 0, true
	}
	t.addSample(now)
	w.running[id.task] = t
	w.used = w.used.Add(reserved)
	w.options.Log.recordStart(w.options.ID, t)
	if t.instance != nil {
		w.addEvent(t.record(workerpb.TaskState_RUNNING))
	}
	go w.runTask(t)
	return 0, true
}

// isDuplicate reports whether an attempt of the task is running or has succeeded, or this attempt has already ended: a
// batch that is delivered twice must not run it again.
func (w *Worker) isDuplicate(id attemptID) bool {
	if w.running[id.task] != nil || w.endedAttempts[id] != nil {
		return true
	}
	for other, r := range w.endedAttempts {
		if other.task == id.task && r.State == workerpb.TaskState_SUCCEEDED {
			return true
		}
	}
	return false
}

// prepare parses the payload and the checkpoint and opens the instance of a service.
func (w *Worker) prepare(t *task, g *workerpb.StartGroup, s *workerpb.TaskStart) (err error) {
	if w.failing {
		return errStartFails
	}
	if t.payload, err = parsePayload(g.Payload); err != nil {
		return err
	}
	if t.baseProgress, err = parseCheckpoint(s.Checkpoint); err != nil {
		return err
	}
	t.duration = time.Duration(g.DurationMs) * time.Millisecond
	if t.payload.TrueDurationMS != nil {
		t.duration = time.Duration(*t.payload.TrueDurationMS) * time.Millisecond
	}
	if g.Service {
		t.unbounded = t.payload.TrueDurationMS == nil
		t.instance, err = w.openInstance(t.id, g.Concurrency)
	}
	return err
}

// addReport adds the events after SeenThrough to the response, and the resource usage if WantUsage is set.
func (w *Worker) addReport(r *workerpb.SyncRequest, out *workerpb.SyncResponse) *workerpb.SyncResponse {
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

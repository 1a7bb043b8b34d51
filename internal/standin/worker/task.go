package worker

import (
	"encoding/json"
	"fmt"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/rpc/workerpb"
)

// Payload tells a task how it really behaves. A payload that isn't a JSON object leaves the declared values.
type Payload struct {
	TrueDurationMS *int64          `json:"true_duration_ms"` // a service without it runs until it is stopped
	MemoryMB       *int64          `json:"memory_mb"`
	MilliCPU       *int64          `json:"milli_cpu"`
	Fail           bool            `json:"fail"`
	Output         json.RawMessage `json:"output"`
}

func parsePayload(b []byte) (Payload, error) {
	var object map[string]json.RawMessage
	if json.Unmarshal(b, &object) != nil {
		return Payload{}, nil
	}
	var p Payload
	if err := json.Unmarshal(b, &p); err != nil {
		return p, fmt.Errorf("payload: %w", err)
	}
	for _, n := range []*int64{p.TrueDurationMS, p.MemoryMB, p.MilliCPU} {
		if n != nil && *n < 0 {
			return p, fmt.Errorf("payload: %d is negative", *n)
		}
	}
	return p, nil
}

// checkpoint is the state that a task hands on to its next attempt.
type checkpoint struct {
	DoneNS int64 `json:"done_ns"`
}

func parseCheckpoint(b []byte) (time.Duration, error) {
	if len(b) == 0 {
		return 0, nil
	}
	var c checkpoint
	if err := json.Unmarshal(b, &c); err != nil {
		return 0, fmt.Errorf("checkpoint: %w", err)
	}
	if c.DoneNS < 0 {
		return 0, fmt.Errorf("checkpoint: progress of %d ns is negative", c.DoneNS)
	}
	return time.Duration(c.DoneNS), nil
}

// sample is the use of a task from a moment on.
type sample struct {
	from     time.Time
	milliCPU int64
	memoryMB int64
}

// task is a running attempt. Worker.mu guards it.
type task struct {
	id        attemptID
	first     int32 // index, in the caller's job, of the first task of the job that id names
	reserved  resource.Vector
	payload   Payload
	endless   bool
	total     time.Duration
	done      time.Duration // progress at since
	since     time.Time
	started   time.Time
	throttled bool
	samples   []sample
	instance  *instance     // of a service
	changed   chan struct{} // closed and replaced when the time of the end changes
	over      bool
}

func (t *task) progress(now time.Time, frozen bool) time.Duration {
	if frozen {
		return t.done
	}
	d := now.Sub(t.since)
	if t.throttled {
		d /= 2
	}
	return t.done + d
}

// settle fixes the progress until now, before the speed changes.
func (t *task) settle(now time.Time, frozen bool) {
	t.done, t.since = t.progress(now, frozen), now
}

// remaining returns the time until the end at the present speed.
func (t *task) remaining(now time.Time) time.Duration {
	d := max(0, t.total-t.progress(now, false))
	if t.throttled {
		d *= 2
	}
	return d
}

func (t *task) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *task) record(state workerpb.TaskState) *workerpb.TaskRecord {
	r := &workerpb.TaskRecord{
		Job: string(t.id.task.Job), Index: t.id.task.Index, Attempt: t.id.attempt,
		State: state, Reserved: fromVector(t.reserved), Throttled: t.throttled,
	}
	if t.instance != nil && state == workerpb.TaskState_RUNNING {
		r.Address = t.instance.address
	}
	return r
}

func (t *task) measure(now time.Time) {
	s := sample{from: now, milliCPU: t.reserved.MilliCPU, memoryMB: t.reserved.MemoryMB}
	if t.payload.MilliCPU != nil {
		s.milliCPU = *t.payload.MilliCPU
	}
	if t.payload.MemoryMB != nil {
		s.memoryMB = *t.payload.MemoryMB
	}
	if t.throttled {
		s.milliCPU /= 2
	}
	t.samples = append(t.samples, s)
}

// sampleAt returns the use at a moment, and false if the task had not started.
func (t *task) sampleAt(at time.Time) (sample, bool) {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if !t.samples[i].from.After(at) {
			t.samples = t.samples[i:]
			return t.samples[0], true
		}
	}
	return sample{}, false
}

// throttle sets the speed to a half, or back to the whole.
func (t *task) throttle(on bool, now time.Time, frozen bool) {
	if t.throttled == on {
		return
	}
	t.settle(now, frozen)
	t.throttled = on
	t.measure(now)
	t.wake()
}

// run passes the time of a task and ends it.
func (w *Worker) run(t *task) {
	for {
		w.mu.Lock()
		if t.over {
			w.mu.Unlock()
			return
		}
		changed := t.changed
		var due <-chan time.Time
		var timer *time.Timer
		if !t.endless && !w.frozen {
			timer = time.NewTimer(t.remaining(time.Now()))
			due = timer.C
		}
		w.mu.Unlock()
		select {
		case <-due:
			w.complete(t)
		case <-changed:
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

// complete ends a task whose time has come, unless its speed has changed meanwhile.
func (w *Worker) complete(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.expire(now)
	switch {
	case t.over || w.frozen || t.remaining(now) > 0:
	case t.payload.Fail:
		w.end(t, workerpb.TaskState_FAILED, "payload asks for a failure", now)
	default:
		w.end(t, workerpb.TaskState_SUCCEEDED, "", now)
	}
}

// end makes an attempt final: frees what it reserved, logs its run and records the event. The caller holds w.mu.
func (w *Worker) end(t *task, state workerpb.TaskState, message string, at time.Time) {
	r := t.record(state)
	r.Message = message
	if state == workerpb.TaskState_CHECKPOINTED {
		r.Checkpoint, _ = json.Marshal(checkpoint{DoneNS: int64(min(t.total, t.progress(at, w.frozen)))})
	}
	t.over = true
	if t.instance != nil {
		t.instance.kill()
	}
	delete(w.running, t.id.task)
	w.used = w.used.Sub(t.reserved)
	w.options.Log.finish(t, state, at)
	w.keep(t.id, r)
	t.wake()
}

// keep records the end of an attempt until it is forgotten.
func (w *Worker) keep(id attemptID, r *workerpb.TaskRecord) {
	w.ended[id] = r
	w.emit(r)
}

func (w *Worker) emit(r *workerpb.TaskRecord) {
	w.sequence++
	w.events = append(w.events, &workerpb.Event{Sequence: w.sequence, Task: r})
	w.broadcast()
}

func taskID(j string, index int32) job.TaskID { return job.TaskID{Job: job.ID(j), Index: index} }

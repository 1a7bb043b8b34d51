package worker

import (
	"encoding/json"
	"fmt"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/rpc/workerpb"
)

// Payload sets the actual behaviour of a task where it differs from the declared one. A payload that isn't a JSON
// object leaves the declared values.
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

// checkpoint is the state that an attempt of a task passes to the next attempt.
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

// sample is the resource usage of a task from a given time on.
type sample struct {
	from     time.Time
	milliCPU int64
	memoryMB int64
}

// task is a running attempt. Worker.mu guards it.
type task struct {
	id           attemptID
	firstIndex   int32 // index within the caller's job of the first task of job id.task.Job
	reserved     resource.Vector
	payload      Payload
	unbounded    bool
	duration     time.Duration
	baseProgress time.Duration // progress at baseTime
	baseTime     time.Time
	started      time.Time
	throttled    bool
	samples      []sample
	instance     *instance     // nil unless the task belongs to a service
	changed      chan struct{} // closed and replaced when the expected end changes
	ended        bool
}

// progress returns the run time that the attempt has completed. It advances at half speed while the task is throttled,
// and not at all during a freeze.
func (t *task) progress(now time.Time, frozen bool) time.Duration {
	if frozen {
		return t.baseProgress
	}
	d := now.Sub(t.baseTime)
	if t.throttled {
		d /= 2
	}
	return t.baseProgress + d
}

// rebaseProgress sets the base of the progress to now. It must be called before the speed changes.
func (t *task) rebaseProgress(now time.Time, frozen bool) {
	t.baseProgress, t.baseTime = t.progress(now, frozen), now
}

// remaining returns the time until the task completes at its current speed.
func (t *task) remaining(now time.Time) time.Duration {
	d := max(0, t.duration-t.progress(now, false))
	if t.throttled {
		d *= 2
	}
	return d
}

func (t *task) notify() {
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

func (t *task) addSample(now time.Time) {
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

// sampleAt returns the resource usage at a given time, and false if the task had not started by then. It drops older
// samples.
func (t *task) sampleAt(at time.Time) (sample, bool) {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if !t.samples[i].from.After(at) {
			t.samples = t.samples[i:]
			return t.samples[0], true
		}
	}
	return sample{}, false
}

// throttle sets the task to half speed, or back to full speed.
func (t *task) throttle(on bool, now time.Time, frozen bool) {
	if t.throttled == on {
		return
	}
	t.rebaseProgress(now, frozen)
	t.throttled = on
	t.addSample(now)
	t.notify()
}

// runTask waits for the duration of a task and then ends it.
func (w *Worker) runTask(t *task) {
	for {
		w.mu.Lock()
		if t.ended {
			w.mu.Unlock()
			return
		}
		changed := t.changed
		var due <-chan time.Time
		var timer *time.Timer
		if !t.unbounded && !w.frozen {
			timer = time.NewTimer(t.remaining(time.Now()))
			due = timer.C
		}
		w.mu.Unlock()
		select {
		case <-due:
			w.completeIfDue(t)
		case <-changed:
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

// completeIfDue ends a task whose duration has passed. It does nothing if the speed has changed so that time remains.
func (w *Worker) completeIfDue(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.endLapsedTasks(now)
	switch {
	case t.ended || w.frozen || t.remaining(now) > 0:
	case t.payload.Fail:
		w.end(t, workerpb.TaskState_FAILED, "payload asks for a failure", now)
	default:
		w.end(t, workerpb.TaskState_SUCCEEDED, "", now)
	}
}

// end ends an attempt: it frees the reserved resources, logs the run and records the event. The caller holds w.mu.
func (w *Worker) end(t *task, state workerpb.TaskState, message string, at time.Time) {
	r := t.record(state)
	r.Message = message
	if state == workerpb.TaskState_CHECKPOINTED {
		r.Checkpoint, _ = json.Marshal(checkpoint{DoneNS: int64(min(t.duration, t.progress(at, w.frozen)))})
	}
	t.ended = true
	if t.instance != nil {
		t.instance.kill()
	}
	delete(w.running, t.id.task)
	w.used = w.used.Sub(t.reserved)
	w.options.Log.recordEnd(t, state, at)
	w.addEnded(t.id, r)
	t.notify()
}

// addEnded records an ended attempt and its event, which are kept until they are forgotten.
func (w *Worker) addEnded(id attemptID, r *workerpb.TaskRecord) {
	w.endedAttempts[id] = r
	w.addEvent(r)
}

func (w *Worker) addEvent(r *workerpb.TaskRecord) {
	w.sequence++
	w.events = append(w.events, &workerpb.Event{Sequence: w.sequence, Task: r})
	w.broadcast()
}

func taskID(j string, index int32) job.TaskID { return job.TaskID{Job: job.ID(j), Index: index} }

package workerproc

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// request is an order or a lease renewal.
type request struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DueMS      int64  `json:"due_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"last_checkpoint"`
	Ticket     string `json:"ticket"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
	late       bool
}

type response struct {
	status int
	body   any
}

type clockBody struct {
	ClockMS int64  `json:"clock_ms"`
	Reason  string `json:"reason,omitempty"`
}

func (w *worker) accepted(now time.Duration) response {
	return response{http.StatusOK, clockBody{ClockMS: w.clockMS(now)}}
}

func (w *worker) rejected(now time.Duration, reason string) response {
	return response{http.StatusConflict, clockBody{w.clockMS(now), reason}}
}

// fenced returns whether the request has an outdated fencing token. The caller holds mu.
func (w *worker) fenced(req request) bool {
	if req.Token < w.token {
		return true
	}
	w.token = req.Token
	return false
}

// start carries out a start. The caller holds mu.
func (w *worker) start(req request) response {
	now := w.advance()
	if w.fenced(req) {
		return w.rejectStart(now, req, "fence")
	}
	name, err := ParseTask(req.Task)
	if err != nil {
		return response{http.StatusBadRequest, nil}
	}
	key := runKey{req.Task, req.Run}
	if r := w.runs[key]; r != nil && r.stopEnd == 0 {
		w.extendLease(now, req.DueMS)
		return w.accepted(now)
	}
	if req.Run <= w.refused[req.Task] {
		w.extendLease(now, req.DueMS)
		return w.rejectStart(now, req, "old")
	}
	if w.atClock(req.DueMS) <= now {
		return w.rejectStart(now, req, "late")
	}
	job, step := behaviour(req.Spec, name)
	if job.Advised && !ticketAllows(req.Ticket, name.StepName(), w.ID, w.Life, now) {
		return w.rejectStart(now, req, "ticket")
	}
	w.extendLease(now, req.DueMS)
	if w.Guarded && !w.used().Plus(Capacity{step.CPU, step.MemMB}).Fits(w.Capacity) {
		return w.rejectStart(now, req, "room")
	}
	w.begin(now, req, step)
	return w.accepted(now)
}

func (w *worker) rejectStart(now time.Duration, req request, reason string) response {
	w.report(Event{At: now, Kind: Rejected, Task: req.Task, Run: req.Run, Reason: reason, Token: req.Token, Late: req.late})
	return w.rejected(now, reason)
}

// behaviour returns the job and the step that describe a task. A task whose specification describes nothing ends at once;
// the start is judged by whoever receives the events.
func behaviour(spec string, name TaskName) (Job, Step) {
	job, err := ParseSpec(spec)
	if err != nil || name.Step >= len(job.Steps) {
		return Job{}, Step{}
	}
	return job, job.Steps[name.Step]
}

func (w *worker) begin(now time.Duration, req request, step Step) {
	r := &run{key: runKey{req.Task, req.Run}, step: step, failing: w.failing || step.fails(req.Task, req.Run), started: now, workingFrom: now,
		checkpoint: req.Checkpoint, bounds: w.Bounds}
	if req.Checkpoint != "" {
		r.resumedWork = checkpointedWork(req.Checkpoint)
		r.savedWork = r.resumedWork
		r.workingFrom += w.Bounds.Restore
	}
	if step.Gang {
		r.workingFrom = never
	}
	w.runs[r.key] = r
	w.report(Event{At: now, Kind: Started, Task: req.Task, Run: req.Run, Spec: req.Spec, Checkpoint: req.Checkpoint, Token: req.Token, Late: req.late})
	w.advance()
}

// stop carries out a stop. The caller holds mu.
func (w *worker) stop(req request) response {
	now := w.advance()
	if w.fenced(req) {
		return w.rejected(now, "fence")
	}
	w.refused[req.Task] = max(w.refused[req.Task], req.Run)
	if r := w.runs[runKey{req.Task, req.Run}]; r != nil && r.stopEnd == 0 {
		r.stopEnd = now + time.Duration(fraction("stop "+req.Task, req.Run)*float64(w.Bounds.MaxStop))
		w.report(Event{At: now, Kind: Stopping, Task: req.Task, Run: req.Run})
		w.advance()
	}
	return w.accepted(now)
}

// pace accepts a pace without effect.
func (w *worker) pace(req request) response {
	now := w.advance()
	if w.fenced(req) {
		return w.rejected(now, "fence")
	}
	return w.accepted(now)
}

// renew extends the lease and forgets acknowledged ends. The caller holds mu.
func (w *worker) renew(req request) response {
	now := w.advance()
	if w.fenced(req) {
		return w.rejected(now, "fence")
	}
	w.extendLease(now, req.DueMS)
	w.advance()
	count := len(w.ends)
	w.ends = slices.DeleteFunc(w.ends, func(e ended) bool { return e.number <= req.AckCursor })
	if len(w.ends) < count {
		w.report(Event{At: now, Kind: Acked, Number: req.AckCursor})
	}
	return w.accepted(now)
}

// maxListedEnds bounds the ends in one response.
const maxListedEnds = 500

type inventoryBody struct {
	ClockMS int64    `json:"clock_ms"`
	BornMS  int64    `json:"born"`
	Running [][5]any `json:"running"`
	Ended   [][5]any `json:"ended_runs"`
}

// inventory lists what runs and what has ended. The caller holds mu.
func (w *worker) inventory() response {
	now := w.advance()
	body := inventoryBody{ClockMS: w.clockMS(now), BornMS: w.bornMS, Running: [][5]any{}, Ended: [][5]any{}}
	for _, r := range w.runs {
		body.Running = append(body.Running, [5]any{r.key.task, r.key.number, r.checkpoint, r.percent(now, w.stalled), r.step.CPU})
	}
	slices.SortFunc(body.Running, func(a, b [5]any) int { return strings.Compare(a[0].(string), b[0].(string)) })
	for _, e := range w.ends[:min(maxListedEnds, len(w.ends))] {
		body.Ended = append(body.Ended, [5]any{e.number, e.key.task, e.key.number, e.outcome, e.checkpoint})
	}
	if n := len(body.Ended); n > 0 {
		w.report(Event{At: now, Kind: Listed, Number: w.ends[n-1].number})
	}
	return response{http.StatusOK, body}
}

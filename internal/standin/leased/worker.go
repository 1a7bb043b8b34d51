package leased

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"
)

// RunChecker records the runs of all workers and every violation of the scheduler's guarantees.
type RunChecker struct {
	mu            sync.Mutex
	running       map[string]string // worker ID by task
	starts        map[string]int    // by task
	completions   map[string]int    // number of completions by task, without those that a worker lost before they were acknowledged
	everCompleted map[string]bool   // tasks that have ever completed
	startedJobs   map[string]bool   // jobs of which a task has ever started
	violations    []string
}

// NewRunChecker returns a checker without any runs.
func NewRunChecker() *RunChecker {
	return &RunChecker{running: map[string]string{}, starts: map[string]int{}, completions: map[string]int{}, everCompleted: map[string]bool{},
		startedJobs: map[string]bool{}}
}

// HasCompleted reports whether a task, given as JOB.OCCURRENCE.STEP.INDEX, has ever completed.
func (c *RunChecker) HasCompleted(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.everCompleted[task]
}

// IsRunning reports whether a task runs on a worker now.
func (c *RunChecker) IsRunning(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, running := c.running[task]
	return running
}

// StartCount returns how often a task, given as JOB.OCCURRENCE.STEP.INDEX, has started.
func (c *RunChecker) StartCount(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[task]
}

// HasStarted reports whether a task of the job has ever started.
func (c *RunChecker) HasStarted(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startedJobs[job]
}

// completionLost records that a worker lost a completion before it was acknowledged, so that the task has to run again.
func (c *RunChecker) completionLost(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.completions, task)
}

// Violations returns a description of each violation.
func (c *RunChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// CompletedCount returns the number of tasks that have completed, without those whose completion was lost.
func (c *RunChecker) CompletedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.completions)
}

func (c *RunChecker) taskStarted(task, worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.running[task]; ok {
		c.violations = append(c.violations, fmt.Sprintf("%s runs on %s and %s", task, other, worker))
	}
	if c.completions[task] > 0 {
		c.violations = append(c.violations, task+" starts after it was done")
	}
	c.running[task] = worker
	c.starts[task]++
	job, _, _ := strings.Cut(task, ".")
	c.startedJobs[job] = true
}

func (c *RunChecker) taskEnded(task string, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, task)
	if done {
		c.completions[task]++
		c.everCompleted[task] = true
	}
}

func (c *RunChecker) addViolation(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, text)
}

// ServiceSpec is the specification of tasks that run until they are stopped.
const ServiceSpec = "service"

// CrashingSpec is the specification of tasks that crash every worker that starts them, crashDelay after their start.
const CrashingSpec = "crash"

const crashDelay = 10 * time.Millisecond

// serviceDuration is longer than any test.
const serviceDuration = 24 * time.Hour

// Worker is a stand-in for a worker. Every task that it runs takes taskDuration, except those of ServiceSpec, which are at
// work after that time.
type Worker struct {
	ID              string
	server          *httptest.Server
	checker         *RunChecker
	startedAt       time.Time
	taskDuration    time.Duration
	taskCPU         int64
	mu              sync.Mutex
	cpuCapacity     int64
	formerCapacity  []capacityPeriod // capacities that may still count
	fencingToken    int64
	leaseUntilMS    int64 // end of the lease in terms of clockMS
	runs            map[string]*run
	refusedThrough  map[string]int // by task, the highest run number that must not start any more
	endedRuns       [][]any        // not yet acknowledged, in the form of ended_runs
	lastSequence    int64          // of endedRuns
	changed         chan struct{}  // closed and replaced when a run ends or the worker crashes
	responsesToLose int            // number of further starts that take effect without a response
	leaseTimer      *time.Timer
}

// capacityPeriod is a former capacity and the time until which it counts.
type capacityPeriod struct {
	cpu   int64
	until time.Time
}

type run struct {
	number  int
	started time.Time
	timer   *time.Timer
}

// NewWorker starts a worker with cpuCapacity thousandths of a core. Every task takes taskCPU thousandths of a core for
// taskDuration.
func NewWorker(id string, cpuCapacity, taskCPU int64, taskDuration time.Duration, checker *RunChecker) *Worker {
	w := &Worker{ID: id, checker: checker, startedAt: time.Now(), taskDuration: taskDuration, cpuCapacity: cpuCapacity,
		taskCPU: taskCPU, runs: map[string]*run{}, refusedThrough: map[string]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hold", w.handleHold)
	mux.HandleFunc("POST /run-start", w.handleStart)
	mux.HandleFunc("POST /run-stop", w.handleStop)
	mux.HandleFunc("POST /pace", w.handlePace)
	w.server = httptest.NewServer(mux)
	w.leaseTimer = time.AfterFunc(leaseCheckInterval, w.checkLease)
	return w
}

// leaseCheckInterval is the interval at which the worker checks whether its lease has expired.
const leaseCheckInterval = 20 * time.Millisecond

func (w *Worker) checkLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLapsedRuns()
	if w.leaseTimer != nil {
		w.leaseTimer.Reset(leaseCheckInterval)
	}
}

// Crash simulates a crash and restart of the worker under the same ID. Its runs end, and it loses all its state.
func (w *Worker) Crash() {
	w.server.CloseClientConnections()
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.runs {
		r.timer.Stop()
		w.checker.taskEnded(task, false)
	}
	for _, row := range w.endedRuns {
		if row[3] == "done" {
			w.checker.completionLost(row[1].(string))
		}
	}
	w.runs, w.refusedThrough, w.endedRuns, w.lastSequence, w.fencingToken, w.leaseUntilMS, w.startedAt =
		map[string]*run{}, map[string]int{}, nil, 0, 0, 0, time.Now()
	close(w.changed)
	w.changed = make(chan struct{})
}

// Address returns the worker's IP and port.
func (w *Worker) Address() string { return strings.TrimPrefix(w.server.URL, "http://") }

// Close stops the worker and its runs.
func (w *Worker) Close() {
	w.mu.Lock()
	w.leaseTimer.Stop()
	w.leaseTimer = nil
	for task, r := range w.runs {
		r.timer.Stop()
		w.checker.taskEnded(task, false)
	}
	w.runs = map[string]*run{}
	w.mu.Unlock()
	w.server.CloseClientConnections()
	w.server.Close()
}

// SetCapacity changes the worker's capacity in thousandths of a core while it runs. The worker doesn't guard it: it starts
// whatever it is told to. A start that brings it over its capacity is a violation, but the former capacity counts for lag
// longer, in which the scheduler learns of the change. The caller must write the worker's new entry to the registry.
func (w *Worker) SetCapacity(cpu int64, lag time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.formerCapacity = append(w.formerCapacity, capacityPeriod{w.cpuCapacity, time.Now().Add(lag)})
	w.cpuCapacity = cpu
}

// allowedCPU returns the highest capacity that counts now. The caller holds mu.
func (w *Worker) allowedCPU() int64 {
	now := time.Now()
	w.formerCapacity = slices.DeleteFunc(w.formerCapacity, func(p capacityPeriod) bool { return now.After(p.until) })
	allowed := w.cpuCapacity
	for _, p := range w.formerCapacity {
		allowed = max(allowed, p.cpu)
	}
	return allowed
}

// SetAge makes the worker seem to have started the given time ago. It must be called before the worker is registered.
func (w *Worker) SetAge(age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startedAt = time.Now().Add(-age)
}

// LoseStartResponses makes the next n starts take effect without a response.
func (w *Worker) LoseStartResponses(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.responsesToLose = n
}

// RegistryEntry returns the value that the worker writes to the registry.
func (w *Worker) RegistryEntry(service, state string) []byte {
	return w.RegistryEntryAt(w.Address(), service, state)
}

// RegistryEntryAt is like RegistryEntry for a worker that is reached at another address.
func (w *Worker) RegistryEntryAt(address, service, state string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	b, err := json.Marshal(map[string]any{"service": service, "address": address, "zone": "z", "state": state,
		"capacity": map[string]int64{"cpu": w.cpuCapacity, "mem_mb": 32768}, "labels": []string{"a", "r1-1"}, "born": w.startedAt.UnixMilli()})
	if err != nil {
		panic(err) // can't happen: every field has a type that can be encoded
	}
	return b
}

func (w *Worker) clockMS() int64 { return time.Since(w.startedAt).Milliseconds() + 1000 }

type request struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DueMS        int64  `json:"due_ms"`
	FencingToken int64  `json:"fencing_token"`
	AckCursor    int64  `json:"ack_cursor"`
	WaitMS       int64  `json:"wait_ms"`
}

// accept decodes a request, checks its fencing token and extends the lease. If ok is true, the caller holds mu
// afterwards.
func (w *Worker) accept(out http.ResponseWriter, r *http.Request) (req request, ok bool) {
	if r.Header.Get("Expect-Instance") != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return req, false
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return req, false
	}
	w.mu.Lock()
	if req.FencingToken < w.fencingToken {
		w.reject(out, "fence")
		w.mu.Unlock()
		return req, false
	}
	w.fencingToken = req.FencingToken
	w.leaseUntilMS = max(w.leaseUntilMS, req.DueMS)
	w.endLapsedRuns()
	return req, true
}

func (w *Worker) reject(out http.ResponseWriter, reason string) {
	writeJSON(out, http.StatusConflict, map[string]any{"clock_ms": w.clockMS(), "reason": reason})
}

// endLapsedRuns ends all runs if the lease has expired. The caller holds mu.
func (w *Worker) endLapsedRuns() {
	if w.clockMS() > w.leaseUntilMS {
		for task := range w.runs {
			w.endRun(task, "lapsed")
		}
	}
}

// endRun ends a run and records its outcome. The caller holds mu.
func (w *Worker) endRun(task, how string) {
	r := w.runs[task]
	r.timer.Stop()
	delete(w.runs, task)
	w.refusedThrough[task] = max(w.refusedThrough[task], r.number)
	w.lastSequence++
	w.endedRuns = append(w.endedRuns, []any{w.lastSequence, task, r.number, how, ""})
	w.checker.taskEnded(task, how == "done")
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) handleStart(out http.ResponseWriter, r *http.Request) {
	req, ok := w.accept(out, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	current := w.runs[req.Task]
	switch {
	case current != nil && current.number == req.Run:
	case current != nil || req.Run <= w.refusedThrough[req.Task]:
		w.reject(out, "old")
		return
	case req.DueMS <= w.clockMS():
		w.reject(out, "late")
		return
	default:
		w.startRun(req)
	}
	if w.responsesToLose > 0 {
		w.responsesToLose--
		panic(http.ErrAbortHandler)
	}
	writeJSON(out, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
}

func (w *Worker) startRun(req request) {
	newRun := &run{number: req.Run, started: time.Now()}
	duration := w.taskDuration
	if req.Spec == ServiceSpec {
		duration = serviceDuration
	}
	newRun.timer = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endLapsedRuns()
		if w.runs[req.Task] == newRun {
			w.endRun(req.Task, "done")
		}
	})
	w.runs[req.Task] = newRun
	if req.Spec == CrashingSpec {
		time.AfterFunc(crashDelay, w.Crash)
	}
	w.checker.taskStarted(req.Task, w.ID)
	if used, allowed := int64(len(w.runs))*w.taskCPU, w.allowedCPU(); used > allowed {
		w.checker.addViolation(fmt.Sprintf("%s brings %s to %d of %d thousandths of a core", req.Task, w.ID, used, allowed))
	}
}

func (w *Worker) handleStop(out http.ResponseWriter, r *http.Request) {
	req, ok := w.accept(out, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.refusedThrough[req.Task] = max(w.refusedThrough[req.Task], req.Run)
	if current := w.runs[req.Task]; current != nil && current.number <= req.Run {
		w.endRun(req.Task, "stopped")
	}
	writeJSON(out, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
}

// handlePace accepts a pace without effect: every task takes taskDuration.
func (w *Worker) handlePace(out http.ResponseWriter, r *http.Request) {
	if _, ok := w.accept(out, r); ok {
		defer w.mu.Unlock()
		writeJSON(out, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
	}
}

func (w *Worker) handleHold(out http.ResponseWriter, r *http.Request) {
	req, ok := w.accept(out, r)
	if !ok {
		return
	}
	for len(w.endedRuns) > 0 && w.endedRuns[0][0].(int64) <= req.AckCursor {
		w.endedRuns = w.endedRuns[1:]
	}
	if len(w.endedRuns) == 0 && req.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(req.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	running := [][]any{}
	for task, current := range w.runs {
		running = append(running, []any{task, current.number, "", min(100, int64(100*time.Since(current.started)/w.taskDuration)), 0})
	}
	writeJSON(out, http.StatusOK, map[string]any{"clock_ms": w.clockMS(), "born": w.startedAt.UnixMilli(), "running": running,
		"ended_runs": append([][]any{}, w.endedRuns...)})
}

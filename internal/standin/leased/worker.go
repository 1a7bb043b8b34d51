package leased

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Ledger sees what all workers run, and notes what must never happen.
type Ledger struct {
	mu         sync.Mutex
	running    map[string]string // task -> worker
	done       map[string]int    // ends that the scheduler may still learn of, or knows
	ever       map[string]bool   // tasks that have ever ended as done
	begun      map[string]bool   // tasks that have ever started
	violations []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{running: map[string]string{}, done: map[string]int{}, ever: map[string]bool{}, begun: map[string]bool{}}
}

// WasDone reports whether a task, given as JOB.OCCURRENCE.STEP.INDEX, has ever ended as done.
func (l *Ledger) WasDone(task string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ever[task]
}

// Begun reports whether a task of the job has ever started.
func (l *Ledger) Begun(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.begun[job]
}

// forgotten notes that a worker lost an end before anybody took note of it, so that the task has to run again.
func (l *Ledger) forgotten(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.done, task)
}

// Violations returns what went wrong.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Done returns how many tasks have ended as done.
func (l *Ledger) Done() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.done)
}

func (l *Ledger) started(task, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if other, ok := l.running[task]; ok {
		l.violations = append(l.violations, fmt.Sprintf("%s runs on %s and %s", task, other, worker))
	}
	if l.done[task] > 0 {
		l.violations = append(l.violations, task+" starts after it was done")
	}
	l.running[task] = worker
	job, _, _ := strings.Cut(task, ".")
	l.begun[job] = true
}

func (l *Ledger) ended(task string, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, task)
	if done {
		l.done[task]++
		l.ever[task] = true
	}
}

func (l *Ledger) violated(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, text)
}

// Worker is the stand-in of a worker. It runs each task for its work time.
type Worker struct {
	ID       string
	server   *httptest.Server
	ledger   *Ledger
	born     time.Time
	work     time.Duration
	cpu      int64
	taskCPU  int64
	mu       sync.Mutex
	token    int64
	due      int64
	runs     map[string]*run
	refused  map[string]int
	ended    [][]any
	number   int64
	change   chan struct{}
	unanswer int // so many of the next starts are carried out and not answered
	lapses   *time.Timer
}

type run struct {
	number  int
	started time.Time
	timer   *time.Timer
}

// NewWorker starts a worker with cpu thousandths of a core, on which every task takes taskCPU for a time of work.
func NewWorker(id string, cpu, taskCPU int64, work time.Duration, ledger *Ledger) *Worker {
	w := &Worker{ID: id, ledger: ledger, born: time.Now(), work: work, cpu: cpu, taskCPU: taskCPU, runs: map[string]*run{}, refused: map[string]int{},
		change: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("POST /run-start", w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	w.server = httptest.NewServer(mux)
	w.lapses = time.AfterFunc(lapseCheck, w.checkLapse)
	return w
}

// lapseCheck is the time between two looks whether the lease has run out.
const lapseCheck = 20 * time.Millisecond

func (w *Worker) checkLapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	if w.lapses != nil {
		w.lapses.Reset(lapseCheck)
	}
}

// Crash ends this life of the worker and begins the next one under the same ID. It knows nothing of before.
func (w *Worker) Crash() {
	w.server.CloseClientConnections()
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.runs {
		r.timer.Stop()
		w.ledger.ended(task, false)
	}
	for _, row := range w.ended {
		if row[3] == "done" {
			w.ledger.forgotten(row[1].(string))
		}
	}
	w.runs, w.refused, w.ended, w.number, w.token, w.due, w.born = map[string]*run{}, map[string]int{}, nil, 0, 0, 0, time.Now()
	close(w.change)
	w.change = make(chan struct{})
}

// Address returns the worker's IP and port.
func (w *Worker) Address() string { return strings.TrimPrefix(w.server.URL, "http://") }

// Close stops the worker with all that it runs.
func (w *Worker) Close() {
	w.mu.Lock()
	w.lapses.Stop()
	w.lapses = nil
	for task, r := range w.runs {
		r.timer.Stop()
		w.ledger.ended(task, false)
	}
	w.runs = map[string]*run{}
	w.mu.Unlock()
	w.server.CloseClientConnections()
	w.server.Close()
}

// LoseAnswers lets the next n starts go unanswered although they are carried out.
func (w *Worker) LoseAnswers(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unanswer = n
}

// Entry returns what the worker writes into the registry.
func (w *Worker) Entry(service, state string) []byte { return w.EntryAt(w.Address(), service, state) }

// EntryAt is Entry for a worker that is reached at another address.
func (w *Worker) EntryAt(address, service, state string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	b, err := json.Marshal(map[string]any{"service": service, "address": address, "zone": "z", "state": state,
		"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": 32768}, "labels": []string{"a", "r1-1"}, "born": w.born.UnixMilli()})
	if err != nil {
		panic(err) // the fields are constant
	}
	return b
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Due   int64  `json:"due_ms"`
	Token int64  `json:"fencing_token"`
	Ack   int64  `json:"ack_cursor"`
	Wait  int64  `json:"wait_ms"`
}

// take reads an order and checks its token. The caller holds mu afterwards if ok.
func (w *Worker) take(out http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if r.Header.Get("Expect-Instance") != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	w.mu.Lock()
	if o.Token < w.token {
		w.reject(out, "fence")
		w.mu.Unlock()
		return o, false
	}
	w.token = o.Token
	w.due = max(w.due, o.Due)
	w.lapse()
	return o, true
}

func (w *Worker) reject(out http.ResponseWriter, reason string) {
	answer(out, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

// lapse ends everything once the lease has run out. The caller holds mu.
func (w *Worker) lapse() {
	if w.clock() > w.due {
		for task := range w.runs {
			w.end(task, "lapsed")
		}
	}
}

// end ends a run. The caller holds mu.
func (w *Worker) end(task, how string) {
	r := w.runs[task]
	r.timer.Stop()
	delete(w.runs, task)
	w.refused[task] = max(w.refused[task], r.number)
	w.number++
	w.ended = append(w.ended, []any{w.number, task, r.number, how, ""})
	w.ledger.ended(task, how == "done")
	close(w.change)
	w.change = make(chan struct{})
}

func (w *Worker) start(out http.ResponseWriter, r *http.Request) {
	o, ok := w.take(out, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	current := w.runs[o.Task]
	switch {
	case current != nil && current.number == o.Run:
	case current != nil || o.Run <= w.refused[o.Task]:
		w.reject(out, "old")
		return
	case o.Due <= w.clock():
		w.reject(out, "late")
		return
	default:
		w.begin(o)
	}
	if w.unanswer > 0 {
		w.unanswer--
		panic(http.ErrAbortHandler)
	}
	answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *Worker) begin(o order) {
	number := &run{number: o.Run, started: time.Now()}
	number.timer = time.AfterFunc(w.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lapse()
		if w.runs[o.Task] == number {
			w.end(o.Task, "done")
		}
	})
	w.runs[o.Task] = number
	w.ledger.started(o.Task, w.ID)
	if used := int64(len(w.runs)) * w.taskCPU; used > w.cpu {
		w.ledger.violated(fmt.Sprintf("%s runs %d of %d thousandths of a core", w.ID, used, w.cpu))
	}
}

func (w *Worker) stop(out http.ResponseWriter, r *http.Request) {
	o, ok := w.take(out, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.refused[o.Task] = max(w.refused[o.Task], o.Run)
	if current := w.runs[o.Task]; current != nil && current.number <= o.Run {
		w.end(o.Task, "stopped")
	}
	answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *Worker) hold(out http.ResponseWriter, r *http.Request) {
	o, ok := w.take(out, r)
	if !ok {
		return
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.Ack {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.Wait > 0 {
		change := w.change
		w.mu.Unlock()
		select {
		case <-change:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	running := [][]any{}
	for task, current := range w.runs {
		running = append(running, []any{task, current.number, "", int64(100 * time.Since(current.started) / w.work), 0})
	}
	answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended_runs": append([][]any{}, w.ended...)})
}

// NewAdvice starts an advice service that lets every worker run every step.
func NewAdvice() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		good := [][2]string{}
		for _, id := range body.Workers {
			good = append(good, [2]string{id, "t-" + id})
		}
		answer(w, http.StatusOK, map[string]any{"good": good, "validity_ms": 3000})
	}))
}

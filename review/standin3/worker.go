package main

import (
	"bufio"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerOptions are what a worker process is told on its standard input.
type workerOptions struct {
	ID, Address string
	BeatMS      int
	HoldMaxMS   int64
	StopMS      int
	Entry       map[string]any // what it says of itself, without what it adds
}

// workerEvent is a line on a worker's standard output.
type workerEvent struct {
	At     int64          `json:"at"` // Unix microseconds
	Worker string         `json:"worker"`
	Kind   string         `json:"kind"` // up, beat, start, end, ack, refused
	Task   string         `json:"task,omitempty"`
	Run    int            `json:"run,omitempty"`
	Number int64          `json:"n,omitempty"`
	How    string         `json:"how,omitempty"`
	Token  int64          `json:"token,omitempty"`
	Call   *orderBody     `json:"call,omitempty"` // of a call that is under way for longer
	Entry  map[string]any `json:"entry,omitempty"`
}

// workerCommand is a line on its standard input after the options.
type workerCommand struct {
	LateShare float64 // share of the orders that get no answer and are carried out 2 to 12 s later
	LateHolds bool    // that share of the holds too
	Cut       bool    // no call reaches it; it runs on
	Delay     int     // number of further starts that are under way for longer; the cell delivers them later
	State     string  // its new state, empty to keep it
}

type workerRun struct {
	number  int
	began   time.Time
	length  time.Duration // 0 for a task that lasts
	ends    *time.Timer
	stopped bool
}

// workerProcess stands in for a worker of the platform.
type workerProcess struct {
	options workerOptions
	born    time.Time
	out     *json.Encoder

	mu        sync.Mutex
	state     string
	lateShare float64
	lateHolds bool
	cut       bool
	delay     int
	sequence  int64
	token     int64
	lease     int64 // end, on the clock of clockMS
	runs      map[string]*workerRun
	refused   map[string]int // by task, the highest run that may not start any more
	ended     [][]any
	lastEnd   int64
	acked     int64
	changed   chan struct{}
}

// startWork is the time after which a task that lasts is at work.
const startWork = 300 * time.Millisecond

func runWorker(in io.Reader, out io.Writer) {
	lines := bufio.NewScanner(in)
	w := &workerProcess{born: time.Now(), out: json.NewEncoder(out), state: "ready", runs: map[string]*workerRun{}, refused: map[string]int{},
		changed: make(chan struct{})}
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &w.options) != nil {
		os.Exit(exitNotRun)
	}
	listener, err := net.Listen("tcp4", w.options.Address)
	if err != nil {
		w.say(workerEvent{Kind: "failed", How: err.Error()})
		os.Exit(exitNotRun)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	for path, handle := range map[string]func(http.ResponseWriter, orderBody){"/run-start": w.start, "/run-stop": w.stop, "/hold": w.hold, "/pace": w.pace} {
		mux.HandleFunc("POST "+path, func(out http.ResponseWriter, r *http.Request) { w.order(out, r, handle) })
	}
	w.say(workerEvent{Kind: "up"})
	go func() {
		for ; ; time.Sleep(time.Duration(w.options.BeatMS) * time.Millisecond) {
			w.beat()
		}
	}()
	go func() {
		for ; ; time.Sleep(10 * time.Millisecond) {
			w.mu.Lock()
			w.lapse()
			w.mu.Unlock()
		}
	}()
	go func() { _ = http.Serve(listener, mux) }()
	for lines.Scan() {
		var c workerCommand
		if json.Unmarshal(lines.Bytes(), &c) != nil {
			continue
		}
		w.mu.Lock()
		w.lateShare, w.lateHolds, w.cut, w.delay = c.LateShare, c.LateHolds, c.Cut, c.Delay
		if c.State != "" {
			w.state = c.State
		}
		w.mu.Unlock()
		w.beat()
	}
}

// say writes an event. The caller may hold mu.
func (w *workerProcess) say(e workerEvent) {
	e.At, e.Worker = time.Now().UnixMicro(), w.options.ID
	sayMu.Lock()
	defer sayMu.Unlock()
	_ = w.out.Encode(e) // without a reader nothing is of use
}

var sayMu sync.Mutex

func (w *workerProcess) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	entry := map[string]any{"address": w.options.Address, "state": w.state, "born": w.born.UnixMilli(), "clock_ms": w.clockMS(), "sequence": w.sequence}
	for k, v := range w.options.Entry {
		entry[k] = v
	}
	w.say(workerEvent{Kind: "beat", Entry: entry})
}

func (w *workerProcess) clockMS() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// lapse ends everything if the lease has ended. The caller holds mu.
func (w *workerProcess) lapse() {
	if w.clockMS() > w.lease {
		for task := range w.runs {
			w.end(task, "lapsed")
		}
	}
}

// end ends a run. The caller holds mu.
func (w *workerProcess) end(task, how string) {
	r := w.runs[task]
	r.ends.Stop()
	delete(w.runs, task)
	w.refused[task] = max(w.refused[task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, task, r.number, how, ""})
	w.say(workerEvent{Kind: "end", Task: task, Run: r.number, Number: w.lastEnd, How: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

type orderBody struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	DueMS  int64  `json:"due_ms"`
	Token  int64  `json:"fencing_token"`
	Ack    int64  `json:"ack_cursor"`
	WaitMS int64  `json:"wait_ms"`
}

// deliveredHeader marks a call that the cell delivers after its delay.
const deliveredHeader = "Delivered-Late"

// order checks an order's addressee and token and carries it out, late if it is one of those. The handler is called with mu held.
func (w *workerProcess) order(out http.ResponseWriter, r *http.Request, handle func(http.ResponseWriter, orderBody)) {
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.options.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body orderBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	late := (w.lateHolds || r.URL.Path != "/hold") && rand.Float64() < w.lateShare
	cut, delayed := w.cut, r.URL.Path == "/run-start" && w.delay > 0 && r.Header.Get(deliveredHeader) == ""
	if delayed {
		w.delay--
		w.say(workerEvent{Kind: "delayed", Task: body.Task, Run: body.Run, Token: body.Token, Call: &body})
	}
	w.mu.Unlock()
	if cut || delayed {
		<-r.Context().Done()
		return
	}
	if late {
		time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() { w.carryOut(&recorded{header: http.Header{}}, body, handle) })
		<-r.Context().Done()
		return
	}
	w.carryOut(out, body, handle)
	w.mu.Lock()
	cut = w.cut
	w.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler) // the answer is lost
	}
}

func (w *workerProcess) carryOut(out http.ResponseWriter, body orderBody, handle func(http.ResponseWriter, orderBody)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if body.Token < w.token {
		w.reject(out, "fence")
		return
	}
	w.token = body.Token
	w.lapse()
	w.lease = max(w.lease, min(body.DueMS, w.clockMS()+w.options.HoldMaxMS))
	handle(out, body)
}

func (w *workerProcess) reject(out http.ResponseWriter, reason string) {
	answer(out, http.StatusConflict, map[string]any{"clock_ms": w.clockMS(), "reason": reason})
}

func (w *workerProcess) done(out http.ResponseWriter) {
	answer(out, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
}

func (w *workerProcess) start(out http.ResponseWriter, body orderBody) {
	current := w.runs[body.Task]
	switch {
	case current != nil && current.number == body.Run:
	case body.Run <= w.refused[body.Task] || current != nil && current.number > body.Run:
		w.reject(out, "old")
		return
	case body.DueMS <= w.clockMS():
		w.reject(out, "late")
		return
	default:
		w.begin(body)
	}
	w.done(out)
}

// begin starts a run. Its spec is a list of NAME=VALUE: ms is how long it takes (a task without it lasts), fail=1 makes it fail.
func (w *workerProcess) begin(body orderBody) {
	how, r := "done", &workerRun{number: body.Run, began: time.Now()}
	for _, field := range strings.Fields(body.Spec) {
		name, value, _ := strings.Cut(field, "=")
		switch {
		case name == "ms":
			ms, _ := strconv.Atoi(value)
			r.length = time.Duration(ms) * time.Millisecond
		case name == "fail" && value == "1":
			how = "failed"
		}
	}
	length := r.length
	if length == 0 {
		length = time.Hour
	}
	r.ends = time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lapse()
		if w.runs[body.Task] == r {
			w.end(body.Task, how)
		}
	})
	w.runs[body.Task] = r
	w.say(workerEvent{Kind: "start", Task: body.Task, Run: body.Run, How: body.Spec, Token: body.Token})
}

func (w *workerProcess) stop(out http.ResponseWriter, body orderBody) {
	w.refused[body.Task] = max(w.refused[body.Task], body.Run)
	if r := w.runs[body.Task]; r != nil && r.number <= body.Run && !r.stopped {
		r.stopped = true
		time.AfterFunc(time.Duration(w.options.StopMS)*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[body.Task] == r {
				w.end(body.Task, "stopped")
			}
		})
	}
	w.done(out)
}

func (w *workerProcess) pace(out http.ResponseWriter, _ orderBody) { w.done(out) }

func (w *workerProcess) hold(out http.ResponseWriter, body orderBody) {
	w.ended = slices.DeleteFunc(w.ended, func(row []any) bool { return row[0].(int64) <= body.Ack })
	if body.Ack > w.acked && body.Ack <= w.lastEnd {
		w.acked = body.Ack
		w.say(workerEvent{Kind: "ack", Number: body.Ack})
	}
	if len(w.ended) == 0 && body.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(body.WaitMS, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
		w.lapse()
	}
	running := [][]any{}
	for task, r := range w.runs {
		percent := 100.0
		switch {
		case r.length > 0:
			percent = min(100, 100*float64(time.Since(r.began))/float64(r.length))
		case time.Since(r.began) < startWork:
			percent = 0
		}
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	answer(out, http.StatusOK, map[string]any{"clock_ms": w.clockMS(), "born": w.born.UnixMilli(), "running": running,
		"ended_runs": append([][]any{}, w.ended[:min(len(w.ended), 500)]...)})
}

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker of the platform that doesn't guard its capacity. It follows PROTOCOL.md.
type worker struct {
	w    *world
	gate *gate
	id   string
	cpu  int64
	rack string

	mu       sync.Mutex
	born     time.Time
	down     bool
	isolated bool // cut off from all machines, the store too
	state    string
	sequence int64
	token    int64
	leaseMS  int64 // on this life's clock
	runs     map[string]*run
	refused  map[string]int // by task, highest run that ended or was stopped
	ended    [][]any
	number   int64
	changed  chan struct{}
	holds    int // holds of this life
	holdAt   time.Time
	lastBeat time.Time
	label    string // its kind
	grey     bool   // fails all that it starts
}

// run is a run of a task on a worker.
type run struct {
	task   string
	number int
	begun  time.Time // of its work; zero for a member of a gang that waits
	start  time.Time
	span   *span
	doomed bool // fails by the worker's fault
}

// greyDelay is how long a grey worker's runs take to fail.
const greyDelay = 300 * time.Millisecond

func newWorker(w *world, ip, id, rack string, cpu int64) (*worker, error) {
	k := &worker{w: w, id: id, cpu: cpu, rack: rack, label: "a", state: "ready", changed: make(chan struct{})}
	k.reset()
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", k.start)
	mux.HandleFunc("POST /run-stop", k.stop)
	mux.HandleFunc("POST /hold", k.hold)
	mux.HandleFunc("POST /pace", k.pace)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	go func() { _ = http.Serve(l, mux) }()
	if k.gate, err = newGate(ip, l.Addr().String()); err != nil {
		return nil, err
	}
	go k.tick()
	return k, nil
}

// reset begins a new life, which knows nothing of earlier ones. The caller holds mu, or the worker isn't served yet.
func (k *worker) reset() {
	k.born, k.token, k.leaseMS, k.number, k.ended, k.holds, k.sequence = time.Now(), 0, 0, 0, nil, 0, 0
	k.runs, k.refused = map[string]*run{}, map[string]int{}
	k.wake()
}

func (k *worker) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// crash ends the worker's process. Connections are refused until restart.
func (k *worker) crash() {
	k.gate.close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = true
	for _, r := range k.runs {
		r.span.finish("gone")
		k.w.memberEnded(r.task, r.number, "gone")
	}
	k.runs = map[string]*run{}
	k.wake()
	k.w.note("worker %s crashes", k.id)
}

// restart starts the worker again at the same address, under the given id.
func (k *worker) restart(id string) {
	k.mu.Lock()
	if id != k.id {
		old := k.id
		k.id = id
		go k.w.store.remove("servers/" + old) // the platform sees another instance of the machine
	}
	k.reset()
	k.down = false
	k.mu.Unlock()
	k.beat()
	k.gate.open()
	k.w.note("worker %s starts again", id)
}

// clock is this life's steady clock in milliseconds. The caller holds mu.
func (k *worker) clock() int64 { return time.Since(k.born).Milliseconds() + 100 }

// beat writes the worker's entry into the registry.
func (k *worker) beat() {
	k.mu.Lock()
	if k.down || k.isolated {
		k.mu.Unlock()
		return
	}
	k.sequence++
	k.lastBeat = time.Now()
	entry := map[string]any{"service": serviceName, "address": k.gate.address, "zone": "z1", "version": "v1", "slots": 8, "state": k.state,
		"cold_ms": 0, "capacity": map[string]int64{"cpu": k.cpu, "mem_mb": 32768, "gpu": 0}, "labels": []string{k.label, k.rack},
		"clock_ms": k.clock(), "sequence": k.sequence, "born": k.born.UnixMilli()}
	if k.state == "draining" {
		entry["remaining_ms"] = 2000
	}
	key := "servers/" + k.id
	k.mu.Unlock()
	b, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	k.w.store.put(key, b)
}

// drain reports that the worker drains.
func (k *worker) drain() {
	k.mu.Lock()
	k.state = "draining"
	k.mu.Unlock()
	k.beat()
	k.w.note("worker %s reports draining", k.id)
}

func (k *worker) tick() {
	for range time.Tick(5 * time.Millisecond) {
		k.mu.Lock()
		if !k.down {
			k.lapse()
			k.work()
		}
		due := time.Since(k.lastBeat) >= heartbeat
		k.mu.Unlock()
		if due {
			k.beat()
		}
	}
}

// lapse ends all runs if the lease has ended. The caller holds mu.
func (k *worker) lapse() {
	if k.clock() <= k.leaseMS {
		return
	}
	for _, r := range k.runs {
		k.endRun(r, "lapsed")
	}
}

// work ends the runs whose work is done, and those of gangs that are broken or wait too long. The caller holds mu.
func (k *worker) work() {
	for _, r := range k.runs {
		j := k.w.job(r.task)
		if j == nil {
			continue
		}
		if j.gang {
			began, broken := k.w.gangState(j, r.number)
			switch {
			case broken:
				k.endRun(r, "broken")
				continue
			case began.IsZero() && time.Since(r.start) > gangWait:
				k.endRun(r, "alone")
				continue
			}
			r.begun = began
		}
		if r.doomed && time.Since(r.start) >= greyDelay {
			k.endRun(r, "failed")
			continue
		}
		if !r.begun.IsZero() && time.Since(r.begun) >= j.duration {
			k.endRun(r, "done")
		}
	}
}

// endRun records the end of a run. The caller holds mu.
func (k *worker) endRun(r *run, how string) {
	delete(k.runs, r.task)
	k.refused[r.task] = max(k.refused[r.task], r.number)
	k.number++
	k.ended = append(k.ended, []any{k.number, r.task, r.number, how, ""})
	r.span.finish(how)
	k.w.memberEnded(r.task, r.number, how)
	k.wake()
}

type workerRequest struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	Ticket string `json:"ticket"`
	Due    int64  `json:"due_ms"`
	Token  int64  `json:"fencing_token"`
	Ack    int64  `json:"ack_cursor"`
	Wait   int64  `json:"wait_ms"`
}

// accept decodes a call, checks its instance and token, and extends the lease. If ok is true, the caller holds mu
// afterwards.
func (k *worker) accept(out http.ResponseWriter, r *http.Request) (req workerRequest, ok bool) {
	err := json.NewDecoder(r.Body).Decode(&req)
	k.mu.Lock()
	switch {
	case k.down:
		k.mu.Unlock()
		panic(http.ErrAbortHandler)
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != k.id:
		k.mu.Unlock()
		out.WriteHeader(http.StatusMisdirectedRequest)
		return req, false
	case err != nil:
		k.mu.Unlock()
		out.WriteHeader(http.StatusBadRequest)
		return req, false
	case req.Token < k.token:
		k.reject(out, "fence")
		k.mu.Unlock()
		return req, false
	}
	k.token = req.Token
	// A lease longer than hold_max_ms is shortened to that. It never shortens an earlier one.
	longest := k.clock() + holdMax.Milliseconds()
	if req.Due > longest {
		k.w.note("worker %s: %s asks for a lease until %d on a clock that shows %d; shortened to %d ms", k.id, r.URL.Path, req.Due, k.clock(),
			holdMax.Milliseconds())
	}
	k.lapse()
	k.leaseMS = max(k.leaseMS, min(req.Due, longest))
	return req, true
}

func (k *worker) reject(out http.ResponseWriter, reason string) {
	answer(out, http.StatusConflict, map[string]any{"clock_ms": k.clock(), "reason": reason})
}

func (k *worker) start(out http.ResponseWriter, r *http.Request) {
	req, ok := k.accept(out, r)
	if !ok {
		return
	}
	defer k.mu.Unlock()
	current := k.runs[req.Task]
	switch {
	case current != nil && current.number == req.Run:
	case current != nil || req.Run <= k.refused[req.Task]:
		k.reject(out, "old")
		return
	case req.Due <= k.clock():
		k.reject(out, "late")
		return
	case !k.w.ticketValid(req.Task, req.Ticket, k.id, k.born):
		k.w.ticketRejected(req.Task, req.Run, k.id, req.Ticket)
		k.reject(out, "ticket")
		return
	default:
		x := &run{task: req.Task, number: req.Run, start: time.Now(), doomed: k.grey}
		x.span = k.w.begin(req.Task, req.Run, k.id)
		if j := k.w.job(req.Task); j == nil || !j.gang {
			x.begun = x.start
		} else {
			k.w.memberPresent(j, req.Task, req.Run)
		}
		k.runs[req.Task] = x
	}
	answer(out, http.StatusOK, map[string]any{"clock_ms": k.clock()})
}

func (k *worker) stop(out http.ResponseWriter, r *http.Request) {
	req, ok := k.accept(out, r)
	if !ok {
		return
	}
	defer k.mu.Unlock()
	k.w.note("worker %s is told to stop %s run %d", k.id, req.Task, req.Run)
	if current := k.runs[req.Task]; current != nil && current.number <= req.Run {
		k.endRun(current, "stopped")
	}
	k.refused[req.Task] = max(k.refused[req.Task], req.Run)
	answer(out, http.StatusOK, map[string]any{"clock_ms": k.clock()})
}

func (k *worker) pace(out http.ResponseWriter, r *http.Request) {
	if _, ok := k.accept(out, r); ok {
		answer(out, http.StatusOK, map[string]any{"clock_ms": k.clock()})
		k.mu.Unlock()
	}
}

func (k *worker) hold(out http.ResponseWriter, r *http.Request) {
	req, ok := k.accept(out, r)
	if !ok {
		return
	}
	born := k.born
	k.holds++
	k.holdAt = time.Now()
	for len(k.ended) > 0 && k.ended[0][0].(int64) <= req.Ack {
		k.ended = k.ended[1:]
	}
	deadline := time.Now().Add(time.Duration(min(req.Wait, 2000)) * time.Millisecond)
	for len(k.ended) == 0 && time.Now().Before(deadline) {
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
		}
		k.mu.Lock()
		if k.down || k.born != born {
			k.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	defer k.mu.Unlock()
	running := [][]any{}
	for _, x := range k.runs {
		percent := 0
		if j := k.w.job(x.task); j != nil && !x.begun.IsZero() {
			percent = int(min(100, 100*time.Since(x.begun)/j.duration))
		}
		running = append(running, []any{x.task, x.number, "", percent, 0})
	}
	answer(out, http.StatusOK, map[string]any{"clock_ms": k.clock(), "born": k.born.UnixMilli(), "running": running,
		"ended_runs": append([][]any{}, k.ended[:min(len(k.ended), 500)]...)})
}

// cutOff cuts the worker off from all machines. With refuse, connections to it are refused meanwhile; otherwise nothing
// passes. The worker runs on.
func (k *worker) cutOff(refuse bool) {
	k.mu.Lock()
	k.isolated = true
	k.mu.Unlock()
	if refuse {
		k.gate.close()
	} else {
		k.gate.setCut(true)
	}
	k.w.note("worker %s is cut off from all machines, refuse=%v", k.id, refuse)
}

func (k *worker) rejoin(refuse bool) {
	k.mu.Lock()
	k.isolated = false
	k.mu.Unlock()
	if refuse {
		k.gate.open()
	} else {
		k.gate.setCut(false)
	}
	k.beat()
	k.w.note("worker %s: the cut ends", k.id)
}

func (k *worker) isRunning(task string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs[task] != nil
}

// splitTask returns the job, step and index in a task's name.
func splitTask(task string) (job string, step, index int, err error) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return "", 0, 0, fmt.Errorf("task %q", task)
	}
	if step, err = strconv.Atoi(p[2]); err != nil {
		return "", 0, 0, err
	}
	index, err = strconv.Atoi(p[3])
	return p[0], step, index, err
}

// setGrey makes the worker fail all that it starts from now on, or makes it sound again.
func (k *worker) setGrey(grey bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.grey = grey
	k.w.note("worker %s: fails all that it starts: %v", k.id, grey)
}

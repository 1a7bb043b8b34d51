//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Figures of a small deployment, as in the site files.
const (
	serviceName = "gatecare"
	holdMax     = 10 * time.Second // hold_max_ms of kgs-kyushu
	gangWait    = 3 * time.Second  // gang_wait_ms
	cancelTime  = 3 * time.Second  // cancel_ms
	stableTime  = 3 * time.Second  // stable_ms
	finishS     = 14 * time.Second // finish_s
	workers     = 16
	workerCPU   = 16000
)

// world holds what the clients, the workers and the platform have seen.
type world struct {
	store   *store
	workers []*worker
	record  *os.File
	start   time.Time

	mu       sync.Mutex
	steps    map[string]*stepState // by JOB.STEP
	spans    []*span
	twice    []string
	tickets  map[string]ticket // by text
	validity time.Duration
	rejects  map[string]int // starts rejected for their ticket, by task
}

// stepState is a step of a submitted job.
type stepState struct {
	name     string // JOB.0.STEP
	count    int
	gang     bool
	advised  bool // its queue has advice
	duration time.Duration
	present  map[int]map[string]bool // members by run
	began    map[int]time.Time
	broken   map[int]bool
}

// span is a run as its worker has seen it.
type span struct {
	w          *world
	task       string
	number     int
	worker     string
	begun, end time.Time // end is zero while it runs
	how        string
}

type ticket struct {
	step, worker string
	born         time.Time
	expires      time.Time
}

func newWorld(record *os.File) *world {
	return &world{record: record, start: time.Now(), steps: map[string]*stepState{}, tickets: map[string]ticket{}, rejects: map[string]int{},
		validity: 2500 * time.Millisecond}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// job returns the step to which a task belongs, or nil if no client has sent it.
func (w *world) job(task string) *stepState {
	id, step, _, err := splitTask(task)
	if err != nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.steps[fmt.Sprintf("%s.%d", id, step)]
}

// begin records the start of a run, and whether another run of the task is at work on a worker that is up.
func (w *world) begin(task string, number int, worker string) *span {
	s := &span{w: w, task: task, number: number, worker: worker, begun: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("run    %s run %d begins on %s", task, number, worker)
	for _, o := range w.spans {
		if o.task == task && o.end.IsZero() {
			text := fmt.Sprintf("%s: run %d begins on %s while run %d is at work on %s", task, number, worker, o.number, o.worker)
			w.twice = append(w.twice, text)
			w.note("TWICE  %s", text)
		}
	}
	w.spans = append(w.spans, s)
	return s
}

func (s *span) finish(how string) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.end, s.how = time.Now(), how
	s.w.note("run    %s run %d ends on %s: %s", s.task, s.number, s.worker, how)
	for _, o := range s.w.spans {
		if o != s && o.task == s.task && o.begun.After(s.begun) && (o.end.IsZero() || o.end.After(o.begun)) && o.begun.Before(s.end) {
			s.w.note("       run %d was at work at the same time for %d ms", o.number, s.end.Sub(o.begun).Milliseconds())
		}
	}
}

// spansOf returns the runs of a task.
func (w *world) spansOf(task string) []span {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []span
	for _, s := range w.spans {
		if s.task == task {
			list = append(list, *s)
		}
	}
	return list
}

// failedEnds returns how many runs of a job have ended failed.
func (w *world) failedEnds(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.spans {
		if s.how == "failed" && len(s.task) > len(job) && s.task[:len(job)] == job {
			n++
		}
	}
	return n
}

func (w *world) memberPresent(j *stepState, task string, run int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j.present[run] == nil {
		j.present[run] = map[string]bool{}
	}
	j.present[run][task] = true
	if len(j.present[run]) == j.count {
		j.began[run] = time.Now()
		w.note("       gang %s run %d: all members are present", j.name, run)
	}
}

func (w *world) memberEnded(task string, run int, how string) {
	j := w.job(task)
	if j == nil || !j.gang || how == "done" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j.broken[run] = true
}

func (w *world) gangState(j *stepState, run int) (began time.Time, broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return j.began[run], j.broken[run]
}

// ticketValid reports whether a worker may start a task with a ticket.
func (w *world) ticketValid(task, text, worker string, born time.Time) bool {
	j := w.job(task)
	if j == nil || !j.advised {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tickets[text]
	return ok && t.step == j.name && t.worker == worker && t.born.Equal(born) && time.Now().Before(t.expires)
}

func (w *world) ticketRejected(task string, run int, worker, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rejects[task]++
	if n := w.rejects[task]; n <= 5 || n%100 == 0 {
		w.note("worker %s rejects the start of %s run %d: ticket %q (%d such starts of this task so far)", worker, task, run, text, n)
	}
}

func (w *world) rejected(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rejects[task]
}

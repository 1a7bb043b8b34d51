package worker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/workerpb"
)

// Run is one attempt that ran on a worker.
type Run struct {
	Task     job.TaskID
	Index    int32 // index within the caller's job; Task.Job may be only a part of that job
	Attempt  int32
	Worker   string
	Reserved resource.Vector
	Start    time.Time
	// End is zero while State is port.TaskRunning, except on a frozen worker: there it is the time at which the task
	// lease lapses, because the task can't continue after that.
	End    time.Time
	State  port.TaskState // port.TaskLapsed also if the worker was killed
	Output json.RawMessage
}

// RunLog records the runs and requests of any number of workers, so that tests can check the guarantees.
type RunLog struct {
	mu       sync.Mutex
	runs     []Run
	running  map[*task]int // index in runs
	requests map[string]int
	stream   *json.Encoder // nil if the log is only kept in memory
}

// NewRunLog returns an empty log.
func NewRunLog() *RunLog {
	return &RunLog{running: map[*task]int{}, requests: map[string]int{}}
}

func (l *RunLog) recordStart(worker string, t *task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[t] = len(l.runs)
	r := Run{Task: t.id.task, Index: t.firstIndex + t.id.task.Index, Attempt: t.id.attempt, Worker: worker,
		Reserved: t.reserved, Start: t.started}
	l.runs = append(l.runs, r)
	l.write(logEntry{Start: &r})
}

func (l *RunLog) recordEnd(t *task, state workerpb.TaskState, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.runs[l.running[t]]
	delete(l.running, t)
	r.End, r.State = at, port.TaskState(state)
	if r.State == port.TaskSucceeded {
		r.Output = t.payload.Output
	}
	l.write(logEntry{End: r})
}

// setExpectedEnd sets the end that an open run will have if its worker stays frozen; a zero time clears it.
func (l *RunLog) setExpectedEnd(t *task, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[l.running[t]].End = end
}

func (l *RunLog) recordRequest(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id]++
	l.write(logEntry{Request: id})
}

// Runs returns a copy of all runs in order of their start.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// Requests returns the number of executed requests by X-Request-Id.
func (l *RunLog) Requests() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.requests)
}

// Violations describes every overlap between runs of one task, every task that succeeded twice, and every start after
// which a worker's runs reserved more than its capacity. Workers that are not in capacity are not checked for the last
// of these.
func (l *RunLog) Violations(capacity map[string]resource.Vector) []string {
	return Violations(l.Runs(), capacity)
}

// Violations is like RunLog.Violations for runs that may come from several logs.
func Violations(runs []Run, capacity map[string]resource.Vector) []string {
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(a, b Run) int { return a.Start.Compare(b.Start) })
	return append(taskViolations(runs), capacityViolations(runs, capacity)...)
}

func (r Run) String() string {
	return fmt.Sprintf("%s#%d on %s", r.Task, r.Attempt, r.Worker)
}

func taskViolations(runs []Run) []string {
	var out []string
	lastToEnd := map[job.TaskID]Run{} // by task, the run so far that ends last
	succeeded := map[job.TaskID]Run{}
	for _, r := range runs {
		earlier, ok := lastToEnd[r.Task]
		if ok && (earlier.End.IsZero() || earlier.End.After(r.Start)) {
			out = append(out, fmt.Sprintf("%s started while %s ran", r, earlier))
		}
		if !ok || (!earlier.End.IsZero() && (r.End.IsZero() || r.End.After(earlier.End))) {
			lastToEnd[r.Task] = r
		}
		if r.State != port.TaskSucceeded {
			continue
		}
		if first, ok := succeeded[r.Task]; ok {
			out = append(out, fmt.Sprintf("%s succeeded after %s", r, first))
		}
		succeeded[r.Task] = r
	}
	return out
}

// reservationChange is a change of a worker's reserved resources: positive at the start of a run, negative at its end.
type reservationChange struct {
	at     time.Time
	amount resource.Vector
	run    Run
}

func capacityViolations(runs []Run, capacity map[string]resource.Vector) []string {
	changes := map[string][]reservationChange{}
	for _, r := range runs {
		if _, ok := capacity[r.Worker]; !ok {
			continue
		}
		changes[r.Worker] = append(changes[r.Worker], reservationChange{r.Start, r.Reserved, r})
		if !r.End.IsZero() {
			changes[r.Worker] = append(changes[r.Worker], reservationChange{r.End, r.Reserved.Scale(-1), r})
		}
	}
	var out []string
	for _, worker := range slices.Sorted(maps.Keys(changes)) {
		// At equal times, ends sort before starts.
		slices.SortStableFunc(changes[worker], func(a, b reservationChange) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(sign(a.amount), sign(b.amount)))
		})
		var used resource.Vector
		for _, c := range changes[worker] {
			used = used.Add(c.amount)
			if sign(c.amount) > 0 && !used.Fits(capacity[worker]) {
				out = append(out, fmt.Sprintf("%s exceeded the capacity: %+v reserved of %+v", c.run, used, capacity[worker]))
			}
		}
	}
	return out
}

func sign(v resource.Vector) int {
	if v.HasNegative() {
		return -1
	}
	return 1
}

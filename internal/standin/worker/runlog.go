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
	Attempt  int32
	Worker   string
	Reserved resource.Vector
	Start    time.Time
	// End is zero while State is port.TaskRunning. On a frozen worker it is then the lapse of the task lease, after
	// which the task can't go on.
	End    time.Time
	State  port.TaskState // port.TaskLapsed also for a killed worker
	Output json.RawMessage
}

// RunLog records the runs and requests of any number of workers, so that tests can check the guarantees.
type RunLog struct {
	mu       sync.Mutex
	runs     []Run
	open     map[*task]int // index in runs
	requests map[string]int
}

// NewRunLog returns an empty log.
func NewRunLog() *RunLog {
	return &RunLog{open: map[*task]int{}, requests: map[string]int{}}
}

func (l *RunLog) begin(worker string, t *task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[t] = len(l.runs)
	l.runs = append(l.runs, Run{Task: t.id.task, Attempt: t.id.attempt, Worker: worker, Reserved: t.reserved, Start: t.started})
}

func (l *RunLog) finish(t *task, state workerpb.TaskState, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.runs[l.open[t]]
	delete(l.open, t)
	r.End, r.State = at, port.TaskState(state)
	if r.State == port.TaskSucceeded {
		r.Output = t.payload.Output
	}
}

// expect sets the end that an open run will have if its worker stays frozen; a zero time takes it back.
func (l *RunLog) expect(t *task, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[l.open[t]].End = end
}

func (l *RunLog) countRequest(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id]++
}

// Runs returns a copy of all runs in order of their start.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// Requests returns how often each X-Request-Id ran.
func (l *RunLog) Requests() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.requests)
}

// Violations names every pair of runs of one task that overlap, every task that succeeded twice, and every moment when
// a worker's runs reserved more than its capacity. Workers that capacity doesn't name are not checked for that.
func (l *RunLog) Violations(capacity map[string]resource.Vector) []string {
	return Violations(l.Runs(), capacity)
}

// Violations checks runs that may come from several logs, as RunLog.Violations does.
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
	longest := map[job.TaskID]Run{} // the earlier run that ends last
	succeeded := map[job.TaskID]Run{}
	for _, r := range runs {
		before, ok := longest[r.Task]
		if ok && (before.End.IsZero() || before.End.After(r.Start)) {
			out = append(out, fmt.Sprintf("%s started while %s ran", r, before))
		}
		if !ok || (!before.End.IsZero() && (r.End.IsZero() || r.End.After(before.End))) {
			longest[r.Task] = r
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

// step is a change of what a worker has reserved.
type step struct {
	at     time.Time
	amount resource.Vector
	run    Run
}

func capacityViolations(runs []Run, capacity map[string]resource.Vector) []string {
	steps := map[string][]step{}
	for _, r := range runs {
		if _, ok := capacity[r.Worker]; !ok {
			continue
		}
		steps[r.Worker] = append(steps[r.Worker], step{r.Start, r.Reserved, r})
		if !r.End.IsZero() {
			steps[r.Worker] = append(steps[r.Worker], step{r.End, r.Reserved.Scale(-1), r})
		}
	}
	var out []string
	for _, worker := range slices.Sorted(maps.Keys(steps)) {
		// At the same moment, ends come before starts.
		slices.SortStableFunc(steps[worker], func(a, b step) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(sign(a.amount), sign(b.amount)))
		})
		var used resource.Vector
		for _, s := range steps[worker] {
			used = used.Add(s.amount)
			if sign(s.amount) > 0 && !used.Fits(capacity[worker]) {
				out = append(out, fmt.Sprintf("%s exceeded the capacity: %+v reserved of %+v", s.run, used, capacity[worker]))
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

package runcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"sequoiastall/internal/standin/workerproc"
)

// runState is a run while it runs. What is being stopped still runs.
type runState struct {
	start workerproc.Event
	name  workerproc.TaskName
	job   *history // nil: no client sent it
	step  *workerproc.Step
}

// uses returns what the run takes up.
func (r *runState) uses() workerproc.Capacity {
	if r.step == nil {
		return workerproc.Capacity{}
	}
	return workerproc.Capacity{CPU: r.step.CPU, MemMB: r.step.MemMB}
}

// workerState is a worker as of the moment that is judged.
type workerState struct {
	up       workerproc.Event // of its life
	alive    bool
	ready    bool // by its registry entry
	capacity workerproc.Capacity
	former   []formerCapacity
	leaseEnd time.Duration
	runs     map[runID]*runState
	unnoted  []string // units of ends done that are never acknowledged
}

type formerCapacity struct {
	capacity workerproc.Capacity
	until    time.Duration
}

type runID struct {
	task string
	run  int
}

// judge goes through all events in the order of their time.
type judge struct {
	rules        Rules
	jobs         map[string]*history
	faults       []*Fault
	workers      map[string]*workerState
	done         map[string]time.Duration // by unit: when a run first ended done
	noted        map[string]notedEnd      // by unit: its first end done that was ever acknowledged
	kept         map[string]int           // by unit: its ends done, without those that a worker has lost
	lastStart    map[string]time.Duration // by unit
	failures     map[string][]runFailure  // by unit
	notes        map[int]time.Duration    // by index of an event: when that end was acknowledged
	acknowledged map[int]time.Duration    // the same, also for ends that were acknowledged after the expiry of a lease
	saved        map[string]bool          // unit and checkpoint
	gangStarts   map[runID]string         // by unit and run: checkpoint of the first member
	idle         map[string]idleState     // by job or task: since when it could run but nothing does
	reportedIdle map[string]bool          // jobs and tasks
	violations   []Violation
}

type notedEnd struct{ ended, noted time.Duration }

type runFailure struct {
	run   int
	noted time.Duration // 0: never
}

// Violations judges everything that was recorded, up to a moment.
func (c *Checker) Violations(until time.Duration) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := slices.Clone(c.events)
	slices.SortStableFunc(events, func(a, b workerproc.Event) int { return cmp.Compare(a.At, b.At) })
	j := &judge{rules: c.rules, jobs: c.jobs, faults: c.faults, workers: map[string]*workerState{}, done: map[string]time.Duration{},
		noted: map[string]notedEnd{}, kept: map[string]int{}, failures: map[string][]runFailure{}, reportedIdle: map[string]bool{}, notes: noteTimes(events, true), acknowledged: noteTimes(events, false), saved: map[string]bool{},
		gangStarts: map[runID]string{}, idle: map[string]idleState{}}
	j.lastStart = j.lastStarts(events)
	for i, e := range events {
		if e.At > until {
			break
		}
		j.checkIdle(e.At)
		j.apply(i, e)
		j.markIdle(e.At)
	}
	j.checkIdle(until)
	for _, id := range sortedKeys(j.jobs) {
		j.checkShown(j.jobs[id])
	}
	j.checkStillRunning(until)
	return j.violations
}

// noteTimes returns when each end was acknowledged, by its index. An end before the expiry of a lease counts as acknowledged
// only if that came before the expiry, or if expiries don't matter.
func noteTimes(events []workerproc.Event, expiriesMatter bool) map[int]time.Duration {
	notes := map[int]time.Duration{}
	pending := map[workerLife][]int{}
	for i, e := range events {
		on := workerLife{e.Worker, e.Life}
		switch e.Kind {
		case workerproc.Ended:
			pending[on] = append(pending[on], i)
		case workerproc.Lapsed:
			if expiriesMatter {
				delete(pending, on)
			}
		case workerproc.Acked:
			pending[on] = slices.DeleteFunc(pending[on], func(i int) bool {
				if events[i].Number > e.Number {
					return false
				}
				notes[i] = e.At
				return true
			})
		}
	}
	return notes
}

func (j *judge) report(rule string, at time.Duration, job, format string, args ...any) {
	j.violations = append(j.violations, Violation{rule, at, job, fmt.Sprintf(format, args...)})
}

func (j *judge) worker(id string) *workerState {
	w := j.workers[id]
	if w == nil {
		w = &workerState{runs: map[runID]*runState{}}
		j.workers[id] = w
	}
	return w
}

func (j *judge) apply(index int, e workerproc.Event) {
	w := j.worker(e.Worker)
	switch e.Kind {
	case workerproc.Up:
		*w = workerState{up: e, alive: true, ready: w.ready, capacity: e.Capacity, runs: map[runID]*runState{}}
	case workerproc.Down:
		for _, r := range w.runs {
			j.checkRanOn(r, w.lastActive(e.At))
		}
		w.alive, w.runs = false, map[runID]*runState{}
		j.forget(w, e.At)
	case workerproc.Registered:
		w.ready = e.State == "ready"
	case workerproc.Resized:
		w.former = append(w.former, formerCapacity{w.capacity, e.At + j.rules.CapacityLag})
		w.capacity = e.Capacity
	case workerproc.Leased:
		w.leaseEnd = e.Until
	case workerproc.Saved:
		if name, err := workerproc.ParseTask(e.Task); err == nil {
			j.saved[j.unit(e.Task, name)+" "+e.Checkpoint] = true
		}
	case workerproc.Started:
		j.start(w, e)
	case workerproc.Ended:
		j.end(w, index, e)
	}
}

// unit returns what ends as a whole: the gang of a task, or the task itself.
func (j *judge) unit(task string, name workerproc.TaskName) string {
	if step := j.step(name); step != nil && step.Gang {
		return name.StepName()
	}
	return task
}

func (j *judge) step(name workerproc.TaskName) *workerproc.Step {
	h := j.jobs[name.Job]
	if h == nil || name.Step >= len(h.job.Steps) {
		return nil
	}
	return &h.job.Steps[name.Step]
}

func (j *judge) start(w *workerState, e workerproc.Event) {
	name, err := workerproc.ParseTask(e.Task)
	if err != nil {
		j.report("UNASKED", e.At, "", "%s starts %s, which isn't a task", e.Worker, e.Task)
		return
	}
	r := &runState{start: e, name: name, job: j.jobs[name.Job], step: j.step(name)}
	if j.checkAsked(r) {
		j.checkOrder(r)
		j.checkAttempts(r)
		j.checkTwice(r)
		j.checkPlace(w, r)
	}
	w.runs[runID{e.Task, e.Run}] = r
	j.checkRoom(w, r)
	j.checkTeam(r)
}

func (j *judge) end(w *workerState, index int, e workerproc.Event) {
	id := runID{e.Task, e.Run}
	r := w.runs[id]
	if r == nil {
		return
	}
	delete(w.runs, id)
	j.checkRanOn(r, e.At)
	unit := j.unit(e.Task, r.name)
	noted, wasNoted := j.notes[index]
	switch e.Outcome {
	case workerproc.Done:
		if _, ok := j.done[unit]; !ok {
			j.done[unit] = e.At
		}
		j.kept[unit]++
		if _, ok := j.acknowledged[index]; !ok {
			w.unnoted = append(w.unnoted, unit)
		}
		if known, ok := j.noted[unit]; wasNoted && (!ok || noted < known.noted) {
			j.noted[unit] = notedEnd{e.At, noted}
		}
	case workerproc.Failed:
		j.fail(unit, runFailure{e.Run, noted})
	case workerproc.Alone:
		j.checkAlone(r, e)
	}
}

// fail takes note of a failed run. A gang fails once, however many of its members do.
func (j *judge) fail(unit string, f runFailure) {
	i := slices.IndexFunc(j.failures[unit], func(known runFailure) bool { return known.run == f.run })
	if i < 0 {
		j.failures[unit] = append(j.failures[unit], f)
	} else if j.failures[unit][i].noted == 0 {
		j.failures[unit][i].noted = f.noted
	}
}

// forget takes back the ends that a worker has lost before they were acknowledged, unless the scheduler had recorded them.
func (j *judge) forget(w *workerState, at time.Duration) {
	for _, unit := range w.unnoted {
		if !j.wasRecorded(unit, at) {
			j.kept[unit]--
		}
	}
	w.unnoted = nil
}

// wasRecorded returns whether the scheduler had recorded an end done before a moment: its job was later shown as completed
// without another start of the unit.
func (j *judge) wasRecorded(unit string, at time.Duration) bool {
	job, _, _ := strings.Cut(unit, ".")
	return j.lastStart[unit] <= at && slices.ContainsFunc(j.jobs[job].shown, func(s shown) bool { return s.state == "completed" })
}

// lastStarts returns when each unit was started last.
func (j *judge) lastStarts(events []workerproc.Event) map[string]time.Duration {
	starts := map[string]time.Duration{}
	for _, e := range events {
		if name, err := workerproc.ParseTask(e.Task); err == nil && e.Kind == workerproc.Started {
			starts[j.unit(e.Task, name)] = e.At
		}
	}
	return starts
}

// lastActive returns when the runs that are there at a moment were last under way.
func (w *workerState) lastActive(at time.Duration) time.Duration {
	if w.leaseEnd > 0 {
		return min(at, w.leaseEnd)
	}
	return at
}

// isActive returns whether a run is under way. The lease ends a run even if its worker is paused and can't report it.
func (w *workerState) isActive(at time.Duration) bool {
	return w.alive && w.lastActive(at) == at
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

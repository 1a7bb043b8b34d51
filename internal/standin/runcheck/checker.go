// Package runcheck checks the guarantees of the scheduler against the runs of all workers, and against what clients sent and
// saw. All times are readings of workerproc.Now. What happened is judged afterwards, in the order of its time, because a
// worker reports events late when its process was paused.
package runcheck

import (
	"fmt"
	"sync"
	"time"

	"sequoiastall/internal/standin/workerproc"
)

// Rules are the bounds that the checker applies.
type Rules struct {
	CancelWithin  time.Duration // from the acknowledgement of a cancellation to the last start
	StopWithin    time.Duration // from then to the end of all runs
	NoteWithin    time.Duration // from the acknowledgement of an end to the last start of its task
	VisibleWithin time.Duration // from the acceptance of a job until every node knows it
	CapacityLag   time.Duration // for which a capacity still counts after it was replaced in the same life of the worker
	Settle        time.Duration // for which a fault still counts after its end
	StillFor      time.Duration // longest time for which a job may have nothing running although it could
	CalmBefore    time.Duration // without a fault before StillFor
	RestartWithin time.Duration // from the end of a run of a service until StillFor begins
	MaxInUse      float64       // share of the capacity in use up to which StillFor applies
	LimitExcess   float64       // share by which a team may exceed its limit
	MaxAttempts   int
	GangWait      time.Duration // for which a member of a gang waits for the others
	Limits        map[string]workerproc.Capacity
	// Admits returns whether a step of an advised job may run on a worker; nil: all may.
	Admits func(step, worker string) bool
}

// DefaultRules are the platform's rules.
func DefaultRules() Rules {
	return Rules{CancelWithin: 3 * time.Second, StopWithin: 900 * time.Millisecond, NoteWithin: time.Second, VisibleWithin: 3 * time.Second, Settle: time.Second,
		StillFor: 3 * time.Second, CalmBefore: 4 * time.Second, RestartWithin: 6 * time.Second, MaxInUse: 0.5, LimitExcess: 0.1, MaxAttempts: 2, GangWait: 3 * time.Second}
}

// Violation is a violated rule.
type Violation struct {
	Rule string
	At   time.Duration
	Job  string // empty: the rule concerns a worker or a team
	Text string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return fmt.Sprintf("%s at %s: %s", v.Rule, v.At, v.Text) }

// Answer is the outcome of a client's attempt to submit a job.
type Answer int

// Outcomes of attempts.
const (
	Unknown  Answer = iota // no response, or one that leaves open whether the job runs
	Accepted               // 2xx
	Refused                // 429, 503 or 404
)

// shown is a state of a job that a client was shown.
type shown struct {
	at    time.Duration
	state string
}

// history is what clients sent and saw of a job. Times are 0 until something has happened.
type history struct {
	job         workerproc.Job
	sent        time.Duration // first attempt
	accepted    time.Duration
	refused     int // attempts
	unknown     int // attempts, also those that have no answer yet
	cancelSent  time.Duration
	cancelAcked time.Duration
	shown       []shown
}

// Checker records events. Its methods are safe for concurrent use.
type Checker struct {
	rules Rules

	mu      sync.Mutex
	events  []workerproc.Event
	jobs    map[string]*history
	faults  []*Fault
	running map[string]map[workerLife]bool // by task, as reported so far
	started map[string]bool                // jobs
}

type workerLife struct {
	worker string
	life   int
}

// New returns a checker without events.
func New(r Rules) *Checker {
	return &Checker{rules: r, jobs: map[string]*history{}, running: map[string]map[workerLife]bool{}, started: map[string]bool{}}
}

// Record records an event of a worker.
func (c *Checker) Record(e workerproc.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
	on := workerLife{e.Worker, e.Life}
	switch e.Kind {
	case workerproc.Started:
		if c.running[e.Task] == nil {
			c.running[e.Task] = map[workerLife]bool{}
		}
		c.running[e.Task][on] = true
		if name, err := workerproc.ParseTask(e.Task); err == nil {
			c.started[name.Job] = true
		}
	case workerproc.Ended:
		delete(c.running[e.Task], on)
	case workerproc.Down:
		for _, workers := range c.running {
			delete(workers, on)
		}
	}
}

// IsRunning returns whether a run of a task is known to run.
func (c *Checker) IsRunning(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running[task]) > 0
}

// HasStarted returns whether a task of a job has started.
func (c *Checker) HasStarted(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started[job]
}

// Submitting records that a client begins an attempt to submit a job. Answered must follow.
func (c *Checker) Submitting(at time.Duration, j workerproc.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.jobs[j.ID]
	if h == nil {
		h = &history{job: j, sent: at}
		c.jobs[j.ID] = h
	}
	h.unknown++
}

// Answered records the outcome of an attempt.
func (c *Checker) Answered(at time.Duration, job string, a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.jobs[job]
	switch a {
	case Accepted:
		h.unknown--
		if h.accepted == 0 {
			h.accepted = at
		}
	case Refused:
		h.unknown--
		h.refused++
	}
}

// Canceling records that a client sends a cancellation.
func (c *Checker) Canceling(at time.Duration, job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.jobs[job]; h.cancelSent == 0 {
		h.cancelSent = at
	}
}

// Canceled records that a cancellation was acknowledged.
func (c *Checker) Canceled(at time.Duration, job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.jobs[job]; h.cancelAcked == 0 {
		h.cancelAcked = at
	}
}

// Shown records the state of a job that a client was shown.
func (c *Checker) Shown(at time.Duration, job, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[job].shown = append(c.jobs[job].shown, shown{at, state})
}

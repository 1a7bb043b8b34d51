package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sequoiastall/internal/core/resource"
)

// The liveness simulation runs a whole cell in virtual time: workers, the advice service, the store and callers. First there
// are faults and takeovers. After that only tasks that fail by themselves are left, and no task may stand still, as
// checkStandstill defines it.

const (
	otherService      = "other"
	otherQueue        = "other-plain"
	otherAdvisedQueue = "other-advised"

	liveTick    = 20 * time.Millisecond
	liveLease   = 4 * time.Second
	liveRenewal = 50 * time.Millisecond
	// workersPerAdviceNode bounds the load of the advice service, which takes the longer the more workers it has to judge.
	workersPerAdviceNode = 10
	liveAdviceWait       = 250 * time.Millisecond // a request that waits longer for a node is withdrawn
	liveFaults           = 8 * time.Second
	liveSettling         = time.Second // after the end of the faults
	liveCalm             = 9 * time.Second
)

type liveEvent struct {
	at    time.Time
	do    func()
	fault bool // the event ends a fault
}

type liveCell struct {
	t             rapid.TB
	random        *rand.Rand
	now           time.Time
	calm, settled bool
	calmSince     time.Time
	s             *Scheduler
	term          int
	log           *liveLog
	p             liveParameters
	workers       []*liveWorker
	jobs          []*liveJob
	byID          map[JobID]*liveJob
	events        []liveEvent
	advice        []liveAdvice // requests that wait for a node
	calls         int          // requests that nodes have sent

	storeDownUntil time.Time

	version  int64                      // of the configuration
	services map[string]string          // of the queues
	former   map[string]map[string]bool // services to which a queue has ever been sent
}

type liveAdvice struct {
	AdviceRequest
	since time.Time
}

// liveParameters describe a cell and its load.
type liveParameters struct {
	workers, adviceNodes int
	admitted             int     // workers that the advice admits for a step, at most
	outages              float64 // share of faults that take down most workers together
	arrivals             float64 // jobs a second
	failing              float64 // share of jobs whose tasks fail by themselves
	crashing             float64 // share of jobs whose tasks crash their workers, during the faults
	faultsPerSecond      float64
	labelled             int     // workers with testLabel
	gangs                float64 // share of steps with several tasks that are gangs
	spread               float64 // share of steps with a limit of tasks on one worker
	others               int     // workers of another service
	moves                float64 // share of faults that are changes of a queue's service
	slowAdvice           float64 // share of the jobs with advice for which it takes long
}

type liveJob struct {
	Job
	accepted   Job                       // its record
	admitted   map[int]map[WorkerID]bool // by step
	lastEnd    map[TaskID]time.Time
	stillAt    map[TaskID]time.Time // since when a task, or the first task of its job, stands still
	failing    bool
	crashing   bool
	canceled   bool
	canceledAt time.Time
	record     []byte
	final      bool
}

type liveRun struct {
	run       int
	need      resource.Vector
	startedAt time.Time
	endsAt    time.Time
	kind      EndKind
}

type liveWorker struct {
	id         WorkerID
	service    string
	startMS    int64
	up, silent bool
	draining   bool
	grey       bool // fails everything
	labels     []string
	capacity   resource.Vector
	full       resource.Vector
	runs       map[TaskID]*liveRun
	refused    map[TaskID]int
	ended      []EndedRow
	lastEnd    int64
	renewAt    time.Time
	leaseEnd   time.Time
	lapsed     bool
}

func (p liveParameters) config() Config {
	return Config{Version: 1,
		Queues: []Queue{
			{Name: plainQueue, Service: "pool", Priority: 1, MaxAttempts: 4, Stretch: 3, Slack: time.Second},
			{Name: advisedQueue, Service: "pool", Priority: 1, MaxAttempts: 4, Stretch: 3, Slack: time.Second,
				Advice: p.advice()},
			{Name: slowAdviceQueue, Service: "pool", Priority: 1, MaxAttempts: 4, Stretch: 3, Slack: time.Second,
				Advice: &AdviceTiming{Decision: 360 * time.Millisecond, PerWorker: 5 * time.Millisecond, Validity: ticketValidity}},
			{Name: otherQueue, Service: otherService, Priority: 1, MaxAttempts: 4, Stretch: 3, Slack: time.Second},
			{Name: otherAdvisedQueue, Service: otherService, Priority: 1, MaxAttempts: 4, Stretch: 3, Slack: time.Second, Advice: p.advice()},
		},
		Teams: []Team{{Name: "team", Weight: 1000}, {Name: "slow", Weight: 1},
			{Name: "small", Weight: 1000, Limit: resource.Vector{MilliCPU: 8000}}},
	}
}

// config returns the configuration in force.
func (c *liveCell) config() *Config {
	config := c.p.config()
	config.Version = c.version
	for i, q := range config.Queues {
		config.Queues[i].Service = c.services[q.Name]
	}
	return NewConfig(config)
}

func (p liveParameters) advice() *AdviceTiming {
	return &AdviceTiming{Decision: 12 * time.Millisecond, PerWorker: time.Millisecond, Validity: ticketValidity}
}

func newLiveCell(t rapid.TB, p liveParameters, seed uint64) *liveCell {
	c := &liveCell{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, p: p, byID: map[JobID]*liveJob{},
		version: 1, services: map[string]string{}, former: map[string]map[string]bool{}}
	for _, q := range p.config().Queues {
		c.services[q.Name], c.former[q.Name] = q.Service, map[string]bool{q.Service: true}
	}
	c.log = &liveLog{c: c}
	for i := range p.workers + p.others {
		w := &liveWorker{id: workerID(i), service: "pool", full: resource.Vector{MilliCPU: 4000, MemoryMB: 8000}}
		if c.chance(0.3) {
			w.full = resource.Vector{MilliCPU: 8000, MemoryMB: 8000}
		}
		if i >= p.workers {
			w.service = otherService
		}
		if i < p.labelled {
			w.labels = []string{testLabel}
		}
		w.capacity = w.full
		c.boot(w)
		c.workers = append(c.workers, w)
	}
	c.takeOver()
	return c
}

func (c *liveCell) chance(p float64) bool { return c.random.Float64() < p }

func (c *liveCell) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)+1))
}

func (c *liveCell) after(d time.Duration, do func()) {
	term := c.term
	c.events = append(c.events, liveEvent{at: c.now.Add(d), do: func() {
		if term == c.term {
			do()
		}
	}})
}

// takeOver replaces the scheduler by one that starts from the records.
func (c *liveCell) takeOver() {
	c.term++
	c.advice, c.calls = nil, 0
	c.s = New(Options{EndedRetention: time.Minute}, c.log)
	c.s.SetConfig(c.config())
	for _, j := range c.jobs {
		if j.final {
			continue
		}
		if err := c.s.AddJob(j.accepted, j.record, c.now); err != nil {
			c.t.Fatal(err)
		}
		if j.canceled {
			c.s.CancelJob(j.ID)
		}
	}
	for _, w := range c.workers {
		w.lapsed, w.renewAt = false, c.now
	}
	c.register()
}

func (c *liveCell) register() {
	var reports []WorkerReport
	for _, w := range c.workers {
		if w.up {
			reports = append(reports, WorkerReport{ID: w.id, Address: "a", Service: w.service, Rack: "r", Labels: w.labels, Capacity: w.capacity,
				Draining: w.draining, StartMS: w.startMS})
		}
	}
	c.s.SetWorkers(reports, c.now)
}

// play plays the faults and the calm after them.
func (c *liveCell) play() {
	c.run(liveFaults)
	c.endFaults()
	c.run(liveSettling)
	c.settled = true
	c.run(liveCalm)
}

func (c *liveCell) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick()
	}
}

func (c *liveCell) tick() {
	c.now = c.now.Add(liveTick)
	if c.chance(c.p.arrivals * liveTick.Seconds()) {
		c.submit()
	}
	if !c.calm && c.chance(c.p.faultsPerSecond*liveTick.Seconds()) {
		c.fault()
	}
	due := c.events
	c.events = nil
	for _, e := range due {
		if e.at.After(c.now) {
			c.events = append(c.events, e)
		} else {
			e.do()
		}
	}
	for _, w := range c.workers {
		c.endRuns(w)
		c.renew(w)
	}
	c.register()
	a := c.s.Advance(c.now)
	for _, r := range a.Advice {
		c.advice = append(c.advice, liveAdvice{r, c.now})
	}
	c.callAdvice()
	for _, o := range a.Orders {
		c.send(o)
	}
	c.write()
	if c.settled {
		c.checkStandstill()
		c.checkCanceled()
	}
}

// callAdvice gives waiting requests to idle nodes in their order, one request at a time each.
func (c *liveCell) callAdvice() {
	slices.SortStableFunc(c.advice, func(a, b liveAdvice) int {
		switch {
		case a.Before(b.AdviceRequest):
			return -1
		case b.Before(a.AdviceRequest):
			return 1
		}
		return 0
	})
	kept := c.advice[:0]
	for _, r := range c.advice {
		switch {
		case c.calls < c.p.adviceNodes:
			c.calls++
			c.after(r.Duration+c.between(0, 20*time.Millisecond), func() { c.calls--; c.answer(r.AdviceRequest) })
		case c.now.Sub(r.since) > liveAdviceWait:
			c.s.WithdrawAdvice(r.AdviceRequest)
		default:
			kept = append(kept, r)
		}
	}
	c.advice = kept
}

func (c *liveCell) answer(r AdviceRequest) {
	failed := !c.calm && c.chance(0.1)
	var tickets []Ticket
	for _, id := range r.Workers {
		if c.byID[r.Step.Job].admitted[r.Step.Step][id] && c.worker(id).up {
			tickets = append(tickets, Ticket{id, fmt.Sprint(c.worker(id).startMS)})
		}
	}
	c.s.ApplyAdvice(r, tickets, c.now.Add(-5*time.Millisecond), ticketValidity, failed, c.now)
}

func (c *liveCell) worker(id WorkerID) *liveWorker { return c.workers[indexOf(id)] }

func (c *liveCell) write() {
	if c.now.Before(c.storeDownUntil) {
		return
	}
	for range 6 {
		writes := c.s.TakeWrites(31)
		if len(writes) == 0 {
			return
		}
		c.after(c.between(10*time.Millisecond, 40*time.Millisecond), func() {
			for _, w := range writes {
				j := c.byID[w.Job]
				if w.Final {
					j.final = true
				} else {
					j.record = w.Value
				}
				c.s.WriteCommitted(w)
			}
		})
	}
}

// liveLog keeps the decisions of a simulation for failure messages.
type liveLog struct {
	c     *liveCell
	lines []string
}

func (l *liveLog) LogDecision(subject, decision string, attrs ...any) {
	l.lines = append(l.lines, fmt.Sprint(l.c.now.Sub(start), " ", subject, " ", decision, " ", attrs))
}

func (l *liveLog) ObserveFirstStart(time.Duration) {}

// Guards against tasks that stand still although there is capacity for them, after any sequence of faults.
func TestNoTaskStandsStill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := liveParameters{
			workers:         rapid.SampledFrom([]int{4, 8, 16, 48}).Draw(t, "workers"),
			adviceNodes:     rapid.IntRange(2, 6).Draw(t, "advice nodes"),
			admitted:        rapid.SampledFrom([]int{1, 2, 4, 8, 16}).Draw(t, "admitted"),
			outages:         rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "outages"),
			arrivals:        rapid.Float64Range(0.5, 8).Draw(t, "arrivals"),
			crashing:        rapid.SampledFrom([]float64{0, 0, 0.1, 0.5}).Draw(t, "crashing"),
			failing:         rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "failing"),
			faultsPerSecond: rapid.Float64Range(0, 4).Draw(t, "faults"),
			labelled:        rapid.SampledFrom([]int{0, 1, 2, 4, 8}).Draw(t, "labelled"),
			gangs:           rapid.SampledFrom([]float64{0.1, 0.3, 0.8}).Draw(t, "gangs"),
			spread:          rapid.SampledFrom([]float64{0.1, 0.3, 0.8}).Draw(t, "spread"),
			others:          rapid.SampledFrom([]int{0, 1, 2, 4}).Draw(t, "other workers"),
			moves:           rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "moves"),
			slowAdvice:      rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "slow advice"),
		}
		p.adviceNodes = max(p.adviceNodes, p.workers/workersPerAdviceNode)
		newLiveCell(t, p, rapid.Uint64().Draw(t, "seed")).play()
	})
}

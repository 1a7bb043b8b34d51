package workerproc

import (
	"sync"
	"time"
)

// Options describe one life of a worker.
type Options struct {
	ID       string               `json:"id"`
	Address  string               `json:"address"` // IP and port; port 0: any
	Service  string               `json:"service"`
	Life     int                  `json:"life"` // set by the fleet
	Capacity Capacity             `json:"capacity"`
	Labels   []string             `json:"labels"`
	Guarded  bool                 `json:"guarded"`   // rejects starts beyond its capacity
	WallSkew time.Duration        `json:"wall_skew"` // error of the wall clock at the start
	SlowBy   float64              `json:"slow_by"`   // share by which the steady clock runs slow, such as 0.02
	Bounds   Bounds               `json:"bounds"`    // zero: DefaultBounds
	Crashed  func()               `json:"-"`         // ends the process
	Emit     func(Event)          `json:"-"`         // reports an event
	Clock    func() time.Duration `json:"-"`         // Now, but for tests of the worker itself
}

// Bounds are the platform's bounds for workers.
type Bounds struct {
	MaxLease        time.Duration `json:"max_lease"`
	MaxStop         time.Duration `json:"max_stop"`
	GangWait        time.Duration `json:"gang_wait"`
	CheckpointEvery time.Duration `json:"checkpoint_every"` // of work
	Restore         time.Duration `json:"restore"`          // before a run resumes from a checkpoint
}

// DefaultBounds are the bounds in the settings of leased.NodeSettings, and customary values for the others.
var DefaultBounds = Bounds{MaxLease: 10 * time.Second, MaxStop: 900 * time.Millisecond, GangWait: 3 * time.Second,
	CheckpointEvery: time.Second, Restore: 250 * time.Millisecond}

// clockStartMS is what a worker's steady clock shows at its start.
const clockStartMS = 1000

// worker is the state of one life of a worker. Everything that happens without an order (ends, checkpoints and the expiry
// of the lease) happens in advance, in the order of its time, before the next order is carried out.
type worker struct {
	Options
	started time.Duration
	bornMS  int64

	mu       sync.Mutex
	token    int64
	leaseEnd time.Duration // 0: no lease
	runs     map[runKey]*run
	refused  map[string]int // by task, the highest run that was stopped or has ended
	ends     []ended        // not yet acknowledged
	lastEnd  int64          // number
	changed  chan struct{}  // closed and replaced when a run ends
	faults   []*Command     // call faults that are still in effect
	failing  bool           // all runs that start will fail
	stalled  time.Duration  // since when no run makes progress; 0: runs make progress
	timer    *time.Timer    // for wake; nil in tests with a clock of their own
}

type ended struct {
	number     int64
	key        runKey
	outcome    Outcome
	checkpoint string
}

func newWorker(o Options) *worker {
	if o.Bounds == (Bounds{}) {
		o.Bounds = DefaultBounds
	}
	hasOwnClock := o.Clock != nil
	if !hasOwnClock {
		o.Clock = Now
	}
	w := &worker{Options: o, started: o.Clock(), bornMS: time.Now().Add(o.WallSkew).UnixMilli(), runs: map[runKey]*run{},
		refused: map[string]int{}, changed: make(chan struct{})}
	if !hasOwnClock {
		w.timer = time.AfterFunc(time.Hour, w.wake)
	}
	return w
}

// wake lets what is due happen without an order.
func (w *worker) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
}

// clockMS returns the reading of the steady clock.
func (w *worker) clockMS(now time.Duration) int64 {
	return clockStartMS + int64(float64(now-w.started)*(1-w.SlowBy)/float64(time.Millisecond))
}

// atClock returns when the steady clock shows ms.
func (w *worker) atClock(ms int64) time.Duration {
	return w.started + time.Duration(float64(ms-clockStartMS)*float64(time.Millisecond)/(1-w.SlowBy))
}

// extendLease extends the lease to a time on the steady clock.
func (w *worker) extendLease(now time.Duration, dueMS int64) {
	end := min(w.atClock(dueMS), w.atClock(w.clockMS(now)+w.Bounds.MaxLease.Milliseconds()))
	if end <= max(now, w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	w.report(Event{At: now, Kind: Leased, Until: end})
}

func (w *worker) report(e Event) {
	e.Worker, e.Life = w.ID, w.Life
	w.Emit(e)
}

// advance lets everything happen that was due by now, and returns the time. The caller holds mu.
func (w *worker) advance() time.Duration {
	now := w.Clock()
	next := w.nextTransition()
	for ; next.at <= now; next = w.nextTransition() {
		w.apply(next)
	}
	if next.at < never && w.timer != nil {
		w.timer.Reset(next.at - now)
	}
	return now
}

// transition is something that happens to a run without an order, or to the lease if run is nil.
type transition struct {
	at   time.Duration
	run  *run
	kind transitionKind
	how  Outcome
}

type transitionKind int

const (
	transitionEnd transitionKind = iota
	transitionSave
	transitionCrash
)

func (w *worker) nextTransition() transition {
	next := transition{at: never}
	if w.leaseEnd > 0 {
		next.at = w.leaseEnd
	}
	for _, r := range w.runs {
		if t := r.nextTransition(w.stalled > 0); t.at < next.at {
			next = t
		}
	}
	return next
}

func (w *worker) apply(t transition) {
	switch {
	case t.run == nil:
		for _, r := range w.runs {
			w.end(r, t.at, LeaseLapsed)
		}
		w.leaseEnd = 0
		w.report(Event{At: t.at, Kind: Lapsed})
	case t.kind == transitionCrash:
		w.report(Event{At: t.at, Kind: Down})
		w.Crashed()
	case t.kind == transitionSave:
		w.save(t.run, t.at)
	default:
		if t.how == Stopped && t.run.step.Checkpointing {
			w.save(t.run, t.at)
		}
		w.end(t.run, t.at, t.how)
	}
}

// save lets a run produce a checkpoint.
func (w *worker) save(r *run, at time.Duration) {
	r.savedWork = r.work(at, w.stalled)
	r.checkpoint = newCheckpoint(r.savedWork, r.key.task, r.key.number, w.ID, w.Life)
	w.report(Event{At: at, Kind: Saved, Task: r.key.task, Run: r.key.number, Checkpoint: r.checkpoint})
}

func (w *worker) end(r *run, at time.Duration, how Outcome) {
	delete(w.runs, r.key)
	w.refused[r.key.task] = max(w.refused[r.key.task], r.key.number)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, r.key, how, r.checkpoint})
	w.report(Event{At: at, Kind: Ended, Task: r.key.task, Run: r.key.number, Outcome: how, Checkpoint: r.checkpoint, Number: w.lastEnd})
	close(w.changed)
	w.changed = make(chan struct{})
}

// used returns what all runs take up.
func (w *worker) used() Capacity {
	var sum Capacity
	for _, r := range w.runs {
		sum = sum.Plus(Capacity{r.step.CPU, r.step.MemMB})
	}
	return sum
}

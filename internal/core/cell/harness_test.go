package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/resource"
)

// start is the time at which every test begins.
var start = time.Unix(1_800_000_000, 0)

// harness drives a scheduler step by step. Its clock moves only with advance or when a test sets it.
type harness struct {
	t       *testing.T
	s       *Scheduler
	now     time.Time
	started []Order // start orders returned by the scheduler, in order
	stopped []Order
	advice  []AdviceRequest
	records map[JobID][]byte // stored progress records
	finals  map[JobID]FinalRecord

	reports      []WorkerReport // the registry
	replacements int            // workers that have replaced crashed ones
	ends         int64          // number of the last end that nextEnd returned
}

type discardEvents struct{}

func (discardEvents) LogDecision(string, string, ...any) {}

func (discardEvents) ObserveFirstStart(time.Duration) {}

const (
	plainQueue   = "plain"   // every worker may run it
	advisedQueue = "advised" // needs tickets
	urgentQueue  = "urgent"
	// slowAdviceQueue needs tickets, from calls whose duration grows with each worker.
	slowAdviceQueue = "slow-advice"
	ticketValidity  = 2 * time.Second
)

func testConfig() *Config {
	return NewConfig(Config{Version: 1,
		Queues: []Queue{
			{Name: plainQueue, Host: "h", Prefix: "/plain/", Service: "pool", Priority: 2, MaxAttempts: 2, Stretch: 3, Slack: time.Second},
			{Name: urgentQueue, Host: "h", Prefix: "/urgent/", Service: "pool", Priority: 0, MaxAttempts: 2, Stretch: 3, Slack: time.Second},
			{Name: advisedQueue, Host: "h", Prefix: "/advised/", Service: "pool", Priority: 1, MaxAttempts: 2, Stretch: 3, Slack: time.Second,
				Advice: &AdviceTiming{Decision: 10 * time.Millisecond, Validity: ticketValidity}},
			{Name: slowAdviceQueue, Host: "h", Prefix: "/slow-advice/", Service: "pool", Priority: 1, MaxAttempts: 2, Stretch: 3, Slack: time.Second,
				Advice: &AdviceTiming{Decision: 12 * time.Millisecond, PerWorker: time.Millisecond, Validity: ticketValidity}},
		},
		Teams: []Team{{Name: "team", Keys: []string{"key"}, Weight: 1000}, {Name: "small", Weight: 1000, Limit: resource.Vector{MilliCPU: 2000}},
			{Name: "slow", Weight: 1}},
	})
}

func newHarness(t *testing.T, workers int) *harness {
	h := &harness{t: t, now: start, records: map[JobID][]byte{}, finals: map[JobID]FinalRecord{}}
	h.s = h.newScheduler()
	h.addWorkers(workers, false)
	return h
}

func (h *harness) newScheduler() *Scheduler {
	s := New(Options{EndedRetention: time.Minute}, discardEvents{})
	s.SetConfig(testConfig())
	return s
}

// addWorkers registers n workers of four cores and delivers an empty inventory of each.
func (h *harness) addWorkers(n int, draining bool) {
	h.registerWorkers(n, draining)
	for i := range n {
		h.renew(i, nil, nil)
	}
}

func (h *harness) registerWorkers(n int, draining bool) {
	h.reports = nil
	for i := range n {
		r := h.workerReport(i)
		r.Draining = draining
		h.reports = append(h.reports, r)
	}
	h.s.SetWorkers(h.reports, h.now)
}

func (h *harness) workerReport(i int) WorkerReport {
	return WorkerReport{ID: workerID(i), Address: "a", Service: "pool", Rack: fmt.Sprint("r1-", i/2),
		Capacity: resource.Vector{MilliCPU: 4000, MemoryMB: 8000}, StartMS: 1}
}

// nextEnd returns a number for an end that is higher than all before.
func (h *harness) nextEnd() int64 {
	h.ends++
	return h.ends
}

// stopAll carries out the stop orders that are due.
func (h *harness) stopAll() {
	h.advance(20 * time.Millisecond)
	for _, o := range h.takeStops() {
		h.s.ApplyOrderOutcome(o, OrderDone, h.now)
		h.renew(indexOf(o.Worker), nil, []EndedRow{{Number: h.nextEnd(), Run: o.Run, Kind: EndStopped}})
	}
}

// renewIdle delivers an inventory of each worker, without runs except for those of the given orders.
func (h *harness) renewIdle(running ...Order) {
	for _, r := range h.reports {
		var rows []RunningRow
		for _, o := range running {
			if o.Worker == r.ID {
				rows = append(rows, RunningRow{Run: o.Run})
			}
		}
		h.renew(indexOf(r.ID), rows, nil)
	}
}

func workerID(i int) WorkerID { return WorkerID(fmt.Sprint("w", i)) }

// renew delivers a worker's inventory that was requested now.
func (h *harness) renew(worker int, running []RunningRow, ended []EndedRow) []Order {
	return h.renewInstance(worker, 1, running, ended)
}

// renewInstance delivers an inventory of the given instance of a worker that was requested now.
func (h *harness) renewInstance(worker int, startMS int64, running []RunningRow, ended []EndedRow) []Order {
	return h.s.ApplyInventory(Inventory{Worker: workerID(worker), StartMS: startMS, RequestSequence: h.s.OrderSequence(), Running: running, Ended: ended}, h.now)
}

// listStart updates the start of the instance in a worker's registry entry.
func (h *harness) listStart(id WorkerID, startMS int64) {
	for i := range h.reports {
		if h.reports[i].ID == id {
			h.reports[i].StartMS = startMS
		}
	}
	h.s.SetWorkers(h.reports, h.now)
}

// listInstance registers a worker's instance with the given capacity in thousandths of a core. No other worker stays listed.
func (h *harness) listInstance(worker int, startMS, milliCPU int64) {
	r := h.workerReport(worker)
	r.StartMS, r.Capacity.MilliCPU = startMS, milliCPU
	h.s.SetWorkers([]WorkerReport{r}, h.now)
}

func (h *harness) addJob(j Job) {
	if j.Queue == "" {
		j.Queue = plainQueue
	}
	if j.Team == "" {
		j.Team = "team"
	}
	j.Service = "pool"
	if j.AcceptedMS == 0 {
		j.AcceptedMS = h.now.UnixMilli()
	}
	assert.NilError(h.t, h.s.AddJob(j, nil, h.now))
}

// advance moves the clock, makes all records durable and collects the scheduler's orders and advice requests.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.collect(h.s.Advance(h.now))
	h.commitRecords()
	h.now = h.now.Add(minPassInterval)
	h.collect(h.s.Advance(h.now))
}

func (h *harness) collect(a Actions) {
	h.advice = append(h.advice, a.Advice...)
	for _, o := range a.Orders {
		if o.Kind == OrderStart {
			h.started = append(h.started, o)
		} else {
			h.stopped = append(h.stopped, o)
		}
	}
}

func (h *harness) commitRecords() {
	for h.s.UnwrittenJobs() > 0 {
		writes := h.s.TakeWrites(31)
		if len(writes) == 0 {
			return
		}
		for _, w := range writes {
			if w.Final {
				r, err := DecodeFinal(w.Value)
				assert.NilError(h.t, err)
				h.finals[w.Job] = r
				delete(h.records, w.Job)
			} else {
				h.records[w.Job] = w.Value
			}
			h.s.WriteCommitted(w)
		}
	}
}

// takeStarts returns the start orders since the last call.
func (h *harness) takeStarts() []Order {
	orders := h.started
	h.started = nil
	return orders
}

func (h *harness) takeStops() []Order {
	orders := h.stopped
	h.stopped = nil
	return orders
}

func tasks(count int, milliCPU int64) Step {
	return Step{Count: count, Each: resource.Vector{MilliCPU: milliCPU, MemoryMB: 100}, EstimateMS: 1000}
}

func indexOf(id WorkerID) int {
	var i int
	fmt.Sscanf(string(id), "w%d", &i)
	return i
}

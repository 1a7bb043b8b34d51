package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model drives a scheduler against simulated workers that follow the protocol. Answers are lost or overtake each other,
// orders are carried out late, also after a restart, and stops take time. Workers crash, restart under the same name with
// another capacity, are cut off, or lose their registry entry while they are alive, and new lease holders take over from the
// records. The capacity of workers shrinks and grows while tasks run, and no worker refuses what doesn't fit. After each action, the
// model checks that no task runs twice, no task that is acknowledged as done starts again, no start that was ordered after
// the registry showed a smaller capacity exceeds it, no task exceeds its attempts, and no task that crashes its workers
// starts again after maxCrashes of them. At the end, it ends all faults and checks that all jobs end.

const (
	modelLease    = 1500 * time.Millisecond
	modelCapacity = 4000 // of a worker, unless it has shrunk; thousandths of a core
)

type model struct {
	t             *rapid.T
	now           time.Time
	s             *Scheduler
	token         int
	workers       []*simWorker
	delayedOrders []simOrder
	jobs          map[JobID]Job
	records       map[JobID][]byte
	final         map[JobID]bool
	failed        map[JobID]bool  // recorded as failed, for a reason that checkFinal has found right
	ackedDone     map[TaskID]bool // done and acknowledged
	ackedFailures map[TaskID]int  // failed ends that were acknowledged
	advice        []AdviceRequest
	recovered     bool
	jobCount      int

	storeDown          bool
	delayedInventories []modelInventory
	delayedOutcomes    []modelOutcome
	queuedOrders       []simOrder              // issued and not sent yet
	failures           map[StepID]map[int]bool // runs that ended as failed

	crashing       map[TaskID]bool       // tasks that crash every worker that starts them
	crashedStart   map[TaskID]modelCrash // last start of such a task
	countedCrashes map[TaskID]int        // crashes that the scheduler had to notice before the next start
	orderedCrashes map[TaskID]int        // crashes of workers that had been ordered to start the task, whatever their cause
	startedCrashes map[TaskID]int        // those that had started it
}

// modelCrash is the crash of a worker under a task that crashes its workers. The scheduler has to count it unless a
// takeover or a network partition hid it.
type modelCrash struct {
	worker WorkerID
	token  int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: start, jobs: map[JobID]Job{}, records: map[JobID][]byte{}, final: map[JobID]bool{}, failed: map[JobID]bool{}, ackedDone: map[TaskID]bool{}, ackedFailures: map[TaskID]int{},
		failures: map[StepID]map[int]bool{}, crashing: map[TaskID]bool{}, crashedStart: map[TaskID]modelCrash{}, countedCrashes: map[TaskID]int{},
		orderedCrashes: map[TaskID]int{}, startedCrashes: map[TaskID]int{}}
	for i := range 3 {
		w := &simWorker{id: workerID(i)}
		m.boot(w)
		m.writeEntry(w)
		m.workers = append(m.workers, w)
	}
	m.takeOver()
	return m
}

// takeOver replaces the scheduler by that of a new lease holder, which starts from the records.
func (m *model) takeOver() {
	m.token++
	m.advice, m.delayedInventories, m.delayedOutcomes = nil, nil, nil
	m.delayedOrders = append(m.delayedOrders, m.queuedOrders...) // the earlier holder may still send them
	m.queuedOrders = nil
	m.s = New(Options{EndedRetention: time.Minute}, discardEvents{})
	m.s.SetConfig(testConfig())
	for _, id := range m.jobIDs() {
		if !m.final[id] {
			if err := m.s.AddJob(m.jobs[id], m.records[id], m.now); err != nil {
				m.t.Fatal(err)
			}
		}
	}
	for _, w := range m.workers {
		w.lapsesAt, w.notified = m.now.Add(2*modelLease), false
	}
	m.registerWorkers()
}

func (m *model) jobIDs() []JobID {
	var ids []JobID
	for id := range m.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *model) addJob() {
	m.jobCount++
	j := Job{ID: JobID(fmt.Sprintf("j%02d", m.jobCount)), Queue: rapid.SampledFrom([]string{plainQueue, urgentQueue, advisedQueue}).Draw(m.t, "queue"),
		Team: "team", Service: "pool", AcceptedMS: m.now.UnixMilli()}
	first := tasks(rapid.IntRange(1, 3).Draw(m.t, "count"), rapid.Int64Range(500, 3000).Draw(m.t, "cpu"))
	first.Gang = rapid.Bool().Draw(m.t, "gang")
	first.LongRunning = rapid.SampledFrom([]bool{false, false, false, true}).Draw(m.t, "service")
	second := tasks(1, 1000)
	second.After = []int{0}
	j.Steps = []Step{first, second}
	m.jobs[j.ID] = j
	if rapid.SampledFrom([]bool{false, false, false, false, true}).Draw(m.t, "crashes its workers") {
		m.crashing[TaskID{j.ID, 0, 0}] = true
	}
	if err := m.s.AddJob(j, nil, m.now); err != nil {
		m.t.Fatal(err)
	}
}

// tick moves the clock and processes everything that is due.
func (m *model) tick() {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{20, 60, 150, 400, 1000}).Draw(m.t, "ms") * time.Millisecond)
	m.endRandomRun()
	m.executeDelayed()
	m.reportDelayed()
	m.sendQueued()
	m.deliverDelayed()
	for _, w := range m.workers {
		if w.isolated {
			w.isolated = !rapid.SampledFrom([]bool{true, false, false, false}).Draw(m.t, "reconnects")
		}
		m.endStopped(w)
		m.expireLease(w)
		m.renew(w)
	}
	m.updateRegistry()
	m.answerAdvice()
	a := m.s.Advance(m.now)
	m.advice = append(m.advice, a.Advice...)
	token := m.token
	m.commit()
	if m.token != token {
		return // the node that issued the orders has failed, so they are never sent
	}
	for _, o := range a.Orders {
		m.send(o)
	}
}

func (m *model) answerAdvice() {
	for _, r := range m.advice {
		var good []Ticket
		for _, id := range r.Workers {
			good = append(good, Ticket{id, "t"})
		}
		m.s.ApplyAdvice(r, good, m.now, ticketValidity, !m.recovered && rapid.SampledFrom([]bool{true, false, false}).Draw(m.t, "advice"), m.now)
	}
	m.advice = nil
}

// commit makes records durable. The scheduling node may fail before it processes the commit.
func (m *model) commit() {
	for !m.storeDown {
		writes := m.s.TakeWrites(31)
		if len(writes) == 0 {
			return
		}
		for _, w := range writes {
			if w.Final {
				m.checkFinal(w)
				m.final[w.Job] = true
			} else {
				m.records[w.Job] = w.Value
			}
		}
		if !m.recovered && rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}).Draw(m.t, "dies") == 7 {
			m.takeOver()
			return
		}
		for _, w := range writes {
			m.s.WriteCommitted(w)
		}
	}
}

func (m *model) worker(id WorkerID) *simWorker { return m.workers[indexOf(id)] }

// Guards against duplicate runs, overcommitted workers and lost jobs under lost and delayed orders, restarts, network
// partitions and takeovers.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"job":      func(t *rapid.T) { m.t = t; m.addJob() },
			"tick":     func(t *rapid.T) { m.t = t; m.tick() },
			"tick2":    func(t *rapid.T) { m.t = t; m.tick() },
			"tick3":    func(t *rapid.T) { m.t = t; m.tick() },
			"tick4":    func(t *rapid.T) { m.t = t; m.tick() },
			"tick5":    func(t *rapid.T) { m.t = t; m.tick() },
			"finish":   func(t *rapid.T) { m.t = t; m.endRandomRun() },
			"cut":      func(t *rapid.T) { m.t = t; w := m.randomWorker(); w.isolated = !w.isolated },
			"crash":    func(t *rapid.T) { m.t = t; m.crash(m.randomWorker()) },
			"replace":  func(t *rapid.T) { m.t = t; m.replace(m.randomWorker()) },
			"restart":  func(t *rapid.T) { m.t = t; m.restart(m.randomWorker()) },
			"takeover": func(t *rapid.T) { m.t = t; m.takeOver() },
			"store":    func(t *rapid.T) { m.t = t; m.storeDown = !m.storeDown },
			"cancel":   func(t *rapid.T) { m.t = t; m.cancel() },
			"capacity": func(t *rapid.T) { m.t = t; m.changeCapacity() },
			"unlist":   func(t *rapid.T) { m.t = t; m.randomWorker().entry.listed = false },
			"":         m.checkInvariants,
		})
		m.t = t
		m.recoverAndCheck()
	})
}

func (m *model) cancel() {
	if ids := m.jobIDs(); len(ids) > 0 {
		m.s.CancelJob(ids[rapid.IntRange(0, len(ids)-1).Draw(m.t, "job")])
	}
}

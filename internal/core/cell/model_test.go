package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sequoiastall/internal/core/resource"
)

// The model drives a scheduler against simulated workers that follow the protocol. Answers are lost, orders are carried
// out late, workers crash, restart under the same name or are cut off, and new lease holders take over from the records.
// The capacity of workers shrinks and grows while tasks run, and no worker refuses what doesn't fit. After each action, the
// model checks that no task runs twice, no task that is acknowledged as done starts again, no start that was ordered after
// the registry showed a smaller capacity exceeds it, no task exceeds its attempts, and no task that crashes its workers
// starts again after maxCrashes of them. At the end, it ends all faults and checks that all jobs end.

const (
	modelLease    = 4 * time.Second
	modelCapacity = 4000 // of a worker, unless it has shrunk; thousandths of a core
)

type simOrder struct {
	Order
	token     int
	leaseEnd  time.Time
	executeAt time.Time // when a delayed order is carried out
	capacity  int64     // highest capacity of the worker since the order was issued, in thousandths of a core
}

type simRun struct {
	run  int
	need resource.Vector
}

type simWorker struct {
	id             WorkerID
	startMS        int64
	up, isolated   bool
	capacity       int64 // thousandths of a core
	token          int
	leaseEnd       time.Time
	runs           map[TaskID]simRun
	refusedThrough map[TaskID]int // start orders for runs up to this number are refused
	ended          []EndedRow
	ordered        map[TaskID]bool // tasks whose start was ordered; true for those that it started
	lastEndNumber  int64
	ack            int64
	lapsesAt       time.Time // when the scheduling node considers the lease expired
	notified       bool
}

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
	ackedDone     map[TaskID]bool // done and acknowledged
	ackedFailures map[TaskID]int  // failed ends that were acknowledged
	advice        []AdviceRequest
	recovered     bool
	jobCount      int

	storeDown          bool
	delayedInventories []Inventory             // delayed until the next tick
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
	m := &model{t: t, now: start, jobs: map[JobID]Job{}, records: map[JobID][]byte{}, final: map[JobID]bool{}, ackedDone: map[TaskID]bool{}, ackedFailures: map[TaskID]int{},
		failures: map[StepID]map[int]bool{}, crashing: map[TaskID]bool{}, crashedStart: map[TaskID]modelCrash{}, countedCrashes: map[TaskID]int{},
		orderedCrashes: map[TaskID]int{}, startedCrashes: map[TaskID]int{}}
	for i := range 3 {
		w := &simWorker{id: workerID(i), capacity: modelCapacity}
		m.boot(w)
		m.workers = append(m.workers, w)
	}
	m.takeOver()
	return m
}

// boot starts a new instance of a worker without any state. Delayed orders for the earlier instance are dropped.
func (m *model) boot(w *simWorker) {
	m.delayedOrders = slices.DeleteFunc(m.delayedOrders, func(o simOrder) bool { return o.Worker == w.id })
	w.startMS++
	w.up, w.token, w.leaseEnd, w.lastEndNumber, w.ack = true, 0, time.Time{}, 0, 0
	w.runs, w.refusedThrough, w.ended, w.ordered = map[TaskID]simRun{}, map[TaskID]int{}, nil, map[TaskID]bool{}
}

// takeOver replaces the scheduler by that of a new lease holder, which starts from the records.
func (m *model) takeOver() {
	m.token++
	m.advice, m.delayedInventories = nil, nil
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

func (m *model) registerWorkers() {
	var reports []WorkerReport
	for _, w := range m.workers {
		if w.up {
			reports = append(reports, WorkerReport{ID: w.id, Address: "a", Service: "pool", Capacity: resource.Vector{MilliCPU: w.capacity, MemoryMB: 8000}, StartMS: w.startMS})
		}
	}
	m.s.SetWorkers(reports, m.now)
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
	arrived := m.delayedInventories
	m.delayedInventories = nil
	for _, inv := range arrived {
		m.deliver(inv)
	}
	for _, w := range m.workers {
		m.expireLease(w)
		m.renew(w)
	}
	m.registerWorkers()
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

// deliveryResult is what happens to an order on its way to the worker and back.
type deliveryResult int

const (
	orderAnswered deliveryResult = iota
	answerLost
	orderLost
	orderDelayed
)

// send delivers an order to its worker, loses the order or its answer, or delays the order.
func (m *model) send(o Order) {
	w := m.worker(o.Worker)
	if o.Kind == OrderStart {
		w.ordered[o.Run.Task] = w.ordered[o.Run.Task] || false
	}
	order := simOrder{Order: o, token: m.token, leaseEnd: m.now.Add(modelLease), capacity: w.capacity}
	result := rapid.SampledFrom([]deliveryResult{orderAnswered, orderAnswered, orderAnswered, answerLost, orderLost, orderDelayed}).Draw(m.t, "luck")
	switch {
	case !w.up || w.isolated:
		m.s.ApplyOrderOutcome(o, OrderNotSent, m.now)
	case m.recovered || result == orderAnswered:
		m.noteLease(w, order)
		m.s.ApplyOrderOutcome(o, m.execute(w, order), m.now)
	case result == answerLost:
		m.noteLease(w, order)
		m.execute(w, order)
		m.s.ApplyOrderOutcome(o, OrderUnanswered, m.now)
	case result == orderLost:
		m.noteLease(w, order)
		m.s.ApplyOrderOutcome(o, OrderUnanswered, m.now)
	default:
		m.noteLease(w, order)
		order.executeAt = m.now.Add(rapid.SampledFrom([]time.Duration{100, 500, 2000, 6000}).Draw(m.t, "late") * time.Millisecond)
		m.delayedOrders = append(m.delayedOrders, order)
		m.s.ApplyOrderOutcome(o, OrderUnanswered, m.now)
	}
}

// noteLease postpones the time at which the scheduling node considers a worker's lease expired, if a start order may have
// extended the lease.
func (m *model) noteLease(w *simWorker, o simOrder) {
	if o.Kind == OrderStart && o.leaseEnd.After(w.lapsesAt) {
		w.lapsesAt = o.leaseEnd
	}
}

func (m *model) executeDelayed() {
	kept := m.delayedOrders[:0]
	for _, o := range m.delayedOrders {
		if o.executeAt.After(m.now) {
			kept = append(kept, o)
		} else if w := m.worker(o.Worker); w.up {
			m.execute(w, o)
		}
	}
	m.delayedOrders = kept
}

// execute applies an order on the worker's side.
func (m *model) execute(w *simWorker, o simOrder) OrderOutcome {
	if o.token < w.token {
		return OrderFenced
	}
	w.token = o.token
	current, exists := w.runs[o.Run.Task]
	if o.Kind == OrderStop {
		w.refusedThrough[o.Run.Task] = max(w.refusedThrough[o.Run.Task], o.Run.Run)
		if exists && current.run <= o.Run.Run {
			m.endRun(w, RunID{o.Run.Task, current.run}, EndStopped)
		}
		return OrderDone
	}
	switch {
	case exists && current.run == o.Run.Run:
		return OrderDone
	case exists || o.Run.Run <= w.refusedThrough[o.Run.Task]:
		return OrderStale
	case o.leaseEnd.Before(m.now):
		return OrderRefused
	}
	if m.ackedDone[o.Run.Task] {
		m.t.Fatalf("%v starts again although the task was acknowledged as done", o.Run)
	}
	if m.ackedFailures[o.Run.Task] >= 2 {
		m.t.Fatalf("%v starts after two failures", o.Run)
	}
	w.ordered[o.Run.Task] = true
	w.runs[o.Run.Task] = simRun{o.Run.Run, m.jobs[o.Run.Task.Job].Steps[o.Run.Task.Step].Each}
	if used := w.usedCPU(); used > o.capacity {
		m.t.Fatalf("%v brings %s to %d of %d thousandths of a core", o.Run, w.id, used, o.capacity)
	}
	if o.leaseEnd.After(w.leaseEnd) {
		w.leaseEnd = o.leaseEnd
	}
	if m.crashing[o.Run.Task] {
		m.crashUnder(w, o)
	}
	return OrderDone
}

// usedCPU returns what runs on a worker, in thousandths of a core.
func (w *simWorker) usedCPU() int64 {
	used := int64(0)
	for _, r := range w.runs {
		used += r.need.MilliCPU
	}
	return used
}

// changeCapacity changes the capacity of a random worker. The registry shows it from the next tick on.
func (m *model) changeCapacity() {
	m.setCapacity(m.randomWorker(), rapid.SampledFrom([]int64{0, 1000, 2500, modelCapacity}).Draw(m.t, "capacity"))
}

// setCapacity changes a worker's capacity. A delayed order may be carried out up to the highest capacity since it was
// issued.
func (m *model) setCapacity(w *simWorker, milliCPU int64) {
	w.capacity = milliCPU
	for i := range m.delayedOrders {
		if o := &m.delayedOrders[i]; o.Worker == w.id {
			o.capacity = max(o.capacity, milliCPU)
		}
	}
}

// crashUnder crashes a worker that has started a task which crashes its workers.
func (m *model) crashUnder(w *simWorker, o simOrder) {
	task := o.Run.Task
	if last, ok := m.crashedStart[task]; ok && last.token == m.token {
		m.countedCrashes[task]++
	}
	if m.countedCrashes[task] >= maxCrashes {
		m.t.Fatalf("%v starts after %d crashes", o.Run, m.countedCrashes[task])
	}
	delete(m.crashedStart, task)
	if o.token == m.token && !w.isolated {
		m.crashedStart[task] = modelCrash{w.id, m.token}
	}
	m.crash(w)
}

func (m *model) crash(w *simWorker) {
	if !w.up {
		return
	}
	w.up = false
	for task, started := range w.ordered {
		m.orderedCrashes[task]++
		if started {
			m.startedCrashes[task]++
		}
	}
}

// hideCrash forgets the crashes on a worker that the scheduler can't tell from a network partition.
func (m *model) hideCrash(w *simWorker) {
	for task, c := range m.crashedStart {
		if c.worker == w.id {
			delete(m.crashedStart, task)
		}
	}
}

func (m *model) endRun(w *simWorker, r RunID, kind EndKind) {
	delete(w.runs, r.Task)
	w.refusedThrough[r.Task] = max(w.refusedThrough[r.Task], r.Run)
	if kind == EndFailed {
		step := StepID{r.Task.Job, r.Task.Step}
		if m.failures[step] == nil {
			m.failures[step] = map[int]bool{}
		}
		m.failures[step][failureKey(r)] = true
	}
	w.lastEndNumber++
	w.ended = append(w.ended, EndedRow{Number: w.lastEndNumber, Run: r, Kind: kind})
}

func (m *model) expireLease(w *simWorker) {
	if w.up && m.now.After(w.leaseEnd) {
		for _, id := range sortedTasks(w.runs) {
			m.endRun(w, RunID{id, w.runs[id].run}, EndLapsed)
		}
	}
	if (w.isolated || !w.up) && !w.notified && m.now.After(w.lapsesAt) {
		w.notified = true
		if w.isolated {
			m.hideCrash(w)
		}
		m.s.WorkerLeaseExpired(w.id, m.now)
	}
}

func sortedTasks(runs map[TaskID]simRun) []TaskID {
	var ids []TaskID
	for id := range runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b TaskID) int { return slices.Compare([]byte(a.String()), []byte(b.String())) })
	return ids
}

// renew extends a worker's lease and delivers its inventory, delays it or loses it.
func (m *model) renew(w *simWorker) {
	switch {
	case w.isolated:
		m.s.WorkerUnresponsive(w.id, m.now)
		return
	case !w.up:
		m.s.WorkerConnectionRefused(w.id, m.now)
		return
	}
	requestSequence := m.s.OrderSequence()
	cursor, _ := m.s.AckCursor(w.id)
	w.token = m.token
	w.leaseEnd = m.now.Add(modelLease)
	w.lapsesAt, w.notified = w.leaseEnd, false
	m.acknowledge(w, cursor)
	if !m.recovered && rapid.SampledFrom([]bool{true, false, false, false}).Draw(m.t, "lost answer") {
		return
	}
	inv := Inventory{Worker: w.id, StartMS: w.startMS, RequestSequence: requestSequence, Ended: slices.Clone(w.ended)}
	for _, id := range sortedTasks(w.runs) {
		inv.Running = append(inv.Running, RunningRow{Run: RunID{id, w.runs[id].run}, Percent: 100})
	}
	if !m.recovered && rapid.SampledFrom([]bool{true, false, false}).Draw(m.t, "delayed") {
		m.delayedInventories = append(m.delayedInventories, inv)
		return
	}
	m.deliver(inv)
}

// deliver passes an inventory to the scheduler. The stop orders that it returns are always delivered.
func (m *model) deliver(inv Inventory) {
	w := m.worker(inv.Worker)
	for _, o := range m.s.ApplyInventory(inv, m.now) {
		if w.up && w.startMS == inv.StartMS {
			m.execute(w, simOrder{Order: o, token: m.token})
		}
	}
}

// checkFinal checks that a job recorded as failed has a task or gang that failed twice, or a task under which two workers have
// crashed.
func (m *model) checkFinal(w Write) {
	r, err := DecodeFinal(w.Value)
	if err != nil {
		m.t.Fatal(err)
	}
	if r.Phase != Failed {
		return
	}
	for n, spec := range m.jobs[w.Job].Steps {
		if spec.Gang && len(m.failures[StepID{w.Job, n}]) >= 2 {
			return
		}
		for task := range spec.Count {
			id := TaskID{w.Job, n, task}
			if m.failedRuns(id) >= 2 || m.startedCrashes[id] >= maxConfirmedCrashes || m.orderedCrashes[id] >= maxCrashes {
				return
			}
		}
	}
	m.t.Fatalf("job %s is recorded as failed (%s), but no task or gang has failed twice or lost two workers", w.Job, r.Reason)
}

// failureKey identifies a run among the runs of a step's tasks.
func failureKey(r RunID) int { return r.Task.Task*1000 + r.Run }

func (m *model) failedRuns(id TaskID) int {
	n := 0
	for key := range m.failures[StepID{id.Job, id.Step}] {
		if key/1000 == id.Task {
			n++
		}
	}
	return n
}

func (m *model) acknowledge(w *simWorker, cursor int64) {
	for len(w.ended) > 0 && w.ended[0].Number <= cursor {
		e := w.ended[0]
		w.ended = w.ended[1:]
		spec := m.jobs[e.Run.Task.Job].Steps[e.Run.Task.Step]
		gang := spec.Gang
		switch {
		case spec.LongRunning: // starts again, however often it ends
		case e.Kind == EndDone:
			m.ackedDone[e.Run.Task] = true
		case e.Kind == EndFailed && !gang:
			m.ackedFailures[e.Run.Task]++
		}
	}
}

// endRandomRun ends a random run. The runs of a gang end as done only if all of its members run.
func (m *model) endRandomRun() {
	w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "worker")]
	ids := sortedTasks(w.runs)
	if !w.up || len(ids) == 0 {
		return
	}
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(m.t, "task")]
	if m.recovered && m.jobs[id.Job].Steps[id.Step].LongRunning {
		return
	}
	kind := EndDone
	if !m.recovered && rapid.SampledFrom([]bool{true, false, false}).Draw(m.t, "fails") {
		kind = EndFailed
	}
	m.endTaskOrGang(id, w, kind)
}

func (m *model) endTaskOrGang(id TaskID, w *simWorker, kind EndKind) {
	spec := m.jobs[id.Job].Steps[id.Step]
	run := w.runs[id].run
	if !spec.Gang {
		m.endRun(w, RunID{id, run}, kind)
		return
	}
	members := m.members(id, run)
	if kind == EndDone && len(members) < spec.Count {
		return
	}
	for member, at := range members {
		memberKind := kind
		if kind == EndFailed && member != id {
			memberKind = EndGangAborted
		}
		m.endRun(at, RunID{member, run}, memberKind)
	}
}

func (m *model) members(id TaskID, run int) map[TaskID]*simWorker {
	found := map[TaskID]*simWorker{}
	for _, w := range m.workers {
		for other, r := range w.runs {
			if w.up && other.Job == id.Job && other.Step == id.Step && r.run == run {
				found[other] = w
			}
		}
	}
	return found
}

func (m *model) checkInvariants(t *rapid.T) {
	running := map[TaskID]WorkerID{}
	for _, w := range m.workers {
		for _, id := range sortedTasks(w.runs) {
			if !w.up {
				continue
			}
			if other, exists := running[id]; exists {
				t.Fatalf("%v runs on %s and %s", id, other, w.id)
			}
			running[id] = w.id
		}
		if used := w.usedCPU(); w.up && used > modelCapacity {
			t.Fatalf("%s runs %d of %d thousandths of a core", w.id, used, modelCapacity)
		}
	}
}

// recoverAndCheck ends all faults and checks that every job ends.
func (m *model) recoverAndCheck() {
	m.recovered, m.storeDown = true, false
	for _, w := range m.workers {
		w.isolated = false
		m.setCapacity(w, modelCapacity)
		if !w.up {
			m.boot(w)
		}
	}
	service := m.keepOneService()
	m.finishRuns(200)
	m.checkService(service)
	if service != "" {
		m.s.CancelJob(service)
	}
	m.finishRuns(400)
	for _, id := range m.jobIDs() {
		if !m.final[id] {
			m.t.Fatalf("job %s hasn't ended: %s", id, m.describe(id))
		}
	}
}

// keepOneService cancels all jobs with a long-running step but the first, which may need all capacity for itself. It
// returns that one, or "" if there is none.
func (m *model) keepOneService() JobID {
	kept := JobID("")
	for _, id := range m.jobIDs() {
		if m.final[id] || !m.jobs[id].Steps[0].LongRunning {
			continue
		}
		if j := m.s.jobs[id]; kept == "" && !m.crashing[TaskID{id, 0, 0}] && j != nil && !j.cancelRequested && !j.phase.Final() {
			kept = id
		} else {
			m.s.CancelJob(id)
		}
	}
	return kept
}

// checkService checks that all tasks of a long-running job run, unless the job was given up: checkFinal has checked the
// reason then.
func (m *model) checkService(id JobID) {
	if j := m.s.jobs[id]; id == "" || m.final[id] && j != nil && j.phase == Failed {
		return
	}
	running := map[TaskID]bool{}
	for _, w := range m.workers {
		for task := range w.runs {
			running[task] = true
		}
	}
	for n := range m.jobs[id].Steps[0].Count {
		if !running[TaskID{id, 0, n}] {
			m.t.Fatalf("task %d of service %s doesn't run: %s", n, id, m.describe(id))
		}
	}
}

// finishRuns moves the clock and lets all runs succeed except those of services.
func (m *model) finishRuns(ticks int) {
	for range ticks {
		m.tick()
		for _, w := range m.workers {
			if !w.up {
				m.boot(w)
			}
			for _, id := range sortedTasks(w.runs) {
				if _, exists := w.runs[id]; exists && !m.jobs[id.Job].Steps[id.Step].LongRunning {
					m.endTaskOrGang(id, w, EndDone)
				}
			}
		}
		m.checkInvariants(m.t)
	}
}

// describe returns a job's state for a failure message.
func (m *model) describe(id JobID) string {
	j := m.s.jobs[id]
	if j == nil {
		return "unknown"
	}
	text := fmt.Sprintf("phase %s (%s), allocated tasks %d, version %d, recorded %d, dirty %t, writing %t", j.phase, j.reason, j.allocatedTasks, j.version, j.recorded, j.dirty, j.writing)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			text += fmt.Sprintf("; %v phase %d run %d order in flight %t worker %t", t.id, t.phase, t.run, t.orderInFlight, t.worker != nil)
		}
	}
	return text
}

func (m *model) randomWorker() *simWorker {
	return m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "worker")]
}

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
			"restart":  func(t *rapid.T) { m.t = t; m.restart(m.randomWorker()) },
			"takeover": func(t *rapid.T) { m.t = t; m.takeOver() },
			"store":    func(t *rapid.T) { m.t = t; m.storeDown = !m.storeDown },
			"cancel":   func(t *rapid.T) { m.t = t; m.cancel() },
			"capacity": func(t *rapid.T) { m.t = t; m.changeCapacity() },
			"":         m.checkInvariants,
		})
		m.t = t
		m.recoverAndCheck()
	})
}

func (m *model) restart(w *simWorker) {
	if !w.up {
		m.boot(w)
	}
}

func (m *model) cancel() {
	if ids := m.jobIDs(); len(ids) > 0 {
		m.s.CancelJob(ids[rapid.IntRange(0, len(ids)-1).Draw(m.t, "job")])
	}
}

package cell

import "time"

const (
	// orderRetryInterval is the delay before an unanswered order is sent again. It doubles with each order up to
	// maxOrderRetryInterval, so that orders don't fill a link that is too slow for them.
	orderRetryInterval    = 60 * time.Millisecond
	maxOrderRetryInterval = 480 * time.Millisecond
	// startTimeout is how long an unanswered start order is repeated before the run is stopped instead.
	startTimeout = 1500 * time.Millisecond
	// answeredRetryInterval is the delay before an order that its worker has answered is repeated: a stop order, or a
	// start order that was answered with OrderStale.
	answeredRetryInterval = 2 * time.Second
)

// OrderKind is the action that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
	OrderPace  OrderKind = "pace"
)

// Order is a command to a worker to start, stop or pace a run.
type Order struct {
	Kind   OrderKind
	Worker WorkerID
	// Instance is the StartMS of the worker's instance for which the order was decided, 0 if that isn't known. Another instance may
	// differ in capacity, labels and service, so the order must not be sent once that one is known.
	Instance   int64
	Run        RunID
	Spec       string
	Ticket     string
	Checkpoint string
	Pace       int // percent of full speed
	// Repeated is set with the outcome of a start order if another attempt of it has no answer and may still be carried out.
	Repeated bool
}

// OrderOutcome is the result of an order: the worker's answer, or the lack of one.
type OrderOutcome string

// Outcomes of orders.
const (
	OrderDone               OrderOutcome = "done"
	OrderUnanswered         OrderOutcome = "unanswered" // may still be carried out
	OrderFenced             OrderOutcome = "fenced"     // another node holds the scheduling lease now
	OrderNotSent            OrderOutcome = "not sent"
	OrderStale              OrderOutcome = "old"       // the run, or a later one, has ended or was stopped on that worker
	OrderRefused            OrderOutcome = "refused"   // not carried out; the worker may accept it later
	OrderNoTicket           OrderOutcome = "no ticket" // not carried out; the ticket has expired
	OrderOutdated           OrderOutcome = "outdated"  // not sent, because another instance of the worker answers by now
	OrderInstanceTerminated OrderOutcome = "gone"      // the worker instance to which it was addressed has terminated
)

// dueOrders returns the orders that are due for sending.
func (s *Scheduler) dueOrders() []Order {
	s.holdStarts()
	s.revokeExcessStarts()
	var orders []Order
	for _, j := range s.active {
		if j.allocatedTasks == 0 {
			continue
		}
		for _, st := range j.steps {
			for _, t := range st.tasks {
				if o, due := s.dueOrder(t); due {
					orders = append(orders, o)
				}
			}
		}
	}
	return orders
}

func (s *Scheduler) dueOrder(t *task) (Order, bool) {
	if t.orderInFlight || t.worker == nil || s.now.Before(t.nextOrderAt) {
		return Order{}, false
	}
	o := Order{Worker: t.worker.ID, Instance: t.worker.StartMS, Run: RunID{t.id, t.run}}
	switch t.phase {
	case taskStarting:
		if t.worker.Draining {
			s.startRejected(t, "the worker drains")
			return Order{}, false
		}
		if !t.worker.described() {
			s.startRejected(t, "the registry lists another instance of the worker")
			return Order{}, false
		}
		if t.worker.unknownRuns > 0 {
			s.startRejected(t, "the worker lists a run of an unknown job")
			return Order{}, false
		}
		if s.startsHeld {
			return Order{}, false
		}
		o.Kind, o.Spec, o.Ticket, o.Checkpoint = OrderStart, t.step.job.Spec, t.ticket, t.checkpoint
	default:
		if !t.stopping() || t.worker.terminated {
			return Order{}, false
		}
		o.Kind = OrderStop
	}
	t.orderInFlight, t.startInFlight = true, o.Kind == OrderStart
	t.ordersSent++
	return o, true
}

// ApplyOrderOutcome applies the outcome of an order. It returns false if another node holds the scheduling lease now.
func (s *Scheduler) ApplyOrderOutcome(o Order, outcome OrderOutcome, now time.Time) bool {
	s.now = now
	t := s.findTask(o.Run.Task)
	if outcome == OrderFenced {
		return false
	}
	if t == nil || t.run != o.Run.Run || t.worker == nil || t.worker.ID != o.Worker {
		return true
	}
	t.startUncertain = t.startUncertain || o.Repeated
	if o.Kind == OrderPace {
		s.applyPaceOutcome(t, o, outcome)
		return true
	}
	t.orderInFlight, t.startInFlight = false, false
	if outcome == OrderNotSent || outcome == OrderUnanswered {
		s.markUnresponsive(t.worker)
	}
	if outcome == OrderInstanceTerminated && o.Instance == t.worker.StartMS && t.worker.described() {
		s.workerTerminated(t.worker, "another instance answers at its address")
	}
	if s.applyOutcomeAfterRelease(t, outcome) || t.worker == nil {
		return true
	}
	if o.Kind == OrderStop {
		s.applyStopOutcome(t, outcome)
		return true
	}
	s.applyStartOutcome(t, outcome)
	return true
}

// applyOutcomeAfterRelease applies the outcome of a start that was in flight when all runs on its worker were released. It
// reports whether the run is known not to exist. After OrderStale, the run may have ended and its end isn't listed yet.
func (s *Scheduler) applyOutcomeAfterRelease(t *task, outcome OrderOutcome) bool {
	if !t.releasedInFlight {
		return false
	}
	t.releasedInFlight = false
	if t.startUncertain || outcome == OrderDone || outcome == OrderUnanswered || outcome == OrderStale {
		return false
	}
	s.releaseRun(t, "its start wasn't carried out")
	return true
}

// retryInterval returns the delay before the task's unanswered order is sent again.
func (t *task) retryInterval() time.Duration {
	interval := orderRetryInterval
	for range t.ordersSent - 1 {
		if interval *= 2; interval >= maxOrderRetryInterval {
			return maxOrderRetryInterval
		}
	}
	return interval
}

// applyStopOutcome applies the outcome of a stop order. An answer doesn't show that the run has ended; the inventory
// does.
func (s *Scheduler) applyStopOutcome(t *task, outcome OrderOutcome) {
	if !t.stopping() {
		return
	}
	if outcome == OrderUnanswered || outcome == OrderRefused || outcome == OrderNotSent || outcome == OrderOutdated || outcome == OrderInstanceTerminated {
		t.nextOrderAt = s.now.Add(t.retryInterval())
		return
	}
	s.awaitInventory(t)
	t.nextOrderAt = s.now.Add(answeredRetryInterval)
}

// awaitInventory makes an inventory that is requested from now on decide whether the run still exists. Answers to
// repeated orders don't move that point: an idle worker returns inventories no more often than orders are repeated, so
// each one would be too old.
func (s *Scheduler) awaitInventory(t *task) {
	if !t.awaitsInventory {
		t.awaitsInventory, t.checkAfter = true, s.orderSequence.Add(1)
	}
	t.answered = true
}

// applyStartOutcome applies the outcome of a start order. If the run is to be stopped by now, its stop order becomes due,
// which had to wait for this outcome.
func (s *Scheduler) applyStartOutcome(t *task, outcome OrderOutcome) {
	if t.phase != taskStarting {
		if t.stopping() {
			t.nextOrderAt = s.now
		}
		return
	}
	switch outcome {
	case OrderNotSent, OrderInstanceTerminated:
		s.startRejected(t, "the worker can't be reached")
	case OrderOutdated:
		t.worker.faults.refusedUntil = s.now.Add(refusedPause)
		s.startRejected(t, "another instance of the worker answers")
	case OrderDone:
		s.markRunning(t)
		t.checkAfter = s.orderSequence.Add(1)
		t.answered = true
	case OrderUnanswered:
		t.startUncertain = true
		t.nextOrderAt = s.now.Add(t.retryInterval())
		if s.now.Sub(t.startedAt) > startTimeout {
			s.abortRun(t, "the worker doesn't answer")
		}
	case OrderStale:
		s.awaitInventory(t)
		t.nextOrderAt = s.now.Add(answeredRetryInterval)
	case OrderNoTicket:
		t.step.advice.forget(t.worker.ID)
		s.startRejected(t, "ticket")
	case OrderRefused:
		t.worker.faults.refusedUntil = s.now.Add(refusedPause)
		s.startRejected(t, "refused")
	}
}

// refusedPause is how long no task is placed on a worker after a start was refused, or was decided for an earlier instance.
const refusedPause = 300 * time.Millisecond

// startRejected handles a start order that was definitely not carried out, or that is dropped before it is sent because
// its worker is draining. If an earlier order for the same run went unanswered, that one may still be carried out, and after
// OrderStale the run may have ended and its end isn't listed yet. The run is then stopped before the task is requeued.
func (s *Scheduler) startRejected(t *task, reason string) {
	s.events.LogDecision(t.id.String(), "start rejected", "run", t.run, "worker", t.worker.ID, "reason", reason)
	if t.startUncertain || t.answered {
		s.abortRun(t, reason)
		return
	}
	st := t.step
	s.requeue(t)
	s.scheduleWrite(st.job)
	if st.spec.Gang {
		s.abortGang(st, "a member's start was rejected")
	}
}

// abortRun stops a run, or makes sure that it never starts, together with the rest of its gang.
func (s *Scheduler) abortRun(t *task, reason string) {
	s.events.LogDecision(t.id.String(), "stopped", "run", t.run, "worker", t.worker.ID, "reason", reason)
	s.requestStop(t)
	if t.step.spec.Gang {
		s.abortGang(t.step, reason)
	}
}

// abortGang stops all members of a gang whose current run can't complete.
func (s *Scheduler) abortGang(st *step, reason string) {
	for _, t := range st.tasks {
		if t.phase == taskStarting || t.phase == taskRunning || t.phase == taskPlaced || t.phase == taskReserved {
			s.cancelRun(t)
		}
	}
}

// markRunning marks a task as running after its worker has confirmed the run.
func (s *Scheduler) markRunning(t *task) {
	if t.phase == taskRunning {
		return
	}
	t.pace = fullPace
	if t.phase == taskUnresolved {
		t.pace = unknownPace
		t.cleared = !t.hasCrashes() // it is older than this term
	}
	t.confirmedAt = s.now
	t.phase, t.percent, t.progressAt, t.paceInFlight = taskRunning, 0, s.now, false
	j := t.step.job
	j.idleSince = time.Time{}
	if !j.started {
		j.started = true
		s.events.ObserveFirstStart(max(0, s.now.Sub(time.UnixMilli(j.AcceptedMS))))
		if !j.phase.Final() {
			j.phase = Running
		}
	}
	s.events.LogDecision(t.id.String(), "started", "run", t.run, "worker", t.worker.ID, "orders", t.ordersSent)
}

func (s *Scheduler) findTask(id TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.steps) || id.Task < 0 || id.Task >= len(j.steps[id.Step].tasks) {
		return nil
	}
	return j.steps[id.Step].tasks[id.Task]
}

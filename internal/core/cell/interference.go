package cell

import "time"

// Best-effort tasks may slow down the tasks beside them that have a latency target. The scheduler sees only the resulting
// latency, which also depends on the load of those tasks, so it controls the pace of the best-effort tasks by feedback:
// down at once, up again in small steps while the latency leaves room.

const (
	fullPace = 100 // percent
	// unknownPace marks a run that an earlier lease holder may have paced.
	unknownPace = -1
	// pauseRatio is the ratio of latency to target from which the best-effort tasks of a worker are paused. It is below 1,
	// because the reading is rough and the order takes effect only after the next part of a second.
	pauseRatio = 0.9
	// slowRatio is the ratio from which their pace is halved.
	slowRatio = 0.75
	// minPace is the lowest pace above 0; below it, the tasks are paused.
	minPace = 10
	// paceStep is by how much the pace rises after each paceHold without a ratio of slowRatio or more.
	paceStep = 20
	paceHold = 2 * time.Second
)

// paceControl is the pace of the best-effort tasks on a worker.
type paceControl struct {
	reduction int       // percent below fullPace, so that the zero value is full pace
	changedAt time.Time // when the reduction last changed or a high latency was last seen
}

func (p *paceControl) pace() int { return fullPace - p.reduction }

// observe applies the highest ratio of latency to target among a worker's tasks.
func (p *paceControl) observe(ratio float64, now time.Time) {
	pace := p.pace()
	switch {
	case ratio >= pauseRatio:
		pace, p.changedAt = 0, now
	case ratio >= slowRatio:
		if pace /= 2; pace < minPace {
			pace = 0
		}
		p.changedAt = now
	case now.Sub(p.changedAt) >= paceHold:
		pace, p.changedAt = min(pace+paceStep, fullPace), now
	}
	p.reduction = fullPace - pace
}

// controlPace adjusts the pace of a worker's best-effort tasks to the latencies in its inventory.
func (s *Scheduler) controlPace(w *worker, running []RunningRow) {
	ratio, bestEffort := 0.0, false
	for _, row := range running {
		t := s.findTask(row.Run.Task)
		if t == nil || t.worker != w || t.run != row.Run.Run {
			continue
		}
		bestEffort = bestEffort || t.step.spec.BestEffort
		if target := t.step.spec.LatencyTargetMS; target > 0 {
			ratio = max(ratio, row.Usage/float64(target))
		}
	}
	before := w.bestEffort.pace()
	w.bestEffort.observe(ratio, s.now)
	if !bestEffort {
		return
	}
	if pace := w.bestEffort.pace(); pace != before {
		s.events.LogDecision(string(w.ID), "best-effort pace", "percent", pace, "before", before, "latency_ratio", ratio)
	}
	for t := range w.tasks {
		s.requestPace(t, w.bestEffort.pace())
	}
}

// requestPace orders the pace of a running best-effort task if it has another one.
func (s *Scheduler) requestPace(t *task, pace int) {
	if !t.step.spec.BestEffort || t.phase != taskRunning || t.pace == pace || t.paceInFlight {
		return
	}
	t.paceInFlight = true
	s.paceOrders = append(s.paceOrders, Order{Kind: OrderPace, Worker: t.worker.ID, Instance: t.worker.StartMS, Run: RunID{t.id, t.run}, Pace: pace})
}

// applyPaceOutcome applies the outcome of a pace order. An order that failed is repeated after a later inventory.
func (s *Scheduler) applyPaceOutcome(t *task, o Order, outcome OrderOutcome) {
	t.paceInFlight = false
	if outcome == OrderDone {
		t.pace, t.progressAt = o.Pace, s.now
	} else {
		t.pace = unknownPace
	}
}

// hasLatencyTarget reports whether a task with a latency target holds capacity on the worker.
func (w *worker) hasLatencyTarget() bool {
	for t := range w.tasks {
		if t.step.spec.LatencyTargetMS > 0 {
			return true
		}
	}
	return false
}

// runsBestEffort reports whether a best-effort task holds capacity on the worker.
func (w *worker) runsBestEffort() bool {
	for t := range w.tasks {
		if t.step.spec.BestEffort {
			return true
		}
	}
	return false
}

// interferes reports whether a task of the step and a task on the worker would share it although one of them is a
// best-effort task and the other has a latency target.
func (st *step) interferes(w *worker) bool {
	return st.spec.BestEffort && w.hasLatencyTarget() || st.spec.LatencyTargetMS > 0 && w.runsBestEffort()
}

package cell

import "slices"

// placeStep places what it can of a step, and asks for advice that is missing.
func (s *Scheduler) placeStep(st *step, q *Queue) {
	advised := q != nil && q.Advice != nil
	if st.spec.Gang {
		if !advised || st.advice.allowed != nil || st.advice.inFlight == 0 {
			s.placeGang(st, q)
		}
		return
	}
	if !advised || !s.now.Before(st.advice.retryAt) {
		s.placeTasks(st, q)
	}
}

func (s *Scheduler) placeTasks(st *step, q *Queue) {
	workers := s.candidates(st)
	allWorkers := len(workers) == len(s.pass.usable)
	var needTicket []WorkerID
	for _, t := range st.tasks {
		if t.phase != taskWaiting {
			continue
		}
		if s.pass.freeCPU < st.spec.Each.MilliCPU {
			// The rest is claimed by steps whose advice is on its way. More advice wouldn't help.
			s.withholdFor(st, q)
			s.requestAdvice(st, q, needTicket)
			return
		}
		w := s.bestWorker(t, q, workers)
		if w == nil {
			s.withholdFor(st, q)
			break
		}
		if s.reserve(t, w, q) {
			s.startTask(t)
		} else if !slices.Contains(needTicket, w.ID) {
			needTicket = append(needTicket, w.ID)
		}
	}
	if len(needTicket) == 0 && st.waiting > 0 && allWorkers {
		st.fullScanAt = s.now
		needTicket = s.workersToAsk(st, q)
	}
	s.requestAdvice(st, q, needTicket)
}

// placeGang places all members or none. Members that end outside a run of the gang wait for the others.
func (s *Scheduler) placeGang(st *step, q *Queue) {
	if st.waiting < len(st.tasks) {
		return
	}
	if !s.fullScanDue(st, gangRescanInterval) {
		s.withholdFor(st, q)
		return
	}
	if !s.gangMayFit(st, q) {
		st.fullScanAt = s.now
		s.withholdFor(st, q)
		s.requestAdvice(st, q, s.workersToAsk(st, q))
		return
	}
	var chosen []WorkerID
	placed, haveTickets := 0, true
	for _, t := range st.tasks {
		w := s.bestWorker(t, q, s.pass.usable)
		if w == nil {
			break
		}
		haveTickets = s.reserve(t, w, q) && haveTickets
		if !slices.Contains(chosen, w.ID) {
			chosen = append(chosen, w.ID)
		}
		placed++
	}
	switch {
	case placed < len(st.tasks):
		s.releaseReserved(st)
		s.pass.freeCPU += int64(placed) * st.spec.Each.MilliCPU
		s.withholdFor(st, q)
	case haveTickets:
		s.startGang(st)
	default:
		s.requestAdvice(st, q, chosen)
	}
}

// occupyFor reserves room for a task, and reports whether the task can start without a new ticket.
func (s *Scheduler) reserve(t *task, w *worker, q *Queue) bool {
	s.allocate(t, w)
	s.pass.freeCPU -= t.step.spec.Each.MilliCPU
	t.phase = taskReserved
	t.step.waiting--
	if q == nil || q.Advice == nil {
		return true
	}
	_, ok := t.step.advice.validTicket(w.ID, s.now)
	return ok
}

// startTask numbers the run of a reserved task, whose record is written next.
func (s *Scheduler) startTask(t *task) {
	t.run++
	s.queueIntent(t)
}

func (s *Scheduler) startGang(st *step) {
	checkpoint := ""
	for _, t := range st.tasks {
		st.gangRun = max(st.gangRun, t.run)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	st.gangRun++
	for _, t := range st.tasks {
		t.run, t.checkpoint = st.gangRun, checkpoint
		s.queueIntent(t)
	}
}

func (s *Scheduler) queueIntent(t *task) {
	t.ticket, _ = t.step.advice.validTicket(t.worker.ID, s.now)
	t.phase, t.answered, t.orderInFlight, t.startUncertain, t.ordersSent = taskPlaced, false, false, false, 0
	t.intentVersion = s.scheduleUrgentWrite(t.step.job)
	s.events.Decided(t.id.String(), "placed", "run", t.run, "worker", t.worker.ID, "free_mcpu", t.worker.free.MilliCPU,
		"waited_ms", s.now.UnixMilli()-t.step.job.AcceptedMS)
}

// suits reports whether the step may ever run on the worker.
func (s *Scheduler) eligible(st *step, w *worker) bool {
	if w.Service != st.job.Service {
		return false
	}
	return st.spec.RequiredLabel == "" || slices.Contains(w.Labels, st.spec.RequiredLabel)
}

// choose returns the worker with the best fit for a task among some, nil if there is none.
func (s *Scheduler) bestWorker(t *task, q *Queue, workers []*worker) *worker {
	if !s.withinLimit(t.step, 1) {
		return nil
	}
	s.pass.workerChecks += len(workers)
	var best *worker
	bestScore := 0.0
	for _, w := range workers {
		if !s.fits(t, w, q) {
			continue
		}
		if score := s.score(t, w, q); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// mayRun reports whether the step may run another task on the worker, if there is room.
func (s *Scheduler) mayRun(st *step, w *worker, q *Queue) bool {
	if !s.eligible(st, w) || q != nil && q.Advice != nil && !st.advice.allowed[w.ID] {
		return false
	}
	return st.spec.MaxPerWorker == 0 || st.tasksPerWorker[w.ID] < st.spec.MaxPerWorker
}

func (s *Scheduler) fits(t *task, w *worker, q *Queue) bool {
	st := t.step
	if !s.mayRun(st, w, q) || slices.Contains(t.avoid, w.ID) && len(t.avoid) < len(s.pass.usable)/2 {
		return false
	}
	return st.spec.Each.Fits(w.free.Sub(w.withheld))
}

// score prefers tight fits, so that large tasks find room, and workers whose tickets and data are at hand.
func (s *Scheduler) score(t *task, w *worker, q *Queue) float64 {
	left := w.free.Sub(t.step.spec.Each)
	score := -left.DominantShare(w.Capacity)
	if q != nil && q.Advice != nil {
		if _, ok := t.step.advice.validTicket(w.ID, s.now); ok {
			score++
		}
	}
	if t.step.spec.DataRack != "" && t.step.spec.DataRack == w.Rack {
		score += 2
	}
	if w.faults.streak > 0 {
		score -= 3
	}
	if t.step.spec.SameRack && t.step.firstRack() == w.Rack {
		score += 2
	}
	return score
}

// rackOf returns the rack of the first placed task, empty if there is none.
func (st *step) firstRack() string {
	for _, t := range st.tasks {
		if t.worker != nil {
			return t.worker.Rack
		}
	}
	return ""
}

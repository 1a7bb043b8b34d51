package cell

import (
	"slices"
	"time"
)

// placeStep places as many of a step's waiting tasks as possible and requests missing advice.
func (s *Scheduler) placeStep(st *step, q *Queue) {
	if st.spec.Gang {
		if !q.needsAdvice() || st.advice.answered() || st.advice.inFlight == 0 {
			s.placeGang(st, q)
		}
		return
	}
	if !q.needsAdvice() || !s.now.Before(st.advice.retryAt) {
		s.placeTasks(st, q)
	}
}

// placeTasks places the waiting tasks of a step that isn't a gang. It requests advice on the chosen workers for which
// there is no valid ticket, or on further workers if no advice is missing and tasks still wait.
func (s *Scheduler) placeTasks(st *step, q *Queue) {
	workers := s.candidates(st)
	allWorkers := len(workers) == len(s.pass.usable)
	var toAsk []WorkerID
	delayed, unplaced := 0, false
	for _, t := range st.tasks {
		if t.phase != taskWaiting || s.now.Before(t.restartAt) {
			continue
		}
		if t.unexpectedRuns > 0 {
			delayed++
			continue
		}
		if s.probationDelayed(t) {
			delayed++
			continue
		}
		if st.pool.freeCPU < st.spec.Each.MilliCPU {
			// The tasks placed in this pass and the claims of steps whose advice is pending leave too little CPU for another
			// task, so requesting advice on further workers wouldn't help.
			s.withholdFor(st, q)
			s.requestAdvice(st, q, toAsk)
			return
		}
		w := s.bestWorker(t, q, workers)
		if w == nil && t.onProbation() {
			unplaced = true
			continue // the step's other tasks may share a worker
		}
		if w == nil {
			s.withholdFor(st, q)
			break
		}
		s.reserve(t, w)
		if s.hasTicket(st, w, q) {
			s.startTask(t)
		} else if !slices.Contains(toAsk, w.ID) {
			toAsk = append(toAsk, w.ID)
		}
	}
	if unplaced {
		s.withholdFor(st, q)
	}
	if len(toAsk) == 0 && st.waiting > delayed && allWorkers {
		st.fullScanAt = s.now
		toAsk = s.workersToAsk(st, q)
	}
	s.requestAdvice(st, q, toAsk)
}

// placeGang places all members of a gang or none. Nothing is placed until every member is waiting: a member that was
// requeued on its own waits until the other members have ended too.
func (s *Scheduler) placeGang(st *step, q *Queue) {
	if st.waiting < len(st.tasks) || slices.ContainsFunc(st.tasks, func(t *task) bool { return !t.mayBePlaced(s.now) }) {
		return
	}
	if s.probationDelayed(st.tasks[0]) {
		return
	}
	if !s.fullScanDue(st, gangRescanInterval) {
		s.withholdFor(st, q)
		return
	}
	if !s.gangMayFit(st, q) || !s.reserveGang(st, q) {
		s.gangNotPlaced(st, q)
		return
	}
	if !slices.ContainsFunc(st.tasks, func(t *task) bool { return !s.hasTicket(st, t.worker, q) }) {
		s.startGang(st)
		return
	}
	s.requestAdvice(st, q, st.reservedWorkers())
	if st.advice.inFlight == 0 { // after a failed call, the next one has to wait
		s.unreserveGang(st)
		s.withholdFor(st, q)
	}
}

// gangNotPlaced withholds capacity for a gang for which there isn't enough on the workers that may run it, and requests
// advice on further workers, which may have joined or come back since the last call.
func (s *Scheduler) gangNotPlaced(st *step, q *Queue) {
	st.fullScanAt = s.now
	s.withholdFor(st, q)
	s.requestAdvice(st, q, s.workersToAsk(st, q))
}

// reserveGang allocates capacity to all members of a gang, or to none, and reports which.
func (s *Scheduler) reserveGang(st *step, q *Queue) bool {
	for _, t := range st.tasks {
		w := s.bestWorker(t, q, s.pass.usable)
		if w == nil {
			s.unreserveGang(st)
			return false
		}
		s.reserve(t, w)
	}
	return true
}

// unreserveGang takes back what reserveGang has allocated in this pass.
func (s *Scheduler) unreserveGang(st *step) {
	for _, t := range st.tasks {
		if t.phase == taskReserved {
			st.pool.freeCPU += st.spec.Each.MilliCPU
		}
	}
	s.releaseReserved(st)
}

// reservedWorkers returns the workers on which the members of a reserved gang hold capacity.
func (st *step) reservedWorkers() []WorkerID {
	var ids []WorkerID
	for _, t := range st.tasks {
		if !slices.Contains(ids, t.worker.ID) {
			ids = append(ids, t.worker.ID)
		}
	}
	return ids
}

// reserve allocates capacity on a worker to a task.
func (s *Scheduler) reserve(t *task, w *worker) {
	s.allocate(t, w)
	t.step.pool.freeCPU -= t.step.spec.Each.MilliCPU
	t.phase = taskReserved
	t.step.waiting--
}

// hasTicket reports whether a task of the step can start on the worker without a new ticket.
func (s *Scheduler) hasTicket(st *step, w *worker, q *Queue) bool {
	if !q.needsAdvice() {
		return true
	}
	_, ok := st.advice.validTicket(w.ID, s.now)
	return ok
}

// startTask assigns the next run number to a reserved task and queues the record of its intent.
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

// queueIntent queues the record of the intent to run a task. The start order is sent once that record is durable.
func (s *Scheduler) queueIntent(t *task) {
	t.ticket, _ = t.step.advice.validTicket(t.worker.ID, s.now)
	t.phase, t.answered, t.orderInFlight, t.startUncertain, t.ordersSent = taskPlaced, false, false, false, 0
	t.confirmedAt, t.probed, t.cleared, t.awaitsInventory = time.Time{}, false, false, false
	t.intentVersion = s.scheduleUrgentWrite(t.step.job)
	s.events.LogDecision(t.id.String(), "placed", "run", t.run, "worker", t.worker.ID, "free_mcpu", t.worker.free.MilliCPU,
		"waited_ms", s.now.UnixMilli()-t.step.job.AcceptedMS, "crashes", len(t.crashes.workers))
	s.logReturn(t)
}

// eligible reports whether the step may ever run on the worker.
func (s *Scheduler) eligible(st *step, w *worker) bool {
	if w.Service != st.job.Service {
		return false
	}
	return st.spec.RequiredLabel == "" || slices.Contains(w.Labels, st.spec.RequiredLabel)
}

// bestWorker returns the given worker with the highest score for a task, or nil if the task fits on none. Workers that are
// set aside are a last resort.
func (s *Scheduler) bestWorker(t *task, q *Queue, workers []*worker) *worker {
	if !s.withinLimit(t.step, 1) {
		return nil
	}
	if best := s.bestOf(t, q, workers); best != nil {
		return best
	}
	return s.bestOf(t, q, s.lastResort(t.step, q))
}

func (s *Scheduler) bestOf(t *task, q *Queue, workers []*worker) *worker {
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

// mayRun reports whether the step may run another task on the worker, regardless of free capacity.
func (s *Scheduler) mayRun(st *step, w *worker, q *Queue) bool {
	if !s.eligible(st, w) || q.needsAdvice() && !st.advice.answers[w.ID].allowed() {
		return false
	}
	return st.belowMaxPerWorker(w)
}

// belowMaxPerWorker reports whether the step's limit of tasks on one worker allows another one.
func (st *step) belowMaxPerWorker(w *worker) bool {
	return st.spec.MaxPerWorker == 0 || st.tasksPerWorker[w.ID] < st.spec.MaxPerWorker
}

// fits reports whether the task may be placed on the worker now.
func (s *Scheduler) fits(t *task, w *worker, q *Queue) bool {
	return s.mayRun(t.step, w, q) && !w.heldAgainst(t) && s.hasRoom(t.step, w) && !s.avoids(t, w)
}

// score rates a worker for a task; higher is better. It prefers tight fits, which leave capacity for large tasks on other
// workers. The fit counts for at most 1, and each other criterion for at least as much: a valid ticket, the rack of the
// step's data, the rack of the step's first placed task if SameRack is set, no best-effort tasks beside tasks with a
// latency target, no failed or stalled run since the worker's last success, and none of the task itself there. For a task on probation, what a crash
// would lose replaces the fit and counts most.
func (s *Scheduler) score(t *task, w *worker, q *Queue) float64 {
	left := w.free.Sub(t.step.spec.Each)
	score := -left.DominantShare(w.Capacity)
	if t.onProbation() {
		score = -w.expectedLoss()
	}
	if q.needsAdvice() {
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
	if slices.Contains(t.avoid, w.ID) {
		score -= 3
	}
	if t.step.interferes(w) {
		score -= 1.5
	}
	if t.step.spec.SameRack && t.step.firstRack() == w.Rack {
		score += 2
	}
	return score
}

// firstRack returns the rack of the first placed task, or "" if no task is placed.
func (st *step) firstRack() string {
	for _, t := range st.tasks {
		if t.worker != nil {
			return t.worker.Rack
		}
	}
	return ""
}

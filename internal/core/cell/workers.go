package cell

import (
	"slices"
	"time"
)

// workerOf returns the state of a worker and creates it if the worker is unknown.
func (s *Scheduler) workerOf(id WorkerID) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{WorkerReport: WorkerReport{ID: id}, tasks: map[*task]bool{}, unexpected: map[RunID]*unexpectedRun{},
			instanceSince: s.orderSequence.Add(1)}
		s.workers[id] = w
	}
	return w
}

// SetWorkers applies the current contents of the worker registry.
func (s *Scheduler) SetWorkers(reports []WorkerReport, now time.Time) {
	s.now = now
	listed := make(map[WorkerID]bool, len(reports))
	for _, r := range reports {
		listed[r.ID] = true
		s.setWorker(r)
	}
	for id, w := range s.workers {
		if listed[id] {
			continue
		}
		if w.registered {
			w.registered = false
			s.events.LogDecision(string(id), "worker unlisted", "runs", len(w.tasks), "draining", w.Draining)
		}
	}
	s.ForgetIdleWorkers()
}

// ForgetIdleWorkers drops the workers that have left the registry and have no runs any more.
func (s *Scheduler) ForgetIdleWorkers() {
	for id, w := range s.workers {
		if !w.registered && w.runs() == 0 {
			delete(s.workers, id)
		}
	}
}

// runs returns the number of runs that may exist on the worker.
func (w *worker) runs() int { return len(w.tasks) + len(w.unexpected) }

func (s *Scheduler) setWorker(r WorkerReport) {
	w := s.workerOf(r.ID)
	wasDescribed := w.described()
	if !w.registered {
		w.presentSince = s.orderSequence.Add(1)
	}
	if !w.registered || w.Draining != r.Draining {
		s.events.LogDecision(string(r.ID), "worker listed", "draining", r.Draining, "zone", r.Zone, "rack", r.Rack, "born_ms", r.StartMS)
		s.changed = true
	}
	s.setCapacity(w, r.Capacity)
	switch {
	case w.StartMS == 0:
		w.StartMS = r.StartMS
	case r.StartMS > w.StartMS && r.StartMS != w.listedStartMS:
		s.workerRestarted(w, r.StartMS)
		w.reached = false
	}
	startMS := w.StartMS
	w.WorkerReport, w.listedStartMS, w.registered = r, r.StartMS, true
	w.StartMS = startMS
	s.changed = s.changed || !wasDescribed && w.described()
}

// WorkerLeaseExpired reports that a worker's lease has expired, so that all of its runs are known to have ended.
func (s *Scheduler) WorkerLeaseExpired(id WorkerID, now time.Time) {
	s.now = now
	if w := s.workers[id]; w != nil && w.runs() > 0 {
		if w.refusing {
			s.countCrash(w, "the worker's lease lapsed while its address refused connections")
		}
		s.releaseRuns(w, "the worker's lease lapsed")
	}
}

// WorkerUnresponsive reports that a worker didn't answer. Nothing is placed on it until it answers again.
func (s *Scheduler) WorkerUnresponsive(id WorkerID, now time.Time) {
	s.now = now
	if w := s.workers[id]; w != nil {
		w.refusing = false
		s.markUnresponsive(w)
	}
}

func (s *Scheduler) markUnresponsive(w *worker) {
	if !w.unresponsive {
		w.unresponsive = true
		s.events.LogDecision(string(w.ID), "worker silent", "runs", len(w.tasks))
	}
}

// WorkerTerminated reports that an instance of a worker has definitely ended, because another instance answers at its
// address. If the address is that of another instance's registry entry, it shows nothing of this one.
func (s *Scheduler) WorkerTerminated(id WorkerID, startMS int64, now time.Time) {
	s.now = now
	if w := s.workers[id]; w != nil && (startMS == 0 || w.StartMS == startMS) && w.described() {
		s.workerTerminated(w, "another instance answers at its address")
	}
}

// WorkerConnectionRefused reports that a worker's address refuses connections. A network failure may look the same, also while
// the worker drains and its entry has left the registry, so its runs are released only when its lease has expired.
func (s *Scheduler) WorkerConnectionRefused(id WorkerID, now time.Time) {
	s.now = now
	if w := s.workers[id]; w != nil {
		w.refusing = true
	}
}

// workerTerminated releases the runs on a worker whose process has ended. That process can't carry out delayed orders any
// more. Runs whose start was in flight remain until the next such report after its outcome.
func (s *Scheduler) workerTerminated(w *worker, reason string) {
	if w.terminated && w.runs() == 0 {
		return
	}
	w.terminated = true
	s.countCrash(w, reason)
	s.releaseRuns(w, reason)
}

// releaseRuns releases all runs on a worker, which are known not to exist any more.
func (s *Scheduler) releaseRuns(w *worker, reason string) {
	s.events.LogDecision(string(w.ID), "worker lost", "reason", reason, "runs", len(w.tasks))
	w.reached, w.releasedAt = false, s.orderSequence.Add(1)
	s.removeAllUnexpected(w)
	for t := range w.tasks {
		if t.startInFlight {
			s.awaitStartOutcome(t, reason)
			continue
		}
		s.releaseRun(t, reason)
	}
}

// awaitStartOutcome keeps a run on a worker whose runs are released until the outcome of its start is known, which may have
// reached the worker after that.
func (s *Scheduler) awaitStartOutcome(t *task, reason string) {
	t.releasedInFlight = true
	if !t.stopping() {
		s.abortRun(t, reason)
	}
}

// releaseRun releases a run that is known not to exist any more.
func (s *Scheduler) releaseRun(t *task, reason string) {
	if t.phase == taskDone {
		s.deallocate(t)
		s.archiveIfIdle(t.step.job)
		return
	}
	s.runLost(t, reason)
}

// WorkerInUse is a worker whose lease must be renewed.
type WorkerInUse struct {
	ID       WorkerID
	Address  string
	Zone     string
	StartMS  int64
	Draining bool
	Runs     int
}

// WorkersInUse returns the workers that are registered or may have runs, sorted by ID.
func (s *Scheduler) WorkersInUse() []WorkerInUse {
	used := make([]WorkerInUse, 0, len(s.workers))
	for _, w := range s.workers {
		used = append(used, WorkerInUse{w.ID, w.Address, w.Zone, w.StartMS, w.Draining, w.runs()})
	}
	slices.SortFunc(used, func(a, b WorkerInUse) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return used
}

// Instance returns the start of a worker's current instance, to which AckCursor refers. It is 0 if it isn't known.
func (s *Scheduler) Instance(id WorkerID) int64 {
	if w := s.workers[id]; w != nil {
		return w.StartMS
	}
	return 0
}

package cell

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/resource"
)

const (
	// minPassInterval is the minimum time between the beginnings of two passes. A costly pass is followed by a longer
	// interval, up to maxPassInterval, so that placement leaves most of the CPU to the rest of the process.
	minPassInterval = 8 * time.Millisecond
	maxPassInterval = 40 * time.Millisecond
	// The interval grows by pausePerWorkerCheck for each check of a worker and by pausePerStep for each waiting step.
	pausePerWorkerCheck = 400 * time.Nanosecond
	pausePerStep        = 4 * time.Microsecond
	// maxWorkerChecks bounds the cost of a pass. Beyond it, steps that recently found no capacity check only workers on
	// which capacity has come free.
	maxWorkerChecks = 40_000
	// rescanInterval is the time after which a step that found no capacity checks all workers again.
	rescanInterval = 100 * time.Millisecond
	// standstillRescanInterval is the time after which a step of a job that stands still does so whatever the pass has cost.
	standstillRescanInterval = 500 * time.Millisecond
	// expiredPassInterval is the time between two passes that include expired jobs, of which there may be many.
	expiredPassInterval = 100 * time.Millisecond
	// gangRescanInterval replaces rescanInterval for a gang, which needs capacity on several workers at once.
	gangRescanInterval = 20 * time.Millisecond
	// idlePassInterval is the maximum time between two passes. Tickets expire and pauses end without an event.
	idlePassInterval = 50 * time.Millisecond
)

// placementPass is the state of one pass over the waiting steps.
type placementPass struct {
	startedAt     time.Time // of the last pass
	expiredPassAt time.Time // of the last pass that included expired jobs
	usable        []*worker // if there is none, those that are set aside
	setAside      []*worker // rested workers that would be usable but for their faults, see lastResort
	unrested      []*worker // the other workers that would be usable but for their faults
	// lateWork is the waiting work of late jobs; up to lateWorkLimit, it is served before jobs that can wait. Both are in
	// thousandths of a core times milliseconds.
	lateWork, lateWorkLimit int64
	pools                   map[string]*pool // by service
	workerChecks            int              // checks of single workers so far
	freed                   []*worker        // usable workers on which capacity has come free since the last pass
	steps                   []candidateStep
}

// place runs a placement pass if one is due. The pass decides which waiting tasks start on which workers.
func (s *Scheduler) place() {
	since := s.now.Sub(s.pass.startedAt)
	if s.suspended() || since < s.pass.minInterval() || !s.changed && since < idlePassInterval {
		return
	}
	s.changed = false
	s.pass.startedAt = s.now
	s.collectUsableWorkers()
	s.collectSteps()
	s.placeSteps()
}

// minInterval returns the minimum time between the beginnings of this pass and the next one.
func (p *placementPass) minInterval() time.Duration {
	return min(maxPassInterval, minPassInterval+time.Duration(p.workerChecks)*pausePerWorkerCheck+time.Duration(len(p.steps))*pausePerStep)
}

// placeSteps serves the steps in their order, each as long as its pool has capacity left.
func (s *Scheduler) placeSteps() {
	for _, c := range s.pass.steps {
		p := s.pass.poolOf(c.step.job.Service)
		c.step.pool = p
		if p.freeCPU+p.turnoverCPU <= 0 {
			continue
		}
		if !s.isBlocked(c) {
			s.placeStep(c.step, c.queue)
		}
		if c.rank.class < overRate {
			s.claim(c.step)
		}
	}
}

// isBlocked reports whether a step is known not to be placeable now, without checking any worker: its team is at its
// limit, it has advice but its tasks fit on no worker, or its advice is pending. Capacity is withheld for a step that
// doesn't fit.
func (s *Scheduler) isBlocked(c candidateStep) bool {
	st := c.step
	switch {
	case !s.withinLimit(st, 1):
		return true
	case !st.spec.Each.Fits(st.pool.maxFree) && st.advice.answered():
		s.withholdFor(st, c.queue)
		return true
	}
	return !st.spec.Gang && st.advice.inFlight > 0
}

// addWorker adds a worker to the lists that it belongs to.
func (p *placementPass) addWorker(w *worker, now time.Time) {
	if w.available() {
		p.poolOf(w.Service).addLoad(w)
	}
	switch {
	case w.heldBy != nil:
	case w.usable(now):
		p.usable = append(p.usable, w)
	case w.setAside(now) && w.rested(now):
		p.setAside = append(p.setAside, w)
	case w.setAside(now):
		p.unrested = append(p.unrested, w)
	}
}

func (s *Scheduler) collectUsableWorkers() {
	s.pass.usable, s.pass.freed = s.pass.usable[:0], s.pass.freed[:0]
	s.pass.setAside, s.pass.unrested = s.pass.setAside[:0], s.pass.unrested[:0]
	s.pass.pools = map[string]*pool{}
	s.pass.lateWorkLimit, s.pass.workerChecks = 0, 0
	for _, w := range s.workers {
		w.withheld = resource.Vector{}
		s.pass.addWorker(w, s.now)
	}
	if len(s.pass.usable) == 0 {
		s.pass.usable, s.pass.setAside = s.pass.setAside, s.pass.usable
	}
	// Any of these workers may be the only one that may run a step.
	for _, w := range slices.Concat(s.pass.usable, s.pass.setAside, s.pass.unrested) {
		s.pass.poolOf(w.Service).addFree(w)
	}
	for _, w := range s.pass.usable {
		s.pass.poolOf(w.Service).addUsable(w)
		s.pass.lateWorkLimit += w.Capacity.MilliCPU * lateWorkTime.Milliseconds()
	}
	byID := func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(s.pass.usable, byID)
	slices.SortFunc(s.pass.setAside, byID)
	slices.SortFunc(s.pass.unrested, byID)
	for _, w := range s.pass.usable {
		if w.freed {
			w.freed = false
			s.pass.freed = append(s.pass.freed, w)
		}
	}
}

// candidates returns the workers to check for a step: all usable ones, or those on which capacity has come free since the
// last pass.
func (s *Scheduler) candidates(st *step) []*worker {
	if s.fullScanDue(st, rescanInterval) {
		return s.pass.usable
	}
	return s.pass.freed
}

// fullScanDue reports whether a step checks all workers in this pass.
func (s *Scheduler) fullScanDue(st *step, interval time.Duration) bool {
	since := s.now.Sub(st.fullScanAt)
	return st.fullScanAt.IsZero() || since >= interval && s.pass.workerChecks < maxWorkerChecks ||
		since >= standstillRescanInterval && s.standsStill(st)
}

// suspended reports whether placement is suspended because writes stall, and logs when that begins and ends.
func (s *Scheduler) suspended() bool {
	stalled := s.writesStalled()
	switch {
	case stalled && !s.placementSuspended:
		s.events.LogDecision("placement", "suspended", "reason", "no record becomes durable", "unwritten", len(s.dirty),
			"waiting_ms", s.now.Sub(s.unrecordedSince).Milliseconds())
	case !stalled && s.placementSuspended:
		s.events.LogDecision("placement", "resumed", "unwritten", len(s.dirty))
	}
	s.placementSuspended = stalled
	return stalled
}

// writesStalled reports whether records have waited for writeStallTimeout without one becoming durable. The tickets of new
// intents would only expire in that state.
func (s *Scheduler) writesStalled() bool {
	return !s.unrecordedSince.IsZero() && s.now.Sub(s.unrecordedSince) > writeStallTimeout
}

// writeStallTimeout is how long a record may take to become durable before placement is suspended.
const writeStallTimeout = 400 * time.Millisecond

package cell

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/resource"
)

const (
	// blockedPart of the cell is kept at most for steps that wait for room, but for one step in any case.
	withheldDivisor = 5
	// claimedPart of the cell is claimed at most by steps whose advice is on its way, but for one step in any case.
	claimedDivisor = 5
	// placementInterval is the shortest time between two passes. A costly pass is followed by a longer pause, so that
	// placement leaves most of the processor to the rest.
	minPassInterval = 8 * time.Millisecond
	maxPassInterval = 40 * time.Millisecond
	// lookPause is the pause for each look at a worker, and stepPause for each step that waits.
	pausePerWorkerCheck = 400 * time.Nanosecond
	pausePerStep        = 4 * time.Microsecond
	// turnoverPart of the cell comes free while advice is on its way.
	turnoverDivisor = 10
	// maxLooks at single workers bound the cost of a pass; steps that found no room lately then look only at workers that
	// have got more.
	maxWorkerChecks = 40_000
	// rescanInterval is the time after which a step that found no room looks at all workers again.
	rescanInterval = 100 * time.Millisecond
	// overdueInterval is the time between two passes that serve jobs without worth. They may be many.
	expiredPassInterval = 100 * time.Millisecond
	// gangInterval is what rescanInterval is for a gang, which needs room on several workers at once.
	gangRescanInterval = 20 * time.Millisecond
	// idlePassInterval is the longest time between two passes: tickets lapse and pauses end without an event.
	idlePassInterval = 50 * time.Millisecond
)

// placementPass is the state of one pass over the waiting steps.
type placementPass struct {
	at              time.Time
	expiredPassAt   time.Time // of the last pass that served jobs without worth
	usable          []*worker
	freeCPU         int64           // thousandths of a core that are free for steps further down
	turnoverCPU     int64           // thousandths of a core that will soon be free
	maxFree         resource.Vector // the most that any worker has free of each resource
	maxCapacity     resource.Vector // the most that any worker has in all of each resource
	withholdableCPU int64           // thousandths of a core that may still be kept for steps that go first
	// claimable is what steps whose advice is on its way may still claim, in thousandths of a core.
	claimableCPU int64
	// lateWork waits of jobs that are late; up to fewLate of it goes first. In thousandths of a core times milliseconds.
	lateWork, lateWorkLimit int64
	workerChecks            int       // at single workers so far
	freed                   []*worker // usable ones that have more room than in the last pass
	steps                   []candidateStep
}

// place decides which waiting tasks start where.
func (s *Scheduler) place() {
	since := s.now.Sub(s.pass.at)
	if s.writesStalled() || since < s.pass.minInterval() || !s.changed && since < idlePassInterval {
		return
	}
	s.changed = false
	s.pass.at = s.now
	s.collectUsableWorkers()
	s.collectSteps()
	s.placeSteps()
}

// pause returns the shortest time between the beginning of this pass and of the next one.
func (p *placementPass) minInterval() time.Duration {
	return min(maxPassInterval, minPassInterval+time.Duration(p.workerChecks)*pausePerWorkerCheck+time.Duration(len(p.steps))*pausePerStep)
}

// placeSteps serves the steps in their order until there is no room.
func (s *Scheduler) placeSteps() {
	for _, c := range s.pass.steps {
		if s.pass.freeCPU+s.pass.turnoverCPU <= 0 {
			return
		}
		if !s.isBlocked(c) {
			s.placeStep(c.step, c.queue)
		}
		if c.rank.class < overRate {
			s.claim(c.step)
		}
	}
}

// waitsForOthers reports whether a step can't be placed for now without a look at the workers.
func (s *Scheduler) isBlocked(c candidateStep) bool {
	st := c.step
	switch {
	case !s.withinLimit(st, 1):
		return true
	case !st.spec.Each.Fits(s.pass.maxFree) && st.advice.allowed != nil:
		s.withholdFor(st, c.queue)
		return true
	}
	return !st.spec.Gang && st.advice.inFlight > 0
}

func (s *Scheduler) collectUsableWorkers() {
	s.pass.usable, s.pass.freed, s.pass.maxFree = s.pass.usable[:0], s.pass.freed[:0], resource.Vector{}
	s.pass.maxCapacity = resource.Vector{}
	s.pass.freeCPU, s.pass.turnoverCPU, s.pass.withholdableCPU, s.pass.claimableCPU, s.pass.lateWorkLimit, s.pass.workerChecks = 0, 0, 0, 0, 0, 0
	for _, w := range s.workers {
		if w.usable(s.now) {
			w.withheld = resource.Vector{}
			s.pass.usable = append(s.pass.usable, w)
			s.pass.freeCPU += max(0, w.free.MilliCPU)
			s.pass.turnoverCPU += w.Capacity.MilliCPU / turnoverDivisor
			s.pass.withholdableCPU += w.Capacity.MilliCPU / withheldDivisor
			s.pass.lateWorkLimit += w.Capacity.MilliCPU * lateWorkTime.Milliseconds()
			s.pass.claimableCPU += w.Capacity.MilliCPU / claimedDivisor
			s.pass.maxFree = s.pass.maxFree.Max(w.free)
			s.pass.maxCapacity = s.pass.maxCapacity.Max(w.Capacity)
		}
	}
	slices.SortFunc(s.pass.usable, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range s.pass.usable {
		if w.freed {
			w.freed = false
			s.pass.freed = append(s.pass.freed, w)
		}
	}
}

// candidates returns the workers among which a step looks for room: all, or those that have got more since it found none.
func (s *Scheduler) candidates(st *step) []*worker {
	if s.fullScanDue(st, rescanInterval) {
		return s.pass.usable
	}
	return s.pass.freed
}

// rescans reports whether a step looks at all workers in this pass.
func (s *Scheduler) fullScanDue(st *step, interval time.Duration) bool {
	return st.fullScanAt.IsZero() || s.now.Sub(st.fullScanAt) >= interval && s.pass.workerChecks < maxWorkerChecks
}

// stalledWrites reports whether records haven't become durable for a while. New intents would only lose their tickets.
func (s *Scheduler) writesStalled() bool {
	return !s.unrecordedSince.IsZero() && s.now.Sub(s.unrecordedSince) > writeStallTimeout
}

// writeStall is how long a record may take before nothing new is placed.
const writeStallTimeout = 400 * time.Millisecond

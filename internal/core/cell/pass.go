package cell

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/resource"
)

const (
	// blockedPart of the cell is kept at most for steps that wait for room, but for one step in any case.
	blockedPart = 5
	// claimedPart of the cell is claimed at most by steps whose advice is on its way, but for one step in any case.
	claimedPart = 5
	// placementInterval is the shortest time between two passes. A costly pass is followed by a longer pause, so that
	// placement leaves most of the processor to the rest.
	placementInterval = 8 * time.Millisecond
	longestPause      = 40 * time.Millisecond
	// lookPause is the pause for each look at a worker, and stepPause for each step that waits.
	lookPause = 400 * time.Nanosecond
	stepPause = 4 * time.Microsecond
	// turnoverPart of the cell comes free while advice is on its way.
	turnoverPart = 10
	// maxLooks at single workers bound the cost of a pass; steps that found no room lately then look only at workers that
	// have got more.
	maxLooks = 40_000
	// rescanInterval is the time after which a step that found no room looks at all workers again.
	rescanInterval = 100 * time.Millisecond
	// overdueInterval is the time between two passes that serve jobs without worth. They may be many.
	overdueInterval = 100 * time.Millisecond
	// gangInterval is what rescanInterval is for a gang, which needs room on several workers at once.
	gangInterval = 20 * time.Millisecond
	// idlePassInterval is the longest time between two passes: tickets lapse and pauses end without an event.
	idlePassInterval = 50 * time.Millisecond
)

// placementPass is the state of one pass over the waiting steps.
type placementPass struct {
	at        time.Time
	overdueAt time.Time // of the last pass that served jobs without worth
	usable    []*worker
	room      int64           // thousandths of a core that are free for steps further down
	turnover  int64           // thousandths of a core that will soon be free
	largest   resource.Vector // the most that any worker has free of each resource
	capacity  resource.Vector // the most that any worker has in all of each resource
	keepable  int64           // thousandths of a core that may still be kept for steps that go first
	// claimable is what steps whose advice is on its way may still claim, in thousandths of a core.
	claimable int64
	// lateWork waits of jobs that are late; up to fewLate of it goes first. In thousandths of a core times milliseconds.
	lateWork, fewLate int64
	looks             int       // at single workers so far
	freed             []*worker // usable ones that have more room than in the last pass
	steps             []candidateStep
}

// place decides which waiting tasks start where.
func (s *Scheduler) place() {
	since := s.now.Sub(s.pass.at)
	if s.stalledWrites() || since < s.pass.pause() || !s.changed && since < idlePassInterval {
		return
	}
	s.changed = false
	s.pass.at = s.now
	s.collectUsable()
	s.collectSteps()
	s.placeSteps()
}

// pause returns the shortest time between the beginning of this pass and of the next one.
func (p *placementPass) pause() time.Duration {
	return min(longestPause, placementInterval+time.Duration(p.looks)*lookPause+time.Duration(len(p.steps))*stepPause)
}

// placeSteps serves the steps in their order until there is no room.
func (s *Scheduler) placeSteps() {
	for _, c := range s.pass.steps {
		if s.pass.room+s.pass.turnover <= 0 {
			return
		}
		if !s.waitsForOthers(c) {
			s.placeStep(c.step, c.queue)
		}
		if c.rank.class < surplus {
			s.claim(c.step)
		}
	}
}

// waitsForOthers reports whether a step can't be placed for now without a look at the workers.
func (s *Scheduler) waitsForOthers(c candidateStep) bool {
	st := c.step
	switch {
	case !s.withinLimit(st, 1):
		return true
	case !st.spec.Each.Fits(s.pass.largest) && st.advice.judged != nil:
		s.blockFor(st, c.queue)
		return true
	}
	return !st.spec.Gang && st.advice.inFlight > 0
}

func (s *Scheduler) collectUsable() {
	s.pass.usable, s.pass.freed, s.pass.largest = s.pass.usable[:0], s.pass.freed[:0], resource.Vector{}
	s.pass.capacity = resource.Vector{}
	s.pass.room, s.pass.turnover, s.pass.keepable, s.pass.claimable, s.pass.fewLate, s.pass.looks = 0, 0, 0, 0, 0, 0
	for _, w := range s.workers {
		if w.usable(s.now) {
			w.kept = resource.Vector{}
			s.pass.usable = append(s.pass.usable, w)
			s.pass.room += max(0, w.free.MilliCPU)
			s.pass.turnover += w.Capacity.MilliCPU / turnoverPart
			s.pass.keepable += w.Capacity.MilliCPU / blockedPart
			s.pass.fewLate += w.Capacity.MilliCPU * fewLateTime.Milliseconds()
			s.pass.claimable += w.Capacity.MilliCPU / claimedPart
			s.pass.largest = s.pass.largest.Max(w.free)
			s.pass.capacity = s.pass.capacity.Max(w.Capacity)
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
	if s.rescans(st, rescanInterval) {
		return s.pass.usable
	}
	return s.pass.freed
}

// rescans reports whether a step looks at all workers in this pass.
func (s *Scheduler) rescans(st *step, interval time.Duration) bool {
	return st.scanned.IsZero() || s.now.Sub(st.scanned) >= interval && s.pass.looks < maxLooks
}

// stalledWrites reports whether records haven't become durable for a while. New intents would only lose their tickets.
func (s *Scheduler) stalledWrites() bool {
	return !s.unrecorded.IsZero() && s.now.Sub(s.unrecorded) > writeStall
}

// writeStall is how long a record may take before nothing new is placed.
const writeStall = 400 * time.Millisecond

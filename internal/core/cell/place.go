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

type candidateStep struct {
	step  *step
	queue *Queue
	rank  rank
}

// rank is the order in which jobs are served.
type rank struct {
	class    urgency
	priority int
	deadline time.Time
	job      JobID
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.priority, o.priority), r.deadline.Compare(o.deadline), cmp.Compare(r.job, o.job))
}

func (s *Scheduler) rank(j *job) rank { return rank{s.urgency(j), j.queuePrio, j.deadline, j.ID} }

// urgency is the first criterion of the order in which steps are served.
type urgency int

const (
	pressing  urgency = iota // meets its objective if it starts soon
	late                     // has missed its objective, is still worth something, and one of few
	patient                  // meets its objective also if it waits
	lateInRow                // late, and one of so many that serving them first would make others late
	surplus                  // beyond what its team may hand in
	overdue                  // worth nothing any more
)

const (
	// fewLateTime of the whole cell's work is what late jobs may take before others wait no longer for them.
	fewLateTime = 250 * time.Millisecond
	// pressingTime before the last moment at which a job must go on to meet its objective, it goes before those that can
	// wait.
	pressingTime = 2 * time.Second
	// gangTime is added for a gang, which has to wait until there is room for all its members.
	gangTime = 1500 * time.Millisecond
)

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

// claim takes what a step will place once its advice has come off the room of the steps behind it. Otherwise these would
// take it meanwhile. All claims together are bounded, because steps that wait for advice in a row can't use more at a time.
func (s *Scheduler) claim(st *step) {
	if st.spec.Gang || st.advice.inFlight == 0 || s.pass.claimable <= 0 {
		return
	}
	claimed := int64(st.waiting) * st.spec.Each.MilliCPU
	s.pass.claimable -= claimed
	s.pass.room -= claimed
}

func (s *Scheduler) collectUsable() {
	s.pass.usable, s.pass.freed, s.pass.largest = s.pass.usable[:0], s.pass.freed[:0], resource.Vector{}
	s.pass.capacity = resource.Vector{}
	s.pass.room, s.pass.turnover, s.pass.keepable, s.pass.claimable, s.pass.fewLate, s.pass.looks = 0, 0, 0, 0, 0, 0
	for _, w := range s.workers {
		if w.usable(s.now) {
			w.kept = resource.Vector{}
			s.pass.usable = append(s.pass.usable, w)
			if w.freed {
				w.freed = false
				s.pass.freed = append(s.pass.freed, w)
			}
			s.pass.room += max(0, w.free.MilliCPU)
			s.pass.turnover += w.Capacity.MilliCPU / turnoverPart
			s.pass.keepable += w.Capacity.MilliCPU / blockedPart
			s.pass.fewLate += w.Capacity.MilliCPU * fewLateTime.Milliseconds()
			s.pass.claimable += w.Capacity.MilliCPU / claimedPart
			s.pass.largest = s.pass.largest.Max(w.free)
			s.pass.capacity = s.pass.capacity.Max(w.Capacity)
		}
	}
	byID := func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(s.pass.usable, byID)
	slices.SortFunc(s.pass.freed, byID)
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

// collectSteps lists the steps with waiting tasks in the order in which they are served: work that must go on now to meet
// its objective first, then by priority and objective.
func (s *Scheduler) collectSteps() {
	s.pass.steps = s.pass.steps[:0]
	s.pass.lateWork = 0
	withOverdue := s.now.Sub(s.pass.overdueAt) >= overdueInterval
	if withOverdue {
		s.pass.overdueAt = s.now
	}
	for _, j := range s.active {
		if j.phase.Final() || j.cancel {
			continue
		}
		j.ends = s.now.Add(j.remaining())
		if !j.surplus && j.ends.After(j.deadline) && !j.ends.After(j.lateDeadline) {
			s.pass.lateWork += j.waitingWork()
		}
	}
	for _, j := range s.active {
		if j.phase.Final() || j.cancel || j.waits() == 0 {
			continue
		}
		q, r := s.config.Queue(j.Queue), s.rank(j)
		if r.class == overdue && !withOverdue {
			continue
		}
		for _, st := range j.steps {
			if st.waiting > 0 && st.ready() {
				s.pass.steps = append(s.pass.steps, candidateStep{st, q, r})
			}
		}
	}
	slices.SortStableFunc(s.pass.steps, func(a, b candidateStep) int { return a.rank.compare(b.rank) })
}

func (s *Scheduler) urgency(j *job) urgency {
	switch {
	case j.ends.After(j.lateDeadline):
		return overdue
	case j.surplus:
		return surplus
	case j.ends.After(j.deadline):
		if s.pass.lateWork > s.pass.fewLate {
			return lateInRow
		}
		return late
	case j.ends.Add(j.lead()).Before(j.deadline):
		return patient
	}
	return pressing
}

// waits returns the number of the job's waiting tasks.
func (j *job) waits() int {
	n := 0
	for _, st := range j.steps {
		n += st.waiting
	}
	return n
}

// waitingWork returns the work of a job's waiting tasks, in thousandths of a core times milliseconds.
func (j *job) waitingWork() int64 {
	work := int64(0)
	for _, st := range j.steps {
		work += int64(st.waiting) * st.spec.Each.MilliCPU * st.spec.EstimateMS
	}
	return work
}

// lead is how long before the last moment a job becomes pressing.
func (j *job) lead() time.Duration {
	for _, st := range j.steps {
		if st.spec.Gang && st.open > 0 {
			return pressingTime + gangTime
		}
	}
	return pressingTime
}

// stalledWrites reports whether records haven't become durable for a while. New intents would only lose their tickets.
func (s *Scheduler) stalledWrites() bool {
	return !s.unrecorded.IsZero() && s.now.Sub(s.unrecorded) > writeStall
}

// writeStall is how long a record may take before nothing new is placed.
const writeStall = 400 * time.Millisecond

// placeStep places what it can of a step, and asks for advice that is missing.
func (s *Scheduler) placeStep(st *step, q *Queue) {
	advised := q != nil && q.Advice != nil
	if st.spec.Gang {
		if !advised || st.advice.judged != nil || st.advice.inFlight == 0 {
			s.placeGang(st, q)
		}
		return
	}
	if !advised || !s.now.Before(st.advice.retryAt) {
		s.placeTasks(st, q)
	}
}

func (s *Scheduler) placeTasks(st *step, q *Queue) {
	among := s.candidates(st)
	all := len(among) == len(s.pass.usable)
	var refresh []WorkerID
	for _, t := range st.tasks {
		if t.phase != taskWaiting {
			continue
		}
		if s.pass.room < st.spec.Each.MilliCPU {
			// The rest is claimed by steps whose advice is on its way. More advice wouldn't help.
			s.blockFor(st, q)
			s.ask(st, q, refresh)
			return
		}
		w := s.choose(t, q, among)
		if w == nil {
			s.blockFor(st, q)
			break
		}
		if s.occupyFor(t, w, q) {
			s.startTask(t)
		} else if !slices.Contains(refresh, w.ID) {
			refresh = append(refresh, w.ID)
		}
	}
	if len(refresh) == 0 && st.waiting > 0 && all {
		st.scanned = s.now
		refresh = s.unjudged(st, q)
	}
	s.ask(st, q, refresh)
}

// placeGang places all members or none. Members that end outside a run of the gang wait for the others.
func (s *Scheduler) placeGang(st *step, q *Queue) {
	if st.waiting < len(st.tasks) {
		return
	}
	if !s.rescans(st, gangInterval) {
		s.blockFor(st, q)
		return
	}
	if !s.hasRoomFor(st, q) {
		st.scanned = s.now
		s.blockFor(st, q)
		s.ask(st, q, s.unjudged(st, q))
		return
	}
	var chosen []WorkerID
	placed, tickets := 0, true
	for _, t := range st.tasks {
		w := s.choose(t, q, s.pass.usable)
		if w == nil {
			break
		}
		tickets = s.occupyFor(t, w, q) && tickets
		if !slices.Contains(chosen, w.ID) {
			chosen = append(chosen, w.ID)
		}
		placed++
	}
	switch {
	case placed < len(st.tasks):
		s.unreserve(st)
		s.pass.room += int64(placed) * st.spec.Each.MilliCPU
		s.blockFor(st, q)
	case tickets:
		s.startGang(st)
	default:
		s.ask(st, q, chosen)
	}
}

// hasRoomFor reports whether the workers may have room for all members of a gang. It is a quick look that spares the
// search for a worker for each member.
func (s *Scheduler) hasRoomFor(st *step, q *Queue) bool {
	if !s.withinLimit(st, len(st.tasks)) || s.pass.room < int64(len(st.tasks))*st.spec.Each.MilliCPU {
		return false
	}
	s.pass.looks += len(s.pass.usable)
	members := 0
	for _, w := range s.pass.usable {
		if !s.mayRun(st, w, q) {
			continue
		}
		for left := w.free.Sub(w.kept); st.spec.Each.Fits(left) && members < len(st.tasks); left = left.Sub(st.spec.Each) {
			members++
		}
		if members == len(st.tasks) {
			return true
		}
	}
	return false
}

// occupyFor reserves room for a task, and reports whether the task can start without a new ticket.
func (s *Scheduler) occupyFor(t *task, w *worker, q *Queue) bool {
	s.occupy(t, w)
	s.pass.room -= t.step.spec.Each.MilliCPU
	t.phase = taskReserved
	t.step.waiting--
	if q == nil || q.Advice == nil {
		return true
	}
	_, ok := t.step.advice.valid(w.ID, s.now)
	return ok
}

// startTask numbers the run of a reserved task, whose record is written next.
func (s *Scheduler) startTask(t *task) {
	t.run++
	s.intend(t)
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
		s.intend(t)
	}
}

func (s *Scheduler) intend(t *task) {
	t.ticket, _ = t.step.advice.valid(t.worker.ID, s.now)
	t.phase, t.unlisted, t.orderOut, t.uncertain, t.orders = taskPlaced, false, false, false, 0
	t.intentVersion = s.touchNow(t.step.job)
	s.events.Decided(t.id.String(), "placed", "run", t.run, "worker", t.worker.ID, "free_mcpu", t.worker.free.MilliCPU,
		"waited_ms", s.now.UnixMilli()-t.step.job.AcceptedMS)
}

// suits reports whether the step may ever run on the worker.
func (s *Scheduler) suits(st *step, w *worker) bool {
	if w.Service != st.job.Service {
		return false
	}
	return st.spec.RequiredLabel == "" || slices.Contains(w.Labels, st.spec.RequiredLabel)
}

// choose returns the worker with the best fit for a task among some, nil if there is none.
func (s *Scheduler) choose(t *task, q *Queue, among []*worker) *worker {
	if !s.withinLimit(t.step, 1) {
		return nil
	}
	s.pass.looks += len(among)
	var best *worker
	bestScore := 0.0
	for _, w := range among {
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
	if !s.suits(st, w) || q != nil && q.Advice != nil && !st.advice.judged[w.ID] {
		return false
	}
	return st.spec.MaxPerWorker == 0 || st.perWorker[w.ID] < st.spec.MaxPerWorker
}

func (s *Scheduler) fits(t *task, w *worker, q *Queue) bool {
	st := t.step
	if !s.mayRun(st, w, q) || slices.Contains(t.avoid, w.ID) && len(t.avoid) < len(s.pass.usable)/2 {
		return false
	}
	return st.spec.Each.Fits(w.free.Sub(w.kept))
}

// score prefers tight fits, so that large tasks find room, and workers whose tickets and data are at hand.
func (s *Scheduler) score(t *task, w *worker, q *Queue) float64 {
	left := w.free.Sub(t.step.spec.Each)
	score := -left.DominantShare(w.Capacity)
	if q != nil && q.Advice != nil {
		if _, ok := t.step.advice.valid(w.ID, s.now); ok {
			score++
		}
	}
	if t.step.spec.DataRack != "" && t.step.spec.DataRack == w.Rack {
		score += 2
	}
	if w.faults.streak > 0 {
		score -= 3
	}
	if t.step.spec.SameRack && t.step.rackOf() == w.Rack {
		score += 2
	}
	return score
}

// rackOf returns the rack of the first placed task, empty if there is none.
func (st *step) rackOf() string {
	for _, t := range st.tasks {
		if t.worker != nil {
			return t.worker.Rack
		}
	}
	return ""
}

// withinLimit reports whether the team may run so many more tasks of a step.
func (s *Scheduler) withinLimit(st *step, tasks int) bool {
	team := s.config.Team(st.job.Team)
	if team == nil {
		return true
	}
	limit, each := team.Limit, st.spec.Each.Scale(int64(tasks))
	use := s.usage[team.Name].Add(each)
	return (limit.MilliCPU == 0 || each.MilliCPU == 0 || use.MilliCPU <= limit.MilliCPU) &&
		(limit.MemoryMB == 0 || each.MemoryMB == 0 || use.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || each.Accelerators == 0 || use.Accelerators <= limit.Accelerators)
}

// blockFor keeps room for the waiting tasks of a gang, or of a step of large tasks, that doesn't fit yet, for each task on
// the worker that has most left. Small tasks get their turn with the next end anyway.
// Spread like that, the room comes as single tasks end, and no worker has to become empty.
func (s *Scheduler) blockFor(st *step, q *Queue) {
	if !st.spec.Gang && st.spec.Each.DominantShare(s.pass.capacity) < largeShare {
		return
	}
	wanted := st.waiting
	switch {
	case st.spec.Gang:
		wanted = len(st.tasks)
	case !s.withinLimit(st, wanted):
		wanted = 1
	}
	if s.pass.keepable <= 0 || wanted > st.waiting || !s.withinLimit(st, wanted) {
		return
	}
	s.pass.looks += len(s.pass.usable)
	var found []*worker
	for _, w := range s.pass.usable {
		if s.mayRun(st, w, q) && st.spec.Each.Fits(w.Capacity) {
			found = append(found, w)
		}
	}
	if len(found) == 0 {
		return
	}
	s.pass.keepable -= int64(wanted) * st.spec.Each.MilliCPU
	byRoom(found)
	for i := range wanted {
		w := found[i%len(found)]
		w.kept = w.kept.Add(st.spec.Each)
	}
}

// largeShare of the largest worker makes a task large: other tasks that end seldom leave that much free at once.
const largeShare = 0.25

// byRoom sorts workers by the room that they have left, most first.
func byRoom(workers []*worker) {
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.leftShare(), a.leftShare()), cmp.Compare(a.ID, b.ID))
	})
}

// leftShare returns the part of a worker that is free and not kept for a step, below 0 if more is kept than is free.
func (w *worker) leftShare() float64 {
	left := w.free.Sub(w.kept)
	share := 1.0
	if w.Capacity.MilliCPU > 0 {
		share = float64(left.MilliCPU) / float64(w.Capacity.MilliCPU)
	}
	if w.Capacity.MemoryMB > 0 {
		share = min(share, float64(left.MemoryMB)/float64(w.Capacity.MemoryMB))
	}
	return share
}

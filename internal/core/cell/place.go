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
	// placementInterval is the shortest time between two passes.
	placementInterval = 8 * time.Millisecond
	// turnoverPart of the cell comes free while advice is on its way.
	turnoverPart = 10
	// maxFruitless steps in a row without room end a pass, so that its cost doesn't grow with what waits.
	maxFruitless = 128
	// idlePassInterval is the longest time between two passes: tickets lapse and pauses end without an event.
	idlePassInterval = 50 * time.Millisecond
)

// placementPass is the state of one pass over the waiting steps.
type placementPass struct {
	at       time.Time
	usable   []*worker
	room     int64           // thousandths of a core that are free for steps further down
	turnover int64           // thousandths of a core that will soon be free
	largest  resource.Vector // the most that any worker has free of each resource
	keepable int64           // thousandths of a core that may still be kept for steps that go first
	// claimable is what steps whose advice is on its way may still claim, in thousandths of a core.
	claimable int64
	// lateWork waits of jobs that are late; up to fewLate of it goes first. In thousandths of a core times milliseconds.
	lateWork, fewLate int64
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
	if s.stalledWrites() || since < placementInterval || !s.changed && since < idlePassInterval {
		return
	}
	s.changed = false
	s.pass.at = s.now
	s.collectUsable()
	s.collectSteps()
	fruitless := 0
	for _, c := range s.pass.steps {
		if s.pass.room+s.pass.turnover <= 0 {
			return
		}
		st := c.step
		if !st.spec.Each.Fits(s.pass.largest) && st.advice.judged != nil {
			s.blockFor(st, c.queue)
			continue
		}
		before := st.waiting
		s.placeStep(st, c.queue)
		if st.waiting < before {
			fruitless = 0
		} else if fruitless++; fruitless == maxFruitless {
			return
		}
		if c.rank.class < surplus {
			s.claim(st)
		}
	}
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
	s.pass.usable, s.pass.largest = s.pass.usable[:0], resource.Vector{}
	s.pass.room, s.pass.turnover, s.pass.keepable, s.pass.claimable, s.pass.fewLate = 0, 0, 0, 0, 0
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
		}
	}
	slices.SortFunc(s.pass.usable, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
}

// collectSteps lists the steps with waiting tasks in the order in which they are served: work that must go on now to meet
// its objective first, then by priority and objective.
func (s *Scheduler) collectSteps() {
	s.pass.steps = s.pass.steps[:0]
	s.pass.lateWork = 0
	for _, j := range s.active {
		if !j.phase.Final() && !j.cancel && s.isLate(j) {
			s.pass.lateWork += j.waitingWork()
		}
	}
	for _, j := range s.active {
		if j.phase.Final() || j.cancel {
			continue
		}
		q := s.config.Queue(j.Queue)
		for _, st := range j.steps {
			if st.waiting == 0 || !st.ready() {
				continue
			}
			s.pass.steps = append(s.pass.steps, candidateStep{st, q, s.rank(j)})
		}
	}
	slices.SortStableFunc(s.pass.steps, func(a, b candidateStep) int { return a.rank.compare(b.rank) })
}

func (s *Scheduler) urgency(j *job) urgency {
	end := s.now.Add(j.remaining())
	switch {
	case end.After(j.lateDeadline):
		return overdue
	case j.surplus:
		return surplus
	case end.After(j.deadline):
		if s.pass.lateWork > s.pass.fewLate {
			return lateInRow
		}
		return late
	case end.Add(j.lead()).Before(j.deadline):
		return patient
	}
	return pressing
}

// isLate reports whether a job has missed its objective and is still worth something.
func (s *Scheduler) isLate(j *job) bool {
	end := s.now.Add(j.remaining())
	return !j.surplus && end.After(j.deadline) && !end.After(j.lateDeadline)
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
	if !advised || st.advice.inFlight == 0 && !s.now.Before(st.advice.retryAt) {
		s.placeTasks(st, q)
	}
}

func (s *Scheduler) placeTasks(st *step, q *Queue) {
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
		w := s.choose(t, q)
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
	if len(refresh) == 0 && st.waiting > 0 {
		refresh = s.unjudged(st, q)
	}
	s.ask(st, q, refresh)
}

// placeGang places all members or none. Members that end outside a run of the gang wait for the others.
func (s *Scheduler) placeGang(st *step, q *Queue) {
	if st.waiting < len(st.tasks) {
		return
	}
	if s.pass.room < int64(len(st.tasks))*st.spec.Each.MilliCPU && st.advice.judged != nil {
		s.blockFor(st, q)
		return
	}
	var chosen []WorkerID
	placed, tickets := 0, true
	for _, t := range st.tasks {
		w := s.choose(t, q)
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
		s.ask(st, q, s.unjudged(st, q))
	case tickets:
		s.startGang(st)
	default:
		s.ask(st, q, chosen)
	}
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

// choose returns the worker with the best fit for a task, nil if there is none.
func (s *Scheduler) choose(t *task, q *Queue) *worker {
	if !s.withinLimit(t.step, 1) {
		return nil
	}
	var best *worker
	bestScore := 0.0
	for _, w := range s.pass.usable {
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
	var found []*worker
	for _, w := range s.pass.usable {
		if s.mayRun(st, w, q) && st.spec.Each.Fits(w.Capacity) && (st.spec.Gang || isLarge(st.spec.Each, w)) {
			found = append(found, w)
		}
	}
	if len(found) == 0 {
		return
	}
	s.pass.keepable -= int64(wanted) * st.spec.Each.MilliCPU
	for range wanted {
		best := slices.MaxFunc(found, func(a, b *worker) int {
			return cmp.Or(cmp.Compare(a.leftShare(), b.leftShare()), cmp.Compare(b.ID, a.ID))
		})
		best.kept = best.kept.Add(st.spec.Each)
	}
}

// largeShare of a worker makes a task large: other tasks that end seldom leave that much free at once.
const largeShare = 0.25

func isLarge(each resource.Vector, w *worker) bool {
	return each.DominantShare(w.Capacity) >= largeShare
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

package cell

import (
	"cmp"
	"slices"

	"sequoiastall/internal/core/resource"
)

// claim subtracts the capacity that a step will need once its advice arrives from what lower-ranked steps may use in this
// pass. Otherwise they would take it in the meantime. The claims are bounded in total, because a series of steps that wait
// for advice can't use more at a time.
func (s *Scheduler) claim(st *step) {
	if st.spec.Gang || st.advice.inFlight == 0 || st.pool.claimableCPU <= 0 {
		return
	}
	claimed := int64(st.waiting) * st.spec.Each.MilliCPU
	st.pool.claimableCPU -= claimed
	st.pool.freeCPU -= claimed
}

// gangMayFit reports whether the workers may have capacity for all members of a gang. It is a cheap check that avoids
// searching for a worker for each member.
func (s *Scheduler) gangMayFit(st *step, q *Queue) bool {
	if !s.withinLimit(st, len(st.tasks)) || st.pool.freeCPU < int64(len(st.tasks))*st.spec.Each.MilliCPU {
		return false
	}
	workers := s.workersFor(st, q)
	s.pass.workerChecks += len(workers)
	members := 0
	for _, w := range workers {
		if !s.mayRun(st, w, q) || w.heldAgainst(st.tasks[0]) {
			continue
		}
		if members += st.tasksFitting(w, s.capacityFor(st, w)); members >= len(st.tasks) {
			return true
		}
	}
	return false
}

// withinLimit reports whether the team's limit allows the given number of further tasks of a step.
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

// withholdFor withholds free capacity from lower-ranked steps for a gang, or a step of large tasks, that doesn't fit yet.
// The waiting tasks are distributed over the workers in turn, starting with the worker with the most free capacity. The
// capacity then becomes available as single tasks end, and no worker has to become empty. Small tasks need no withheld
// capacity, because they fit as soon as another task ends.
func (s *Scheduler) withholdFor(st *step, q *Queue) {
	if !st.spec.Gang && st.spec.Each.DominantShare(st.pool.maxCapacity) < largeTaskShare {
		return
	}
	wanted := st.waiting
	switch {
	case st.spec.Gang:
		wanted = len(st.tasks)
	case !s.withinLimit(st, wanted):
		wanted = 1
	}
	if st.pool.withholdableCPU <= 0 || wanted > st.waiting || !s.withinLimit(st, wanted) {
		return
	}
	s.pass.workerChecks += len(s.pass.usable)
	var candidates []idleRoom
	fitting := 0
	for _, w := range s.pass.usable {
		if !s.mayRun(st, w, q) {
			continue
		}
		if n := st.tasksOnIdle(w); n > 0 {
			candidates = append(candidates, idleRoom{w, n})
			fitting += n
		}
	}
	if st.spec.Gang && fitting < wanted {
		return // these workers never have capacity for all members
	}
	if wanted = min(wanted, fitting); wanted == 0 {
		return
	}
	st.pool.withholdableCPU -= int64(wanted) * st.spec.Each.MilliCPU
	slices.SortFunc(candidates, func(a, b idleRoom) int { return compareFreeShare(a.worker, b.worker) })
	for i := 0; wanted > 0; i = (i + 1) % len(candidates) {
		if c := &candidates[i]; c.tasks > 0 {
			c.worker.withheld = c.worker.withheld.Add(st.spec.Each)
			c.tasks--
			wanted--
		}
	}
}

// idleRoom is a worker with the number of further tasks of a step that it can hold once it runs nothing else.
type idleRoom struct {
	worker *worker
	tasks  int
}

// tasksOnIdle returns how many further tasks of a step a worker that runs nothing else can hold.
func (st *step) tasksOnIdle(w *worker) int {
	held := st.spec.Each.Scale(int64(st.tasksPerWorker[w.ID]))
	return st.tasksFitting(w, w.Capacity.Sub(held))
}

// tasksFitting returns how many further tasks of a step a worker can hold in the given capacity, within the step's limit
// of tasks on one worker.
func (st *step) tasksFitting(w *worker, capacity resource.Vector) int {
	n, most := 0, len(st.tasks)
	if st.spec.MaxPerWorker > 0 {
		most = min(most, st.spec.MaxPerWorker-st.tasksPerWorker[w.ID])
	}
	for ; n < most && st.spec.Each.Fits(capacity); capacity = capacity.Sub(st.spec.Each) {
		n++
	}
	return n
}

// largeTaskShare is the share of the largest worker from which a task counts as large. Other tasks that end seldom free
// that much at once.
const largeTaskShare = 0.25

// compareFreeShare orders workers by their free share, largest first.
func compareFreeShare(a, b *worker) int {
	return cmp.Or(cmp.Compare(b.freeShare(), a.freeShare()), cmp.Compare(a.ID, b.ID))
}

// mostFree returns the first n workers in the order of compareFreeShare. It costs far less than sorting all of them when
// there are thousands.
func mostFree(workers []*worker, n int) []*worker {
	type ranked struct {
		worker *worker
		share  float64
	}
	compare := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.share, a.share), cmp.Compare(a.worker.ID, b.worker.ID))
	}
	best := make([]ranked, 0, n+1)
	for _, w := range workers {
		r := ranked{w, w.freeShare()}
		if len(best) == n && compare(r, best[n-1]) >= 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, r, compare)
		best = slices.Insert(best, i, r)
		best = best[:min(len(best), n)]
	}
	chosen := make([]*worker, len(best))
	for i, r := range best {
		chosen[i] = r.worker
	}
	return chosen
}

// freeShare returns the smaller of the shares of a worker's CPU and memory that are free and not withheld. Accelerators
// aren't considered. The share is negative if more is withheld than is free.
func (w *worker) freeShare() float64 {
	left := w.free.Sub(w.withheld)
	share := 1.0
	if w.Capacity.MilliCPU > 0 {
		share = float64(left.MilliCPU) / float64(w.Capacity.MilliCPU)
	}
	if w.Capacity.MemoryMB > 0 {
		share = min(share, float64(left.MemoryMB)/float64(w.Capacity.MemoryMB))
	}
	return share
}

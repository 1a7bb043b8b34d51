package cell

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/resource"
)

// The capacity of a worker may change while tasks run on it, and not every worker refuses what doesn't fit. After its
// capacity has shrunk, a worker may be overcommitted: what runs there goes on, and it gets no new work. Starts that were
// decided before are sent only as far as they still fit.

// setCapacity applies the capacity that a worker reports. The capacity in w.WorkerReport is still the former one.
func (s *Scheduler) setCapacity(w *worker, capacity resource.Vector) {
	if w.Capacity == capacity {
		return
	}
	used := w.Capacity.Sub(w.free)
	w.free, w.freed, s.changed = capacity.Sub(used), true, true
	if w.free.HasNegative() {
		s.overcommitted[w] = true
		s.ordersPending = true
	}
	if w.Address == "" {
		return // the worker's first report
	}
	s.events.LogDecision(string(w.ID), "worker capacity changed", "runs", len(w.tasks), "overcommitted", w.free.HasNegative(),
		"mcpu", capacity.MilliCPU, "mcpu_before", w.Capacity.MilliCPU, "mcpu_used", used.MilliCPU,
		"mem_mb", capacity.MemoryMB, "mem_mb_before", w.Capacity.MemoryMB, "mem_mb_used", used.MemoryMB,
		"gpu", capacity.Accelerators, "gpu_before", w.Capacity.Accelerators, "gpu_used", used.Accelerators)
}

// revokeExcessStarts revokes starts on overcommitted workers until the rest fits. The other runs there end by themselves.
func (s *Scheduler) revokeExcessStarts() {
	for w := range s.overcommitted {
		for _, t := range s.revocableStarts(w) {
			if !w.free.HasNegative() {
				break
			}
			if t.worker == w && t.startRevocability() > notRevocable { // not revoked yet with another member of its gang
				s.revokeStart(t, "the worker's capacity has shrunk")
			}
		}
		if !w.free.HasNegative() {
			delete(s.overcommitted, w)
		}
	}
}

// revocability tells how much is lost by revoking a start; lower values are revoked first.
type revocability int

const (
	notRevocable    revocability = iota
	awaitsTicket                 // nothing is recorded yet
	awaitsRecord                 // the record is being written
	neverSent                    // the record is durable
	mayBeCarriedOut              // sent without an answer, so the run may exist and has to be stopped
)

// startRevocability classifies a task by how its start can be revoked.
func (t *task) startRevocability() revocability {
	switch {
	case t.phase == taskReserved:
		return awaitsTicket
	case t.phase == taskPlaced:
		return awaitsRecord
	case t.phase != taskStarting || t.orderInFlight:
		return notRevocable
	case t.ordersSent == 0:
		return neverSent
	}
	return mayBeCarriedOut
}

// startUnsent reports whether a start is decided and no order of it was sent, so that nothing has to be stopped to revoke it.
func (t *task) startUnsent() bool {
	switch t.startRevocability() {
	case awaitsTicket, awaitsRecord, neverSent:
		return true
	}
	return false
}

// revocableStarts returns the tasks on a worker whose start can be revoked, in the order in which to do so: those that
// lose least first, and then the least urgent ones. A start that was sent is included only when it would be repeated.
func (s *Scheduler) revocableStarts(w *worker) []*task {
	var starts []*task
	for t := range w.tasks {
		r := t.startRevocability()
		if r == notRevocable || r == mayBeCarriedOut && s.now.Before(t.nextOrderAt) {
			continue
		}
		starts = append(starts, t)
	}
	slices.SortFunc(starts, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.startRevocability(), b.startRevocability()), s.rank(b.step.job).compare(s.rank(a.step.job)),
			cmp.Compare(b.id.Step, a.id.Step), cmp.Compare(b.id.Task, a.id.Task))
	})
	return starts
}

// revokeStart makes a task wait for another worker. A run that may exist is stopped first.
func (s *Scheduler) revokeStart(t *task, reason string) {
	switch {
	case t.phase == taskReserved && t.step.spec.Gang:
		s.releaseReserved(t.step)
	case t.phase == taskReserved:
		s.requeue(t)
	case t.startRevocability() == mayBeCarriedOut:
		s.abortRun(t, reason)
	default:
		s.startRejected(t, reason)
	}
}

// RegistryRead reports that the contents of the worker registry as of the given time have been applied.
func (s *Scheduler) RegistryRead(asOf time.Time) {
	s.registryReadAt = asOf
	s.ordersPending = s.ordersPending || s.startsHeld
}

// holdStarts decides whether starts have to wait until the registry has been read again. While it can't be read, the
// capacity of workers may have shrunk below what was decided.
func (s *Scheduler) holdStarts() {
	limit, age := s.options.MaxRegistryAge, s.now.Sub(s.registryReadAt)
	hold := limit > 0 && age > limit
	if hold == s.startsHeld {
		return
	}
	s.startsHeld = hold
	if hold && s.registryReadAt.IsZero() {
		return // before the first reading there is no worker to start on
	}
	s.events.LogDecision("registry", "starts held", "held", hold, "age_ms", age.Milliseconds())
}

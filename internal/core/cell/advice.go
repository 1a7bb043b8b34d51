package cell

import (
	"slices"
	"time"
)

const (
	// ticketMargin is how long a ticket must still hold when a start is decided: the record is written and the order
	// crosses the cell in that time.
	ticketMargin = 200 * time.Millisecond
	// maxNamed is the largest number of workers that one call for advice may name.
	maxWorkersPerCall = 100
	// maxCalls for advice are under way for one step.
	maxCallsPerStep = 8
	// minNamed workers are named at least, if there are so many.
	minWorkersAsked = 12
	// namedPerTask workers are named for each task of a step.
	workersAskedPerTask = 5
	// namedPerMember workers are named for each member of a gang, which needs room for all of them at once.
	workersAskedPerMember = 15
	// adviceRetry is the pause after a call for advice that failed.
	adviceRetry = 100 * time.Millisecond
)

// AdviceRequest asks which workers may run a step.
type AdviceRequest struct {
	Step     StepID
	Workers  []WorkerID
	Duration time.Duration // that the service takes
	rank     rank
}

// Before reports whether the request goes before another one: in the order in which the steps are served.
func (r AdviceRequest) Before(other AdviceRequest) bool { return r.rank.compare(other.rank) < 0 }

// AdviceWithdrawn returns a request that no node has had time for, so that the step's turn is decided anew.
func (s *Scheduler) AdviceWithdrawn(r AdviceRequest) {
	if j := s.jobs[r.Step.Job]; j != nil && r.Step.Step < len(j.steps) {
		st := j.steps[r.Step.Step]
		st.advice.inFlight--
		s.releaseReserved(st)
	}
}

// Ticket lets a worker start the tasks of a step.
type Ticket struct {
	Worker WorkerID
	Value  string
}

// stepAdvice is what is known of the workers that may run a step.
type stepAdvice struct {
	allowed  map[WorkerID]bool // whether the worker may run the step; the answer never changes
	tickets  map[WorkerID]ticket
	inFlight int // calls under way
	retryAt  time.Time
}

type ticket struct {
	value   string
	expires time.Time
}

func (a *stepAdvice) validTicket(id WorkerID, now time.Time) (string, bool) {
	t := a.tickets[id]
	return t.value, t.value != "" && now.Add(ticketMargin).Before(t.expires)
}

// ask requests advice on the workers, by several calls if one would take much longer.
func (s *Scheduler) requestAdvice(st *step, q *Queue, named []WorkerID) {
	if len(named) == 0 || st.advice.inFlight > 0 || s.now.Before(st.advice.retryAt) {
		return
	}
	calls := min(maxCallsPerStep, (len(named)+q.Advice.batchSize()-1)/q.Advice.batchSize())
	size := min(maxWorkersPerCall, (len(named)+calls-1)/calls)
	for part := range slices.Chunk(named, size) {
		if st.advice.inFlight == maxCallsPerStep {
			return
		}
		st.advice.inFlight++
		s.advice = append(s.advice, AdviceRequest{Step: st.id, Workers: part, Duration: q.Advice.Duration(len(part)), rank: s.rank(st.job)})
	}
}

// batch is the number of workers from which a call spends more time on them than on its fixed part. Two calls of two
// nodes are then worth their price.
func (a AdviceTiming) batchSize() int {
	if a.PerWorker <= 0 {
		return maxWorkersPerCall
	}
	return max(minWorkersAsked, min(maxWorkersPerCall, int(a.Decision/a.PerWorker)))
}

// unjudged returns workers that may be named next, those with most room first; none if the queue needs no advice. Once
// some are known, a step that isn't a gang asks again only if another worker has room for a task now.
func (s *Scheduler) workersToAsk(st *step, q *Queue) []WorkerID {
	if q == nil || q.Advice == nil {
		return nil
	}
	s.pass.workerChecks += len(s.pass.usable)
	askedBefore, fitsNow := st.advice.allowed != nil && !st.spec.Gang, false
	var candidates []*worker
	for _, w := range s.pass.usable {
		if _, known := st.advice.allowed[w.ID]; known || !s.eligible(st, w) || !st.spec.Each.Fits(w.Capacity) {
			continue
		}
		candidates = append(candidates, w)
		fitsNow = fitsNow || st.spec.Each.Fits(w.free.Sub(w.withheld))
	}
	if askedBefore && !fitsNow {
		return nil
	}
	sortByFreeShare(candidates)
	n := min(maxWorkersPerCall, max(minWorkersAsked, workersAskedPerTask*st.spec.Count))
	if st.spec.Gang {
		n = max(minWorkersAsked, workersAskedPerMember*st.spec.Count)
	}
	named := make([]WorkerID, min(n, len(candidates)))
	for i := range named {
		named[i] = candidates[i].ID
	}
	return named
}

// Advised applies an answer of the advice service to a request that was sent at asked. failed tells that there was no
// answer.
func (s *Scheduler) Advised(r AdviceRequest, tickets []Ticket, asked time.Time, validity time.Duration, failed bool, now time.Time) {
	s.now = now
	j := s.jobs[r.Step.Job]
	if j == nil || r.Step.Step >= len(j.steps) {
		return
	}
	st := j.steps[r.Step.Step]
	st.advice.inFlight--
	st.fullScanAt = time.Time{}
	s.changed = true
	if failed {
		st.advice.retryAt = now.Add(adviceRetry)
		s.events.Decided(st.id.String(), "advice failed", "named", len(r.Workers))
		s.releaseReserved(st)
		return
	}
	if st.advice.allowed == nil {
		st.advice.allowed, st.advice.tickets = map[WorkerID]bool{}, map[WorkerID]ticket{}
	}
	for _, id := range r.Workers {
		st.advice.allowed[id] = st.advice.allowed[id] || false
	}
	for _, t := range tickets {
		st.advice.allowed[t.Worker] = true
		st.advice.tickets[t.Worker] = ticket{t.Value, asked.Add(validity)}
	}
	s.events.Decided(st.id.String(), "advised", "named", len(r.Workers), "good", len(tickets), "age_ms", now.Sub(asked).Milliseconds())
	s.applyTickets(st)
}

// redeem places the reserved tasks whose tickets have come, and releases the others. A gang is placed whole or not at
// all.
func (s *Scheduler) applyTickets(st *step) {
	if st.spec.Gang {
		for _, t := range st.tasks {
			if t.phase != taskReserved {
				return
			}
			if _, ok := st.advice.validTicket(t.worker.ID, s.now); !ok {
				s.releaseReserved(st)
				return
			}
		}
		s.startGang(st)
		return
	}
	for _, t := range st.tasks {
		if t.phase != taskReserved {
			continue
		}
		if _, ok := st.advice.validTicket(t.worker.ID, s.now); ok {
			s.startTask(t)
		} else {
			s.requeue(t)
		}
	}
}

func (s *Scheduler) releaseReserved(st *step) {
	for _, t := range st.tasks {
		if t.phase == taskReserved {
			s.requeue(t)
		}
	}
}

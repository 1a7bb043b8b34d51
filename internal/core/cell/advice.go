package cell

import (
	"slices"
	"time"
)

const (
	// ticketMargin is the validity that a ticket must have left when a start is decided. It covers writing the record and
	// delivering the order.
	ticketMargin = 200 * time.Millisecond
	// maxWorkersPerCall is the maximum number of workers in one advice call.
	maxWorkersPerCall = 100
	// maxCallsPerStep is the maximum number of concurrent advice calls for one step.
	maxCallsPerStep = 8
	// minWorkersAsked is the minimum number of workers to ask about, if there are that many.
	minWorkersAsked = 12
	// workersAskedPerTask is the number of workers to ask about for each task of a step.
	workersAskedPerTask = 5
	// workersAskedPerMember is the same for each member of a gang, which needs capacity for all members at once.
	workersAskedPerMember = 15
	// adviceRetry is the delay before advice is requested again after a failed call.
	adviceRetry = 100 * time.Millisecond
)

// AdviceRequest asks the advice service which of the listed workers may run a step.
type AdviceRequest struct {
	Step     StepID
	Workers  []WorkerID
	Duration time.Duration // expected duration of the call
	rank     rank
	sequence uint64 // order sequence of the request
}

// Before reports whether the request precedes another one in the order in which steps are served.
func (r AdviceRequest) Before(other AdviceRequest) bool { return r.rank.compare(other.rank) < 0 }

// WithdrawAdvice takes back a request for which no node had capacity. The step's reservations are released, and a later
// pass considers the step again.
func (s *Scheduler) WithdrawAdvice(r AdviceRequest) {
	if j := s.jobs[r.Step.Job]; j != nil && r.Step.Step < len(j.steps) {
		st := j.steps[r.Step.Step]
		st.advice.inFlight--
		s.releaseReserved(st)
	}
}

// Ticket is the advice service's permission for a worker to start tasks of a step.
type Ticket struct {
	Worker WorkerID
	Value  string
}

// stepAdvice holds the advice received for a step. Which workers may run a step doesn't change, but a worker that was down
// when the service answered, or that comes back as another one, may have been denied for that.
type stepAdvice struct {
	answers  map[WorkerID]adviceAnswer // nil before the first answer
	tickets  map[WorkerID]ticket
	inFlight int // calls in progress
	retryAt  time.Time
}

// adviceAnswer is the answer about a worker: twice the order sequence of its request, and one more if the worker may run the
// step. It is a single word because a large cell has a million of them. The zero value is no answer.
type adviceAnswer uint64

func newAdviceAnswer(allowed bool, sequence uint64) adviceAnswer {
	if allowed {
		return adviceAnswer(sequence<<1 | 1)
	}
	return adviceAnswer(sequence << 1)
}

func (a adviceAnswer) allowed() bool { return a&1 == 1 }

// current reports whether the worker has neither restarted nor been listed anew since the request.
func (a adviceAnswer) current(w *worker) bool { return uint64(a>>1) >= w.presentSince }

// answered reports whether a call has been answered.
func (a *stepAdvice) answered() bool { return a.answers != nil }

// covers reports whether nothing has to be asked about the worker: it is allowed, or was denied since it last came back.
func (a *stepAdvice) covers(w *worker) bool {
	answer := a.answers[w.ID]
	return answer.allowed() || answer.current(w)
}

// setAnswer records an answer about a worker, which is nil if it isn't known any more. A denial doesn't replace an earlier
// permission for the same instance.
func (a *stepAdvice) setAnswer(id WorkerID, w *worker, answer adviceAnswer) {
	if a.answers == nil {
		a.answers, a.tickets = map[WorkerID]adviceAnswer{}, map[WorkerID]ticket{}
	}
	earlier := a.answers[id]
	if earlier.allowed() && !answer.allowed() && (w == nil || earlier.current(w)) {
		return
	}
	a.answers[id] = answer
}

// forget makes the step ask about a worker again.
func (a *stepAdvice) forget(id WorkerID) {
	delete(a.answers, id)
	delete(a.tickets, id)
}

type ticket struct {
	value   string
	expires time.Time
}

// validTicket returns the ticket for a worker and whether it is valid for longer than ticketMargin.
func (a *stepAdvice) validTicket(id WorkerID, now time.Time) (string, bool) {
	t := a.tickets[id]
	return t.value, t.value != "" && now.Add(ticketMargin).Before(t.expires)
}

// requestAdvice requests advice on the given workers. It splits the request into concurrent calls if a single call would
// take much longer.
func (s *Scheduler) requestAdvice(st *step, q *Queue, workers []WorkerID) {
	if len(workers) == 0 || st.advice.inFlight > 0 || s.now.Before(st.advice.retryAt) {
		return
	}
	stepRank := s.rank(st.job)
	stepRank.still = s.standsStill(st)
	calls := min(maxCallsPerStep, (len(workers)+q.Advice.batchSize()-1)/q.Advice.batchSize())
	size := min(maxWorkersPerCall, (len(workers)+calls-1)/calls)
	for part := range slices.Chunk(workers, size) {
		if st.advice.inFlight == maxCallsPerStep {
			return
		}
		st.advice.inFlight++
		s.advice = append(s.advice, AdviceRequest{Step: st.id, Workers: part, Duration: q.Advice.Duration(len(part)), rank: stepRank,
			sequence: s.orderSequence.Load()})
	}
}

// batchSize returns the number of workers for which the variable part of a call takes as long as its fixed part, within
// minWorkersAsked and maxWorkersPerCall. For more workers, two concurrent calls by two nodes are worth the additional
// fixed part.
func (a AdviceTiming) batchSize() int {
	if a.PerWorker <= 0 {
		return maxWorkersPerCall
	}
	return max(minWorkersAsked, min(maxWorkersPerCall, int(a.Decision/a.PerWorker)))
}

// workersToAsk returns the workers to request advice on next, those with the most free capacity first. It returns none if
// the queue needs no advice. After the first answer, a step that isn't a gang asks again only if one of the remaining
// workers has capacity for a task now.
func (s *Scheduler) workersToAsk(st *step, q *Queue) []WorkerID {
	if !q.needsAdvice() {
		return nil
	}
	workers := s.workersFor(st, q)
	s.pass.workerChecks += len(workers)
	askedBefore, fitsNow := st.advice.answered() && !st.spec.Gang, false
	var candidates []*worker
	for _, w := range workers {
		if st.advice.covers(w) || !s.eligible(st, w) || !st.spec.Each.Fits(w.Capacity) {
			continue
		}
		candidates = append(candidates, w)
		fitsNow = fitsNow || s.hasRoom(st, w)
	}
	if askedBefore && !fitsNow {
		return nil
	}
	// Each call names as many workers as all before it, so that a step that few workers may run finds them in a few calls.
	n := min(maxWorkersPerCall, max(minWorkersAsked, workersAskedPerTask*st.spec.Count, len(st.advice.answers)))
	if st.spec.Gang {
		n = max(minWorkersAsked, workersAskedPerMember*st.spec.Count)
	}
	most := mostFree(candidates, n)
	ids := make([]WorkerID, len(most))
	for i := range ids {
		ids[i] = most[i].ID
	}
	return ids
}

// ApplyAdvice applies the advice service's answer to a request. The validity of the tickets counts from validFrom, the
// earliest time at which the call can have ended: its send time plus its expected duration. If failed is set, there was
// no answer.
func (s *Scheduler) ApplyAdvice(r AdviceRequest, tickets []Ticket, validFrom time.Time, validity time.Duration, failed bool, now time.Time) {
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
		s.events.LogDecision(st.id.String(), "advice failed", "named", len(r.Workers))
		s.releaseReserved(st)
		return
	}
	for _, id := range r.Workers {
		st.advice.setAnswer(id, s.workers[id], newAdviceAnswer(false, r.sequence))
	}
	for _, t := range tickets {
		st.advice.setAnswer(t.Worker, s.workers[t.Worker], newAdviceAnswer(true, r.sequence))
		st.advice.tickets[t.Worker] = ticket{t.Value, validFrom.Add(validity)}
	}
	s.events.LogDecision(st.id.String(), "advised", "named", len(r.Workers), "good", len(tickets), "age_ms", now.Sub(validFrom).Milliseconds())
	s.applyTickets(st)
}

// applyTickets places the reserved tasks for which there are valid tickets now and requeues the others. A gang is placed
// as a whole or not at all.
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

// releaseReserved requeues the reserved tasks of a step.
func (s *Scheduler) releaseReserved(st *step) {
	for _, t := range st.tasks {
		if t.phase == taskReserved {
			s.requeue(t)
		}
	}
}

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
	maxNamed = 100
	// maxCalls for advice are under way for one step.
	maxCalls = 8
	// minNamed workers are named at least, if there are so many.
	minNamed = 12
	// namedPerTask workers are named for each task of a step.
	namedPerTask = 5
	// namedPerMember workers are named for each member of a gang, which needs room for all of them at once.
	namedPerMember = 15
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
		s.unreserve(st)
	}
}

// Ticket lets a worker start the tasks of a step.
type Ticket struct {
	Worker WorkerID
	Value  string
}

// stepAdvice is what is known of the workers that may run a step.
type stepAdvice struct {
	judged   map[WorkerID]bool // whether the worker may run the step; the answer never changes
	good     map[WorkerID]ticket
	inFlight int // calls under way
	retryAt  time.Time
}

type ticket struct {
	value   string
	expires time.Time
}

func (a *stepAdvice) valid(id WorkerID, now time.Time) (string, bool) {
	t := a.good[id]
	return t.value, t.value != "" && now.Add(ticketMargin).Before(t.expires)
}

// ask requests advice on the workers, by several calls if one would take much longer.
func (s *Scheduler) ask(st *step, q *Queue, named []WorkerID) {
	if len(named) == 0 || st.advice.inFlight > 0 || s.now.Before(st.advice.retryAt) {
		return
	}
	calls := min(maxCalls, (len(named)+q.Advice.batch()-1)/q.Advice.batch())
	size := min(maxNamed, (len(named)+calls-1)/calls)
	for part := range slices.Chunk(named, size) {
		if st.advice.inFlight == maxCalls {
			return
		}
		st.advice.inFlight++
		s.advice = append(s.advice, AdviceRequest{Step: st.id, Workers: part, Duration: q.Advice.Duration(len(part)), rank: s.rank(st.job)})
	}
}

// batch is the number of workers from which a call spends more time on them than on its fixed part. Two calls of two
// nodes are then worth their price.
func (a AdviceTiming) batch() int {
	if a.PerWorker <= 0 {
		return maxNamed
	}
	return max(minNamed, min(maxNamed, int(a.Decision/a.PerWorker)))
}

// unjudged returns workers that may be named next, those with most room first; none if the queue needs no advice. Once
// some are known, a step that isn't a gang asks again only if another worker has room for a task now.
func (s *Scheduler) unjudged(st *step, q *Queue) []WorkerID {
	if q == nil || q.Advice == nil {
		return nil
	}
	s.pass.looks += len(s.pass.usable)
	again, fits := st.advice.judged != nil && !st.spec.Gang, false
	var found []*worker
	for _, w := range s.pass.usable {
		if _, known := st.advice.judged[w.ID]; known || !s.suits(st, w) || !st.spec.Each.Fits(w.Capacity) {
			continue
		}
		found = append(found, w)
		fits = fits || st.spec.Each.Fits(w.free.Sub(w.kept))
	}
	if again && !fits {
		return nil
	}
	byRoom(found)
	n := min(maxNamed, max(minNamed, namedPerTask*st.spec.Count))
	if st.spec.Gang {
		n = max(minNamed, namedPerMember*st.spec.Count)
	}
	named := make([]WorkerID, min(n, len(found)))
	for i := range named {
		named[i] = found[i].ID
	}
	return named
}

// Advised applies an answer of the advice service to a request that was sent at asked. failed tells that there was no
// answer.
func (s *Scheduler) Advised(r AdviceRequest, good []Ticket, asked time.Time, validity time.Duration, failed bool, now time.Time) {
	s.now = now
	j := s.jobs[r.Step.Job]
	if j == nil || r.Step.Step >= len(j.steps) {
		return
	}
	st := j.steps[r.Step.Step]
	st.advice.inFlight--
	st.scanned = time.Time{}
	s.changed = true
	if failed {
		st.advice.retryAt = now.Add(adviceRetry)
		s.events.Decided(st.id.String(), "advice failed", "named", len(r.Workers))
		s.unreserve(st)
		return
	}
	if st.advice.judged == nil {
		st.advice.judged, st.advice.good = map[WorkerID]bool{}, map[WorkerID]ticket{}
	}
	for _, id := range r.Workers {
		st.advice.judged[id] = st.advice.judged[id] || false
	}
	for _, g := range good {
		st.advice.judged[g.Worker] = true
		st.advice.good[g.Worker] = ticket{g.Value, asked.Add(validity)}
	}
	s.events.Decided(st.id.String(), "advised", "named", len(r.Workers), "good", len(good), "age_ms", now.Sub(asked).Milliseconds())
	s.redeem(st)
}

// redeem places the reserved tasks whose tickets have come, and releases the others. A gang is placed whole or not at
// all.
func (s *Scheduler) redeem(st *step) {
	if st.spec.Gang {
		for _, t := range st.tasks {
			if t.phase != taskReserved {
				return
			}
			if _, ok := st.advice.valid(t.worker.ID, s.now); !ok {
				s.unreserve(st)
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
		if _, ok := st.advice.valid(t.worker.ID, s.now); ok {
			s.startTask(t)
		} else {
			s.wait(t)
		}
	}
}

func (s *Scheduler) unreserve(st *step) {
	for _, t := range st.tasks {
		if t.phase == taskReserved {
			s.wait(t)
		}
	}
}

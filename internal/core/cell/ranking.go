package cell

import (
	"cmp"
	"slices"
	"time"
)

// candidateStep is a step with waiting tasks.
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

func (s *Scheduler) rank(j *job) rank { return rank{s.urgency(j), j.queuePriority, j.deadline, j.ID} }

// urgency is the first criterion of the order in which steps are served.
type urgency int

const (
	dueSoon      urgency = iota // meets its objective if it starts soon
	late                        // has missed its objective, is still worth something, and one of few
	canWait                     // meets its objective also if it waits
	lateOverflow                // late, and one of so many that serving them first would make others late
	overRate                    // beyond what its team may hand in
	expired                     // worth nothing any more
)

const (
	// fewLateTime of the whole cell's work is the most that may wait of late jobs while they go before others.
	lateWorkTime = 250 * time.Millisecond
	// pressingTime before the last moment at which a job must go on to meet its objective, it goes before those that can
	// wait.
	dueSoonWindow = 2 * time.Second
	// gangTime is added for a gang, which has to wait until there is room for all its members.
	gangLeadTime = 1500 * time.Millisecond
)

// collectSteps lists the steps with waiting tasks in the order in which they are served: work that must go on now to meet
// its objective first, then by priority and objective.
func (s *Scheduler) collectSteps() {
	s.pass.steps = s.pass.steps[:0]
	s.pass.lateWork = 0
	withExpired := s.now.Sub(s.pass.expiredPassAt) >= expiredPassInterval
	if withExpired {
		s.pass.expiredPassAt = s.now
	}
	for _, j := range s.active {
		if j.phase.Final() || j.cancelRequested {
			continue
		}
		j.earliestEnd = s.now.Add(j.remainingPath())
		if j.isLate() {
			s.pass.lateWork += j.waitingWork()
		}
	}
	for _, j := range s.active {
		if j.phase.Final() || j.cancelRequested || j.waitingTasks() == 0 {
			continue
		}
		q, r := s.config.Queue(j.Queue), s.rank(j)
		if r.class == expired && !withExpired {
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

// urgency returns how a job stands to its objective, by its end as of the current pass.
func (s *Scheduler) urgency(j *job) urgency {
	switch {
	case j.earliestEnd.After(j.expiresAt):
		return expired
	case j.overRate:
		return overRate
	case j.isLate():
		if s.pass.lateWork > s.pass.lateWorkLimit {
			return lateOverflow
		}
		return late
	case j.earliestEnd.Add(j.leadTime()).Before(j.deadline):
		return canWait
	}
	return dueSoon
}

// isLate reports whether the job misses its objective and is still worth something.
func (j *job) isLate() bool {
	return !j.overRate && j.earliestEnd.After(j.deadline) && !j.earliestEnd.After(j.expiresAt)
}

// waits returns the number of the job's waiting tasks.
func (j *job) waitingTasks() int {
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
func (j *job) leadTime() time.Duration {
	for _, st := range j.steps {
		if st.spec.Gang && st.unfinished > 0 {
			return dueSoonWindow + gangLeadTime
		}
	}
	return dueSoonWindow
}

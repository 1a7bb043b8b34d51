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

// rank is the sort key by which steps are served.
type rank struct {
	// still is set for a step that stands still, which comes before all others: most of its pool is free, so what it waits for
	// is a certain worker, or advice, and higher-ranked steps could be given those again and again.
	still    bool
	class    urgency
	priority int
	deadline time.Time
	job      JobID
}

func (r rank) compare(o rank) int {
	if r.still != o.still {
		if r.still {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.priority, o.priority), r.deadline.Compare(o.deadline), cmp.Compare(r.job, o.job))
}

// rank returns the rank of a job's steps unless they stand still.
func (s *Scheduler) rank(j *job) rank {
	return rank{class: s.urgency(j), priority: j.queuePriority, deadline: j.deadline, job: j.ID}
}

// urgency is the most significant part of a rank; lower values are served first.
type urgency int

const (
	serviceDown  urgency = iota // a service that has been available before
	dueSoon                     // meets its objective only if it starts soon
	late                        // misses its objective, its result still has value, and there is little late work in all
	canWait                     // meets its objective even if it waits
	lateOverflow                // late, with so much late work that serving it first would make other jobs late
	overRate                    // above its team's submission rate
	expired                     // so late that its result has no value any more
)

const (
	// lateWorkTime bounds the late work that is served before jobs that can wait: the waiting work of late jobs may take at
	// most this much time of the whole cell. Above that, late jobs rank as lateOverflow.
	lateWorkTime = 250 * time.Millisecond
	// dueSoonWindow is how long before its latest possible start a job becomes dueSoon, which ranks it before jobs that can
	// wait.
	dueSoonWindow = 2 * time.Second
	// gangLeadTime is added to dueSoonWindow for a gang, which has to wait until there is capacity for all its members.
	gangLeadTime = 1500 * time.Millisecond
)

// collectSteps lists the steps with waiting tasks in the order in which they are served: those that stand still, then by
// urgency, so that work that must proceed now to meet its objective comes first, then by priority and deadline.
func (s *Scheduler) collectSteps() {
	s.pass.steps = s.pass.steps[:0]
	s.pass.lateWork = 0
	includeExpired := s.now.Sub(s.pass.expiredPassAt) >= expiredPassInterval
	if includeExpired {
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
		for _, st := range j.steps {
			st.noteWaiting(s.now)
		}
	}
	for _, j := range s.active {
		if j.phase.Final() || j.cancelRequested || j.waitingTasks() == 0 {
			continue
		}
		q, r := s.queueOf(j), s.rank(j)
		if r.class == expired && !includeExpired {
			continue
		}
		for _, st := range j.steps {
			if st.waiting > 0 && st.ready() {
				r.still = s.standsStill(st)
				s.pass.steps = append(s.pass.steps, candidateStep{st, q, r})
			}
		}
	}
	slices.SortStableFunc(s.pass.steps, func(a, b candidateStep) int { return a.rank.compare(b.rank) })
}

// urgency classifies a job by its objective and its earliest possible end as of the current pass.
func (s *Scheduler) urgency(j *job) urgency {
	switch {
	case j.service:
		return serviceUrgency(j)
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

// serviceUrgency classifies a job with long-running steps, whose value doesn't end with its objective.
func serviceUrgency(j *job) urgency {
	switch {
	case j.started:
		return serviceDown
	case j.overRate:
		return overRate
	}
	return dueSoon
}

// isLate reports whether the job misses its objective although its result still has value.
func (j *job) isLate() bool {
	return !j.overRate && !j.service && j.earliestEnd.After(j.deadline) && !j.earliestEnd.After(j.expiresAt)
}

// waitingTasks returns the number of the job's waiting tasks.
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

// leadTime returns how long before its latest possible start a job counts as dueSoon.
func (j *job) leadTime() time.Duration {
	for _, st := range j.steps {
		if st.spec.Gang && st.unfinished > 0 {
			return dueSoonWindow + gangLeadTime
		}
	}
	return dueSoonWindow
}

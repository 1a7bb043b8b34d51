package partition

import (
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/placement"
)

// reservation keeps workers free for the waiting gang that is next, until the time at which it is expected to fit.
// Other work may use these workers only if it ends before that time (backfill).
type reservation struct {
	job           job.ID
	expectedStart time.Time
	workers       map[string]bool
	computedAt    time.Time
}

// reservationTTL is how long a reservation is kept before it is recomputed.
const reservationTTL = time.Second

// planInterval and maxPlans limit the search for a gang that will fit, because it copies the state of all workers.
const (
	planInterval = 500 * time.Millisecond
	maxPlans     = 8
)

// refreshReservation drops a reservation whose gang no longer waits, and recomputes one older than reservationTTL.
func (m *Machine) refreshReservation(c *cycle) {
	r := m.reservation
	if r == nil {
		return
	}
	s := m.jobs[r.job]
	if s == nil || !m.runnable(s) {
		m.reservation = nil
		return
	}
	if c.now.Sub(r.computedAt) >= reservationTTL {
		m.reservation = m.planReservation(c, s)
	}
}

// reserveForGang makes a reservation for the first gang that found no room, unless there is one already. Teams are
// tried in the order of their deficit, so this is the gang of the team that is furthest below its share.
func (m *Machine) reserveForGang(c *cycle) {
	if m.reservation != nil || c.now.Sub(m.plannedAt) < planInterval {
		return
	}
	plans := 0
	for _, s := range c.unplaced {
		if s.Record.Spec.Class != job.Gang {
			continue
		}
		m.plannedAt = c.now
		if m.reservation = m.planReservation(c, s); m.reservation != nil || plans == maxPlans {
			return
		}
		plans++
	}
}

// startGang starts all pending tasks of a gang, or none.
func (m *Machine) startGang(c *cycle, s *job.State) bool {
	c.blocked[s.Record.ID] = true
	if s.Count(job.TaskRunning)+s.Count(job.TaskIntended) > 0 {
		return false // still stopping after one of its tasks failed
	}
	indexes := m.startableTasks(s)
	if len(indexes) < int(s.Count(job.TaskPending)) {
		m.waitReasons[s.Record.ID] = "workers of the partition have not all reported yet"
		return false
	}
	reserved := m.sizes.Reservation(statsKey(s), s.Record.Spec.Resources)
	for _, i := range indexes {
		s.Tasks[i].Reserved = reserved
	}
	team := s.Record.Spec.Team
	all := reserved.Scale(int64(len(indexes)))
	if slack := m.AllowanceSlack(team); !all.Fits(slack) {
		c.addNeed(team, all, all, slack)
		m.lacksAllowance[team] = true
		m.waitReasons[s.Record.ID] = "team " + team + " is at its limit"
		return false
	}
	r := m.request(s, &s.Tasks[indexes[0]])
	if m.mustAvoidReserved(c, s) {
		r.Avoid = m.reservation.workers
	}
	decisions, err := m.cluster.PlaceGang(r, len(indexes))
	if err != nil {
		m.waitReasons[s.Record.ID] = err.Error()
		c.unplaced = append(c.unplaced, s)
		return false
	}
	for k, i := range indexes {
		if _, ok := m.assign(c, s, i, decisions[k], r); !ok {
			m.restartGang(s, -1, c.now)
			return false
		}
	}
	return true
}

func (m *Machine) startableTasks(s *job.State) []int32 {
	var indexes []int32
	for i := m.nextStartable(s, 0); i >= 0; i = m.nextStartable(s, i+1) {
		indexes = append(indexes, i)
	}
	return indexes
}

// mustAvoidReserved reports whether a job must not use the reserved workers because it would delay the gang.
func (m *Machine) mustAvoidReserved(c *cycle, s *job.State) bool {
	r := m.reservation
	if r == nil || r.job == s.Record.ID || s.Record.Spec.Urgent {
		return false
	}
	expected := m.sizes.Duration(statsKey(s), declaredDuration(s))
	return expected <= 0 || c.now.Add(expected).After(r.expectedStart)
}

// planReservation finds when and where a gang will fit, by releasing running tasks in the order of their expected ends.
// It returns nil if the gang doesn't fit even after all of them have ended; such a gang holds back no other work.
func (m *Machine) planReservation(c *cycle, s *job.State) *reservation {
	indexes := m.startableTasks(s)
	if len(indexes) == 0 || !s.Tasks[indexes[0]].Reserved.Scale(int64(len(indexes))).Fits(m.AllowanceSlack(s.Record.Spec.Team)) {
		return nil
	}
	request := m.request(s, &s.Tasks[indexes[0]])
	ends := m.expectedEnds(c.now)
	future := m.copyCluster()
	low, high := 0, len(ends)
	released := 0
	fits := func(n int) ([]placement.Decision, bool) {
		if n < released {
			future, released = m.copyCluster(), 0
		}
		for ; released < n; released++ {
			future.Release(ends[released].worker, ends[released].request)
		}
		d, err := future.PlaceGang(request, len(indexes))
		return d, err == nil
	}
	if _, ok := fits(high); !ok {
		return nil
	}
	for low < high {
		mid := (low + high) / 2
		if _, ok := fits(mid); ok {
			high = mid
		} else {
			low = mid + 1
		}
	}
	decisions, ok := fits(low)
	if !ok {
		return nil
	}
	var places []string
	for _, d := range decisions {
		places = append(places, d.Worker)
	}
	r := newReservation(s.Record.ID, c.now, places)
	if low > 0 {
		r.expectedStart = ends[low-1].at
	}
	return r
}

// newReservation returns a reservation for a gang that is expected to start now.
func newReservation(id job.ID, now time.Time, workerIDs []string) *reservation {
	r := &reservation{job: id, expectedStart: now, workers: map[string]bool{}, computedAt: now}
	for _, w := range workerIDs {
		r.workers[w] = true
	}
	return r
}

type expectedEnd struct {
	at      time.Time
	task    job.TaskID
	worker  string
	request placement.Request
}

// expectedEnds lists running tasks with a known duration by their expected end. An overdue task is expected to run for
// as much longer as it is overdue.
func (m *Machine) expectedEnds(now time.Time) []expectedEnd {
	var ends []expectedEnd
	for _, s := range m.jobs {
		expected := m.sizes.Duration(statsKey(s), declaredDuration(s))
		if expected <= 0 || s.Record.Spec.Class == job.Service {
			continue
		}
		for i := range s.Tasks {
			t := &s.Tasks[i]
			if t.Phase != job.TaskRunning || m.workers[t.Worker] == nil || !m.workers[t.Worker].held {
				continue
			}
			at := t.StartedAt.Add(expected)
			if t.Stopping {
				at = now
			}
			if late := now.Sub(at); late > 0 {
				at = now.Add(late)
			}
			ends = append(ends, expectedEnd{at, job.TaskID{Job: s.Record.ID, Index: int32(i)}, t.Worker, m.request(s, t)})
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int {
		if d := a.at.Compare(b.at); d != 0 {
			return d
		}
		return compareTaskIDs(a.task, b.task)
	})
	return ends
}

// copyCluster returns a copy of the cluster with its workers and what is reserved on them.
func (m *Machine) copyCluster() *placement.Cluster {
	copied := placement.NewCluster(m.config.Policy)
	for _, w := range m.cluster.Workers() {
		copied.Upsert(w)
		if !w.Reserved.IsZero() {
			_ = copied.Reserve(w.ID, placement.Request{Resources: w.Reserved})
		}
	}
	return copied
}

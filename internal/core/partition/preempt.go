package partition

import (
	"maps"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/preemption"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

const (
	// maxVictimsPerCycle bounds how many tasks are preempted in one cycle.
	maxVictimsPerCycle = 64
	// shareInterval is the shortest time between two rounds of preemption that restore shares. It covers a checkpoint
	// and the delay of gossip, so that a round sees the effect of the previous one in all partitions.
	shareInterval = 2 * time.Second
	// shareGrace is how long work waits before other tasks are preempted to restore shares.
	shareGrace = 2 * time.Second
	// limitGrace is how long urgent work waits for allowance from other partitions before tasks of its own team are
	// preempted.
	limitGrace = 500 * time.Millisecond
)

// preempt stops tasks of teams that exceed a lowered limit, and tasks whose resources are needed for unplaced work that
// may preempt others.
func (m *Machine) preempt(c *cycle) {
	m.reduceExcess(c)
	for _, s := range c.urgentAtLimit {
		if c.now.Sub(s.Record.Submitted()) >= limitGrace && m.stoppingVictims[s.Record.ID] == 0 {
			m.preemptOwnTeam(c, s)
		}
	}
	forShares := c.now.Sub(m.sharePreemptedAt) >= shareInterval
	var p *shareProjection
	noVictims := map[preemptionKey]bool{}
	for _, s := range c.unplaced {
		if c.victimCount >= maxVictimsPerCycle {
			return
		}
		key := preemptionKey{s.Record.Spec.Team, s.Record.Spec.Resources, s.Record.Spec.Pool, s.Record.Spec.Urgent}
		if m.stoppingVictims[s.Record.ID] > 0 || noVictims[key] || !m.mayPreempt(c, s, forShares) {
			continue
		}
		if p == nil {
			p = m.newShareProjection()
		}
		if !s.Record.Spec.Urgent {
			m.sharePreemptedAt = c.now
			if !p.isBelowHighest(s.Record.Spec.Team) {
				continue
			}
		}
		chosen := m.preemptFor(c, s, p)
		c.victimCount += chosen
		noVictims[key] = chosen == 0
	}
}

// preemptionKey identifies equivalent work, for which the search for victims fails alike within a cycle.
type preemptionKey struct {
	team      string
	resources resource.Vector
	pool      string
	urgent    bool
}

// mayPreempt reports whether other tasks may be preempted for a job: it is urgent, or it has waited for shareGrace and
// a round that restores shares is due. A gang preempts others only while no other gang holds a reservation, because the
// workers that it clears have to be reserved for it.
func (m *Machine) mayPreempt(c *cycle, s *job.State, forShares bool) bool {
	switch {
	case s.Record.Spec.Urgent:
		return true
	case s.Record.Spec.Class == job.Gang && m.reservation != nil && m.reservation.job != s.Record.ID:
		return false
	}
	return forShares && c.now.Sub(s.Record.Submitted()) >= shareGrace
}

// preemptFor preempts victims for the pending tasks of a job: for all tasks of a gang or none, otherwise for as many as
// possible. It returns the number of victims.
func (m *Machine) preemptFor(c *cycle, s *job.State, p *shareProjection) int {
	indexes := m.startableTasks(s)
	if len(indexes) == 0 {
		return 0
	}
	need := m.sizes.Reservation(statsKey(s), s.Record.Spec.Resources)
	gang := s.Record.Spec.Class == job.Gang
	step := need
	if gang {
		step = need.Scale(int64(len(indexes)))
	}
	options := m.preemptionOptions(s)
	var chosen []preemption.Victim
	var places []string
	for range min(len(indexes), maxVictimsPerCycle-c.victimCount) {
		if !s.Record.Spec.Urgent && !p.selectOverShare(&options, need, step, gang) {
			break
		}
		victims, err := preemption.Victims(need, p.candidates(s.Record.Spec.Urgent), options)
		if err != nil {
			break
		}
		places = append(places, p.applyChoice(need, victims, options.Free))
		if !gang {
			p.add(s.Record.Spec.Team, need)
		}
		chosen = append(chosen, victims...)
	}
	if gang {
		if len(places) < len(indexes) {
			return 0
		}
		m.reservation = newReservation(s.Record.ID, c.now, places)
	}
	for _, v := range chosen {
		m.preemptTask(c, s, v)
	}
	return len(chosen)
}

func (m *Machine) preemptionOptions(s *job.State) preemption.Options {
	spec := &s.Record.Spec
	o := preemption.Options{Free: map[string]resource.Vector{}, OverShare: map[string]bool{}, Team: spec.Team, Urgent: spec.Urgent,
		GangSize: map[job.ID]int{}}
	for _, w := range m.cluster.Workers() {
		if !w.Leaving && !w.Quarantined && (spec.Pool == "" || spec.Pool == w.Pool) {
			o.Free[w.ID] = w.Capacity.Sub(w.Reserved)
		}
	}
	for team := range m.config.Teams {
		o.OverShare[team] = m.shares.Ratio(team) > 1
	}
	for id, other := range m.jobs {
		if other.Record.Spec.Class == job.Gang {
			o.GangSize[id] = int(other.Count(job.TaskRunning))
		}
	}
	return o
}

// preemptible lists the running tasks that may be preempted. Services are excluded: only drains move them.
func (m *Machine) preemptible() []preemption.Running {
	var candidates []preemption.Running
	for _, id := range m.workerIDs() {
		w := m.workers[id]
		if !w.held {
			continue
		}
		for task := range w.tasks {
			s, t := m.jobs[task.Job], m.task(task)
			if t == nil || t.Stopping || !t.Confirmed || s.Record.Spec.Class == job.Service {
				continue
			}
			candidates = append(candidates, preemption.Running{Task: task, Attempt: t.Attempt, Worker: id,
				Team: s.Record.Spec.Team, Class: s.Record.Spec.Class, Urgent: s.Record.Spec.Urgent,
				Idempotent: s.Record.Spec.Idempotent, CanCheckpoint: true, Reserved: t.Reserved})
		}
	}
	slices.SortFunc(candidates, func(a, b preemption.Running) int { return compareTaskIDs(a.Task, b.Task) })
	return candidates
}

// preemptTask stops or checkpoints a victim to free its resources for another job.
func (m *Machine) preemptTask(c *cycle, beneficiary *job.State, v preemption.Victim) {
	s := m.jobs[v.Task.Job]
	if s == nil {
		return
	}
	action, kind := port.Checkpoint, DecideCheckpoint
	if v.Action == preemption.Stop {
		action, kind = port.Stop, DecideStop
	}
	m.sendCommand(s, v.Task.Index, action)
	m.beneficiaries[v.Task] = beneficiary.Record.ID
	m.stoppingVictims[beneficiary.Record.ID]++
	m.recordDecision(Decision{Kind: kind, Task: v.Task, Team: s.Record.Spec.Team, Worker: v.Worker,
		Reason: "makes room for " + string(beneficiary.Record.ID) + ": " + v.Reason})
}

// preemptOwnTeam checkpoints tasks of a team at its limit for urgent work of the same team: first its batch tasks,
// latest start first, then whole gangs if those aren't enough.
func (m *Machine) preemptOwnTeam(c *cycle, urgent *job.State) {
	team := urgent.Record.Spec.Team
	need := m.sizes.Reservation(statsKey(urgent), urgent.Record.Spec.Resources)
	lacking := need.Scale(int64(urgent.Count(job.TaskPending))).Sub(m.AllowanceSlack(team)).Sub(m.stoppingResources(team))
	latest := m.runningLatestFirst(team)
	for _, class := range []job.Class{job.Batch, job.Gang} {
		for _, id := range latest {
			s, t := m.jobs[id.Job], m.task(id)
			if s.Record.Spec.Urgent || s.Record.Spec.Class != class || !t.Confirmed || t.Stopping {
				continue
			}
			if lacking.Max(resource.Vector{}).IsZero() || c.victimCount >= maxVictimsPerCycle {
				return
			}
			for _, v := range m.taskOrGangVictims(s, id) {
				lacking = lacking.Sub(m.task(v.Task).Reserved)
				c.victimCount++
				m.preemptTask(c, urgent, v)
			}
		}
	}
}

// taskOrGangVictims returns the task as a victim, or all running tasks if the job is a gang.
func (m *Machine) taskOrGangVictims(s *job.State, id job.TaskID) []preemption.Victim {
	var victims []preemption.Victim
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if t.Phase == job.TaskRunning && !t.Stopping && (int32(i) == id.Index || s.Record.Spec.Class == job.Gang) {
			victims = append(victims, preemption.Victim{Task: job.TaskID{Job: id.Job, Index: int32(i)}, Attempt: t.Attempt, Worker: t.Worker,
				Action: preemption.Checkpoint, Reason: "team " + s.Record.Spec.Team + " is at its limit, and its urgent work comes first"})
		}
	}
	return victims
}

// victimEnded records that a preempted task no longer holds its resources.
func (m *Machine) victimEnded(id job.TaskID) {
	beneficiary, found := m.beneficiaries[id]
	if !found {
		return
	}
	delete(m.beneficiaries, id)
	if m.stoppingVictims[beneficiary]--; m.stoppingVictims[beneficiary] <= 0 {
		delete(m.stoppingVictims, beneficiary)
	}
}

// reduceExcess checkpoints the most recently started tasks of teams that exceed a lowered limit.
func (m *Machine) reduceExcess(c *cycle) {
	over := m.ledger.Excess()
	for _, team := range slices.Sorted(maps.Keys(over)) {
		excess := over[team].Sub(m.stoppingResources(team))
		for _, t := range m.runningLatestFirst(team) {
			if excess.Max(resource.Vector{}).IsZero() {
				break
			}
			s := m.jobs[t.Job]
			task := &s.Tasks[t.Index]
			action := port.Checkpoint
			if s.Record.Spec.Class == job.Service {
				action = port.Drain
			}
			excess = excess.Sub(task.Reserved)
			m.sendCommand(s, t.Index, action)
			m.recordDecision(Decision{Kind: DecideCheckpoint, Task: t, Team: team, Worker: task.Worker, Reason: "team is above its limit"})
		}
	}
}

func (m *Machine) stoppingResources(team string) resource.Vector {
	var sum resource.Vector
	for _, s := range m.queue.teams[team] {
		for i := range s.Tasks {
			if s.Tasks[i].Phase == job.TaskRunning && s.Tasks[i].Stopping {
				sum = sum.Add(s.Tasks[i].Reserved)
			}
		}
	}
	return sum
}

// runningLatestFirst lists a team's running tasks that aren't stopping, most recently started first.
func (m *Machine) runningLatestFirst(team string) []job.TaskID {
	var tasks []job.TaskID
	for _, s := range m.queue.teams[team] {
		for i := range s.Tasks {
			if s.Tasks[i].Phase == job.TaskRunning && !s.Tasks[i].Stopping {
				tasks = append(tasks, job.TaskID{Job: s.Record.ID, Index: int32(i)})
			}
		}
	}
	slices.SortFunc(tasks, func(a, b job.TaskID) int {
		if d := m.task(b).StartedAt.Compare(m.task(a).StartedAt); d != 0 {
			return d
		}
		return compareTaskIDs(a, b)
	})
	return tasks
}

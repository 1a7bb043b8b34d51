package partition

import (
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/preemption"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

const (
	// maxVictimsPerCycle bounds how many tasks are told to make room at once.
	maxVictimsPerCycle = 64
	// shareInterval is the shortest time between two rounds of preemption for the sake of shares. Tasks that end by
	// themselves often restore the shares sooner.
	shareInterval = 500 * time.Millisecond
	// shareGrace is how long work waits before others make room for the sake of shares.
	shareGrace = 2 * time.Second
	// shareMargin keeps two teams that are near their shares from preempting each other in turns.
	shareMargin = 0.05
)

// makeRoom stops tasks of teams above a lowered limit, and for work that is owed a place but found none.
func (m *Machine) makeRoom(c *cycle) {
	m.reduceExcess(c)
	victims := 0
	forShares := c.now.Sub(m.sharedAt) >= shareInterval
	for _, s := range c.starved {
		if victims >= maxVictimsPerCycle {
			return
		}
		if m.makingRoom[s.Record.ID] > 0 || !m.owed(c, s, forShares) {
			continue
		}
		victims += m.preemptFor(c, s)
	}
	if forShares && victims > 0 {
		m.sharedAt = c.now
	}
}

// owed reports whether others have to make room for a job: it is urgent, or its team is below its share.
func (m *Machine) owed(c *cycle, s *job.State, forShares bool) bool {
	if s.Record.Spec.Urgent {
		return true
	}
	return forShares && c.now.Sub(s.Record.Submitted()) >= shareGrace && m.shares.Ratio(s.Record.Spec.Team) < 1-shareMargin
}

// preemptFor chooses victims for the pending tasks of a job: for all tasks of a gang or none, otherwise for as many as
// possible. It returns their number.
func (m *Machine) preemptFor(c *cycle, s *job.State) int {
	indexes := m.startableTasks(s)
	if len(indexes) == 0 {
		return 0
	}
	need := s.Tasks[indexes[0]].Reserved
	if need.IsZero() {
		need = m.sizes.Reservation(sizeKey(s), s.Record.Spec.Resources)
	}
	options := m.preemptionOptions(s)
	candidates := m.preemptible()
	gang := s.Record.Spec.Class == job.Gang
	var chosen []preemption.Victim
	for range min(len(indexes), maxVictimsPerCycle) {
		victims, err := preemption.Victims(need, candidates, options)
		if err != nil {
			if gang {
				return 0
			}
			break
		}
		candidates = takeRoom(need, victims, candidates, options.Free)
		chosen = append(chosen, victims...)
	}
	for _, v := range chosen {
		m.evict(c, s, v)
	}
	return len(chosen)
}

// takeRoom applies a choice to the free resources and the remaining candidates, so that the next choice builds on it.
func takeRoom(need resource.Vector, victims []preemption.Victim, candidates []preemption.Running, free map[string]resource.Vector) []preemption.Running {
	if len(victims) == 0 {
		for w, f := range free {
			if need.Fits(f) {
				free[w] = f.Sub(need)
				break
			}
		}
		return candidates
	}
	taken := map[job.TaskID]bool{}
	for _, v := range victims {
		taken[v.Task] = true
	}
	kept := candidates[:0]
	for _, r := range candidates {
		if taken[r.Task] {
			free[r.Worker] = free[r.Worker].Add(r.Reserved)
			continue
		}
		kept = append(kept, r)
	}
	for _, v := range victims {
		if need.Fits(free[v.Worker]) {
			free[v.Worker] = free[v.Worker].Sub(need)
			break
		}
	}
	return kept
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
		o.OverShare[team] = m.shares.Ratio(team) > 1+shareMargin
	}
	for id, other := range m.jobs {
		if other.Record.Spec.Class == job.Gang {
			o.GangSize[id] = int(other.Count(job.TaskRunning))
		}
	}
	return o
}

// preemptible lists the running tasks that may have to make room. Services are moved by drains only.
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

// evict tells a victim to make room for a job.
func (m *Machine) evict(c *cycle, beneficiary *job.State, v preemption.Victim) {
	s := m.jobs[v.Task.Job]
	if s == nil {
		return
	}
	action, kind := port.Checkpoint, DecideCheckpoint
	if v.Action == preemption.Stop {
		action, kind = port.Stop, DecideStop
	}
	m.sendCommand(s, v.Task.Index, action)
	m.roomFor[v.Task] = beneficiary.Record.ID
	m.makingRoom[beneficiary.Record.ID]++
	m.decide(Decision{Kind: kind, Task: v.Task, Team: s.Record.Spec.Team, Worker: v.Worker,
		Reason: "makes room for " + string(beneficiary.Record.ID) + ": " + v.Reason})
}

// roomMade notes that a victim has ended.
func (m *Machine) roomMade(id job.TaskID) {
	beneficiary, was := m.roomFor[id]
	if !was {
		return
	}
	delete(m.roomFor, id)
	if m.makingRoom[beneficiary]--; m.makingRoom[beneficiary] <= 0 {
		delete(m.makingRoom, beneficiary)
	}
}

// reduceExcess checkpoints the latest tasks of teams that are above a lowered limit.
func (m *Machine) reduceExcess(c *cycle) {
	for team, excess := range m.ledger.Excess() {
		excess = excess.Sub(m.stoppingOf(team))
		for _, t := range m.latest(team) {
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
			m.decide(Decision{Kind: DecideCheckpoint, Task: t, Team: team, Worker: task.Worker, Reason: "team is above its limit"})
		}
	}
}

func (m *Machine) stoppingOf(team string) resource.Vector {
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

// latest lists a team's running tasks that aren't stopping, latest start first.
func (m *Machine) latest(team string) []job.TaskID {
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

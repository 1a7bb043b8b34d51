package partition

import (
	"container/heap"
	"errors"
	"maps"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
)

// maxStartsPerCycle bounds the length of a cycle, so that events are handled between cycles.
const maxStartsPerCycle = 512

// cycle is the state of one scheduling cycle.
type cycle struct {
	now     time.Time
	started int
	// infeasible holds requests that no worker had room for in this cycle. They stay infeasible, because a cycle frees
	// no capacity.
	infeasible    []infeasibleRequest
	blocked       map[job.ID]bool          // jobs that aren't tried again in this cycle
	cursor        map[job.ID]int32         // by job, index from which the next startable task is searched
	nextJob       map[string]int           // by team, index of the first queued job that may still start in this cycle
	needs         map[string]AllowanceNeed // by team
	urgentAtLimit []*job.State             // urgent jobs whose team is at its limit
	victimCount   int                      // tasks preempted in this cycle
	unplaced      []*job.State             // jobs that found no worker with room, in the order in which they were tried
}

// infeasibleRequest is a request that no worker has room for, of a task without workers on which it failed before. A
// request that needs at least as much of every resource fails too.
type infeasibleRequest struct {
	resources      resource.Vector
	pool           string
	avoidsReserved bool
	failure        placementFailure
}

// maxInfeasible bounds the linear search. In a full cell a few small requests cover nearly all work.
const maxInfeasible = 16

// addNeed records the allowance that a job lacks for total, the resources of its pending tasks. unit is what has to fit
// into the slack at once: one task, or a whole gang.
func (c *cycle) addNeed(team string, total, unit, slack resource.Vector) {
	lacking := total.Sub(slack).Max(resource.Vector{})
	n := c.needs[team]
	n.Amount = n.Amount.Add(lacking)
	if unit.Slots <= slack.Slots {
		lacking.Slots = 0
	}
	if unit.MilliCPU <= slack.MilliCPU {
		lacking.MilliCPU = 0
	}
	if unit.MemoryMB <= slack.MemoryMB {
		lacking.MemoryMB = 0
	}
	if unit.Accelerators <= slack.Accelerators {
		lacking.Accelerators = 0
	}
	n.Blocking = n.Blocking.Add(lacking)
	c.needs[team] = n
}

// findInfeasible returns the failure of a recorded request whose failure implies that of the given one, if there is one.
func (c *cycle) findInfeasible(need resource.Vector, pool string, avoidsReserved bool) (placementFailure, bool) {
	for i := range c.infeasible {
		k := &c.infeasible[i]
		if k.resources.Fits(need) && (k.pool == "" || k.pool == pool) && (avoidsReserved || !k.avoidsReserved) {
			return k.failure, true
		}
	}
	return placementFailure{}, false
}

// addInfeasible records an infeasible request. It replaces those that it covers, or the last one if the list is full.
func (c *cycle) addInfeasible(f infeasibleRequest) {
	c.infeasible = slices.DeleteFunc(c.infeasible, func(k infeasibleRequest) bool {
		return f.resources.Fits(k.resources) && f.pool == k.pool && f.avoidsReserved == k.avoidsReserved
	})
	if len(c.infeasible) == maxInfeasible {
		c.infeasible = c.infeasible[:maxInfeasible-1]
	}
	c.infeasible = append(c.infeasible, f)
}

// placementFailure is why a request found no worker.
type placementFailure struct {
	reason string
	never  bool // the request wouldn't fit even if the partition's workers were empty
}

// Cycle runs one scheduling cycle: it accounts for lost workers, starts tasks that may start and fit, and preempts
// others where policy allows it.
func (m *Machine) Cycle(now time.Time) Report {
	m.settle(now)
	m.expireMoves(now)
	m.dropOrphans(now)
	m.reconcileGangs(now)
	m.hasUnmanaged = m.anyUnmanaged()
	m.endProbes(now)
	m.checkpointLeaving()
	m.reconcileServices(now)
	if m.verified {
		m.stopUnmanagedTasks(now)
	}
	c := &cycle{now: now, blocked: map[job.ID]bool{},
		cursor: map[job.ID]int32{}, nextJob: map[string]int{}, needs: map[string]AllowanceNeed{}}
	if m.mayStart {
		clear(m.lacksAllowance)
		m.refreshReservation(c)
		m.startUrgent(c)
		m.startProbes(c)
		m.startByShare(c)
		m.reserveForGang(c)
		m.preempt(c)
	}
	report := Report{Decisions: m.decisions, Ended: m.collectEnded(now)}
	for _, team := range slices.Sorted(maps.Keys(c.needs)) {
		need := c.needs[team]
		need.Team = team
		report.AllowanceNeeds = append(report.AllowanceNeeds, need)
	}
	m.decisions = nil
	return report
}

// startUrgent starts urgent jobs of all teams, oldest first, before shares are considered.
func (m *Machine) startUrgent(c *cycle) {
	for _, s := range m.urgentJobs() {
		for c.started < maxStartsPerCycle && m.startNext(c, s) {
		}
	}
}

func (m *Machine) urgentJobs() []*job.State {
	var urgent []*job.State
	for team := range m.queue.teams {
		for _, s := range m.queue.jobs(team) {
			if !s.Record.Spec.Urgent {
				break
			}
			if m.runnable(s) {
				urgent = append(urgent, s)
			}
		}
	}
	sortJobs(urgent)
	return urgent
}

// scanInterval is the longest time between two cycles that try every waiting job, even if no worker has room for any.
const scanInterval = 500 * time.Millisecond

// startByShare repeatedly starts one task of the team that is furthest below its share. Every scanInterval, and when
// preemption for shares is due, it tries all jobs, also to find those that others may be preempted for. Otherwise it
// returns as soon as no worker has room for the least resources that any job needs.
func (m *Machine) startByShare(c *cycle) {
	scan := c.now.Sub(m.scannedAt) >= scanInterval || c.now.Sub(m.sharePreemptedAt) >= shareInterval
	if scan {
		m.scannedAt = c.now
		m.queue.recomputeMinResources()
	}
	teams := newTeamHeap(&m.queue, m.shares)
	for failures, checkAt := 0, 1; teams.Len() > 0 && c.started < maxStartsPerCycle; {
		team := teams.names[0]
		if m.startNextOfTeam(c, team) {
			teams.ratios[0] = m.shares.Ratio(team)
			heap.Fix(teams, 0)
			continue
		}
		heap.Pop(teams)
		if failures++; !scan && failures == checkAt {
			if _, err := m.cluster.Place(placement.Request{Resources: m.queue.minResources}); err != nil {
				return
			}
			checkAt *= 2
		}
	}
}

// startNextOfTeam starts the first task of the team that can start. A job that can't start is not tried again in the
// cycle.
func (m *Machine) startNextOfTeam(c *cycle, team string) bool {
	jobs := m.queue.jobs(team)
	for i := c.nextJob[team]; i < len(jobs); i++ {
		if s := jobs[i]; !c.blocked[s.Record.ID] && m.runnable(s) && m.startNext(c, s) {
			c.nextJob[team] = i
			return true
		}
	}
	c.nextJob[team] = len(jobs)
	return false
}

func (m *Machine) runnable(s *job.State) bool {
	return s.Count(job.TaskPending) > 0 && !s.Record.CancelRequested && !m.isObsoleteService(s.Record.ID) && m.moving[s.Record.ID] == nil
}

// startNext starts the next task of a job, or all tasks of a gang. If nothing of the job can start in this cycle, it
// records the reason and returns false.
func (m *Machine) startNext(c *cycle, s *job.State) bool {
	if c.blocked[s.Record.ID] {
		return false
	}
	if s.Record.Spec.Class == job.Gang {
		return m.startGang(c, s)
	}
	index := m.nextStartable(s, c.cursor[s.Record.ID])
	if index < 0 {
		c.blocked[s.Record.ID] = true
		if s.Count(job.TaskPending) > 0 && !m.settled {
			m.waitReasons[s.Record.ID] = "workers of the partition have not all reported yet"
		}
		return false
	}
	if reason, ok := m.startTask(c, s, index); !ok {
		c.blocked[s.Record.ID] = true
		m.waitReasons[s.Record.ID] = reason
		return false
	}
	c.cursor[s.Record.ID] = index + 1
	return true
}

// nextStartable returns the index of the next pending task that may start, or -1. Before the partition is settled, only
// tasks whose last attempt has certainly ended may start.
func (m *Machine) nextStartable(s *job.State, from int32) int32 {
	for i := s.NextPending(from); i >= 0; i = s.NextPending(i + 1) {
		id := job.TaskID{Job: s.Record.ID, Index: i}
		if _, intended := m.progress.intents[id]; !intended && (m.settled || m.endConfirmed(id)) && !m.requeued[id].uncertain && !m.isUnmanaged(id) {
			return i
		}
	}
	return -1
}

// startTask places one task. It returns the reason if the task can't start.
func (m *Machine) startTask(c *cycle, s *job.State, index int32) (reason string, ok bool) {
	t := &s.Tasks[index]
	spec := &s.Record.Spec
	t.Reserved = m.sizes.Reservation(statsKey(s), spec.Resources)
	if slack := m.AllowanceSlack(spec.Team); !t.Reserved.Fits(slack) {
		c.addNeed(spec.Team, t.Reserved.Scale(int64(s.Count(job.TaskPending))), t.Reserved, slack)
		if spec.Urgent {
			c.urgentAtLimit = append(c.urgentAtLimit, s)
			m.lacksAllowance[spec.Team] = true
		}
		return "team " + spec.Team + " is at its limit", false
	}
	r := m.request(s, t)
	avoidReserved := m.mustAvoidReserved(c, s)
	if len(t.FailedOn) == 0 {
		if failure, known := c.findInfeasible(t.Reserved, spec.Pool, avoidReserved); known {
			if failure.never = failure.never || m.cluster.MaxTasksWhenEmpty(r) == 0; !failure.never {
				c.unplaced = append(c.unplaced, s)
			}
			return failure.reason, false
		}
	}
	r.Avoid = m.workersToAvoid(s, t, avoidReserved)
	d, err := m.cluster.Place(r)
	if err != nil {
		return m.placementFailed(c, s, t, avoidReserved, err), false
	}
	return m.assign(c, s, index, d, r)
}

func (m *Machine) placementFailed(c *cycle, s *job.State, t *job.Task, avoidReserved bool, err error) string {
	failure := placementFailure{reason: err.Error()}
	var unplaceable *placement.UnplaceableError
	if errors.As(err, &unplaceable) {
		failure.never = unplaceable.Never
	}
	if len(t.FailedOn) == 0 {
		c.addInfeasible(infeasibleRequest{t.Reserved, s.Record.Spec.Pool, avoidReserved, failure})
	}
	if !failure.never {
		c.unplaced = append(c.unplaced, s)
	}
	return failure.reason
}

// workersToAvoid returns the workers that a task must not use: those on which it failed and, if avoidReserved is set,
// those reserved for a gang, which the task would delay.
func (m *Machine) workersToAvoid(s *job.State, t *job.Task, avoidReserved bool) map[string]bool {
	if len(t.FailedOn) == 0 {
		if avoidReserved {
			return m.reservation.workers
		}
		return nil
	}
	avoid := map[string]bool{}
	for _, w := range t.FailedOn {
		avoid[w] = true
	}
	if avoidReserved {
		for w := range m.reservation.workers {
			avoid[w] = true
		}
	}
	return avoid
}

// assign books a task on the worker that placement chose. It sends the start at once for idempotent tasks and service
// instances; for other tasks the intent is written to the store first.
func (m *Machine) assign(c *cycle, s *job.State, index int32, d placement.Decision, r placement.Request) (string, bool) {
	t := &s.Tasks[index]
	spec := &s.Record.Spec
	id := job.TaskID{Job: s.Record.ID, Index: index}
	if err := m.ledger.Reserve(spec.Team, t.Reserved); err != nil {
		var limit *quota.LimitError
		m.options.Invariant("team_limit", errors.As(err, &limit), "task", id.String(), "error", err)
		return err.Error(), false
	}
	if err := m.cluster.Reserve(d.Worker, r); err != nil {
		m.ledger.Release(spec.Team, t.Reserved)
		m.options.Invariant("host_capacity", false, "task", id.String(), "error", err)
		return err.Error(), false
	}
	m.shares.AddLocal(spec.Team, t.Reserved)
	t.Worker, t.StartedAt = d.Worker, c.now
	t.Attempt = max(t.Attempt, t.HighestAttempt) + 1
	m.workers[d.Worker].tasks[id] = &booking{attempt: t.Attempt, reserved: true}
	waited := m.waited(s, id, c.now)
	m.recordDecision(Decision{Kind: DecideStart, Task: id, Team: spec.Team, Worker: d.Worker, Reason: d.Reason, Score: d.Score,
		Considered: d.Considered, Waited: waited})
	c.started++
	delete(m.waitReasons, s.Record.ID)
	m.markStarted(s, c.now)
	if spec.Idempotent || spec.Class == job.Service {
		m.sendStart(s, index, c.now)
		return "", true
	}
	m.setPhase(s, index, job.TaskIntended)
	m.progress.urgent = true
	return "", true
}

func (m *Machine) waited(s *job.State, id job.TaskID, now time.Time) time.Duration {
	if r, known := m.requeued[id]; known {
		return now.Sub(r.at)
	}
	return now.Sub(s.Record.Submitted())
}

// statsKey returns the key under which the measured sizes and run times of a job's tasks are kept, and by which the
// health tracker identifies work of the same kind.
func statsKey(s *job.State) string {
	if s.Record.Spec.Service != "" {
		return "service/" + s.Record.Spec.Service
	}
	return "queue/" + s.Record.Spec.Queue + "/" + s.Record.Spec.Name
}

func declaredDuration(s *job.State) time.Duration {
	return time.Duration(s.Record.Spec.DurationMS) * time.Millisecond
}

package partition

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

func slots(n int64) resource.Vector {
	return resource.Vector{Slots: n, MilliCPU: 100 * n, MemoryMB: 100 * n}
}

// harness is a machine with workers of 4 slots that carry out commands at once.
type harness struct {
	*Machine
	now time.Time
}

func newHarness(workers int, weights map[string]float64) *harness {
	b := &harness{New(Options{Partition: "b", Timing: DefaultTiming()}, epoch), epoch}
	c := Config{Policy: placement.Policy{Packing: 1, Share: 1, Waiting: 1}, Teams: map[string]Team{}}
	for team, w := range weights {
		c.Teams[team] = Team{Weight: w}
		b.SetAllowance(team, quota.Unlimited)
	}
	b.SetConfig(c, epoch)
	var hosts []port.Host
	for i := range workers {
		hosts = append(hosts, port.Host{ID: fmt.Sprint("w", i)})
	}
	b.SetHosts(hosts, epoch)
	b.LoadProgress(Progress{}, 0)
	b.JobsLoaded()
	for _, h := range hosts {
		b.Acquired(h.ID, port.Inventory{Token: 1, Capacity: slots(4)}, epoch, epoch)
	}
	b.StateVerified()
	b.settle(epoch)
	b.SetCellCapacity(slots(int64(4 * workers)))
	return b
}

func (b *harness) add(id, team string, tasks int32, change func(*job.Spec)) {
	spec := job.Spec{Team: team, Class: job.Batch, Tasks: tasks, Resources: slots(1), Idempotent: true, DurationMS: 3_600_000}
	if change != nil {
		change(&spec)
	}
	b.SetJob(job.Record{ID: job.ID(id), Spec: spec, SubmittedMS: b.now.UnixMilli(), Phase: job.Pending}, b.now)
}

// advance runs cycles for the given time. Workers confirm starts, and checkpoint tasks at any command.
func (b *harness) advance(d time.Duration) (decisions []Decision) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(100 * time.Millisecond) {
		decisions = append(decisions, b.Cycle(b.now).Decisions...)
		for _, id := range b.workerIDs() {
			sent, ok := b.TakeBatch(id, b.now)
			if !ok {
				continue
			}
			var r port.SyncResult
			for i, c := range sent.Commands {
				r.Events = append(r.Events, port.TaskEvent{Sequence: sent.SeenThrough + uint64(i) + 1, Record: port.TaskRecord{
					Task: c.Task, Attempt: c.Attempt, State: port.TaskCheckpointed, Checkpoint: []byte("c")}})
			}
			b.Synced(id, sent, r, b.now, b.now)
		}
	}
	return decisions
}

func (b *harness) running(id string) int32 {
	s, _ := b.Status(job.ID(id))
	return s.Running
}

func countOf(decisions []Decision, kind DecisionKind) (n int) {
	for _, d := range decisions {
		if d.Kind == kind {
			n++
		}
	}
	return n
}

// TestPreemptionForShares guards against preemption that is too early, takes more than the share, alternates between
// teams, or stops tasks that could be checkpointed.
func TestPreemptionForShares(t *testing.T) {
	for _, test := range []struct {
		weight float64 // of the team whose job is submitted later
		want   int32   // running tasks, of 16 slots
	}{{1, 8}, {3, 12}, {1.0 / 15, 1}} {
		b := newHarness(4, map[string]float64{"early": 1, "late": test.weight})
		b.add("e", "early", 40, nil)
		b.advance(time.Second)
		b.add("l", "late", 40, nil)
		assert.Equal(t, countOf(b.advance(time.Second), DecideCheckpoint), 0, "preempted before shareGrace")
		decisions := b.advance(time.Minute)
		assert.Assert(t, b.running("l") <= test.want && b.running("l") >= test.want-1, "%d of %d tasks run", b.running("l"), test.want)
		assert.Equal(t, countOf(decisions, DecideCheckpoint), int(b.running("l")), "weight %v", test.weight)
		assert.Equal(t, countOf(decisions, DecideStop), 0)
	}
}

// TestUrgentWork guards against urgent work that waits for batch work, for shares, or for tasks of its own team at the
// limit, and against preempting other teams because of a team's limit.
func TestUrgentWork(t *testing.T) {
	urgent := func(s *job.Spec) { s.Urgent = true }
	for _, test := range []struct {
		name      string
		allowance resource.Vector
		own       int32 // batch tasks of the urgent job's team
		victims   string
	}{
		{"full cell", quota.Unlimited, 0, "a"},
		{"at the limit", slots(8), 8, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(4, map[string]float64{"a": 1, "b": 1})
			b.SetAllowance("b", test.allowance)
			if test.own > 0 {
				b.add("own", "b", test.own, nil)
			}
			b.add("other", "a", 16-test.own, nil)
			b.advance(time.Second)
			b.add("u", "b", 3, urgent)
			decisions := b.advance(1500 * time.Millisecond)
			assert.Equal(t, b.running("u"), int32(3))
			assert.Equal(t, countOf(decisions, DecideCheckpoint), 3)
			for _, d := range decisions {
				assert.Assert(t, d.Kind != DecideCheckpoint || d.Team == test.victims, "%+v", d)
			}
		})
	}
}

// TestGangReservation guards against gangs that starve behind small jobs, and against reservations that exclude work
// which ends before the gang can start.
func TestGangReservation(t *testing.T) {
	b := newHarness(2, map[string]float64{"a": 1, "b": 1})
	b.add("long", "a", 6, func(s *job.Spec) { s.DurationMS = 60_000 })
	b.advance(time.Second)
	b.add("gang", "b", 8, func(s *job.Spec) { s.Class = job.Gang })
	b.advance(time.Second)
	assert.Equal(t, b.reservation.job, job.ID("gang"))
	b.add("late", "b", 5, nil)
	b.add("short", "b", 2, func(s *job.Spec) { s.DurationMS = 1000 })
	b.advance(time.Second)
	assert.Equal(t, b.running("late"), int32(0), "a long task was placed on a reserved worker")
	assert.Equal(t, b.running("short"), int32(2), "a short task was kept from a reserved worker")
	b.RemoveJob("long")
	b.RemoveJob("short")
	b.advance(time.Second)
	assert.Equal(t, b.running("gang"), int32(8))
	assert.Equal(t, b.running("late"), int32(0))
}

// TestJobOrder guards against a wrong order within a team: urgent jobs, services, deadline, submission, ID.
func TestJobOrder(t *testing.T) {
	ordered := []job.Record{
		{ID: "z", SubmittedMS: 9, Spec: job.Spec{Urgent: true, Class: job.Batch}},
		{ID: "y", SubmittedMS: 8, Spec: job.Spec{Class: job.Service}},
		{ID: "x", SubmittedMS: 7, Spec: job.Spec{Class: job.Batch, DeadlineMS: 5}},
		{ID: "w", SubmittedMS: 1, Spec: job.Spec{Class: job.Batch, DeadlineMS: 6}},
		{ID: "v", SubmittedMS: 2, Spec: job.Spec{Class: job.Batch}},
		{ID: "a", SubmittedMS: 3, Spec: job.Spec{Class: job.Batch}},
		{ID: "b", SubmittedMS: 3, Spec: job.Spec{Class: job.Batch}},
	}
	for i := range ordered[1:] {
		assert.Assert(t, compareJobs(job.NewState(ordered[i]), job.NewState(ordered[i+1])) < 0, "%s before %s", ordered[i].ID, ordered[i+1].ID)
	}
}

// TestInfeasibleRequests guards against work that isn't tried although it might fit: smaller requests, requests for
// other pools, and work that may use reserved workers.
func TestInfeasibleRequests(t *testing.T) {
	c := &cycle{}
	c.addInfeasible(infeasibleRequest{resources: slots(2), pool: "p", avoidsReserved: true})
	for _, test := range []struct {
		need     int64
		pool     string
		backfill bool
		covered  bool
	}{{2, "p", true, true}, {3, "p", true, true}, {1, "p", true, false}, {2, "", true, false}, {2, "p", false, false}} {
		_, covered := c.findInfeasible(slots(test.need), test.pool, test.backfill)
		assert.Equal(t, covered, test.covered, "%+v", test)
	}
	c.addInfeasible(infeasibleRequest{resources: slots(1), pool: "p", avoidsReserved: true})
	assert.Equal(t, len(c.infeasible), 1, "a covered request was kept")
}

// TestSpare guards against allowance that is kept unused, given away although it is needed, or passed back and forth.
func TestSpare(t *testing.T) {
	for _, test := range []struct {
		name      string
		allowance resource.Vector
		backlog   int32
		short     bool
		to        string
		want      resource.Vector
	}{
		{"nothing waits", slots(8), 0, false, "c", slots(6)},
		{"the backlog needs some", slots(8), 3, false, "c", slots(5)},
		{"the backlog lacks a resource", resource.Vector{MilliCPU: 800, MemoryMB: 800}, 3, false, "c", resource.Vector{MilliCPU: 600, MemoryMB: 600}},
		{"a gang waits for allowance here", slots(8), 3, true, "c", resource.Vector{}},
		{"a gang waits for allowance there and here", slots(8), 3, true, "a", slots(6)},
	} {
		b := newHarness(2, map[string]float64{"t": 1})
		b.SetAllowance("t", test.allowance)
		if test.backlog > 0 {
			b.add("j", "t", test.backlog, nil)
		}
		b.lacksAllowance["t"] = test.short
		assert.Equal(t, b.SpareAllowance("t", slots(6), test.to), test.want, test.name)
	}
}

// TestAllowanceNeeds guards against work that waits for allowance that nobody requests, and against moves of allowance
// that a partition can't use because it lacks another resource.
func TestAllowanceNeeds(t *testing.T) {
	gang := func(s *job.Spec) { s.Class = job.Gang }
	wide := func(s *job.Spec) { s.Resources = slots(4) }
	for _, test := range []struct {
		name      string
		allowance resource.Vector
		tasks     int32
		change    func(*job.Spec)
		blocking  resource.Vector
	}{
		{"a gang lacks less than the slack", slots(16), 22, gang, slots(6)},
		{"a gang lacks more than the slack", slots(8), 22, gang, slots(14)},
		{"a gang lacks slots only", resource.Vector{Slots: 16, MilliCPU: 2200, MemoryMB: 2200}, 22, gang, resource.Vector{Slots: 6}},
		{"a task lacks less than the slack", slots(3), 1, wide, slots(1)},
		{"there is no slack", resource.Vector{}, 5, nil, slots(5)},
		{"there is room for tasks in all but the slots", resource.Vector{MilliCPU: 400, MemoryMB: 1 << 40}, 59, nil, resource.Vector{Slots: 59}},
	} {
		b := newHarness(8, map[string]float64{"t": 1})
		b.SetAllowance("t", test.allowance)
		b.add("j", "t", test.tasks, test.change)
		needs := b.Cycle(b.now).AllowanceNeeds
		assert.Equal(t, len(needs), 1, test.name)
		assert.Equal(t, needs[0].Blocking, test.blocking, test.name)
		assert.Assert(t, test.blocking.Fits(needs[0].Amount), test.name)
		b.SetAllowance("t", test.allowance.Add(test.blocking))
		b.advance(time.Second)
		assert.Assert(t, b.running("j") > 0, test.name)
	}
	b := newHarness(8, map[string]float64{"t": 1})
	b.SetAllowance("t", slots(22))
	b.add("j", "t", 22, gang)
	assert.Equal(t, len(b.Cycle(b.now).AllowanceNeeds), 0, "the slack covers the gang")
}

// TestPartitionWithRoom guards against moves to partitions without room, and against leaving capacity unused because of
// a backlog that can't use it.
func TestPartitionWithRoom(t *testing.T) {
	summary := func(name string, free, backlog int64, settled bool) membership.Summary {
		return membership.Summary{Partition: name, Capacity: slots(100), Free: slots(free), Settled: settled,
			Teams: []membership.TeamUsage{{Backlog: slots(backlog)}}}
	}
	for _, test := range []struct {
		remote []membership.Summary
		tasks  int32
		class  job.Class
		want   string
	}{
		{[]membership.Summary{summary("a", 3, 0, true), summary("b", 5, 0, true)}, 9, job.Batch, "b"},
		{[]membership.Summary{summary("a", 3, 1, true), summary("b", 90, 0, false)}, 9, job.Batch, ""},
		{[]membership.Summary{summary("a", 30, 9, true)}, 9, job.Batch, "a"},
		{[]membership.Summary{summary("a", 8, 0, true)}, 9, job.Gang, ""},
		{[]membership.Summary{summary("a", 9, 0, true)}, 9, job.Gang, "a"},
	} {
		assert.Equal(t, partitionWithRoom(test.remote, job.Spec{Class: test.class, Tasks: test.tasks, Resources: slots(1)}), test.want)
	}
}

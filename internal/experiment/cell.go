package experiment

import (
	"slices"
	"sort"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// Time constants of the simulated control plane, in virtual time.
const (
	// step is the resolution of virtual time.
	step = 100 * time.Millisecond
	// maxCycleInterval is the longest time between two scheduling cycles of a partition without events.
	maxCycleInterval = 500 * time.Millisecond
	// gossipDelay is how long a partition's summary takes to reach the other partitions.
	gossipDelay = time.Second
	// rebalanceInterval is how often a partition looks for jobs to move to another partition.
	rebalanceInterval = 2 * time.Second
	// writeDelay is how long a write to the store takes, retries included, until all nodes have observed it.
	writeDelay = 200 * time.Millisecond
	// renewInterval is how often the lease of a worker is renewed.
	renewInterval = time.Second
	// progressInterval is how often a partition writes its progress document unless a write is urgent.
	progressInterval = 2 * time.Second
)

// scheduler is the scheduler under measurement. It receives each job when it is submitted, and starts tasks on
// the fleet.
type scheduler interface {
	submit(j *Job, now time.Time)
	step(now time.Time)
}

// cell is a scheduler made of partition state machines, which exchange summaries and allowances as nodes do.
type cell struct {
	fleet      *fleet
	index      *object.Index
	partitions []*owner // sorted by name
	delayed    []delayedAction
	violations []string // violated invariants
	moves      int
	decisions  map[partition.DecisionKind]int
	allowances map[string]quota.Record
	teamOf     map[job.ID]string // of services
}

// owner simulates the node that owns a partition: the partition's state machine and the state that a node keeps for it.
type owner struct {
	name              string
	machine           *partition.Machine
	workers           []*fakeWorker
	lastCycleAt       time.Time
	rebalancedAt      time.Time
	progressWrittenAt time.Time
	hasEvents         bool
	responses         []syncResponse
	summary           membership.Summary
}

// syncResponse is a worker's response that the owner applies in the next step.
type syncResponse struct {
	worker string
	sent   port.Sync
	at     time.Time
	result port.SyncResult
}

// delayedAction is an action that takes effect at a later time.
type delayedAction struct {
	at time.Time
	do func(now time.Time)
}

// newCell returns a cell with a partition for each zone, or with a single one.
func newCell(set object.Set, index *object.Index, f *fleet, single bool) *cell {
	c := &cell{fleet: f, index: index, decisions: map[partition.DecisionKind]int{}, allowances: map[string]quota.Record{},
		teamOf: map[job.ID]string{}}
	byName := map[string][]*fakeWorker{}
	for _, w := range f.workers {
		name := w.host.Zone + "/0"
		if single {
			name = "cell/0"
		}
		byName[name] = append(byName[name], w)
	}
	var names []string
	for name := range byName {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, team := range index.Teams() {
		if t, _ := index.Team(team); t.Limited {
			c.allowances[team] = quota.Initial(team, t.Limit, names)
		}
	}
	for _, name := range names {
		c.partitions = append(c.partitions, c.newOwner(set, name, names, byName[name]))
	}
	c.gossipSummaries(epoch)
	return c
}

func (c *cell) newOwner(set object.Set, name string, names []string, workers []*fakeWorker) *owner {
	invariant := func(what string, ok bool, _ ...any) bool {
		if !ok {
			c.violations = append(c.violations, what)
		}
		return ok
	}
	o := &owner{name: name, workers: workers, machine: partition.New(partition.Options{Partition: name, Node: "node",
		Timing: partition.DefaultTiming(), Invariant: invariant}, epoch)}
	m := o.machine
	var hosts []port.Host
	for _, w := range workers {
		hosts = append(hosts, w.host)
	}
	m.SetConfig(partition.NewConfig(c.index, set, name, names), epoch)
	m.SetHosts(hosts, epoch)
	m.LoadProgress(partition.Progress{}, 0)
	m.JobsLoaded()
	for _, w := range workers {
		m.Acquired(w.host.ID, w.inventory(), epoch, epoch)
	}
	m.StateVerified()
	c.applyAllowances(o)
	m.SetCellCapacity(c.capacity())
	return o
}

func (c *cell) capacity() resource.Vector {
	return workerCapacity.Scale(int64(len(c.fleet.workers)))
}

func (c *cell) submit(j *Job, now time.Time) {
	r := j.Record
	var summaries []membership.Summary
	for _, o := range c.partitions {
		summaries = append(summaries, o.summary)
	}
	r.Partition = partition.ChoosePartition(summaries, r.Spec)
	if r.Spec.Class == job.Batch {
		if parts := partition.DivideJob(summaries, r.Partition, r.Spec); len(parts) > 1 {
			r.Partition, r.Parts = "", parts
		}
	}
	for _, part := range r.PartRecords() {
		c.fleet.partOffsets[part.ID] = partOffset{j, part.Spec.FirstIndex}
		c.owner(part.Partition).setJob(part, now)
	}
}

func (o *owner) setJob(r job.Record, now time.Time) {
	o.machine.SetJob(r, now)
	o.hasEvents = true
}

func (c *cell) owner(name string) *owner {
	at, _ := slices.BinarySearchFunc(c.partitions, name, func(o *owner, name string) int { return compareStrings(o.name, name) })
	return c.partitions[at]
}

func (c *cell) runAfter(now time.Time, d time.Duration, do func(now time.Time)) {
	c.delayed = append(c.delayed, delayedAction{now.Add(d), do})
}

func (c *cell) step(now time.Time) {
	due := c.delayed
	c.delayed = nil
	for _, d := range due {
		if d.at.After(now) {
			c.delayed = append(c.delayed, d)
			continue
		}
		d.do(now)
	}
	for _, o := range c.partitions {
		o.applyResponses(now)
		if o.hasEvents || now.Sub(o.lastCycleAt) >= maxCycleInterval {
			c.cycle(o, now)
		}
		o.syncWorkers(c.fleet, now)
	}
	// Partitions gossip their summaries every 500 ms.
	if now.Sub(epoch)%(500*time.Millisecond) == 0 {
		c.gossipSummaries(now)
	}
}

// applyResponses applies the workers' responses of the previous step.
func (o *owner) applyResponses(now time.Time) {
	for _, a := range o.responses {
		r := &a.result
		o.hasEvents = o.hasEvents || len(a.sent.Starts)+len(r.Events)+len(r.Usage)+len(r.Refusals) > 0
		o.machine.Synced(a.worker, a.sent, a.result, a.at, now)
	}
	o.responses = o.responses[:0]
}

// syncWorkers sends batches to the workers that have pending work or unreported events, and renews the leases of the
// others.
func (o *owner) syncWorkers(f *fleet, now time.Time) {
	for _, w := range o.workers {
		if !o.machine.HasPendingBatch(w.host.ID) && w.reportedSequence == w.lastSequence && now.Sub(w.syncedAt) < renewInterval {
			continue
		}
		sent, ok := o.machine.TakeBatch(w.host.ID, now)
		if !ok {
			continue
		}
		w.syncedAt = now
		o.responses = append(o.responses, syncResponse{w.host.ID, sent, now, f.applyBatch(w, sent, now)})
	}
}

func (c *cell) cycle(o *owner, now time.Time) {
	o.lastCycleAt, o.hasEvents = now, false
	report := o.machine.Cycle(now)
	for _, d := range report.Decisions {
		c.decisions[d.Kind]++
		if d.Kind == partition.DecideStart {
			c.teamOf[d.Task.Job] = d.Team
		}
	}
	for _, r := range report.Ended {
		c.runAfter(now, writeDelay, func(now time.Time) { o.setJob(r, now) })
	}
	for _, need := range report.AllowanceNeeds {
		c.moveAllowance(o, need, now)
	}
	if now.Sub(o.progressWrittenAt) >= progressInterval || o.machine.ProgressUrgent() {
		o.progressWrittenAt = now
		if _, _, ok := o.machine.BuildProgress(); ok {
			c.runAfter(now, writeDelay, func(now time.Time) { o.machine.ProgressWritten(1, now) })
		}
	}
	if now.Sub(o.rebalancedAt) >= rebalanceInterval {
		o.rebalancedAt = now
		c.rebalance(o, now)
	}
}

// gossipSummaries delivers each partition's summary to the others after gossipDelay.
func (c *cell) gossipSummaries(now time.Time) {
	for _, o := range c.partitions {
		s := o.machine.Summary()
		if now.Equal(epoch) {
			o.summary = s
			continue
		}
		c.runAfter(now, gossipDelay, func(time.Time) { o.summary = s; c.applyRemoteUsage(o) })
	}
}

// applyRemoteUsage updates the remote usage at the other partitions after a partition's summary has changed.
func (c *cell) applyRemoteUsage(changed *owner) {
	for _, o := range c.partitions {
		if o == changed {
			continue
		}
		usage := map[string]resource.Vector{}
		for _, s := range c.remoteSummaries(o) {
			for _, t := range s.Teams {
				usage[t.Team] = usage[t.Team].Add(t.Running)
			}
		}
		for _, team := range c.index.Teams() {
			o.machine.SetRemoteUsage(team, usage[team])
		}
	}
}

func (c *cell) remoteSummaries(o *owner) []membership.Summary {
	var summaries []membership.Summary
	for _, other := range c.partitions {
		if other != o {
			summaries = append(summaries, other.summary)
		}
	}
	return summaries
}

func (c *cell) rebalance(o *owner, now time.Time) {
	for _, m := range o.machine.Moves(c.remoteSummaries(o), now) {
		c.moves++
		c.runAfter(now, writeDelay, func(now time.Time) {
			o.machine.RemoveJob(m.Record.ID)
			r := m.Record
			r.Partition = m.To
			c.owner(m.To).setJob(r, now)
		})
	}
}

// moveAllowance moves allowance to a partition from the others, one donor after another, until the need is met. Donors
// give it up immediately; the receiver gets it after writeDelay.
func (c *cell) moveAllowance(o *owner, need partition.AllowanceNeed, now time.Time) {
	r, limited := c.allowances[need.Team]
	if !limited {
		return
	}
	wanted := need.Amount
	for _, donor := range c.partitions {
		if donor == o || wanted.IsZero() {
			continue
		}
		amount := donor.machine.SpareAllowance(need.Team, wanted, o.name)
		if amount.IsZero() {
			continue
		}
		moved, err := r.Move(donor.name, o.name, amount)
		if err != nil {
			c.violations = append(c.violations, err.Error())
			return
		}
		r, wanted = moved, wanted.Sub(amount)
		c.allowances[need.Team] = r
		c.applyAllowances(donor)
	}
	if wanted != need.Amount {
		c.runAfter(now, writeDelay, func(time.Time) { c.applyAllowances(o); o.hasEvents = true })
	}
}

func (c *cell) applyAllowances(o *owner) {
	for _, team := range c.index.Teams() {
		v := quota.Unlimited
		if t, _ := c.index.Team(team); t.Limited {
			v = c.allowances[team].Effective(t.Limit, o.name)
		}
		o.machine.SetAllowance(team, v)
	}
}

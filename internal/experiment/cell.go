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

// Times of a cell's control plane in virtual time.
const (
	step = 100 * time.Millisecond
	// cycleAtLeast is the longest time between two cycles of a partition without events.
	cycleAtLeast = 500 * time.Millisecond
	// gossipDelay is the age of what partitions know of one another.
	gossipDelay = time.Second
	// tidyInterval is how often a partition looks for jobs that another one could run.
	tidyInterval = 2 * time.Second
	// writeDelay is how long a write to the store takes with its retries, until all nodes have seen it.
	writeDelay = 200 * time.Millisecond
	// renewInterval is how often the lease of a worker is renewed.
	renewInterval = time.Second
	// progressInterval is how often a partition writes its progress if nothing waits for the write.
	progressInterval = 2 * time.Second
)

// scheduler is what is measured. It learns of jobs as they are submitted, and starts tasks on the fleet.
type scheduler interface {
	submit(j *Job, now time.Time)
	step(now time.Time)
}

// cell schedules with partition machines that see one another as nodes do.
type cell struct {
	fleet      *fleet
	index      *object.Index
	partitions []*owner // sorted by name
	later      []delayed
	faults     []string // violated invariants
	moves      int
	decisions  map[partition.DecisionKind]int
	allowances map[string]quota.Record
	teamOf     map[job.ID]string // of services
}

// owner is a partition's machine with what a node keeps around it.
type owner struct {
	name      string
	machine   *partition.Machine
	workers   []*fakeWorker
	cycledAt  time.Time
	tidiedAt  time.Time
	writtenAt time.Time
	events    bool
	answers   []answer
	summary   membership.Summary
}

// answer is a worker's answer that is on its way.
type answer struct {
	worker string
	sent   port.Sync
	at     time.Time
	result port.SyncResult
}

// delayed is something that takes effect at a later time.
type delayed struct {
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
	c.gossip(epoch)
	return c
}

func (c *cell) newOwner(set object.Set, name string, names []string, workers []*fakeWorker) *owner {
	invariant := func(what string, ok bool, _ ...any) bool {
		if !ok {
			c.faults = append(c.faults, what)
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
	r.Partition = partition.Choose(summaries, r.Spec)
	if r.Spec.Class == job.Batch {
		if parts := partition.Divide(summaries, r.Partition, r.Spec); len(parts) > 1 {
			r.Partition, r.Parts = "", parts
		}
	}
	for _, run := range r.Runs() {
		c.fleet.runs[run.ID] = task{j, run.Spec.FirstIndex}
		c.owner(run.Partition).set(run, now)
	}
}

func (o *owner) set(r job.Record, now time.Time) {
	o.machine.SetJob(r, now)
	o.events = true
}

func (c *cell) owner(name string) *owner {
	at, _ := slices.BinarySearchFunc(c.partitions, name, func(o *owner, name string) int { return compareStrings(o.name, name) })
	return c.partitions[at]
}

func (c *cell) after(now time.Time, d time.Duration, do func(now time.Time)) {
	c.later = append(c.later, delayed{now.Add(d), do})
}

func (c *cell) step(now time.Time) {
	due := c.later
	c.later = nil
	for _, d := range due {
		if d.at.After(now) {
			c.later = append(c.later, d)
			continue
		}
		d.do(now)
	}
	for _, o := range c.partitions {
		o.receive(now)
		if o.events || now.Sub(o.cycledAt) >= cycleAtLeast {
			c.cycle(o, now)
		}
		o.exchange(c.fleet, now)
	}
	if now.Sub(epoch)%(500*time.Millisecond) == 0 {
		c.gossip(now)
	}
}

// receive applies the answers of the last step.
func (o *owner) receive(now time.Time) {
	for _, a := range o.answers {
		r := &a.result
		o.events = o.events || len(a.sent.Starts)+len(r.Events)+len(r.Usage)+len(r.Refusals) > 0
		o.machine.Synced(a.worker, a.sent, a.result, a.at, now)
	}
	o.answers = o.answers[:0]
}

// exchange hands batches to the workers that have something to say or to do, and renews the leases of the others.
func (o *owner) exchange(f *fleet, now time.Time) {
	for _, w := range o.workers {
		if !o.machine.HasWork(w.host.ID) && w.reported == w.sequence && now.Sub(w.syncedAt) < renewInterval {
			continue
		}
		sent, ok := o.machine.TakeBatch(w.host.ID, now)
		if !ok {
			continue
		}
		w.syncedAt = now
		o.answers = append(o.answers, answer{w.host.ID, sent, now, f.sync(w, sent, now)})
	}
}

func (c *cell) cycle(o *owner, now time.Time) {
	o.cycledAt, o.events = now, false
	report := o.machine.Cycle(now)
	for _, d := range report.Decisions {
		c.decisions[d.Kind]++
		if d.Kind == partition.DecideStart {
			c.teamOf[d.Task.Job] = d.Team
		}
	}
	for _, r := range report.Ended {
		c.after(now, writeDelay, func(now time.Time) { o.set(r, now) })
	}
	for _, need := range report.Needs {
		c.obtain(o, need, now)
	}
	if now.Sub(o.writtenAt) >= progressInterval || o.machine.ProgressUrgent() {
		o.writtenAt = now
		if _, _, ok := o.machine.BuildProgress(); ok {
			c.after(now, writeDelay, func(now time.Time) { o.machine.ProgressWritten(1, now) })
		}
	}
	if now.Sub(o.tidiedAt) >= tidyInterval {
		o.tidiedAt = now
		c.rebalance(o, now)
	}
}

// gossip lets each partition's summary reach the others after the delay.
func (c *cell) gossip(now time.Time) {
	for _, o := range c.partitions {
		s := o.machine.Summary()
		if now.Equal(epoch) {
			o.summary = s
			continue
		}
		c.after(now, gossipDelay, func(time.Time) { o.summary = s; c.applyRemote(o) })
	}
}

// applyRemote passes on a partition's new summary to the others.
func (c *cell) applyRemote(changed *owner) {
	for _, o := range c.partitions {
		if o == changed {
			continue
		}
		usage := map[string]resource.Vector{}
		for _, s := range c.remote(o) {
			for _, t := range s.Teams {
				usage[t.Team] = usage[t.Team].Add(t.Running)
			}
		}
		for _, team := range c.index.Teams() {
			o.machine.SetRemoteUsage(team, usage[team])
		}
	}
}

func (c *cell) remote(o *owner) []membership.Summary {
	var summaries []membership.Summary
	for _, other := range c.partitions {
		if other != o {
			summaries = append(summaries, other.summary)
		}
	}
	return summaries
}

func (c *cell) rebalance(o *owner, now time.Time) {
	for _, m := range o.machine.Moves(c.remote(o), now) {
		c.moves++
		c.after(now, writeDelay, func(now time.Time) {
			o.machine.RemoveJob(m.Record.ID)
			r := m.Record
			r.Partition = m.To
			c.owner(m.To).set(r, now)
		})
	}
}

// obtain moves allowance to a partition from the others, one after the other until it has enough. The donors give it up at
// once.
func (c *cell) obtain(o *owner, need partition.Need, now time.Time) {
	r, limited := c.allowances[need.Team]
	if !limited {
		return
	}
	wanted := need.Amount
	for _, donor := range c.partitions {
		if donor == o || wanted.IsZero() {
			continue
		}
		amount := donor.machine.Spare(need.Team, wanted, o.name)
		if amount.IsZero() {
			continue
		}
		moved, err := r.Move(donor.name, o.name, amount)
		if err != nil {
			c.faults = append(c.faults, err.Error())
			return
		}
		r, wanted = moved, wanted.Sub(amount)
		c.allowances[need.Team] = r
		c.applyAllowances(donor)
	}
	if wanted != need.Amount {
		c.after(now, writeDelay, func(time.Time) { c.applyAllowances(o); o.events = true })
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

package partition

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// change is a write to the store. Every node sees the writes later, but in order.
type change struct {
	record   job.Record
	progress string // name of the partition, if this is a progress document
	doc      []byte
}

// cell simulates a store, a host list, workers and the owners of two partitions.
type cell struct {
	*history
	now             time.Time
	log             []change // index+1 is the store revision
	storeDown       bool
	owners          []*fakeOwner
	hosts           []port.Host
	delayedMessages []func()
	faults          *rand.Rand // nil while no faults occur
	ownerCount      int
	services        map[string][]DesiredService
	teams           map[string]resource.Vector
	revision        int // of services and teams
}

// fakeOwner drives a Machine the way internal/node does.
type fakeOwner struct {
	cell            *cell
	id              string
	partition       string
	m               *Machine
	logPosition     int // number of log entries applied
	hosts           []port.Host
	paused          bool
	links           map[string]*fakeLink
	pendingDoc      []byte // progress document being written
	pendingRevision int64
	verified        bool
	configRevision  int // revision of the applied configuration
}

type fakeLink struct {
	token     port.Token
	lastEvent uint64
	renewed   time.Time
}

func newCell() *cell {
	c := &cell{history: newHistory(), now: epoch, services: map[string][]DesiredService{},
		teams: map[string]resource.Vector{"a": quota.Unlimited, "b": quota.Unlimited}}
	return c
}

func (c *cell) faultOccurs(percent int) bool { return c.faults != nil && c.faults.IntN(100) < percent }

func (c *cell) put(ch change) int64 {
	ch.doc = slices.Clone(ch.doc)
	c.log = append(c.log, ch)
	return int64(len(c.log))
}

func (c *cell) record(id job.ID) (job.Record, bool) {
	for i := len(c.log) - 1; i >= 0; i-- {
		if c.log[i].progress == "" && c.log[i].record.ID == id {
			return c.log[i].record, true
		}
	}
	return job.Record{}, false
}

func (c *cell) latestDoc(partition string, upTo int) ([]byte, int64) {
	for i := upTo - 1; i >= 0; i-- {
		if c.log[i].progress == partition {
			return c.log[i].doc, int64(i + 1)
		}
	}
	return nil, 0
}

// changeRecord reads, modifies and writes a job record atomically.
func (c *cell) changeRecord(id job.ID, f func(*job.Record) bool) bool {
	r, found := c.record(id)
	if !found || c.storeDown {
		return false
	}
	if f(&r) {
		c.put(change{record: copyRecord(r)})
	}
	return true
}

func copyRecord(r job.Record) (out job.Record) {
	data, err := json.Marshal(r)
	if err == nil {
		err = json.Unmarshal(data, &out)
	}
	if err != nil {
		panic(err)
	}
	return out
}

func (c *cell) submit(partition string, spec job.Spec) job.ID {
	id := job.NewID(spec.Team, fmt.Sprint(len(c.specs)))
	c.specs[id] = spec
	c.put(change{record: job.Record{ID: id, Spec: spec, Partition: partition, SubmittedMS: c.now.UnixMilli(), Phase: job.Pending}})
	return id
}

func (c *cell) refreshHosts() {
	c.hosts = nil
	for _, w := range c.workers {
		h := w.host
		if w.down {
			h.State = port.HostDead
		}
		c.hosts = append(c.hosts, h)
	}
}

func (c *cell) startOwner(partition string, seen int) *fakeOwner {
	c.ownerCount++
	o := &fakeOwner{cell: c, id: fmt.Sprintf("n%d", c.ownerCount), partition: partition, links: map[string]*fakeLink{}, hosts: c.hosts}
	o.m = New(Options{Partition: partition, Node: o.id, Timing: DefaultTiming(), Invariant: func(name string, ok bool, cause ...any) bool {
		if !ok {
			c.violate("%s: invariant %s: %v", o.id, name, cause)
		}
		return ok
	}}, c.now)
	o.configure()
	o.m.SetHosts(o.partitionHosts(), c.now)
	if doc, revision := c.latestDoc(partition, seen); revision > 0 {
		o.load(doc, revision)
	}
	o.applyLog(seen)
	o.m.JobsLoaded()
	c.owners = append(c.owners, o)
	return o
}

func (o *fakeOwner) configure() {
	config := Config{Policy: placement.Policy{Packing: 1, Share: 1, Waiting: 1}, Teams: map[string]Team{}, Services: o.cell.services[o.partition]}
	for team, allowance := range o.cell.teams {
		config.Teams[team] = Team{Weight: 1}
		o.m.SetAllowance(team, allowance)
	}
	o.m.SetConfig(config, o.cell.now)
	o.configRevision = o.cell.revision
	o.m.SetCellCapacity(resource.Vector{Slots: 16, MilliCPU: 16000, MemoryMB: 16000})
}

func (o *fakeOwner) partitionHosts() []port.Host {
	return slices.DeleteFunc(slices.Clone(o.hosts), func(h port.Host) bool { return o.cell.worker(h.ID).partition != o.partition })
}

func (o *fakeOwner) load(doc []byte, revision int64) {
	p := Progress{}
	if doc != nil {
		var err error
		if p, err = DecodeProgress(doc); err != nil {
			panic(err)
		}
	}
	o.m.LoadProgress(p, revision)
}

// applyLog applies the store's changes up to a log position.
func (o *fakeOwner) applyLog(upTo int) {
	for ; o.logPosition < upTo; o.logPosition++ {
		ch := o.cell.log[o.logPosition]
		switch {
		case ch.progress != "":
		case ch.record.Partition == o.partition:
			o.m.SetJob(copyRecord(ch.record), o.cell.now)
		default:
			o.m.RemoveJob(ch.record.ID)
		}
	}
}

// exclusive reports what gossip would: whether no other owner of the partition exists.
func (o *fakeOwner) exclusive() bool {
	return !slices.ContainsFunc(o.cell.owners, func(other *fakeOwner) bool { return other != o && other.partition == o.partition })
}

// step runs one round of the owner's loop.
func (o *fakeOwner) step() {
	c := o.cell
	o.verified = o.verified && !o.m.NeedsReload()
	if !c.storeDown && !c.faultOccurs(30) {
		o.applyLog(len(c.log))
		if !o.verified {
			o.verified = true
			o.load(c.latestDoc(o.partition, len(c.log)))
			o.m.StateVerified()
		}
	}
	if o.configRevision != c.revision && !c.faultOccurs(50) {
		o.configure()
	}
	if !c.faultOccurs(70) {
		o.hosts = c.hosts
		o.m.SetHosts(o.partitionHosts(), c.now)
	}
	o.m.SetClaimedElsewhere(!o.exclusive())
	o.m.SetExclusive(o.exclusive(), c.now)
	for _, h := range o.m.ToAcquire(c.now) {
		o.acquire(h.ID)
	}
	o.cycle()
	for _, id := range slices.Sorted(maps.Keys(o.links)) {
		o.batch(id)
		o.poll(id)
	}
	o.saveProgress()
	o.cycle()
}

func (o *fakeOwner) cycle() {
	report := o.m.Cycle(o.cell.now)
	for _, r := range report.Ended {
		o.cell.changeRecord(r.ID, func(stored *job.Record) bool {
			if stored.Phase.Final() || stored.Partition != r.Partition {
				return false
			}
			r.CancelRequested = stored.CancelRequested
			*stored = r
			return true
		})
	}
	for _, d := range report.Decisions {
		if limit := o.m.ledger.Allowance(d.Team); d.Kind == DecideStart && !o.m.Used(d.Team).Fits(limit) {
			o.cell.violate("%s started %v with %v of %v used", o.id, d.Task, o.m.Used(d.Team), limit)
		}
	}
}

func (o *fakeOwner) reachable(w *fakeWorker) bool {
	return !w.down && !w.disconnected && !o.cell.faultOccurs(10)
}

func (o *fakeOwner) acquire(id string) {
	w := o.cell.worker(id)
	if !o.reachable(w) {
		return
	}
	inv, granted := w.acquire(o.id, o.cell.now)
	if !granted || o.cell.faultOccurs(10) {
		return
	}
	o.links[id] = &fakeLink{inv.Token, inv.Sequence, o.cell.now}
	o.m.Acquired(id, inv, o.cell.now, o.cell.now)
}

// call sends a message to a worker. The request or the answer may be lost, and the request may arrive late or twice.
func (o *fakeOwner) call(id string, s port.Sync) (r port.SyncResult, accepted, answered bool) {
	c, w := o.cell, o.cell.worker(id)
	lost := c.faultOccurs(10)
	if lost && c.faultOccurs(50) {
		due := c.now.Add(time.Duration(c.faults.IntN(700)) * time.Millisecond)
		c.delayedMessages = append(c.delayedMessages, func() {
			if !w.down && !c.now.Before(due) && c.now.Sub(due) < time.Second {
				w.sync(c.history, s, c.now)
			}
		})
	}
	if !o.reachable(w) {
		return r, false, false
	}
	r, accepted = w.sync(c.history, s, c.now)
	return r, accepted, !lost
}

func (o *fakeOwner) batch(id string) {
	if !o.m.HasPendingBatch(id) {
		return
	}
	s, ok := o.m.TakeBatch(id, o.cell.now)
	if !ok {
		return
	}
	switch r, accepted, answered := o.call(id, s); {
	case !answered:
		o.m.SyncFailed(id, s)
		o.dropLink(id)
	case !accepted:
		o.dropLink(id)
	default:
		o.m.Synced(id, s, r, o.cell.now, o.cell.now)
	}
}

func (o *fakeOwner) poll(id string) {
	l := o.links[id]
	if l == nil {
		return
	}
	forget, mark := o.m.DurableThrough(id)
	s := port.Sync{Token: l.token, Node: o.id, SeenThrough: l.lastEvent, ForgetThrough: forget, DurableMark: mark}
	r, accepted, answered := o.call(id, s)
	switch {
	case answered && !accepted, !answered && o.cell.now.Sub(l.renewed) > DefaultTiming().ControlLease:
		o.dropLink(id)
	case answered:
		l.renewed = o.cell.now
		for _, e := range r.Events {
			l.lastEvent = max(l.lastEvent, e.Sequence)
		}
		o.m.Synced(id, s, r, o.cell.now, o.cell.now)
	}
}

func (o *fakeOwner) dropLink(id string) {
	delete(o.links, id)
	o.m.LeaseLost(id, o.cell.now)
}

// saveProgress writes the progress document. If the answer is lost, the write stays in flight until it is repeated.
func (o *fakeOwner) saveProgress() {
	if o.pendingDoc == nil {
		doc, revision, ok := o.m.BuildProgress()
		if !ok {
			return
		}
		doc.Writer = fmt.Sprintf("%s/%d", o.id, o.cell.now.UnixNano())
		o.pendingDoc, o.pendingRevision = doc.Encode(), revision
	}
	c := o.cell
	if c.storeDown || c.faultOccurs(20) {
		return
	}
	current, revision := c.latestDoc(o.partition, len(c.log))
	written := revision == o.pendingRevision
	if written {
		revision = c.put(change{progress: o.partition, doc: o.pendingDoc})
		current = o.pendingDoc
	}
	if c.faultOccurs(20) {
		return
	}
	saved := string(current) == string(o.pendingDoc)
	o.pendingDoc = nil
	if saved {
		o.m.ProgressWritten(revision, c.now)
		return
	}
	o.m.ProgressFailed()
	o.load(current, revision)
	o.verified = false
}

// advance moves the time forward, delivers delayed messages and runs a round of every owner that isn't paused.
func (c *cell) advance(d time.Duration) {
	c.now = c.now.Add(d)
	c.expire(c.now)
	waiting := c.delayedMessages
	c.delayedMessages = nil
	for _, f := range waiting {
		f()
	}
	c.refreshHosts()
	for _, o := range slices.Clone(c.owners) {
		if !o.paused {
			o.step()
		}
	}
}

func (c *cell) kill(o *fakeOwner) {
	c.owners = slices.DeleteFunc(c.owners, func(x *fakeOwner) bool { return x == o })
}

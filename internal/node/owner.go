package node

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/ring"
	"sequoiastall/internal/wait"
)

// inboxCapacity limits the events queued for an owner's loop. Senders wait while the inbox is full.
const inboxCapacity = 4096

// minCycleGap is the minimum time between two scheduling cycles, so that a burst of events shares one cycle.
const minCycleGap = 5 * time.Millisecond

// refreshInterval is how often an owner's loop applies what gossip reports and publishes its summary.
const refreshInterval = 100 * time.Millisecond

// ownerView is the part of an owner's state that other goroutines may read.
type ownerView struct {
	summary membership.Summary
}

// owner runs one partition on this node. Its loop applies events to the partition's state machine; worker links, store
// writers and the timer send the events.
type owner struct {
	node      *Node
	partition string
	log       *slog.Logger
	cancel    context.CancelFunc
	done      chan struct{}
	startedAt time.Time

	inbox             *ring.Queue[event]
	machine           *partition.Machine
	permits           *permitTracker
	links             map[string]*workerLink
	verified          bool                       // the cache contains all writes made before this owner started
	peakUsage         map[string]resource.Vector // maximum usage of each team here until verified is set
	lastCycle         time.Time
	lastRefresh       time.Time
	lastMaintenance   time.Time
	lastReread        time.Time
	writingProgress   bool
	lastProgressWrite time.Time
	pendingGrants     map[string]resource.Vector // allowance granted to others, not yet in the record, by team
	populated         []string                   // partitions with workers when the configuration was last applied
	background        sync.WaitGroup

	view atomic.Pointer[ownerView]
}

func newOwner(n *Node, name string, cancel context.CancelFunc) *owner {
	now := n.ports.Clock.Now()
	return &owner{
		node: n, partition: name, cancel: cancel, done: make(chan struct{}), startedAt: now,
		log:   n.log.With("partition", name),
		inbox: ring.New[event](inboxCapacity),
		machine: partition.New(partition.Options{Partition: name, Node: n.options.ID, Timing: n.options.Timing.Partition,
			Invariant: n.metrics.Invariant}, now),
		permits:       newPermitTracker(name, now),
		links:         map[string]*workerLink{},
		pendingGrants: map[string]resource.Vector{},
		peakUsage:     map[string]resource.Vector{},
	}
}

// send passes an event to the loop. It blocks while the inbox is full, and drops the event if the owner has stopped.
func (o *owner) send(e event) {
	for !o.inbox.TryPush(e) {
		select {
		case <-o.done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// stop stops the owner and waits until its workers are released.
func (o *owner) stop() {
	o.cancel()
	<-o.done
}

// run is the owner's loop.
func (o *owner) run(ctx context.Context) {
	defer close(o.done)
	o.loadInitialState()
	o.background.Add(2)
	go o.timer(ctx)
	go o.verify(ctx)
	for ctx.Err() == nil {
		e, err := o.inbox.Pop(ctx)
		if err != nil {
			break
		}
		o.handle(ctx, e)
	}
	o.releaseWorkers()
	o.background.Wait()
}

// loadInitialState loads the state machine from the node's caches.
func (o *owner) loadInitialState() {
	now := o.node.ports.Clock.Now()
	o.applyConfig(now)
	o.applyHosts(now)
	if p, found := o.node.state.progressOf(o.partition); found {
		o.machine.LoadProgress(p.doc, p.revision)
	}
	for _, r := range o.node.state.runsOf(o.partition) {
		o.machine.SetJob(r, now)
	}
	o.machine.JobsLoaded()
	o.applyAllowances()
}

func (o *owner) timer(ctx context.Context) {
	defer o.background.Done()
	for wait.For(ctx, o.node.options.Timing.Cycle) {
		o.inbox.TryPush(tick{})
	}
}

// handle applies an event and all others that are queued, and then runs a cycle unless the last one was less than
// minCycleGap ago; the first event or tick after that time runs it then.
func (o *owner) handle(ctx context.Context, e event) {
	now := o.node.ports.Clock.Now()
	e.apply(o, now)
	for {
		next, ok := o.inbox.TryPop()
		if !ok {
			break
		}
		next.apply(o, now)
	}
	if now.Sub(o.lastCycle) < minCycleGap {
		return
	}
	o.lastCycle = now
	o.cycle(ctx, now)
}

func (o *owner) cycle(ctx context.Context, now time.Time) {
	refresh := now.Sub(o.lastRefresh) >= refreshInterval
	if refresh {
		o.lastRefresh = now
		o.applyCellState(now)
	}
	start := time.Now()
	report := o.machine.Cycle(now)
	o.node.metrics.ObserveCycle(time.Since(start), len(report.Decisions))
	o.logDecisions(report.Decisions)
	for _, r := range report.Ended {
		o.spawn(func() { o.node.finishJob(ctx, r) })
	}
	for _, need := range report.AllowanceNeeds {
		o.requestAllowance(need)
	}
	o.startLinks(ctx)
	o.dispatchBatches(now)
	o.saveProgress(ctx, now)
	o.permits.update(o.machine.Instances(), now)
	if refresh {
		o.view.Store(&ownerView{summary: o.machine.Summary()})
	}
	o.runMaintenance(ctx, now)
	if o.machine.NeedsReload() && now.Sub(o.lastReread) >= rereadInterval {
		o.lastReread = now
		o.spawn(func() { o.rereadProgress(ctx) })
	}
}

// rereadInterval is the minimum time between two rereads, each of which writes to the store.
const rereadInterval = 500 * time.Millisecond

// maintenanceInterval is how often an owner looks for jobs to move and records to delete.
const maintenanceInterval = 2 * time.Second

func (o *owner) runMaintenance(ctx context.Context, now time.Time) {
	if now.Sub(o.lastMaintenance) < maintenanceInterval {
		return
	}
	o.lastMaintenance = now
	if o.machine.Settled() && o.machine.UnheldWorkers() > 0 && o.machine.Summary().Workers == 0 && !o.machine.AllWorkersDead() {
		// While this owner held no worker, another one may have run the partition, so its state may be out of date. If
		// all workers are dead there is nothing to run, and the jobs have to move.
		o.log.Warn("partition", "action", "start over", "reason", "all workers were lost")
		go o.node.restartOwner(o)
		return
	}
	o.rebalance(ctx, now)
	o.spawn(func() { o.node.deleteExpiredJobs(ctx, o.partition) })
}

// applyCellState passes the node's view of the cell to the machine: its own isolation, the other members and their
// usage.
func (o *owner) applyCellState(now time.Time) {
	o.machine.SetMayStart(o.node.isolatedFor(now) < o.node.options.Timing.IsolationStart)
	claimed, complete := o.node.claimedElsewhere(o.partition)
	o.machine.SetAnnouncedWorkers(o.node.announcedWorkers(o.partition))
	o.machine.SetExclusive(complete && !claimed, now)
	o.machine.SetClaimedElsewhere(claimed)
	o.applyRemoteUsage()
}

func (o *owner) spawn(f func()) {
	o.background.Add(1)
	go func() {
		defer o.background.Done()
		f()
	}()
}

// startLinks starts a link for each worker whose control lease should be acquired. Links run until the owner stops.
func (o *owner) startLinks(ctx context.Context) {
	for _, h := range o.machine.ToAcquire(o.node.ports.Clock.Now()) {
		if l := o.links[h.ID]; l != nil {
			l.host.Store(&h)
			continue
		}
		l := newWorkerLink(o, h)
		o.links[h.ID] = l
		o.spawn(func() { l.run(ctx) })
	}
}

// dispatchBatches passes pending batches to the links that aren't sending one.
func (o *owner) dispatchBatches(now time.Time) {
	for id, l := range o.links {
		forget, mark := o.machine.DurableThrough(id)
		l.forgetThrough.Store(forget)
		l.durableMark.Store(mark)
		if !o.machine.HasPendingBatch(id) || !l.batchInFlight.CompareAndSwap(false, true) {
			continue
		}
		batch, ok := o.machine.TakeBatch(id, now)
		if !ok {
			l.batchInFlight.Store(false)
			continue
		}
		l.batches <- batch
	}
}

// mayRenew reports whether the owner may acquire and renew leases: it must not after too long an isolation.
func (o *owner) mayRenew() bool {
	return o.node.isolatedFor(o.node.ports.Clock.Now()) < o.node.options.Timing.Partition.Isolation
}

// releaseWorkers releases the control leases, so that a successor doesn't have to wait until they lapse.
func (o *owner) releaseWorkers() {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for id, l := range o.links {
		token, held := o.machine.LeaseToken(id)
		if !held {
			continue
		}
		host := *l.host.Load()
		wg.Go(func() {
			if err := o.node.ports.Workers.Release(ctx, host, o.node.options.ID, token); err != nil {
				o.log.Warn("release failed", "worker", host.ID, "error", err)
			}
		})
	}
	wg.Wait()
}

// applyConfig passes the active configuration to the machine.
func (o *owner) applyConfig(now time.Time) {
	config := o.node.currentConfig()
	if config == nil {
		return
	}
	o.machine.SetConfig(o.node.partitionConfig(config, o.partition), now)
	o.applyAllowances()
}

// applyHosts passes the host list to the machine. Partitions that gain their first or lose their last live worker, for
// instance because a zone is added, is removed or fails, change how services are spread over the partitions.
func (o *owner) applyHosts(now time.Time) {
	o.machine.SetHosts(o.node.hostsOf(o.partition), now)
	if populated := o.node.populatedPartitions(); !slices.Equal(populated, o.populated) {
		o.populated = populated
		o.applyConfig(now)
	}
}

// applyRemoteUsage passes the capacity and usage of the other partitions, as gossip reports them, to the machine.
func (o *owner) applyRemoteUsage() {
	total := o.machine.Capacity()
	usage := map[string]resource.Vector{}
	for _, s := range o.node.partitionSummaries(o.partition) {
		total = total.Add(s.Capacity)
		for _, t := range s.Teams {
			usage[t.Team] = usage[t.Team].Add(t.Running)
		}
	}
	o.machine.SetCellCapacity(total)
	if config := o.node.currentConfig(); config != nil {
		for _, team := range config.Index.Teams() {
			o.machine.SetRemoteUsage(team, usage[team])
		}
	}
}

// partitionSummaries returns the summaries that this node and the members that aren't dead announce, excluding the
// partition named by except.
func (n *Node) partitionSummaries(except string) []membership.Summary {
	var summaries []membership.Summary
	n.mu.Lock()
	for _, v := range n.table.Members(n.ports.Clock.Now()) {
		if v.Self || v.Status == membership.Dead {
			continue
		}
		summaries = append(summaries, v.Partitions...)
	}
	n.mu.Unlock()
	summaries = append(summaries, n.owners.summaries()...)
	kept := summaries[:0]
	for _, s := range summaries {
		if s.Partition != except {
			kept = append(kept, s)
		}
	}
	return kept
}

func (o *owner) logDecisions(decisions []partition.Decision) {
	for _, d := range decisions {
		if d.Kind == partition.DecideStart {
			o.node.metrics.ObserveWaiting(d.Waited)
		}
		o.log.Info("placement", "decision", string(d.Kind), "task", d.Task.String(), "team", d.Team, "worker", d.Worker,
			"reason", d.Reason, "score", d.Score, "considered", d.Considered, "waited_ms", d.Waited.Milliseconds())
	}
}

package node

import (
	"context"
	"sync"
	"time"

	"sequoiastall/internal/core/membership"
)

// supervisionInterval is how often the assignment of partitions is compared with what this node owns.
const supervisionInterval = 200 * time.Millisecond

// releaseDelay is how long a partition must be assigned to another member before its owner hands it over. After each
// membership change the members' tables differ for a short time.
const releaseDelay = 3 * time.Second

// ownerSet holds the owners of the partitions that this node runs or is acquiring.
type ownerSet struct {
	mu     sync.Mutex
	owners map[string]*owner
	wg     sync.WaitGroup
}

func (s *ownerSet) init() { s.owners = map[string]*owner{} }

func (s *ownerSet) get(partition string) *owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[partition]
}

// detach removes an owner and reports whether it was still in the set.
func (s *ownerSet) detach(o *owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[o.partition] != o {
		return false
	}
	delete(s.owners, o.partition)
	return true
}

func (s *ownerSet) all() []*owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*owner, 0, len(s.owners))
	for _, o := range s.owners {
		all = append(all, o)
	}
	return all
}

func (s *ownerSet) each(f func(*owner)) {
	for _, o := range s.all() {
		f(o)
	}
}

func (s *ownerSet) wait() { s.wg.Wait() }

// summaries returns the summaries of the partitions that are settled or have a worker.
func (s *ownerSet) summaries() []membership.Summary {
	var summaries []membership.Summary
	for _, o := range s.all() {
		if v := o.view.Load(); v != nil && (v.summary.Workers > 0 || v.summary.Settled) {
			summaries = append(summaries, v.summary)
		}
	}
	return summaries
}

// supervisionLoop starts owners for the partitions that are assigned to this node, and hands over those that no longer
// are.
func (n *Node) supervisionLoop(ctx context.Context) {
	assignedElsewhere := map[string]time.Time{}
	runEvery(ctx, supervisionInterval, func(ctx context.Context) {
		config := n.currentConfig()
		if config == nil || !n.state.isLoaded() {
			return
		}
		if _, loaded := n.hosts.get(); !loaded {
			return
		}
		now := n.ports.Clock.Now()
		n.mu.Lock()
		assigned := n.table.Assign(n.partitionsOf(config), now)
		n.mu.Unlock()
		if n.isDraining() {
			return
		}
		for p, member := range assigned {
			n.reconcilePartition(ctx, string(p), member, assignedElsewhere, now)
		}
		n.acceptHandovers(ctx)
	})
}

// reconcilePartition starts or hands over a partition that is assigned to a member. assignedElsewhere holds, for each
// partition that this node runs, the time since which it has been assigned to another member.
func (n *Node) reconcilePartition(ctx context.Context, partition, member string, assignedElsewhere map[string]time.Time,
	now time.Time) {
	o := n.owners.get(partition)
	assignedHere := member == n.options.ID
	switch {
	case assignedHere:
		delete(assignedElsewhere, partition)
		if o == nil && n.startupDelayPassed(now) {
			n.startOwner(ctx, partition)
		}
	case o == nil || member == "":
	case assignedElsewhere[partition].IsZero():
		assignedElsewhere[partition] = now
	case now.Sub(assignedElsewhere[partition]) >= releaseDelay:
		delete(assignedElsewhere, partition)
		go n.releasePartition(o, member)
	}
}

// startupDelay is how long a starting node waits for gossip to report the members that already own partitions.
const startupDelay = 1500 * time.Millisecond

func (n *Node) startupDelayPassed(now time.Time) bool { return now.Sub(n.started) >= startupDelay }

func (n *Node) acceptHandovers(ctx context.Context) {
	for {
		select {
		case p := <-n.handovers:
			if n.owners.get(p) == nil {
				n.startOwner(ctx, p)
			}
		default:
			return
		}
	}
}

func (n *Node) startOwner(ctx context.Context, partition string) {
	ctx, cancel := context.WithCancel(ctx)
	o := newOwner(n, partition, cancel)
	n.owners.mu.Lock()
	if n.owners.owners[partition] != nil {
		n.owners.mu.Unlock()
		cancel()
		return
	}
	n.owners.owners[partition] = o
	n.owners.mu.Unlock()
	n.log.Info("partition", "action", "acquire", "partition", partition)
	n.owners.wg.Add(1)
	go func() {
		defer n.owners.wg.Done()
		o.run(ctx)
	}()
}

// restartOwner stops an owner whose state may be out of date. The supervision loop then starts a new one, whose
// state comes only from the store and the workers.
func (n *Node) restartOwner(o *owner) {
	if n.owners.detach(o) {
		o.stop()
	}
}

// releasePartition stops an owner, which releases its workers, and notifies the successor.
func (n *Node) releasePartition(o *owner, successor string) {
	if !n.owners.detach(o) {
		return
	}
	o.stop()
	n.log.Info("partition", "action", "release", "partition", o.partition, "successor", successor)
	address := n.addressOf(successor)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.options.Timing.PeerTimeout)
	defer cancel()
	if err := n.ports.Peers.Handover(ctx, address, o.partition); err != nil {
		n.log.Warn("handover notice failed", "partition", o.partition, "successor", successor, "error", err)
	}
}

func (n *Node) addressOf(member string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.table.Members(n.ports.Clock.Now()) {
		if v.ID == member && !v.Self {
			return v.Address
		}
	}
	return ""
}

// claimedElsewhere reports whether another member announces the partition as its own. complete reports whether every
// other member is either alive or gone, so that no other node can hold a worker of a partition that no member
// announces.
func (n *Node) claimedElsewhere(partition string) (claimed, complete bool) {
	now := n.ports.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	complete = true
	for _, v := range n.table.Members(now) {
		if v.Self || v.Status == membership.StatusLeft {
			continue
		}
		if v.Status != membership.Alive {
			complete = false
		}
		for _, s := range v.Partitions {
			claimed = claimed || s.Partition == partition
		}
	}
	return claimed, complete
}

// announcedWorkers returns the largest number of workers of the partition in the latest announcements of the other
// members. Announcements of dead members count too.
func (n *Node) announcedWorkers(partition string) int {
	most := int32(0)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.table.Members(n.ports.Clock.Now()) {
		for _, s := range v.Partitions {
			if !v.Self && s.Partition == partition {
				most = max(most, s.Workers)
			}
		}
	}
	return int(most)
}

func (n *Node) isDraining() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining
}

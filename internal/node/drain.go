package node

import (
	"context"
	"sync"
	"time"

	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/wait"
)

// drainAnnounceDelay is how long a draining node waits for gossip to inform the other members that it acquires no more
// partitions.
const drainAnnounceDelay = time.Second

// Drain announces that this node is leaving, hands over its partitions and returns when its workers are released or ctx
// is done. The background loops continue until the context of Run is done.
func (n *Node) Drain(ctx context.Context) {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.log.Info("drain", "action", "begin")
	if !wait.For(ctx, drainAnnounceDelay) {
		return
	}
	var wg sync.WaitGroup
	for _, o := range n.owners.all() {
		wg.Go(func() { n.releasePartition(o, n.successorOf(o.partition)) })
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		n.log.Info("drain", "action", "partitions handed over")
	case <-ctx.Done():
		n.log.Warn("drain", "action", "bound reached before all partitions were handed over")
	}
}

func (n *Node) successorOf(partition string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Successor(membership.Partition(partition), n.options.ID, n.ports.Clock.Now())
}

// Leave announces to the other members that this node has left, so that they needn't detect its absence by a timeout
// and can rely on it no longer holding any worker.
func (n *Node) Leave(ctx context.Context) {
	now := n.ports.Clock.Now()
	n.mu.Lock()
	n.hasLeft = true
	n.updateSelf(now)
	members := n.table.Members(now)
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, v := range members {
		if !v.Self && v.Status == membership.Alive {
			wg.Go(func() { n.gossipWith(ctx, v.Address) })
		}
	}
	wg.Wait()
}

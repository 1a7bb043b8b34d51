package node

import (
	"context"
	"time"

	"sequoiastall/internal/core/routing"
)

// endpointsInterval is how often endpoints are pulled. A pull renews the permits, which are valid for 3 s, and the
// interval limits how long a draining instance still gets requests.
const endpointsInterval = 500 * time.Millisecond

// pullSchedule decides in which rounds each partition's endpoints are pulled.
type pullSchedule struct {
	round     int
	addresses map[string]string // owner's address by partition, as of the last round
}

// next starts a round and returns the partitions to pull, with their owners' addresses. A node without open or waiting
// requests skips every second round, except for partitions whose owner has changed, because each node pulls from each
// partition and the number of pulls grows with the product of both. With a pull each second there is still time for two
// more attempts before the permits expire.
func (s *pullSchedule) next(owners map[string]string, idle bool) map[string]string {
	s.round++
	due := map[string]string{}
	for partition, address := range owners {
		if lastAddress, known := s.addresses[partition]; !known || lastAddress != address || !idle || s.round%2 == 0 {
			due[partition] = address
		}
	}
	s.addresses = owners
	return due
}

// endpointsLoop pulls the endpoints of every partition from its owner.
func (n *Node) endpointsLoop(ctx context.Context) {
	known, schedule := map[string]bool{}, pullSchedule{}
	runEvery(ctx, endpointsInterval, func(ctx context.Context) {
		owners := n.ownerAddresses()
		idle := len(n.routes.Demand()) == 0 // Demand also closes idle connections whose permits have expired
		for p := range owners {
			known[p] = true
		}
		for p, address := range schedule.next(owners, idle) {
			go n.pullEndpoints(ctx, p, address)
		}
		config := n.currentConfig()
		if config == nil {
			return
		}
		configured := map[string]bool{}
		for _, p := range n.partitionsOf(config) {
			configured[string(p)] = true
		}
		for p := range known {
			if !configured[p] {
				delete(known, p)
				n.routes.Remove(p)
			}
		}
	})
}

// ownerAddresses returns the peer address of each partition's owner; it is empty if this node is the owner.
func (n *Node) ownerAddresses() map[string]string {
	addresses := map[string]string{}
	n.mu.Lock()
	for _, v := range n.table.Members(n.ports.Clock.Now()) {
		for _, s := range v.Partitions {
			if !v.Self {
				addresses[s.Partition] = v.Address
			}
		}
	}
	n.mu.Unlock()
	for _, s := range n.owners.summaries() {
		addresses[s.Partition] = ""
	}
	return addresses
}

func (n *Node) pullEndpoints(ctx context.Context, partition, address string) {
	ctx, cancel := context.WithTimeout(ctx, n.options.Timing.PeerTimeout)
	defer cancel()
	sent := n.ports.Clock.Now()
	request := n.routes.Request(n.options.ID, partition)
	var set routing.EndpointSet
	var err error
	if address == "" {
		set, err = n.Endpoints(ctx, request)
	} else {
		set, err = n.ports.Peers.Endpoints(ctx, address, request)
	}
	if err != nil {
		n.log.Debug("endpoints pull failed", "partition", partition, "error", err)
		return
	}
	n.routes.Apply(set, sent)
}

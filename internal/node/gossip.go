package node

import (
	"context"
	"time"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/membership"
)

// gossipLoop exchanges digests with other members.
func (n *Node) gossipLoop(ctx context.Context) {
	runEvery(ctx, n.options.Timing.Gossip, func(ctx context.Context) {
		now := n.ports.Clock.Now()
		n.mu.Lock()
		n.updateSelf(now)
		events := n.table.Tick(now)
		targets := n.table.Targets(now, n.random)
		if n.table.Reachability(now).OutsideHeard {
			n.otherZoneHeardAt = now
		}
		n.mu.Unlock()
		n.logMembership(events)
		addresses := n.addressesOf(targets)
		for _, a := range addresses {
			go n.gossipWith(ctx, a)
		}
	})
}

// addressesOf returns the addresses of the targets, and those of seeds and registered nodes that the table doesn't
// contain yet.
func (n *Node) addressesOf(targets []membership.Member) []string {
	known := map[string]bool{n.options.PeerAddress: true}
	var addresses []string
	for _, t := range targets {
		if !known[t.Address] {
			known[t.Address] = true
			addresses = append(addresses, t.Address)
		}
	}
	n.mu.Lock()
	for _, v := range n.table.Members(n.ports.Clock.Now()) {
		known[v.Address] = true
	}
	n.mu.Unlock()
	for _, a := range append(n.state.nodeAddresses(), n.options.Seeds...) {
		if !known[a] {
			known[a] = true
			addresses = append(addresses, a)
		}
	}
	return addresses
}

func (n *Node) gossipWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, n.options.Timing.PeerTimeout)
	defer cancel()
	sent := n.ports.Clock.Now()
	n.mu.Lock()
	digest := n.table.DigestFor(n.memberAt(address, sent), sent)
	n.mu.Unlock()
	reply, err := n.ports.Peers.Gossip(ctx, address, digest)
	if err != nil {
		n.log.Debug("gossip failed", "address", address, "error", err)
		return
	}
	n.mergeReply(reply, sent)
}

func (n *Node) memberAt(address string, now time.Time) string {
	for _, v := range n.table.Members(now) {
		if v.Address == address {
			return v.ID
		}
	}
	return ""
}

// mergeReply applies the reply to a digest that was sent at the given time. Only replies confirm the configuration;
// digests that other members send as requests don't.
func (n *Node) mergeReply(d membership.Digest, sent time.Time) {
	now := n.ports.Clock.Now()
	n.mu.Lock()
	n.table.MergeReply(d, sent, now)
	if age, confirmed := n.table.Confirmed(n.configHolder.Revision(), now); confirmed {
		n.configHolder.ConfirmRelayed(n.configHolder.Revision(), age, now)
	}
	n.mu.Unlock()
	n.fetchNewerConfig(now)
}

// fetchNewerConfig fetches the configuration from the member with the newest revision if it is newer than this node's.
func (n *Node) fetchNewerConfig(now time.Time) {
	n.mu.Lock()
	var newest membership.View
	for _, v := range n.table.Members(now) {
		if !v.Self && v.Revision > newest.Revision {
			newest = v
		}
	}
	n.configHolder.ObserveRevision(newest.Revision)
	behind := newest.Revision > n.configHolder.Revision()
	n.mu.Unlock()
	if behind {
		go n.fetchConfiguration(newest.Address)
	}
}

// updateSelf updates this node's own entry in the table. The caller holds n.mu.
func (n *Node) updateSelf(now time.Time) {
	summaries := n.owners.summaries()
	age, confirmed := n.configHolder.Age(now)
	n.table.UpdateSelf(now, func(m *membership.Member) {
		m.Revision = n.configHolder.Revision()
		m.ConfirmedAgeMS = membership.NeverConfirmed
		if confirmed {
			m.ConfirmedAgeMS = age.Milliseconds()
		}
		m.StoreReachable = n.storeReachable(now)
		m.Partitions = summaries
		switch {
		case n.hasLeft:
			m.State = membership.Left
		case n.draining:
			m.State = membership.Draining
		}
	})
}

func (n *Node) logMembership(events []membership.Event) {
	for _, e := range events {
		ids := make([]string, 0, len(e.Members))
		for _, m := range e.Members {
			ids = append(ids, m.ID)
		}
		n.log.Info("membership", "event", e.Kind.String(), "members", ids, "zone", e.Zone, "gap_ms", e.Gap.Milliseconds())
	}
}

// reachability returns the input of the freshness rule. The caller holds n.mu.
func (n *Node) reachability(now time.Time) configuration.Reachability {
	r := n.table.Reachability(now)
	return configuration.Reachability{Known: r.Known, Heard: r.Heard, StoreReachable: r.StoreReachable, Store: n.storeReachable(now)}
}

// authorityCacheTTL is how long a result of the freshness rule is cached, because requests need it far more often than
// it changes. It adds to the 3 s for which a confirmation is valid; together they stay below the 4 s within which a
// revoked key must stop working.
const authorityCacheTTL = 50 * time.Millisecond

type authorityCacheEntry struct {
	configuration.Authority
	at time.Time
}

// cachedAuthority applies the freshness rule, or returns its cached result.
func (n *Node) cachedAuthority() configuration.Authority {
	now := n.ports.Clock.Now()
	if c := n.authorityCache.Load(); c != nil && now.Sub(c.at) < authorityCacheTTL {
		return c.Authority
	}
	n.mu.Lock()
	a := n.configHolder.Authority(now, n.reachability(now))
	n.mu.Unlock()
	n.authorityCache.Store(&authorityCacheEntry{a, now})
	return a
}

// isolatedFor returns the time since this node last had contact with the store or a member of another zone. It is 0 if
// the membership table contains no member of another zone, as in a cell with a single zone.
func (n *Node) isolatedFor(now time.Time) time.Duration {
	n.mu.Lock()
	otherZone := n.otherZoneHeardAt
	if n.table.Reachability(now).OutsideKnown == 0 {
		otherZone = now
	}
	n.mu.Unlock()
	store := time.Unix(0, n.storeAnsweredAt.Load())
	if n.storeAnsweredAt.Load() == 0 {
		store = n.started
	}
	return min(now.Sub(otherZone), now.Sub(store))
}

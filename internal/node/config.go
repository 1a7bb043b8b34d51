package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/port"
)

// configLoop confirms the configuration once per interval: it reads the store's revision, and the configuration is
// confirmed when the watch has reached that revision. If that doesn't happen in time, for instance because the watch
// has stopped delivering events without failing, it reads the configuration.
func (n *Node) configLoop(ctx context.Context) {
	runEvery(ctx, n.options.Timing.ConfigPoll, func(ctx context.Context) {
		if n.currentConfig() != nil && n.readStoreRevision(ctx) != nil {
			return
		}
		if !n.recentlyConfirmed() {
			n.readConfiguration(ctx)
		}
	})
}

// readStoreRevision obtains the store's revision, which comes with the read of this node's own small registration.
func (n *Node) readStoreRevision(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.options.Timing.StoreTimeout)
	defer cancel()
	sent := n.ports.Clock.Now()
	_, revision, err := n.ports.Store.Range(ctx, port.NodePrefix+n.options.ID)
	n.recordStoreResult(err)
	if err != nil {
		n.log.Debug("store revision read failed", "error", err)
		return err
	}
	n.position.setTarget(revision, sent)
	n.confirmByWatch()
	return nil
}

// recentlyConfirmed reports whether the confirmation is recent enough to wait for the watch until the next interval.
func (n *Node) recentlyConfirmed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	age, confirmed := n.configHolder.Age(n.ports.Clock.Now())
	return confirmed && age < n.options.Timing.ConfigPoll*3/2
}

func (n *Node) readConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.options.Timing.StoreTimeout)
	defer cancel()
	sent := n.ports.Clock.Now()
	entry, err := n.ports.Store.Get(ctx, port.ConfigKey)
	if errors.Is(err, port.ErrNotFound) {
		n.recordStoreResult(nil)
		return
	}
	n.recordStoreResult(err)
	if err != nil {
		n.log.Debug("configuration read failed", "error", err)
		return
	}
	n.offerEntry(entry, sent, true)
}

// offerEntry applies a configuration read from the store. If confirms is set, the read also confirms it as of sent.
func (n *Node) offerEntry(e port.Entry, sent time.Time, confirms bool) {
	d, err := configuration.Unmarshal(e.Value)
	if err != nil {
		n.log.Error("configuration in the store can't be read", "error", err)
		return
	}
	n.offer(d)
	if confirms {
		n.mu.Lock()
		n.configHolder.Confirm(d.Revision, sent)
		n.mu.Unlock()
	}
}

// offer makes a configuration the active one if it is valid and newer.
func (n *Node) offer(d configuration.Document) {
	now := n.ports.Clock.Now()
	n.mu.Lock()
	before := n.configHolder.Revision()
	outcome, err := n.configHolder.Offer(d, now)
	after := n.configHolder.Revision()
	n.config.Store(n.configHolder.Current())
	if outcome == configuration.Adopted {
		n.table.SetPartitions(n.partitionsOf(n.configHolder.Current()))
	}
	n.mu.Unlock()
	n.metrics.Invariant("revision_monotonic", after >= before, "before", before, "after", after)
	switch {
	case err != nil:
		n.log.Error("configuration rejected", "revision", d.Revision, "error", err)
	case outcome == configuration.Adopted:
		n.log.Info("configuration in force", "revision", d.Revision)
		n.owners.each(func(o *owner) { o.send(configChanged{}) })
	}
}

// fetchConfiguration fetches a newer configuration from a peer. This doesn't confirm the configuration.
func (n *Node) fetchConfiguration(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), n.options.Timing.PeerTimeout)
	defer cancel()
	d, err := n.ports.Peers.FetchConfiguration(ctx, address)
	if err != nil {
		n.log.Debug("configuration fetch failed", "address", address, "error", err)
		return
	}
	n.offer(d)
}

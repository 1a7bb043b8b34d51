package node

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"sequoiastall/internal/port"
)

// registerDuty keeps this node's key in the store, so that starting nodes find it.
func (n *Node) registerDuty(ctx context.Context) {
	var lease port.LeaseID
	every(ctx, n.options.Timing.Register, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, n.options.Timing.StoreTimeout)
		defer cancel()
		var err error
		if lease, err = n.keepLease(ctx, lease); err == nil {
			err = n.register(ctx, lease)
		}
		n.storeAnswered(err)
		if err != nil {
			n.log.Debug("registration failed", "error", err)
		}
	})
}

func (n *Node) keepLease(ctx context.Context, lease port.LeaseID) (port.LeaseID, error) {
	if lease != 0 {
		err := n.ports.Store.KeepAlive(ctx, lease)
		if !errors.Is(err, port.ErrLeaseLapsed) {
			return lease, err
		}
	}
	granted, err := n.ports.Store.Grant(ctx, n.options.Timing.RegisterTTL)
	return granted, errors.Wrap(err, "store lease")
}

func (n *Node) register(ctx context.Context, lease port.LeaseID) error {
	count := n.registered.Load() + 1
	value, err := json.Marshal(Registration{Address: n.options.PeerAddress, HTTPAddress: n.options.HTTPAddress, Zone: n.options.Zone, Count: count})
	if err != nil {
		return errors.Wrap(err, "registration")
	}
	_, err = n.ports.Store.Put(ctx, port.Write{Key: port.NodePrefix + n.options.ID, Value: value, Lease: lease})
	if err == nil {
		n.registered.Store(count)
	}
	return err
}

package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/port"
	"sequoiastall/internal/wait"
)

// registrar writes this node's registration. Each write has a higher count, which the state watch delivers in revision
// order.
type registrar struct {
	mu      sync.Mutex
	lease   port.LeaseID
	written uint64 // count of the last write that the store has acknowledged
}

// registerLoop keeps this node's registration in the store, so that starting nodes find it.
func (n *Node) registerLoop(ctx context.Context) {
	runEvery(ctx, n.options.Timing.Register, func(ctx context.Context) {
		if _, err := n.register(ctx); err != nil {
			n.log.Debug("registration failed", "error", err)
		}
	})
}

// register writes the registration with a valid store lease and returns its count.
func (n *Node) register(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*n.options.Timing.StoreTimeout)
	defer cancel()
	r := &n.registrar
	r.mu.Lock()
	defer r.mu.Unlock()
	err := n.ensureLease(ctx, r)
	if err == nil {
		err = n.putRegistration(ctx, r)
	}
	n.recordStoreResult(err)
	return r.written, err
}

func (n *Node) ensureLease(ctx context.Context, r *registrar) error {
	if r.lease != 0 {
		err := n.ports.Store.KeepAlive(ctx, r.lease)
		if !errors.Is(err, port.ErrLeaseLapsed) {
			return err
		}
	}
	granted, err := n.ports.Store.Grant(ctx, n.options.Timing.RegisterTTL)
	if err == nil {
		r.lease = granted
	}
	return errors.Wrap(err, "grant store lease")
}

func (n *Node) putRegistration(ctx context.Context, r *registrar) error {
	value, err := json.Marshal(Registration{Address: n.options.PeerAddress, HTTPAddress: n.options.HTTPAddress,
		Zone: n.options.Zone, Count: r.written + 1})
	if err != nil {
		return errors.Wrap(err, "encode registration")
	}
	_, err = n.ports.Store.Put(ctx, port.Write{Key: port.NodePrefix + n.options.ID, Value: value, Lease: r.lease})
	if err == nil {
		r.written++
	}
	return err
}

func (r *registrar) count() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written
}

const (
	// barrierTimeout is how long the watch may take to deliver a write of this node before it is restarted.
	barrierTimeout      = 2 * time.Second
	barrierPollInterval = 20 * time.Millisecond
)

// barrier waits until the state cache contains every write that the store had applied when barrier was called. It
// writes this node's registration and waits until the watch, whose events come in revision order, delivers it. That
// costs one small write, whereas reading the complete state would cost megabytes. If the watch doesn't deliver it
// in time, the watch is restarted.
func (n *Node) barrier(ctx context.Context) error {
	count, err := n.register(ctx)
	if err != nil {
		return err
	}
	for waited := time.Duration(0); n.state.registrationCount(n.options.ID) < count; waited += barrierPollInterval {
		if waited >= barrierTimeout {
			n.restartWatch()
			return errors.Wrap(port.ErrUnavailable, "state watch did not deliver the registration in time")
		}
		if !wait.For(ctx, barrierPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

package node

import (
	"context"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/port"
)

var _ port.PeerHandler = (*Node)(nil)

// Gossip merges another member's digest and replies with what that member lacks.
func (n *Node) Gossip(_ context.Context, d membership.Digest) (membership.Digest, error) {
	now := n.ports.Clock.Now()
	n.mu.Lock()
	n.table.MergeRequest(d, now)
	n.updateSelf(now)
	reply := n.table.Reply(d, now)
	n.mu.Unlock()
	n.fetchNewerConfig(now)
	return reply, nil
}

// FetchConfiguration returns the active configuration.
func (n *Node) FetchConfiguration(context.Context) (configuration.Document, error) {
	config := n.currentConfig()
	if config == nil {
		return configuration.Document{}, port.ErrNotFound
	}
	return config.Document, nil
}

// Endpoints returns the endpoints of a partition that this node owns.
func (n *Node) Endpoints(ctx context.Context, r routing.EndpointsRequest) (routing.EndpointSet, error) {
	o := n.owners.get(r.Partition)
	if o == nil {
		return routing.EndpointSet{}, port.ErrNotFound
	}
	reply, err := queryOwner(ctx, o, func(c chan endpointsReply) event { return endpointsQuery{r, c} }, nil)
	if err != nil {
		return routing.EndpointSet{}, err
	}
	return reply.set, reply.err
}

// AskAllowance transfers a part of the allowance of a partition that this node owns.
func (n *Node) AskAllowance(ctx context.Context, r quota.AllowanceRequest) (quota.AllowanceReply, error) {
	o := n.owners.get(r.From)
	if o == nil {
		return quota.AllowanceReply{}, port.ErrNotFound
	}
	return n.transferAllowance(ctx, o, r)
}

// Handover queues the acquisition of a partition that its former owner has released.
func (n *Node) Handover(_ context.Context, partition string) error {
	if n.isDraining() {
		return port.ErrUnavailable
	}
	select {
	case n.handovers <- partition:
		return nil
	default:
		return port.ErrUnavailable
	}
}

// JobStatus returns the status of a job's run in a partition that this node owns.
func (n *Node) JobStatus(ctx context.Context, id job.ID) (job.Status, error) {
	run, found := n.state.run(id)
	if !found {
		return job.Status{}, port.ErrNotFound
	}
	o := n.owners.get(run.Partition)
	if o == nil {
		return job.Status{}, port.ErrNotFound
	}
	reply, err := queryOwner(ctx, o, func(c chan statusReply) event { return statusQuery{id, c} }, nil)
	if err != nil {
		return job.Status{}, err
	}
	if !reply.found {
		return job.Status{}, port.ErrNotFound
	}
	return reply.status, nil
}

// queryOwner sends a query to an owner's loop and waits for the reply. If ctx ends first, late gets the reply that the
// loop gives afterwards, unless late is nil or the owner stops.
func queryOwner[R any](ctx context.Context, o *owner, query func(chan R) event, late func(R)) (R, error) {
	var none R
	reply := make(chan R, 1)
	o.send(query(reply))
	select {
	case r := <-reply:
		return r, nil
	case <-o.done:
		return none, port.ErrNotFound
	case <-ctx.Done():
	}
	if late != nil {
		go func() {
			select {
			case r := <-reply:
				late(r)
			case <-o.done:
			}
		}()
	}
	return none, errors.Wrap(port.ErrUnavailable, "the owner's loop didn't answer in time")
}

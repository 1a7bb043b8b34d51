package port

import (
	"context"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/routing"
)

// Peers calls other ingress nodes at their peer addresses. Calls fail with ErrUnavailable or ErrUnknownOutcome,
// or with ErrNotFound if the peer isn't the owner of what the call refers to.
type Peers interface {
	// Gossip sends a digest and returns the peer's reply.
	Gossip(ctx context.Context, address string, d membership.Digest) (membership.Digest, error)
	// FetchConfiguration returns the peer's active configuration.
	FetchConfiguration(ctx context.Context, address string) (configuration.Document, error)
	// Endpoints returns the endpoints of a partition that the peer owns, with the caller's permits.
	Endpoints(ctx context.Context, address string, r routing.EndpointsRequest) (routing.EndpointSet, error)
	// AskAllowance requests a part of the allowance of a partition that the peer owns.
	AskAllowance(ctx context.Context, address string, r quota.AllowanceRequest) (quota.AllowanceReply, error)
	// Handover notifies a node that the caller has released the partition and that it should acquire it at once.
	Handover(ctx context.Context, address, partition string) error
	// JobStatus returns the status of a job's run in a partition that the peer owns.
	JobStatus(ctx context.Context, address string, id job.ID) (job.Status, error)
}

// PeerHandler serves the calls of other nodes.
type PeerHandler interface {
	Gossip(ctx context.Context, d membership.Digest) (membership.Digest, error)
	FetchConfiguration(ctx context.Context) (configuration.Document, error)
	Endpoints(ctx context.Context, r routing.EndpointsRequest) (routing.EndpointSet, error)
	AskAllowance(ctx context.Context, r quota.AllowanceRequest) (quota.AllowanceReply, error)
	Handover(ctx context.Context, partition string) error
	JobStatus(ctx context.Context, id job.ID) (job.Status, error)
}

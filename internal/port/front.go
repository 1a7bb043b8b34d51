package port

import (
	"context"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/cell"
)

// Errors of JobService.Submit.
var (
	// ErrNotAccepted: the job was not accepted and never runs.
	ErrNotAccepted = errors.New("not accepted")
	// ErrCanceled: the same, because a cancellation by the job's team was acknowledged before. It matches ErrNotAccepted.
	ErrCanceled = errors.Wrap(ErrNotAccepted, "canceled before it was accepted")
	// ErrAcceptanceUnknown: the job may have been accepted.
	ErrAcceptanceUnknown = errors.New("not known yet whether the job is accepted")
)

// JobService is the part of the node that the handler of callers' HTTP requests uses.
type JobService interface {
	// Config returns the active configuration, nil if there is none yet.
	Config() *cell.Config
	// Submit stores a job durably. It fails with ErrNotAccepted, ErrCanceled or ErrAcceptanceUnknown.
	Submit(ctx context.Context, j cell.Job) error
	// Cancel cancels a job of a team; known is false if there is no such job, and submissions of it by the team that are under
	// way are refused from then on. It fails with ErrUnavailable.
	Cancel(ctx context.Context, id cell.JobID, team string) (known bool, err error)
	// State returns a job's phase; known is false if there is no such job. It fails with ErrUnavailable.
	State(ctx context.Context, id cell.JobID, team string) (p cell.Phase, known bool, err error)
	// Waiting returns how many jobs of a queue wait for a task to start. It fails with ErrUnavailable.
	Waiting(ctx context.Context, queue string) (int64, error)
	// Ready reports whether the node should receive new connections.
	Ready() bool
	// Stopping reports whether the node is shutting down, so that each connection is closed after its next response.
	Stopping() bool
}

package peer

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/port"
)

// CallError is a failed call. It wraps one of port's errors and the cause.
type CallError struct {
	Method  string
	Address string
	Kind    error // port.ErrUnavailable, port.ErrUnknownOutcome or port.ErrNotFound
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s at %s: %v: %v", e.Method, e.Address, e.Kind, e.Cause)
}

// Unwrap returns the kind and the cause.
func (e *CallError) Unwrap() []error { return []error{e.Kind, e.Cause} }

// classify returns the kind of a failure. sent tells whether anything of the request left this node, read whether the
// call has no effect at the peer.
func classify(err error, sent, read bool) error {
	switch status.Code(err) {
	case codes.NotFound:
		return port.ErrNotFound
	case codes.Aborted, codes.InvalidArgument, codes.Unimplemented:
		return port.ErrUnavailable
	}
	if read || !sent {
		return port.ErrUnavailable
	}
	return port.ErrUnknownOutcome
}

// toStatus returns the grpc status of a handler's error. Unavailable is left to the transport, whose calls may have
// reached the handler.
func toStatus(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, port.ErrNotFound):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, port.ErrUnknownOutcome):
		return status.Error(codes.Unknown, err.Error())
	case errors.Is(err, port.ErrUnavailable):
		return status.Error(codes.Aborted, err.Error())
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return status.FromContextError(err).Err()
	}
	return status.Error(codes.Internal, err.Error())
}

// progress is what is known of a call that fails.
type progress struct {
	sent     atomic.Bool // the request's header was written
	received atomic.Bool // something came back
}

type progressKey struct{}

// progressHandler records the progress of calls in their contexts.
type progressHandler struct{}

func (progressHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (progressHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (progressHandler) HandleConn(context.Context, stats.ConnStats) {}

func (progressHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	p, ok := ctx.Value(progressKey{}).(*progress)
	if !ok {
		return
	}
	switch s.(type) {
	case *stats.OutHeader:
		p.sent.Store(true)
	case *stats.InHeader, *stats.InPayload, *stats.InTrailer:
		p.received.Store(true)
	}
}

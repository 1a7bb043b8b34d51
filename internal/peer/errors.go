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

// CallError describes a failed call. It wraps one of port's errors and the cause.
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

// classify returns the kind of a failure. sent is set if any part of the request was sent, readOnly if the call has
// no effect at the peer.
func classify(err error, sent, readOnly bool) error {
	switch status.Code(err) {
	case codes.NotFound:
		return port.ErrNotFound
	case codes.Aborted, codes.InvalidArgument, codes.Unimplemented:
		return port.ErrUnavailable
	}
	if readOnly || !sent {
		return port.ErrUnavailable
	}
	return port.ErrUnknownOutcome
}

// toStatus returns the gRPC status of a handler's error. It never uses codes.Unavailable, because the transport reports
// that for calls that may have reached the handler.
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

// callState records how far a call got, to classify its failure.
type callState struct {
	sent     atomic.Bool // the request's header was written
	received atomic.Bool // any part of a response arrived
}

type callStateKey struct{}

// callStateHandler records the state of calls in their contexts.
type callStateHandler struct{}

func (callStateHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (callStateHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

func (callStateHandler) HandleConn(context.Context, stats.ConnStats) {}

func (callStateHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	p, ok := ctx.Value(callStateKey{}).(*callState)
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

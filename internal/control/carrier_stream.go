package control

import (
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/rpc/cellpb"
)

// The scheduling node's end of a carrier's stream.

// Carry implements cellpb.CellServer on the scheduling node: the calling member becomes a carrier until the stream ends.
func (p *peerServer) Carry(stream cellpb.Cell_CarryServer) error {
	s := p.node.activeTerm.Load()
	if s == nil {
		return errNotScheduling
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	x, leave := s.carriers.join(first.Node, first.Zone)
	defer x.markLost()
	defer leave()
	received := make(chan error, 1)
	go func() { received <- x.receive(stream, leave) }()
	for {
		select {
		case call := <-x.out:
			calls := x.awaited(batchOf(x.out, call))
			if len(calls) == 0 {
				continue
			}
			if err := stream.Send(&cellpb.CarriedCalls{Calls: calls, SentMs: time.Now().UnixMilli()}); err != nil {
				return err
			}
		case err := <-received:
			return err
		case <-x.gone:
			return status.Error(codes.DeadlineExceeded, "the member is lost")
		case <-s.ctx.Done():
			return errNotScheduling
		}
	}
}

// awaited returns those of the calls whose callers still wait. The others have been taken for calls with an unknown outcome while
// they were queued behind a message that the stream didn't accept, and must not be executed later.
func (x *carrier) awaited(calls []*cellpb.CarriedCall) []*cellpb.CarriedCall {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.DeleteFunc(calls, func(c *cellpb.CarriedCall) bool { return x.pending[c.Id] == nil })
}

// batchOf returns an item together with those that are queued behind it, at most maxBatch in all.
func batchOf[T any](queue <-chan T, first T) []T {
	batch := []T{first}
	for len(batch) < maxBatch {
		select {
		case next := <-queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// receive passes the carrier's replies to the waiting calls. It calls leave when the carrier wants no further calls.
func (x *carrier) receive(stream cellpb.Cell_CarryServer, leave func()) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		if m.Leaving {
			leave()
		}
		for _, r := range m.Replies {
			x.mu.Lock()
			waiting := x.pending[r.Id]
			delete(x.pending, r.Id)
			x.mu.Unlock()
			if waiting != nil {
				waiting <- r // has a buffer for its only reply
			}
		}
	}
}

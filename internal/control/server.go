package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/contain"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// peerServer serves the calls of other nodes.
type peerServer struct {
	cellpb.UnimplementedCellServer
	node *Node
}

var errNotScheduling = status.Error(codes.FailedPrecondition, "this node doesn't schedule")

// Attach implements cellpb.CellServer.
func (p *peerServer) Attach(stream cellpb.Cell_AttachServer) error {
	s := p.node.activeTerm.Load()
	if s == nil {
		return errNotScheduling
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	x, leave := s.members.join(first)
	defer leave()
	defer s.carriers.memberLost(x.name)
	s.members.handleMessage(x, first)
	received := make(chan error, 1)
	heartbeat := make(chan struct{}, 1)
	go func() {
		err := errPanicked
		contain.Panics(p.node.options.Log, "a member's message", func() { err = p.receive(stream, s, x, heartbeat) })
		received <- err
	}()
	silence := time.NewTimer(heartbeatTimeout)
	defer silence.Stop()
	for {
		select {
		case m := <-x.out:
			if err := stream.Send(m); err != nil {
				return err
			}
		case err := <-received:
			return err
		case <-heartbeat:
			silence.Reset(s.members.silenceTimeout(x))
		case <-silence.C:
			p.node.options.Log.Warn("dependency lost", "dependency", "member", "node", x.name, "reason", "silent")
			return status.Error(codes.DeadlineExceeded, "silent")
		case <-s.ctx.Done():
			return errNotScheduling
		}
	}
}

func (p *peerServer) receive(stream cellpb.Cell_AttachServer, s *activeTerm, x *member, heartbeat chan<- struct{}) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		s.members.handleMessage(x, m)
		select {
		case heartbeat <- struct{}{}:
		default:
		}
	}
}

// State implements cellpb.CellServer.
func (p *peerServer) State(ctx context.Context, r *cellpb.StateRequest) (*cellpb.StateReply, error) {
	s := p.node.activeTerm.Load()
	if s == nil || !s.loaded.Load() {
		return &cellpb.StateReply{}, nil
	}
	state, ok := s.state(ctx, cell.JobID(r.Job))
	if !ok {
		return &cellpb.StateReply{}, nil
	}
	return &cellpb.StateReply{Scheduling: true, Phase: string(state.Phase), Team: state.Team, Known: state.Known}, nil
}

// Hears implements cellpb.CellServer.
func (p *peerServer) Hears(context.Context, *cellpb.HearsRequest) (*cellpb.HearsReply, error) {
	m := p.node.membership.Load()
	if m == nil {
		return &cellpb.HearsReply{SilenceMs: neverAge.Milliseconds()}, nil
	}
	return &cellpb.HearsReply{Term: m.term, SilenceMs: time.Since(m.lastContact).Milliseconds(), Address: m.address}, nil
}

// Configuration implements cellpb.CellServer.
func (p *peerServer) Configuration(context.Context, *cellpb.ConfigurationRequest) (*cellpb.ConfigurationReply, error) {
	if c := p.node.config.Load(); c != nil {
		return &cellpb.ConfigurationReply{Raw: c.raw}, nil
	}
	return &cellpb.ConfigurationReply{}, nil
}

// Relay implements cellpb.CellServer.
func (p *peerServer) Relay(ctx context.Context, r *cellpb.RelayRequest) (*cellpb.RelayReply, error) {
	switch call := r.Call.(type) {
	case *cellpb.RelayRequest_Get:
		e, err := p.node.options.Store.Get(ctx, call.Get)
		return relayReply(0, err, e), nil
	case *cellpb.RelayRequest_Txn:
		revision, err := p.node.store.TxnStore.Commit(ctx, txnFrom(call.Txn))
		return relayReply(revision, err), nil
	}
	return nil, status.Error(codes.InvalidArgument, "no call")
}

func relayReply(revision int64, err error, entries ...port.Entry) *cellpb.RelayReply {
	reply := &cellpb.RelayReply{Revision: revision}
	var conflict *port.TxnConflictError
	switch {
	case err == nil:
		reply.Outcome = cellpb.RelayReply_OK
	case errors.As(err, &conflict):
		reply.Outcome, entries = cellpb.RelayReply_CONFLICT, conflict.Current
	case errors.Is(err, port.ErrNotFound):
		reply.Outcome, entries = cellpb.RelayReply_NOT_FOUND, nil
	case errors.Is(err, port.ErrUnavailable):
		reply.Outcome, entries = cellpb.RelayReply_UNAVAILABLE, nil
	default:
		entries = nil
	}
	for _, e := range entries {
		reply.Entries = append(reply.Entries, &cellpb.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	return reply
}

func txnFrom(m *cellpb.Txn) port.Txn {
	t := port.Txn{Deletes: m.Deletes}
	for _, e := range m.Expect {
		t.Conditions = append(t.Conditions, port.Expect{Key: e.Key, Revision: e.Revision})
	}
	for _, p := range m.Puts {
		t.Puts = append(t.Puts, port.Put{Key: p.Key, Value: p.Value})
	}
	return t
}

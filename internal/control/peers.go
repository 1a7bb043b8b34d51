package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/contain"
	"sequoiastall/internal/inbound"
	"sequoiastall/internal/rpc/cellpb"
)

const (
	// peerTimeout bounds a call to another node.
	peerTimeout = 350 * time.Millisecond
	// maxMessage bounds a message between nodes: a configuration or a job.
	maxMessage = 4 << 20
	// maxCalls bounds the calls that another node has open at the same time on one connection.
	maxCalls = 64
	// maxHeaderBytes bounds the headers of a call.
	maxHeaderBytes = 8 << 10
	// handshakeTimeout bounds the time from the acceptance of a connection to the end of its handshake. The server waits for
	// open handshakes when it stops. Clients give up sooner.
	handshakeTimeout = time.Second
	// peerWindow is a fixed flow-control window, which keeps grpc from estimating the bandwidth with each answer.
	peerWindow = 1 << 20
)

func serverOptions(log *slog.Logger) []grpc.ServerOption {
	return []grpc.ServerOption{grpc.StatsHandler(inbound.CallStats{}), grpc.MaxConcurrentStreams(maxCalls), grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ChainUnaryInterceptor(containUnary(log), inbound.ChargeReplies), grpc.StreamInterceptor(containStream(log)),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxRecvMsgSize(maxMessage), grpc.InitialWindowSize(peerWindow), grpc.InitialConnWindowSize(peerWindow),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
		grpc.WriteBufferSize(8 << 10), grpc.ReadBufferSize(8 << 10)}
}

var errPanicked = status.Error(codes.Internal, "panic")

// containUnary makes a panic in a call fail only that call.
func containUnary(log *slog.Logger) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
		if contain.Panics(log, info.FullMethod, func() { reply, err = handle(ctx, request) }) {
			return nil, errPanicked
		}
		return reply, err
	}
}

// containStream makes a panic in a stream end only that stream.
func containStream(log *slog.Logger) grpc.StreamServerInterceptor {
	return func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
		if contain.Panics(log, info.FullMethod, func() { err = handle(server, stream) }) {
			return errPanicked
		}
		return err
	}
}

// peerConns holds one connection to each other node.
type peerConns struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// client returns a client for another node. The connection is established by the first call.
func (p *peerConns) client(address string) cellpb.CellClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		return cellpb.NewCellClient(c)
	}
	c, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.5, MaxDelay: 300 * time.Millisecond},
			MinConnectTimeout: 500 * time.Millisecond}),
		grpc.WithInitialWindowSize(peerWindow), grpc.WithInitialConnWindowSize(peerWindow),
		grpc.WithWriteBufferSize(8<<10), grpc.WithReadBufferSize(8<<10),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
	if err != nil {
		return failingClient{err}
	}
	if p.conns == nil {
		p.conns = map[string]*grpc.ClientConn{}
	}
	p.conns[address] = c
	return cellpb.NewCellClient(c)
}

// reset closes the connection to a node that no longer answers. The next call opens a new one.
func (p *peerConns) reset(address string) {
	p.mu.Lock()
	c := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

func (p *peerConns) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

// failingClient fails all calls to an address for which no client could be created.
type failingClient struct{ err error }

func (f failingClient) Attach(context.Context, ...grpc.CallOption) (grpc.BidiStreamingClient[cellpb.MemberMessage, cellpb.SchedulerMessage], error) {
	return nil, f.err
}

func (f failingClient) State(context.Context, *cellpb.StateRequest, ...grpc.CallOption) (*cellpb.StateReply, error) {
	return nil, f.err
}

func (f failingClient) Hears(context.Context, *cellpb.HearsRequest, ...grpc.CallOption) (*cellpb.HearsReply, error) {
	return nil, f.err
}

func (f failingClient) Configuration(context.Context, *cellpb.ConfigurationRequest, ...grpc.CallOption) (*cellpb.ConfigurationReply, error) {
	return nil, f.err
}

func (f failingClient) Workers(context.Context, *cellpb.WorkersRequest, ...grpc.CallOption) (*cellpb.WorkersReply, error) {
	return nil, f.err
}

func (f failingClient) Jobs(context.Context, *cellpb.JobsRequest, ...grpc.CallOption) (*cellpb.JobsReply, error) {
	return nil, f.err
}

func (f failingClient) Carry(context.Context, ...grpc.CallOption) (grpc.BidiStreamingClient[cellpb.CarriedReplies, cellpb.CarriedCalls], error) {
	return nil, f.err
}

func (f failingClient) Relay(context.Context, *cellpb.RelayRequest, ...grpc.CallOption) (*cellpb.RelayReply, error) {
	return nil, f.err
}

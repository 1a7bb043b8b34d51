package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/peerpb"
	"sequoiastall/internal/telemetry"
)

// Server serves calls from other nodes.
type Server struct {
	grpc            *grpc.Server
	trafficCounters *telemetry.TrafficCounters
}

// NewServer returns a server that passes calls to h, which must be safe for concurrent use.
func NewServer(h port.PeerHandler, o Options) *Server {
	options := []grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.MaxConcurrentStreams(maxStreams), grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.StaticStreamWindowSize(flowWindowBytes), grpc.StaticConnWindowSize(flowWindowBytes),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
	}
	if o.Stats != nil {
		options = append(options, grpc.StatsHandler(o.Stats))
	}
	s := &Server{grpc: grpc.NewServer(options...), trafficCounters: o.TrafficCounters}
	peerpb.RegisterPeerServer(s.grpc, &service{handler: h})
	return s
}

// Serve accepts connections until Stop, or until the listener fails. It closes the listener.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(s.trafficCounters.Listener(l)) }

// Stop waits up to gracefulStopWait for calls in progress, and closes all connections.
func (s *Server) Stop() {
	timer := time.AfterFunc(gracefulStopWait, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
}

// service converts between gRPC messages and the handler's types.
type service struct {
	peerpb.UnimplementedPeerServer
	handler port.PeerHandler
}

func (s *service) Gossip(ctx context.Context, m *peerpb.Digest) (*peerpb.Digest, error) {
	d, err := toDigest(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	reply, err := s.handler.Gossip(ctx, d)
	if err != nil {
		return nil, toStatus(err)
	}
	return fromDigest(reply), nil
}

func (s *service) FetchConfiguration(ctx context.Context, _ *peerpb.FetchConfigurationRequest) (*peerpb.Document, error) {
	d, err := s.handler.FetchConfiguration(ctx)
	if err != nil {
		return nil, toStatus(err)
	}
	return &peerpb.Document{Revision: d.Revision, Digest: d.Digest, Data: d.Data}, nil
}

func (s *service) Endpoints(ctx context.Context, m *peerpb.EndpointsRequest) (*peerpb.EndpointSet, error) {
	set, err := s.handler.Endpoints(ctx, toEndpointsRequest(m))
	if err != nil {
		return nil, toStatus(err)
	}
	return fromEndpointSet(set), nil
}

func (s *service) AskAllowance(ctx context.Context, m *peerpb.AllowanceRequest) (*peerpb.AllowanceReply, error) {
	amount := toVector(m.GetAmount())
	if amount.HasNegative() {
		return nil, status.Error(codes.InvalidArgument, "amount is negative")
	}
	r, err := s.handler.AskAllowance(ctx, quota.AllowanceRequest{
		Team: m.GetTeam(), From: m.GetFrom(), To: m.GetTo(), Amount: amount})
	if err != nil {
		return nil, toStatus(err)
	}
	return &peerpb.AllowanceReply{Moved: fromVector(r.Moved), Revision: r.Revision}, nil
}

func (s *service) Handover(ctx context.Context, m *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	if err := s.handler.Handover(ctx, m.GetPartition()); err != nil {
		return nil, toStatus(err)
	}
	return &peerpb.HandoverReply{}, nil
}

func (s *service) JobStatus(ctx context.Context, m *peerpb.JobStatusRequest) (*peerpb.JobStatusReply, error) {
	jobStatus, err := s.handler.JobStatus(ctx, job.ID(m.GetId()))
	if err != nil {
		return nil, toStatus(err)
	}
	data, err := json.Marshal(jobStatus)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peerpb.JobStatusReply{Status: data}, nil
}

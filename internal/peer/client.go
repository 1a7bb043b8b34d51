package peer

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/peerpb"
)

// Client calls other nodes over one connection to each. If a call times out and its connection received nothing in the
// meantime, the client replaces the connection, because an established connection can stop responding while new ones
// work.
type Client struct {
	options Options
	mu      sync.Mutex
	conns   map[string]*peerConn // by address
	closed  bool
}

var _ port.Peers = (*Client)(nil)

// peerConn is the connection to one peer.
type peerConn struct {
	grpcConn  *grpc.ClientConn
	responses atomic.Uint64 // number of calls that received something
}

// NewClient returns a client. It connects to a peer on the first call.
func NewClient(o Options) *Client {
	return &Client{options: o.withDefaults(), conns: map[string]*peerConn{}}
}

// Close closes all connections; calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, conn := range c.conns {
		delete(c.conns, address)
		_ = conn.grpcConn.Close()
	}
}

// Retain closes the connections to all addresses except the given ones. It is meant for closing the connections to
// members that no longer exist.
func (c *Client) Retain(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if !slices.Contains(addresses, address) {
			delete(c.conns, address)
			_ = conn.grpcConn.Close()
		}
	}
}

// conn returns the connection to the address and creates it on first use.
func (c *Client) conn(address string) (*peerConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("client is closed")
	}
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	grpcConn, err := grpc.NewClient("passthrough:///"+address, c.dialOptions()...)
	if err != nil {
		return nil, errors.Wrap(err, "invalid address")
	}
	conn := &peerConn{grpcConn: grpcConn}
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) dialOptions() []grpc.DialOption {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithDisableHealthCheck(),
		grpc.WithStaticStreamWindowSize(flowWindowBytes), grpc.WithStaticConnWindowSize(flowWindowBytes),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: reconnectBase, Multiplier: reconnectFactor,
				Jitter: reconnectJitter, MaxDelay: reconnectMax},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithStatsHandler(callStateHandler{}),
	}
	if c.options.TrafficCounters != nil {
		options = append(options, grpc.WithContextDialer(c.dial))
	}
	if c.options.Stats != nil {
		options = append(options, grpc.WithStatsHandler(c.options.Stats))
	}
	return options
}

// dial opens a connection whose bytes are counted.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return c.options.TrafficCounters.Conn(conn), nil
}

// replace closes a connection that has stopped responding, and removes it unless another call has already replaced it.
func (c *Client) replace(address string, conn *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	_ = conn.grpcConn.Close()
}

// call runs one call with its timeout. readOnly is set if the call has no effect at the peer.
func (c *Client) call(ctx context.Context, method, address string, timeout time.Duration, readOnly bool,
	run func(context.Context, peerpb.PeerClient) error) error {
	conn, err := c.conn(address)
	if err != nil {
		return &CallError{Method: method, Address: address, Kind: port.ErrUnavailable, Cause: err}
	}
	state := &callState{}
	limited, cancel := context.WithTimeout(context.WithValue(ctx, callStateKey{}, state), timeout)
	defer cancel()
	responsesBefore, started := conn.responses.Load(), time.Now()
	err = run(limited, peerpb.NewPeerClient(conn.grpcConn))
	if state.received.Load() {
		conn.responses.Add(1)
	}
	if err == nil {
		return nil
	}
	expired := errors.Is(limited.Err(), context.DeadlineExceeded) && time.Since(started) >= minSilence
	if expired && state.sent.Load() && conn.responses.Load() == responsesBefore {
		c.replace(address, conn)
	}
	return &CallError{Method: method, Address: address, Kind: classify(err, state.sent.Load(), readOnly), Cause: err}
}

// Gossip exchanges digests.
func (c *Client) Gossip(ctx context.Context, address string, d membership.Digest) (membership.Digest, error) {
	var reply membership.Digest
	err := c.call(ctx, "gossip", address, c.options.CallTimeout, false,
		func(ctx context.Context, p peerpb.PeerClient) error {
			response, err := p.Gossip(ctx, fromDigest(d))
			if err != nil {
				return err
			}
			reply, err = toDigest(response)
			return err
		})
	return reply, err
}

// FetchConfiguration returns the peer's active configuration.
func (c *Client) FetchConfiguration(ctx context.Context, address string) (configuration.Document, error) {
	var d configuration.Document
	err := c.call(ctx, "fetch configuration", address, c.options.CallTimeout, true,
		func(ctx context.Context, p peerpb.PeerClient) error {
			response, err := p.FetchConfiguration(ctx, &peerpb.FetchConfigurationRequest{})
			d = configuration.Document{Revision: response.GetRevision(), Digest: response.GetDigest(), Data: response.GetData()}
			return err
		})
	return d, err
}

// Endpoints returns a partition's endpoints from its owner, which may delay the reply until they change.
func (c *Client) Endpoints(ctx context.Context, address string, r routing.EndpointsRequest) (routing.EndpointSet, error) {
	var set routing.EndpointSet
	err := c.call(ctx, "endpoints", address, c.options.PollTimeout, false,
		func(ctx context.Context, p peerpb.PeerClient) error {
			response, err := p.Endpoints(ctx, fromEndpointsRequest(r))
			set = toEndpointSet(response)
			return err
		})
	return set, err
}

// AskAllowance requests a part of the allowance of another owner's partition.
func (c *Client) AskAllowance(ctx context.Context, address string, r quota.AllowanceRequest) (quota.AllowanceReply, error) {
	var reply quota.AllowanceReply
	err := c.call(ctx, "ask allowance", address, c.options.CallTimeout, false,
		func(ctx context.Context, p peerpb.PeerClient) error {
			response, err := p.AskAllowance(ctx, &peerpb.AllowanceRequest{
				Team: r.Team, From: r.From, To: r.To, Amount: fromVector(r.Amount)})
			reply = quota.AllowanceReply{Moved: toVector(response.GetMoved()), Revision: response.GetRevision()}
			return err
		})
	return reply, err
}

// Handover notifies a node that the caller has released the partition.
func (c *Client) Handover(ctx context.Context, address, partition string) error {
	return c.call(ctx, "handover", address, c.options.CallTimeout, false,
		func(ctx context.Context, p peerpb.PeerClient) error {
			_, err := p.Handover(ctx, &peerpb.HandoverRequest{Partition: partition})
			return err
		})
}

// JobStatus returns a job's status from the owner of its partition.
func (c *Client) JobStatus(ctx context.Context, address string, id job.ID) (job.Status, error) {
	var s job.Status
	err := c.call(ctx, "job status", address, c.options.CallTimeout, true,
		func(ctx context.Context, p peerpb.PeerClient) error {
			response, err := p.JobStatus(ctx, &peerpb.JobStatusRequest{Id: string(id)})
			if err != nil {
				return err
			}
			return errors.Wrap(json.Unmarshal(response.GetStatus(), &s), "decode job status")
		})
	return s, err
}

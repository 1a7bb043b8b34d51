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

// Client calls other nodes and keeps one connection to each. A call that times out while nothing at all arrived on its
// connection replaces the connection: established connections can go silent while new ones work.
type Client struct {
	options Options
	mu      sync.Mutex
	links   map[string]*link // by address
	closed  bool
}

var _ port.Peers = (*Client)(nil)

// link is one connection.
type link struct {
	connection *grpc.ClientConn
	answers    atomic.Uint64 // calls on which something was received
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	return &Client{options: o.withDefaults(), links: map[string]*link{}}
}

// Close closes all connections; calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, l := range c.links {
		delete(c.links, address)
		_ = l.connection.Close()
	}
}

// Retain closes the connections to all other addresses, for members that no longer exist.
func (c *Client) Retain(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		if !slices.Contains(addresses, address) {
			delete(c.links, address)
			_ = l.connection.Close()
		}
	}
}

// link returns the connection to the address; it connects on first use.
func (c *Client) link(address string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("client is closed")
	}
	if l := c.links[address]; l != nil {
		return l, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address, c.dialOptions()...)
	if err != nil {
		return nil, errors.Wrap(err, "bad address")
	}
	l := &link{connection: connection}
	c.links[address] = l
	return l, nil
}

func (c *Client) dialOptions() []grpc.DialOption {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithDisableHealthCheck(),
		grpc.WithStaticStreamWindowSize(flowWindowBytes), grpc.WithStaticConnWindowSize(flowWindowBytes),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingEvery, Timeout: pingTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: reconnectBase, Multiplier: reconnectFactor,
				Jitter: reconnectJitter, MaxDelay: reconnectMax},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithStatsHandler(progressHandler{}),
	}
	if c.options.Wire != nil {
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
	return c.options.Wire.Conn(conn), nil
}

// replace closes a connection that went silent, unless another call has already replaced it.
func (c *Client) replace(address string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == l {
		delete(c.links, address)
	}
	_ = l.connection.Close()
}

// call runs one call with its timeout. read tells that the call has no effect at the peer.
func (c *Client) call(ctx context.Context, method, address string, timeout time.Duration, read bool,
	run func(context.Context, peerpb.PeerClient) error) error {
	l, err := c.link(address)
	if err != nil {
		return &CallError{Method: method, Address: address, Kind: port.ErrUnavailable, Cause: err}
	}
	p := &progress{}
	limited, cancel := context.WithTimeout(context.WithValue(ctx, progressKey{}, p), timeout)
	defer cancel()
	before, started := l.answers.Load(), time.Now()
	err = run(limited, peerpb.NewPeerClient(l.connection))
	if p.received.Load() {
		l.answers.Add(1)
	}
	if err == nil {
		return nil
	}
	expired := errors.Is(limited.Err(), context.DeadlineExceeded) && time.Since(started) >= shortestSilence
	if expired && p.sent.Load() && l.answers.Load() == before {
		c.replace(address, l)
	}
	return &CallError{Method: method, Address: address, Kind: classify(err, p.sent.Load(), read), Cause: err}
}

// Gossip exchanges digests.
func (c *Client) Gossip(ctx context.Context, address string, d membership.Digest) (membership.Digest, error) {
	var answer membership.Digest
	err := c.call(ctx, "gossip", address, c.options.CallTimeout, false,
		func(ctx context.Context, p peerpb.PeerClient) error {
			response, err := p.Gossip(ctx, fromDigest(d))
			if err != nil {
				return err
			}
			answer, err = toDigest(response)
			return err
		})
	return answer, err
}

// FetchConfiguration returns the configuration in force at the peer.
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

// Endpoints asks an owner for a partition's endpoints; the call may be held until they change.
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

// AskAllowance asks an owner for a part of its allowance.
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

// Handover tells a node that the caller has released the partition.
func (c *Client) Handover(ctx context.Context, address, partition string) error {
	return c.call(ctx, "handover", address, c.options.CallTimeout, false,
		func(ctx context.Context, p peerpb.PeerClient) error {
			_, err := p.Handover(ctx, &peerpb.HandoverRequest{Partition: partition})
			return err
		})
}

// JobStatus asks a job's owner for its status.
func (c *Client) JobStatus(ctx context.Context, address string, id job.ID) (job.Status, error) {
	var s job.Status
	err := c.call(ctx, "job status", address, c.options.CallTimeout, true,
		func(ctx context.Context, p peerpb.PeerClient) error {
			response, err := p.JobStatus(ctx, &peerpb.JobStatusRequest{Id: string(id)})
			if err != nil {
				return err
			}
			return errors.Wrap(json.Unmarshal(response.GetStatus(), &s), "bad status")
		})
	return s, err
}

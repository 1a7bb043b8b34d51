// Package connection maintains a gRPC connection to one server, given by IP address and port. It replaces a connection
// that no longer receives data, and reports for each failed call whether it may have reached the server.
package connection

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

const (
	// silenceThreshold is how long the server must have sent no data for the connection to be considered dead. It is below
	// the 500 ms timeout of the calls, so a single timed-out call is enough.
	silenceThreshold = 400 * time.Millisecond
	// pingInterval is the lowest value that gRPC permits to a client. Pings detect dead connections that carry only a
	// stream.
	pingInterval = 10 * time.Second
	pingTimeout  = 2 * time.Second
	// The delays between connection attempts stay below the 3 s of a control lease.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = time.Second
	connectTimeout    = time.Second
	// dialInterval is how long an attempt to connect may take before another one is started beside it. The system repeats
	// a lost SYN only after 1 s, which is more than the 500 ms timeout of the calls. It exceeds the round trip between any
	// two data centres.
	dialInterval = 150 * time.Millisecond
	// maxDials bounds the attempts at the same time, because a host that is gone answers none of them, and the control
	// traffic of a node is limited.
	maxDials = 2
	// flowWindowBytes is the size of the static flow-control windows. Without them gRPC sends a bandwidth probe of 34
	// bytes with each response.
	flowWindowBytes = 1 << 20
)

// ErrClosed is returned by calls after Close.
var ErrClosed = errors.New("connection is closed")

// Error is the failure of a call.
type Error struct {
	Method string
	Sent   bool // the server may have received the call
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("%s: %v", e.Method, e.Err)
	}
	return fmt.Sprintf("%s: not sent: %v", e.Method, e.Err)
}

// Unwrap returns the gRPC status error.
func (e *Error) Unwrap() error { return e.Err }

// GRPCStatus lets status.FromError find the status.
func (e *Error) GRPCStatus() *status.Status { return status.Convert(e.Err) }

// Conn implements grpc.ClientConnInterface. Its calls fail with *Error, its streams with gRPC status errors. The
// deadline of a call is that of its context.
type Conn struct {
	address string
	options Options

	mu      sync.Mutex
	current *transport
	closed  bool
}

// transport is one gRPC connection. gRPC reconnects it after errors, but doesn't detect that the server has gone silent.
type transport struct {
	*grpc.ClientConn
	lastRead atomic.Int64 // Unix nanoseconds
}

// Options configures the observation of a connection. Nil fields observe nothing.
type Options struct {
	Stats stats.Handler             // observes the messages
	Wrap  func(c net.Conn) net.Conn // wraps the network connection to observe its bytes

	// dial replaces the TCP connect in tests.
	dial func(ctx context.Context, address string) (net.Conn, error)
}

// New returns a connection that is established on the first call.
func New(address string, o Options) (*Conn, error) {
	if _, err := net.ResolveTCPAddr("tcp", address); err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	return &Conn{address: address, options: o}, nil
}

func dial(address string, o Options) (*transport, error) {
	if o.dial == nil {
		o.dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	t := &transport{}
	dialer := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialFirst(ctx, func(ctx context.Context) (net.Conn, error) { return o.dial(ctx, address) })
		if err != nil {
			return nil, err
		}
		if o.Wrap != nil {
			c = o.Wrap(c)
		}
		return &readTrackingConn{Conn: c, lastRead: &t.lastRead}, nil
	}
	reconnect := backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectDelay}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialer),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(flowWindowBytes), grpc.WithStaticConnWindowSize(flowWindowBytes),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithIdleTimeout(0),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(math.MaxInt32)),
	}
	if o.Stats != nil {
		options = append(options, grpc.WithStatsHandler(o.Stats))
	}
	cc, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	t.ClientConn = cc
	return t, nil
}

// Invoke implements grpc.ClientConnInterface.
func (c *Conn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	t, err := c.transport()
	if err != nil {
		return &Error{Method: method, Err: err}
	}
	sent := new(atomic.Bool)
	start := time.Now()
	err = t.Invoke(context.WithValue(ctx, sentKey{}, sent), method, args, reply, opts...)
	if err == nil {
		return nil
	}
	if status.Code(err) == codes.DeadlineExceeded && sent.Load() {
		c.closeIfSilent(t, start)
	}
	return &Error{Method: method, Sent: sent.Load(), Err: err}
}

// NewStream implements grpc.ClientConnInterface.
func (c *Conn) NewStream(ctx context.Context, d *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	t, err := c.transport()
	if err != nil {
		return nil, &Error{Method: method, Err: err}
	}
	return t.NewStream(ctx, d, method, opts...)
}

// Close closes the connection, which ends all calls.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.current == nil {
		return nil
	}
	err := c.current.ClientConn.Close()
	c.current = nil
	return err
}

func (c *Conn) transport() (*transport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if c.current == nil {
		t, err := dial(c.address, c.options)
		if err != nil {
			return nil, err
		}
		c.current = t
	}
	return c.current, nil
}

// closeIfSilent closes the connection if the server has sent no data within silenceThreshold while a call has been
// waiting since start. Other calls on the connection fail as well; their responses would not have arrived either. Data
// received shortly after start doesn't prove that the connection is alive: it may have been in flight when the silence
// began.
func (c *Conn) closeIfSilent(t *transport, start time.Time) {
	if time.Since(start) < silenceThreshold || time.Since(time.Unix(0, t.lastRead.Load())) < silenceThreshold {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == t {
		c.current = nil
		_ = t.ClientConn.Close()
	}
}

// readTrackingConn records the time of the last read that returned data.
type readTrackingConn struct {
	net.Conn
	lastRead *atomic.Int64
}

// Read implements net.Conn.
func (c *readTrackingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

type sentKey struct{}

// sentHandler records that the header of a call was passed to the transport. Until then the server can't have run the
// call.
type sentHandler struct{}

func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}

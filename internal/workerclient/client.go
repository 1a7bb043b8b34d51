// Package workerclient implements port.Workers with the gRPC protocol of the platform's worker agents.
package workerclient

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/connection"
	"sequoiastall/internal/rpc/workerpb"
)

const (
	// callTimeout limits each call, in addition to the wait time of a long poll. It leaves time for two retries within
	// the 3 s of a control lease.
	callTimeout = time.Second
	// idleTimeout is how long an unused connection to a worker is kept. Connections have to expire because workers are
	// replaced, and their addresses with them. It exceeds the longest long poll.
	idleTimeout = 5 * time.Minute
)

// InvalidError means that a call was rejected as invalid, by the worker or by the client's own checks. The call had no
// effect, and retrying it won't help.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "rejected by the worker: " + e.Reason }

// Client implements port.Workers with one connection per worker.
type Client struct {
	clock   port.Clock
	options connection.Options // options of each connection

	mu      sync.Mutex
	workers map[string]*workerConn // by address
	closed  bool
}

var _ port.Workers = (*Client)(nil)

// workerConn is the connection to one worker.
type workerConn struct {
	conn     *connection.Conn
	lastUsed time.Time
}

// New returns a client that connects to a worker on the first call.
func New(clock port.Clock, o connection.Options) *Client {
	return &Client{clock: clock, options: o, workers: map[string]*workerConn{}}
}

// Close closes all connections, which ends their calls.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var first error
	for address, wc := range c.workers {
		if err := wc.conn.Close(); err != nil && first == nil {
			first = errors.Wrap(err, address)
		}
		delete(c.workers, address)
	}
	return first
}

func (c *Client) worker(host port.Host) (workerpb.WorkerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.Wrap(port.ErrUnavailable, "worker client is closed")
	}
	now := c.clock.Now()
	wc := c.workers[host.Address]
	if wc == nil {
		c.closeIdle(now)
		conn, err := connection.New(host.Address, c.options)
		if err != nil {
			return nil, errors.Wrapf(port.ErrUnavailable, "worker %s: %v", host.ID, err)
		}
		wc = &workerConn{conn: conn}
		c.workers[host.Address] = wc
	}
	wc.lastUsed = now
	return workerpb.NewWorkerClient(wc.conn), nil
}

func (c *Client) closeIdle(now time.Time) {
	for address, wc := range c.workers {
		if now.Sub(wc.lastUsed) > idleTimeout {
			_ = wc.conn.Close()
			delete(c.workers, address)
		}
	}
}

// Acquire implements port.Workers.
func (c *Client) Acquire(ctx context.Context, host port.Host, node string, control, task time.Duration) (port.Inventory, error) {
	w, err := c.worker(host)
	if err != nil {
		return port.Inventory{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := w.Acquire(ctx, &workerpb.AcquireRequest{
		Node: node, ControlTtlMs: control.Milliseconds(), TaskTtlMs: task.Milliseconds(),
	})
	if err != nil {
		return port.Inventory{}, callError(host, err)
	}
	if !r.Granted {
		return port.Inventory{}, &port.LeaseHeldError{Holder: r.Holder, For: time.Duration(r.HeldForMs) * time.Millisecond}
	}
	return toInventory(host, r)
}

// Sync implements port.Workers. Its timeout is longer than that of other calls by s.Wait.
func (c *Client) Sync(ctx context.Context, host port.Host, s port.Sync) (port.SyncResult, error) {
	request, err := fromSync(s)
	if err != nil {
		return port.SyncResult{}, err
	}
	w, err := c.worker(host)
	if err != nil {
		return port.SyncResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+s.Wait)
	defer cancel()
	r, err := w.Sync(ctx, request)
	if err != nil {
		return port.SyncResult{}, callError(host, err)
	}
	if !r.Accepted {
		return port.SyncResult{}, port.ErrFenced
	}
	return toResult(host, r)
}

// Release implements port.Workers.
func (c *Client) Release(ctx context.Context, host port.Host, node string, token port.Token) error {
	w, err := c.worker(host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := w.Release(ctx, &workerpb.ReleaseRequest{Node: node, Token: uint64(token)}); err != nil {
		return callError(host, err)
	}
	return nil
}

// callError converts the error of a call. All calls change state, so the outcome of a call that was sent is unknown
// unless the worker rejected it as invalid.
func callError(host port.Host, err error) error {
	var failed *connection.Error
	if !errors.As(err, &failed) || !failed.Sent {
		return errors.Wrapf(port.ErrUnavailable, "worker %s: %v", host.ID, err)
	}
	if s := status.Convert(failed.Err); s.Code() == codes.InvalidArgument {
		return &InvalidError{s.Message()}
	}
	return errors.Wrapf(port.ErrUnknownOutcome, "worker %s: %v", host.ID, err)
}

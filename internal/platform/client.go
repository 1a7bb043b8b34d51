// Package platform implements port.Store and port.HostList with the platform's gRPC protocol.
package platform

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/connection"
	"sequoiastall/internal/rpc/platformpb"
)

const (
	// callTimeout limits each call except Watch, even if the caller's context allows more time.
	callTimeout = 500 * time.Millisecond
	// MaxValueBytes is the largest value that the store accepts.
	MaxValueBytes = 1 << 20
)

// InvalidError means that a call was rejected as invalid, by the store or by the client's own checks. The call had no
// effect, and retrying it won't help.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "rejected by the store: " + e.Reason }

// Client implements port.Store and port.HostList. All calls share one connection.
type Client struct {
	conn *connection.Conn
	// uncompressed is set once the platform has rejected a compressed call.
	uncompressed atomic.Bool
	store        platformpb.StoreClient
	hosts        platformpb.HostListClient
}

var (
	_ port.Store    = (*Client)(nil)
	_ port.HostList = (*Client)(nil)
)

// New returns a client of the platform at address, IP:port. It connects on the first call.
func New(address string, o connection.Options) (*Client, error) {
	conn, err := connection.New(address, o)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	return &Client{conn: conn, store: platformpb.NewStoreClient(conn), hosts: platformpb.NewHostListClient(conn)}, nil
}

// Close closes the connection, which ends all calls and watches.
func (c *Client) Close() error { return c.conn.Close() }

// Get implements port.Store.
func (c *Client) Get(ctx context.Context, key string) (port.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.store.Get(ctx, &platformpb.GetRequest{Key: key})
	if err != nil {
		return port.Entry{}, readError(err)
	}
	if !r.Found {
		return port.Entry{}, errors.Wrap(port.ErrNotFound, key)
	}
	return *toEntry(r.Entry), nil
}

// Range implements port.Store.
func (c *Client) Range(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.store.Range(ctx, &platformpb.RangeRequest{Prefix: prefix})
	if err != nil {
		return nil, 0, readError(err)
	}
	out := make([]port.Entry, 0, len(r.Entries))
	for _, e := range r.Entries {
		out = append(out, *toEntry(e))
	}
	return out, r.Revision, nil
}

// Put implements port.Store. It also fails with *InvalidError, and with port.ErrLeaseLapsed if w.Lease no longer exists.
func (c *Client) Put(ctx context.Context, w port.Write) (int64, error) {
	if len(w.Value) > MaxValueBytes {
		return 0, &InvalidError{fmt.Sprintf("value of %s has %d bytes, the limit is %d", w.Key, len(w.Value), MaxValueBytes)}
	}
	condition, ok := conditions[w.Condition]
	if !ok {
		return 0, &InvalidError{fmt.Sprintf("condition %d is not defined", w.Condition)}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.store.Put(ctx, &platformpb.PutRequest{
		Key: w.Key, Value: w.Value, Condition: condition, Revision: w.Revision, Lease: int64(w.Lease),
	})
	if err != nil {
		return 0, writeError(err)
	}
	if !r.Applied {
		return 0, &port.ConflictError{Key: w.Key, Current: toEntry(r.Current)}
	}
	return r.Revision, nil
}

var conditions = map[port.Condition]platformpb.PutRequest_Condition{
	port.Always:     platformpb.PutRequest_ALWAYS,
	port.IfAbsent:   platformpb.PutRequest_IF_ABSENT,
	port.IfRevision: platformpb.PutRequest_IF_REVISION,
}

// Delete implements port.Store. An unconditional deletion of an absent key succeeds.
func (c *Client) Delete(ctx context.Context, key string, ifRevision int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.store.Delete(ctx, &platformpb.DeleteRequest{Key: key, IfRevision: ifRevision})
	if err != nil {
		return writeError(err)
	}
	if !r.Applied {
		return &port.ConflictError{Key: key, Current: toEntry(r.Current)}
	}
	return nil
}

// Grant implements port.Store. If the response is lost, the granted lease expires by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.store.Grant(ctx, &platformpb.GrantRequest{TtlMs: ttl.Milliseconds()})
	if err != nil {
		return 0, writeError(err)
	}
	return port.LeaseID(r.Lease), nil
}

// KeepAlive implements port.Store.
func (c *Client) KeepAlive(ctx context.Context, lease port.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.store.KeepAlive(ctx, &platformpb.KeepAliveRequest{Lease: int64(lease)})
	if err != nil {
		return writeError(err)
	}
	if !r.Alive {
		return errors.Wrapf(port.ErrLeaseLapsed, "lease %d", lease)
	}
	return nil
}

// Watch implements port.Store. It always ends with an error: the context's, that of handle, port.ErrCompacted or
// port.ErrUnavailable.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, handle func([]port.WatchEvent) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.store.Watch(ctx, &platformpb.WatchRequest{Prefix: prefix, AfterRevision: after})
	if err != nil {
		return watchError(ctx, err)
	}
	for {
		r, err := stream.Recv()
		if err != nil {
			return watchError(ctx, err)
		}
		if r.Compacted {
			return errors.Wrapf(port.ErrCompacted, "watch of %s after revision %d", prefix, after)
		}
		events := make([]port.WatchEvent, 0, len(r.Events))
		for _, e := range r.Events {
			events = append(events, port.WatchEvent{Entry: *toEntry(e.Entry), Deleted: e.Deleted})
		}
		if err := handle(events); err != nil {
			return err
		}
	}
}

// List implements port.HostList.
func (c *Client) List(ctx context.Context) ([]port.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.listHosts(ctx)
	if err != nil {
		return nil, readError(err)
	}
	out := make([]port.Host, 0, len(r.Hosts))
	for _, h := range r.Hosts {
		state, ok := hostStates[h.State]
		if !ok {
			return nil, errors.Wrapf(port.ErrUnavailable, "state %d of host %s is not defined", h.State, h.Id)
		}
		out = append(out, port.Host{ID: h.Id, Zone: h.Zone, Rack: h.Rack, Address: h.Address, State: state})
	}
	return out, nil
}

// listHosts requests a compressed response, because the entries of the list differ in only a few bytes. It falls back to
// an uncompressed call if the platform doesn't support compression.
func (c *Client) listHosts(ctx context.Context) (*platformpb.ListResponse, error) {
	if c.uncompressed.Load() {
		return c.hosts.List(ctx, &platformpb.ListRequest{})
	}
	r, err := c.hosts.List(ctx, &platformpb.ListRequest{}, grpc.UseCompressor(gzip.Name))
	if status.Code(err) == codes.Unimplemented {
		c.uncompressed.Store(true)
		return c.hosts.List(ctx, &platformpb.ListRequest{})
	}
	return r, err
}

var hostStates = map[platformpb.Host_State]port.HostState{
	platformpb.Host_LIVE:    port.HostLive,
	platformpb.Host_LEAVING: port.HostLeaving,
	platformpb.Host_DEAD:    port.HostDead,
}

func toEntry(e *platformpb.Entry) *port.Entry {
	if e == nil {
		return nil
	}
	return &port.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}

func readError(err error) error { return errors.Wrap(port.ErrUnavailable, err.Error()) }

// writeError converts the error of a write. Status codes that the store returns only before it writes mean that the
// call had no effect. After any other failure of a call that was sent, the outcome is unknown, even if the store itself
// reports that it is unavailable.
func writeError(err error) error {
	var failed *connection.Error
	if !errors.As(err, &failed) || !failed.Sent {
		return errors.Wrap(port.ErrUnavailable, err.Error())
	}
	switch s := status.Convert(failed.Err); s.Code() {
	case codes.InvalidArgument:
		return &InvalidError{s.Message()}
	case codes.FailedPrecondition:
		return errors.Wrap(port.ErrLeaseLapsed, s.Message())
	}
	return errors.Wrap(port.ErrUnknownOutcome, err.Error())
}

func watchError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, io.EOF) {
		return errors.Wrap(port.ErrUnavailable, "watch ended")
	}
	return readError(err)
}

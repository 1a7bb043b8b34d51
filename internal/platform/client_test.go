package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/platform"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/connection"
	"sequoiastall/internal/rpc/platformpb"
	"sequoiastall/internal/rpc/standinpb"
	standin "sequoiastall/internal/standin/platform"
	"sequoiastall/internal/telemetry"
)

func start(t *testing.T, o standin.Options) (*standin.Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := standin.New(o)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Stop()
		assert.NilError(t, <-done)
	})
	return s, l.Addr().String()
}

func connect(t *testing.T, address string) *platform.Client {
	t.Helper()
	c, err := platform.New(address, connection.Options{})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, c.Close()) })
	return c
}

// Guards against responses of the store being mapped to an error that implies another outcome.
func TestStoreCallsAndConflicts(t *testing.T) {
	_, address := start(t, standin.Options{Hosts: []port.Host{{ID: "w1", Zone: "a", State: port.HostDead}}})
	c, ctx := connect(t, address), t.Context()

	_, err := c.Get(ctx, "k")
	assert.ErrorIs(t, err, port.ErrNotFound)
	rev, err := c.Put(ctx, port.Write{Key: "k", Value: []byte("1"), Condition: port.IfAbsent})
	assert.NilError(t, err)
	_, err = c.Put(ctx, port.Write{Key: "k", Condition: port.IfAbsent})
	var conflict *port.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, conflict.Current, &port.Entry{Key: "k", Value: []byte("1"), Revision: rev})
	assert.Assert(t, errors.As(c.Delete(ctx, "k", rev+1), &conflict))
	assert.Equal(t, conflict.Current.Revision, rev)
	entries, at, err := c.Range(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, at, rev)
	assert.NilError(t, c.Delete(ctx, "k", rev))
	assert.Assert(t, errors.As(c.Delete(ctx, "k", rev), &conflict))
	assert.Assert(t, conflict.Current == nil)

	assert.ErrorIs(t, c.KeepAlive(ctx, 99), port.ErrLeaseLapsed)
	_, err = c.Put(ctx, port.Write{Key: "k", Lease: 99})
	assert.ErrorIs(t, err, port.ErrLeaseLapsed)
	lease, err := c.Grant(ctx, time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, c.KeepAlive(ctx, lease))

	hosts, err := c.List(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, hosts, []port.Host{{ID: "w1", Zone: "a", State: port.HostDead}})
}

// Guards against a value above the size limit being dropped silently or retried forever.
func TestLargeValues(t *testing.T) {
	_, address := start(t, standin.Options{})
	c, ctx := connect(t, address), t.Context()
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		_, err := c.Put(ctx, port.Write{Key: key, Value: bytes.Repeat([]byte{1}, platform.MaxValueBytes)})
		assert.NilError(t, err)
	}
	entries, _, err := c.Range(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 5)

	var invalid *platform.InvalidError
	_, err = c.Put(ctx, port.Write{Key: "f", Value: make([]byte, platform.MaxValueBytes+1)})
	assert.Assert(t, errors.As(err, &invalid))
	_, err = c.Put(ctx, port.Write{})
	assert.Assert(t, errors.As(err, &invalid))

	// The store itself rejects a value from a client without the check, even one above gRPC's default message size.
	raw, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	defer raw.Close()
	_, err = platformpb.NewStoreClient(raw).Put(ctx, &platformpb.PutRequest{Key: "f", Value: make([]byte, 5<<20)})
	assert.ErrorContains(t, err, "the limit is 1048576")
}

// Guards against a lost response being reported as no effect, which would run non-idempotent work twice.
func TestWriteOutcomes(t *testing.T) {
	s, address := start(t, standin.Options{})
	c, ctx := connect(t, address), t.Context()

	s.SetFaults(standin.Faults{LoseAnswers: 1})
	_, err := c.Put(ctx, port.Write{Key: "k"})
	assert.ErrorIs(t, err, port.ErrUnknownOutcome)
	assert.Assert(t, !errors.Is(err, port.ErrUnavailable))
	_, err = c.Get(ctx, "k")
	assert.NilError(t, err)

	s.SetFaults(standin.Faults{Down: standin.Fail})
	_, err = c.Put(ctx, port.Write{Key: "k"})
	assert.ErrorIs(t, err, port.ErrUnknownOutcome)
	_, err = c.Get(ctx, "k")
	assert.ErrorIs(t, err, port.ErrUnavailable)
	assert.ErrorIs(t, c.Watch(ctx, "", 0, nil), port.ErrUnavailable)

	s.SetFaults(standin.Faults{Down: standin.Hang})
	_, err = c.Put(ctx, port.Write{Key: "k"})
	assert.ErrorIs(t, err, port.ErrUnknownOutcome)
	s.SetFaults(standin.Faults{})

	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = c.Put(cancelled, port.Write{Key: "k"})
	assert.ErrorIs(t, err, port.ErrUnavailable)
	s.Stop()
	_, err = connect(t, address).Put(ctx, port.Write{Key: "k"})
	assert.ErrorIs(t, err, port.ErrUnavailable)
}

// Guards against a watch that loses events, ends with the wrong error, or isn't counted as open by the store.
func TestWatch(t *testing.T) {
	s, address := start(t, standin.Options{History: 2})
	c, ctx := connect(t, address), t.Context()
	for range 4 {
		_, err := c.Put(ctx, port.Write{Key: "jobs/a"})
		assert.NilError(t, err)
	}
	assert.ErrorIs(t, c.Watch(ctx, "jobs/", 1, nil), port.ErrCompacted)
	stop := errors.New("enough")
	var got []port.WatchEvent
	err := c.Watch(ctx, "jobs/", 2, func(events []port.WatchEvent) error {
		got = append(got, events...)
		if len(got) == 2 {
			return stop
		}
		return nil
	})
	assert.ErrorIs(t, err, stop)
	assert.Equal(t, got[1].Entry.Revision, int64(4))

	watching, cancel := context.WithCancel(ctx)
	err = c.Watch(watching, "jobs/", 3, func([]port.WatchEvent) error {
		assert.Equal(t, s.Counters().WatchesOpen > 0, true)
		cancel()
		return nil
	})
	assert.ErrorIs(t, err, context.Canceled)
}

// Guards against keeping a connection that no longer carries any data while new connections work.
func TestReconnectsAfterSilence(t *testing.T) {
	_, address := start(t, standin.Options{})
	var silent atomic.Bool
	c, ctx := connect(t, startProxy(t, address, &silent)), t.Context()
	_, err := c.Put(ctx, port.Write{Key: "k"})
	assert.NilError(t, err)
	opened, watched := make(chan struct{}), make(chan error, 1)
	go func() {
		watched <- c.Watch(ctx, "", 0, func([]port.WatchEvent) error {
			close(opened)
			return nil
		})
	}()
	<-opened
	silent.Store(true)
	_, err = c.Put(ctx, port.Write{Key: "k", Condition: port.IfAbsent})
	assert.ErrorIs(t, err, port.ErrUnknownOutcome)
	_, err = c.Get(ctx, "k")
	assert.NilError(t, err)
	assert.ErrorIs(t, <-watched, port.ErrUnavailable)
}

// startProxy starts a TCP proxy to address. Once silent is set, connections accepted before discard all data.
func startProxy(t *testing.T, address string, silent *atomic.Bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			acceptedSilent := silent.Load()
			out, err := net.Dial("tcp", address)
			if err != nil {
				_ = in.Close()
				continue
			}
			forward := func(to, from net.Conn) {
				defer to.Close()
				_, _ = io.Copy(writerFunc(func(b []byte) (int, error) {
					if silent.Load() && !acceptedSilent {
						return len(b), nil
					}
					return to.Write(b)
				}), from)
			}
			go forward(in, out)
			go forward(out, in)
		}
	}()
	return l.Addr().String()
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(b []byte) (int, error) { return w(b) }

// Guards against settings made by another process through the control service being lost or partly applied.
func TestControlService(t *testing.T) {
	s, address := start(t, standin.Options{})
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	defer conn.Close()
	control, ctx := standinpb.NewControlClient(conn), t.Context()

	_, err = control.SetFaults(ctx, &standinpb.Faults{Down: standinpb.Faults_HANG, DelayMs: 5, LoseAnswers: 2, SilentWatches: true})
	assert.NilError(t, err)
	assert.Equal(t, s.Faults(), standin.Faults{Down: standin.Hang, Delay: 5 * time.Millisecond, LoseAnswers: 2, SilentWatches: true})
	_, err = control.SetFaults(ctx, &standinpb.Faults{DelayMs: -1})
	assert.ErrorContains(t, err, "out of range")
	old, err := control.SetFaults(ctx, &standinpb.Faults{})
	assert.NilError(t, err)
	assert.Equal(t, old.Down, standinpb.Faults_HANG)

	_, err = control.SetHosts(ctx, &standinpb.SetHostsRequest{Hosts: []*platformpb.Host{{Id: "a"}}})
	assert.NilError(t, err)
	_, err = control.PutHosts(ctx, &standinpb.PutHostsRequest{Hosts: []*platformpb.Host{{Id: "b"}}})
	assert.NilError(t, err)
	_, err = control.SetHostState(ctx, &standinpb.SetHostStateRequest{Id: "a", State: platformpb.Host_DEAD})
	assert.NilError(t, err)
	_, err = control.SetHostState(ctx, &standinpb.SetHostStateRequest{Id: "c"})
	assert.ErrorContains(t, err, "unknown host")
	hosts, err := connect(t, address).List(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, hosts, []port.Host{{ID: "a", State: port.HostDead}, {ID: "b"}})
	n, err := control.GetCounters(ctx, &standinpb.GetCountersRequest{})
	assert.NilError(t, err)
	assert.Equal(t, n.Lists, int64(1))
}

// Guards the limit of 6 KB/s of control traffic: uncompressed, the list of the target's 1,300 workers takes about 60 KB.
func TestHostListIsCompressed(t *testing.T) {
	var hosts []port.Host
	for i := range 1300 {
		hosts = append(hosts, port.Host{ID: fmt.Sprintf("zone%d-w%d", i%5, i), Zone: fmt.Sprintf("zone%d", i%5),
			Rack: fmt.Sprintf("zone%d-r%d", i%5, i/30), Address: fmt.Sprintf("10.%d.%d.%d:7500", i%5, i/250, i%250)})
	}
	_, address := start(t, standin.Options{Hosts: hosts})
	registry := telemetry.NewRegistry(slog.New(slog.NewJSONHandler(io.Discard, nil)))
	traffic := registry.TrafficCounters(telemetry.ConnectionStore)
	c, err := platform.New(address, connection.Options{Wrap: traffic.Conn})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, c.Close()) }()
	list, err := c.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), len(hosts))
	in := registry.Counter(telemetry.WireBytes, telemetry.Label{Name: "kind", Value: "store"}, telemetry.Label{Name: "direction", Value: "in"})
	assert.Assert(t, in.Count() < 16_000, "%d bytes", in.Count())
}

// uncompressedHostList is a host list service that rejects compressed calls.
type uncompressedHostList struct {
	platformpb.UnimplementedHostListServer
	calls int
}

func (h *uncompressedHostList) List(context.Context, *platformpb.ListRequest) (*platformpb.ListResponse, error) {
	if h.calls++; h.calls == 1 {
		return nil, status.Error(codes.Unimplemented, "Decompressor is not installed for grpc-encoding \"gzip\"")
	}
	return &platformpb.ListResponse{Hosts: []*platformpb.Host{{Id: "w1"}}}, nil
}

// Guards against the host list being unavailable on a platform without compression.
func TestHostListWithoutCompression(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, hosts := grpc.NewServer(), &uncompressedHostList{}
	platformpb.RegisterHostListServer(server, hosts)
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	defer func() { server.Stop(); assert.NilError(t, <-done) }()
	c := connect(t, l.Addr().String())
	for want := 2; want <= 3; want++ {
		list, err := c.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(list), 1)
		assert.Equal(t, hosts.calls, want)
	}
}

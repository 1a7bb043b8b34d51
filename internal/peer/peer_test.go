package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t *testing.T, o Options) *Client {
	c := NewClient(o)
	t.Cleanup(c.Close)
	return c
}

func exampleDigest() membership.Digest {
	vector := resource.Vector{Slots: 1, MilliCPU: 2, MemoryMB: 3, Accelerators: 4}
	return membership.Digest{From: "a", Roster: 7, Heartbeats: []membership.HeartbeatEntry{
		{Reference: 1 << 31, Heartbeat: 65535, Version: 3, Confirmed: membership.NoAge, Heard: 9}, {Reference: 5}},
		Members: []membership.Member{{ID: "a", Address: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2", Zone: "z", Incarnation: 4,
			Heartbeat: 5, State: membership.Draining, Revision: 6, ConfirmedAgeMS: 0, StoreReachable: true, Version: 8,
			HeardAgeMS: 9, Partitions: []membership.Summary{{Partition: "z/0", Workers: 2, Capacity: vector.Scale(4),
				Free: vector.Scale(2), Settled: true, Teams: []membership.TeamUsage{{Team: "t", Running: vector, Backlog: vector}}}}},
			{ID: "b", ConfirmedAgeMS: membership.NeverConfirmed}}}
}

// Guards against conversions that drop or swap fields.
func TestCallsCarryEveryField(t *testing.T) {
	vector := resource.Vector{Slots: 1, MilliCPU: 2, MemoryMB: 3, Accelerators: 4}
	n := &fakeNode{digest: exampleDigest(),
		document:  configuration.Document{Revision: 3, Digest: "d", Data: []byte("{}")},
		allowance: quota.AllowanceReply{Moved: vector, Revision: 8},
		set: routing.EndpointSet{Partition: "z/0", Version: 4, Unchanged: true, PermitTTLMS: 3000, Endpoints: []routing.Endpoint{
			{Instance: job.TaskID{Job: "j", Index: 2}, Attempt: 3, Service: "s", Worker: "w", Zone: "z", Address: "127.0.0.1:3",
				Draining: true, Permits: 5, Connections: 6}}},
		status: job.Status{Record: job.Record{ID: "j", Spec: job.Spec{Team: "t", Tasks: 3}}, Phase: job.Running, Pending: 1,
			Running: 2, Waiting: "no slot", Workers: map[string]int{"w": 2}}}
	address, client, ctx := serve(t, n), newClient(t, Options{}), context.Background()

	digest, err := client.Gossip(ctx, address, exampleDigest())
	assert.NilError(t, err)
	assert.DeepEqual(t, digest, exampleDigest())
	assert.DeepEqual(t, n.last(), exampleDigest())

	document, err := client.FetchConfiguration(ctx, address)
	assert.NilError(t, err)
	assert.DeepEqual(t, document, n.document)

	endpoints := routing.EndpointsRequest{Node: "a", Partition: "z/0", Version: 3,
		Demand: []routing.ServiceDemand{{Service: "s", Open: 1, Waiting: 2}}}
	set, err := client.Endpoints(ctx, address, endpoints)
	assert.NilError(t, err)
	assert.DeepEqual(t, set, n.set)
	assert.DeepEqual(t, n.last(), endpoints)

	ask := quota.AllowanceRequest{Team: "t", From: "z/0", To: "z/1", Amount: vector}
	reply, err := client.AskAllowance(ctx, address, ask)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, n.allowance)
	assert.DeepEqual(t, n.last(), ask)

	assert.NilError(t, client.Handover(ctx, address, "z/0"))
	assert.DeepEqual(t, n.last(), "z/0")

	status, err := client.JobStatus(ctx, address, "j")
	assert.NilError(t, err)
	assert.DeepEqual(t, status, n.status)
	assert.DeepEqual(t, n.last(), job.ID("j"))
}

// Guards against decoding the positions of heartbeats as references, and the reverse.
func TestHeartbeatColumns(t *testing.T) {
	for name, d := range map[string]membership.Digest{
		"all positions":  {Indexed: true, Heartbeats: []membership.HeartbeatEntry{{Reference: 0, Heard: 1}, {Reference: 1, Version: 2}}},
		"some positions": {Indexed: true, Heartbeats: []membership.HeartbeatEntry{{Reference: 3, Heartbeat: 7}, {Reference: 254}}},
		"references":     {Heartbeats: []membership.HeartbeatEntry{{Reference: 0xfffffffe, Confirmed: 4}}},
		"empty":          {Roster: 9},
	} {
		got, err := toDigest(fromDigest(d))
		assert.NilError(t, err, name)
		assert.DeepEqual(t, got, d)
	}
}

// Guards against malformed messages that cause a panic or are partly applied.
func TestMalformedDigestsAreRejected(t *testing.T) {
	for name, m := range map[string]*peerpb.Digest{
		"columns":    {Versions: []byte{1, 2}, Heartbeats: []byte{1, 2}, Confirmed: []byte{1, 2}, Heard: []byte{1, 2}},
		"references": {References: []byte{1}, Versions: []byte{1}, Heartbeats: []byte{1, 2}, Confirmed: []byte{1}, Heard: []byte{1}},
		"no ID":      {Members: []*peerpb.Member{{}}},
		"state":      {Members: []*peerpb.Member{{Id: "a", State: 3}}},
	} {
		_, err := toDigest(m)
		assert.Assert(t, err != nil, name)
	}
}

// Guards against errors that report no effect for a call that may have had one, and the reverse.
func TestHandlerErrorsKeepTheirMeaning(t *testing.T) {
	n := &fakeNode{}
	address, client, ctx := serve(t, n), newClient(t, Options{}), context.Background()
	for _, tc := range []struct{ fails, write, read error }{
		{port.ErrNotFound, port.ErrNotFound, port.ErrNotFound},
		{port.ErrUnavailable, port.ErrUnavailable, port.ErrUnavailable},
		{port.ErrUnknownOutcome, port.ErrUnknownOutcome, port.ErrUnavailable},
		{errors.New("surprise"), port.ErrUnknownOutcome, port.ErrUnavailable},
	} {
		n.fail(errors.Wrap(tc.fails, "at the peer"))
		err := client.Handover(ctx, address, "z/0")
		assert.ErrorIs(t, err, tc.write)
		_, err = client.JobStatus(ctx, address, "j")
		assert.ErrorIs(t, err, tc.read)
	}
	n.fail(nil)
	_, err := client.AskAllowance(ctx, address, quota.AllowanceRequest{Amount: resource.Vector{Slots: -1}})
	assert.ErrorIs(t, err, port.ErrUnavailable)
	client.Close()
	assert.ErrorIs(t, client.Handover(ctx, address, "z/0"), port.ErrUnavailable)
}

// Guards against reporting an unknown outcome for a peer that was never reached.
func TestUnreachablePeerIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	client := newClient(t, Options{})
	assert.ErrorIs(t, client.Handover(context.Background(), address, "z/0"), port.ErrUnavailable)
}

// Guards against keeping a connection that is established but silent: one call may fail, the next must use a new
// connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	n := &fakeNode{}
	r := newRelay(t, serve(t, n))
	client, ctx := newClient(t, Options{}), context.Background()
	assert.NilError(t, client.Handover(ctx, r.address(), "z/0"))
	r.silence()
	err := client.Handover(ctx, r.address(), "z/1")
	assert.ErrorIs(t, err, port.ErrUnknownOutcome)
	assert.ErrorIs(t, err, err.(*CallError).Cause)
	assert.NilError(t, client.Handover(ctx, r.address(), "z/2"))
	assert.Equal(t, r.connections.Load(), int64(2))
	assert.Equal(t, n.last(), "z/2")
}

// Guards against a long poll that keeps waiting on a silent connection after another call has replaced it.
func TestSilenceEndsHeldCalls(t *testing.T) {
	n := &fakeNode{unblock: make(chan struct{})}
	defer close(n.unblock)
	r := newRelay(t, serve(t, n))
	client := newClient(t, Options{CallTimeout: 300 * time.Millisecond, PollTimeout: time.Minute})
	held := make(chan error, 1)
	go func() {
		_, err := client.Endpoints(context.Background(), r.address(), routing.EndpointsRequest{})
		held <- err
	}()
	for r.connections.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.silence()
	assert.Assert(t, client.Handover(context.Background(), r.address(), "z/0") != nil)
	assert.Assert(t, <-held != nil)
}

// Guards against closing a working connection because one handler is slow while others reply.
func TestSlowHandlerKeepsTheConnection(t *testing.T) {
	slow := &fakeNode{unblock: make(chan struct{})}
	defer close(slow.unblock)
	r := newRelay(t, serve(t, slow))
	client, ctx := newClient(t, Options{CallTimeout: time.Minute, PollTimeout: 500 * time.Millisecond}), context.Background()
	held := make(chan error, 1)
	go func() {
		_, err := client.Endpoints(ctx, r.address(), routing.EndpointsRequest{})
		held <- err
	}()
	for done := false; !done; {
		select {
		case err := <-held:
			assert.ErrorIs(t, err, port.ErrUnknownOutcome)
			done = true
		default:
			_, err := client.AskAllowance(ctx, r.address(), quota.AllowanceRequest{Amount: resource.Vector{Slots: -1}})
			assert.ErrorIs(t, err, port.ErrUnavailable) // answered without the handler
		}
	}
	assert.Equal(t, r.connections.Load(), int64(1))
}

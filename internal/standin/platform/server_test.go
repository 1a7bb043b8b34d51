package platform

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/platformpb"
)

// fakeStream receives the responses of a watch in the test's process.
type fakeStream struct {
	grpc.ServerStream
	ctx context.Context
	got chan *platformpb.WatchResponse
}

func (f *fakeStream) Context() context.Context { return f.ctx }
func (f *fakeStream) Send(r *platformpb.WatchResponse) error {
	f.got <- r
	return nil
}

func watchFrom(t *testing.T, s *Server, prefix string, after int64) (*fakeStream, chan error) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f := &fakeStream{ctx: ctx, got: make(chan *platformpb.WatchResponse, 100)}
	ended := make(chan error, 1)
	go func() { ended <- s.Watch(&platformpb.WatchRequest{Prefix: prefix, AfterRevision: after}, f) }()
	synctest.Wait()
	return f, ended
}

func put(t *testing.T, s *Server, r *platformpb.PutRequest) *platformpb.PutResponse {
	t.Helper()
	out, err := s.Put(t.Context(), r)
	assert.NilError(t, err)
	return out
}

// Guards against a conditional write that overwrites another writer's value, and against revisions that skip or repeat.
func TestConditionsMatchModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := New(Options{})
		model := map[string]int64{}
		var last int64
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
			guess := rapid.Int64Range(1, last+1).Draw(rt, "guess")
			if rapid.Bool().Draw(rt, "delete") {
				r, err := s.Delete(context.Background(), &platformpb.DeleteRequest{Key: key, IfRevision: guess})
				assert.NilError(rt, err)
				assert.Equal(rt, r.Applied, model[key] == guess)
				if r.Applied {
					delete(model, key)
					last++
				}
				assert.Equal(rt, r.Revision, last)
				continue
			}
			condition := rapid.SampledFrom([]platformpb.PutRequest_Condition{0, 1, 2}).Draw(rt, "condition")
			r, err := s.Put(context.Background(), &platformpb.PutRequest{Key: key, Condition: condition, Revision: guess})
			assert.NilError(rt, err)
			want := [...]bool{true, model[key] == 0, model[key] == guess}[condition]
			assert.Equal(rt, r.Applied, want)
			if want {
				last++
				model[key] = last
			} else {
				assert.Equal(rt, r.Current.GetRevision(), model[key])
			}
			assert.Equal(rt, r.Revision, last)
		}
	})
}

// Guards against node records that outlive their node, and against leases that lapse although they are kept alive.
func TestLeaseLapseDeletesItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		defer s.Stop()
		g, err := s.Grant(t.Context(), &platformpb.GrantRequest{TtlMs: 1000})
		assert.NilError(t, err)
		put(t, s, &platformpb.PutRequest{Key: "nodes/a", Lease: g.Lease})
		put(t, s, &platformpb.PutRequest{Key: "nodes/b", Lease: g.Lease})
		put(t, s, &platformpb.PutRequest{Key: "nodes/b"}) // no longer under the lease
		w, _ := watchFrom(t, s, "nodes/", 3)

		time.Sleep(900 * time.Millisecond)
		k, err := s.KeepAlive(t.Context(), &platformpb.KeepAliveRequest{Lease: g.Lease})
		assert.NilError(t, err)
		assert.Assert(t, k.Alive)
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(w.got), 0)

		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		r := <-w.got
		assert.Equal(t, len(r.Events), 1)
		assert.Equal(t, r.Events[0].Entry.Key, "nodes/a")
		assert.Assert(t, r.Events[0].Deleted)
		k, err = s.KeepAlive(t.Context(), &platformpb.KeepAliveRequest{Lease: g.Lease})
		assert.NilError(t, err)
		assert.Assert(t, !k.Alive)
		_, err = s.Put(t.Context(), &platformpb.PutRequest{Key: "nodes/a", Lease: g.Lease})
		assert.Equal(t, status.Code(err), codes.FailedPrecondition)
	})
}

// Guards against a watch that misses events without notice: it must deliver all past events, or report that they have
// been compacted.
func TestWatchDeliversPastOrCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{History: 3})
		defer s.Stop()
		for i := range 5 {
			put(t, s, &platformpb.PutRequest{Key: fmt.Sprintf("jobs/%d", i)})
		}
		w, _ := watchFrom(t, s, "jobs/", 2)
		assert.Equal(t, len((<-w.got).Events), 3)
		put(t, s, &platformpb.PutRequest{Key: "other"})
		put(t, s, &platformpb.PutRequest{Key: "jobs/5"})
		assert.Equal(t, (<-w.got).Events[0].Entry.Revision, int64(7))

		old, ended := watchFrom(t, s, "jobs/", 2)
		assert.Assert(t, (<-old.got).Compacted)
		assert.NilError(t, <-ended)
	})
}

// Guards against faults that have no effect, so that the tests that inject them test nothing: each fault must act as
// documented.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		defer s.Stop()

		s.SetFaults(Faults{Down: Fail})
		_, err := s.Put(t.Context(), &platformpb.PutRequest{Key: "a"})
		assert.Equal(t, status.Code(err), codes.Unavailable)
		s.SetFaults(Faults{})
		g, err := s.Get(t.Context(), &platformpb.GetRequest{Key: "a"})
		assert.NilError(t, err)
		assert.Assert(t, !g.Found)

		s.SetFaults(Faults{Down: Hang})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = s.Put(ctx, &platformpb.PutRequest{Key: "a"})
		assert.Equal(t, status.Code(err), codes.DeadlineExceeded)

		s.SetFaults(Faults{LoseAnswers: 1})
		_, err = s.Put(t.Context(), &platformpb.PutRequest{Key: "a"})
		assert.Equal(t, status.Code(err), codes.Unavailable)
		put(t, s, &platformpb.PutRequest{Key: "a", Condition: platformpb.PutRequest_IF_REVISION, Revision: 1})
		assert.Equal(t, s.Faults().LoseAnswers, 0)

		s.SetFaults(Faults{Delay: time.Minute})
		start := time.Now()
		put(t, s, &platformpb.PutRequest{Key: "b"})
		assert.Equal(t, time.Since(start), time.Minute)
		s.SetFaults(Faults{})

		w, ended := watchFrom(t, s, "", 3)
		s.SetFaults(Faults{SilentWatches: true})
		s.SetFaults(Faults{})
		put(t, s, &platformpb.PutRequest{Key: "c"})
		synctest.Wait()
		assert.Equal(t, len(w.got)+len(ended), 0)
		fresh, _ := watchFrom(t, s, "", 3)
		assert.Equal(t, (<-fresh.got).Events[0].Entry.Key, "c")

		assert.Equal(t, s.Counters(), Counters{Gets: 1, Puts: 6, Watches: 2, WatchesOpen: 2})
	})
}

// Guards against a host list that shows changes immediately, which would hide errors in the handling of its lag.
func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{HostLag: 5 * time.Second, Hosts: []port.Host{{ID: "w1"}}})
		defer s.Stop()
		state := func() string {
			r, err := s.List(t.Context(), &platformpb.ListRequest{})
			assert.NilError(t, err)
			var out string
			for _, h := range r.Hosts {
				out += h.Id + ":" + h.State.String() + " "
			}
			return out
		}
		assert.NilError(t, s.SetHostState("w1", port.HostLeaving))
		time.Sleep(3 * time.Second)
		s.PutHosts([]port.Host{{ID: "w2"}})
		assert.Equal(t, state(), "w1:LIVE ")
		time.Sleep(2 * time.Second)
		assert.Equal(t, state(), "w1:LEAVING ")
		time.Sleep(3 * time.Second)
		assert.Equal(t, state(), "w1:LEAVING w2:LIVE ")
		assert.ErrorIs(t, s.SetHostState("w3", port.HostDead), ErrUnknownHost)
	})
}

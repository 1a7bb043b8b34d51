package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

// countingStore is an in-memory store that counts calls and the bytes of values. setSilent makes watches stop
// delivering events without failing.
type countingStore struct {
	mu            sync.Mutex
	revision      int64
	entries       map[string]port.Entry
	changed       chan struct{}
	events        []port.WatchEvent
	silent        bool
	watchesBroken chan struct{} // closing it ends the open watches with an error
	calls         map[string]int
	bytesRead     int // bytes of values
	bytesWatched  int // bytes of values
}

func newCountingStore() *countingStore {
	return &countingStore{entries: map[string]port.Entry{}, changed: make(chan struct{}),
		watchesBroken: make(chan struct{}), calls: map[string]int{}}
}

func (s *countingStore) Get(_ context.Context, key string) (port.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["get "+key]++
	e, found := s.entries[key]
	if !found {
		return port.Entry{}, port.ErrNotFound
	}
	s.bytesRead += len(e.Value)
	return e, nil
}

func (s *countingStore) Range(_ context.Context, prefix string) ([]port.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["range "+prefix]++
	var entries []port.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			s.bytesRead += len(e.Value)
			entries = append(entries, e)
		}
	}
	return entries, s.revision, nil
}

func (s *countingStore) Put(_ context.Context, w port.Write) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["put"]++
	s.revision++
	e := port.Entry{Key: w.Key, Value: w.Value, Revision: s.revision}
	s.entries[w.Key] = e
	s.events = append(s.events, port.WatchEvent{Entry: e})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, nil
}

func (s *countingStore) Delete(context.Context, string, int64) error { return port.ErrUnavailable }

func (s *countingStore) Grant(context.Context, time.Duration) (port.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["grant"]++
	return 1, nil
}

func (s *countingStore) KeepAlive(context.Context, port.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["keepalive"]++
	return nil
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after int64, handle func([]port.WatchEvent) error) error {
	for {
		s.mu.Lock()
		var events []port.WatchEvent
		for _, e := range s.events {
			if !s.silent && e.Entry.Revision > after && strings.HasPrefix(e.Entry.Key, prefix) {
				events = append(events, e)
				s.bytesWatched += len(e.Entry.Value)
				after = e.Entry.Revision
			}
		}
		changed, broken := s.changed, s.watchesBroken
		s.mu.Unlock()
		if len(events) > 0 {
			if err := handle(events); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-broken:
			return port.ErrUnavailable
		case <-changed:
		}
	}
}

func (s *countingStore) setSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
}

// breakWatches ends the open watches.
func (s *countingStore) breakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watchesBroken)
	s.watchesBroken = make(chan struct{})
}

// take returns the calls and the bytes read since the last take.
func (s *countingStore) take() (calls map[string]int, read int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, read = s.calls, s.bytesRead
	s.calls, s.bytesRead, s.bytesWatched = map[string]int{}, 0, 0
	return calls, read
}

type emptyHostList struct{}

func (emptyHostList) List(context.Context) ([]port.Host, error) { return nil, nil }

type noRoutes struct{}

func (noRoutes) Apply(routing.EndpointSet, time.Time) {}
func (noRoutes) Request(node, partition string) routing.EndpointsRequest {
	return routing.EndpointsRequest{Node: node, Partition: partition}
}
func (noRoutes) Demand() []routing.ServiceDemand { return nil }
func (noRoutes) Remove(string)                   {}

// configValue returns an encoded configuration with the given number of teams.
func configValue(t *testing.T, teams int, revision int64) []byte {
	t.Helper()
	text := `[{"kind":"cell","name":"c","policy":{"packing":1}},{"kind":"zone","name":"z","region":"r"}`
	for i := range teams {
		text += fmt.Sprintf(`,{"kind":"team","name":"team%03d"}`, i)
	}
	set, problems := object.Validate([]object.File{{Name: "f", Data: []byte(text + "]")}})
	assert.Equal(t, len(problems), 0, "%v", problems)
	d, err := configuration.NewDocument(set, revision, "test")
	assert.NilError(t, err)
	value, err := d.Marshal()
	assert.NilError(t, err)
	return value
}

// runNode runs a single node on the store until the test ends.
func runNode(t *testing.T, store port.Store) *Node {
	t.Helper()
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	n := New(Options{ID: "n1", Zone: "z", PeerAddress: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2", Timing: DefaultTiming()},
		Ports{Store: store, Hosts: emptyHostList{}, Clock: port.SystemClock{}}, noRoutes{}, log, telemetry.NewRegistry(log))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

// The control traffic of a node is limited to 6 KB/s. With the 190 teams of the target size, reading the configuration
// once per interval would exceed that. An idle node must confirm an unchanged configuration without reading it.
func TestIdleNodeDoesNotReadTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCountingStore()
		_, err := store.Put(context.Background(), port.Write{Key: port.ConfigKey, Value: configValue(t, 190, 1)})
		assert.NilError(t, err)
		n := runNode(t, store)
		time.Sleep(10 * time.Second)
		store.take()
		const seconds = 60
		time.Sleep(seconds * time.Second)
		calls, read := store.take()
		assert.Equal(t, calls["get "+port.ConfigKey], 0)
		assert.Assert(t, calls["range "+port.NodePrefix+"n1"] <= seconds+1, "%v", calls)
		assert.Assert(t, calls["put"] <= seconds/5+1 && calls["keepalive"] <= seconds/5+1, "%v", calls)
		assert.Assert(t, read <= seconds*200, "%d bytes read", read)
		assert.NilError(t, n.Authority())
	})
}

// Guards against confirming the configuration although the watch is silent. The node must then read the configuration,
// and a newer one must become active within 4 s.
func TestSilentWatchDoesNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCountingStore()
		_, err := store.Put(context.Background(), port.Write{Key: port.ConfigKey, Value: configValue(t, 2, 1)})
		assert.NilError(t, err)
		n := runNode(t, store)
		time.Sleep(10 * time.Second)
		for revision := int64(2); revision < 12; revision++ {
			store.setSilent(true)
			_, err := store.Put(context.Background(), port.Write{Key: port.ConfigKey, Value: configValue(t, 2, revision)})
			assert.NilError(t, err)
			time.Sleep(4*time.Second - time.Millisecond)
			assert.Equal(t, n.currentConfig().Document.Revision, revision)
			assert.NilError(t, n.Authority())
			store.setSilent(false)
			time.Sleep(time.Duration(revision) * 370 * time.Millisecond) // vary the phase relative to the node's intervals
		}
	})
}

// Guards against a confirmation after the watch delivered a configuration that can't be decoded, or its deletion.
func TestUnreadableConfigurationIsNotConfirmed(t *testing.T) {
	p := &watchPosition{}
	good := port.Entry{Key: port.ConfigKey, Value: configValue(t, 1, 7), Revision: 3}
	p.load([]port.Entry{good}, 5)
	sent := time.Unix(100, 0)
	p.setTarget(6, sent)
	_, _, ok := p.takeConfirmation()
	assert.Assert(t, !ok, "the watch hasn't reached the revision")
	p.advance([]port.WatchEvent{{Entry: port.Entry{Key: port.NodePrefix + "x", Revision: 6}}})
	document, at, ok := p.takeConfirmation()
	assert.Assert(t, ok)
	assert.Equal(t, document, int64(7))
	assert.Equal(t, at, sent)
	_, _, ok = p.takeConfirmation()
	assert.Assert(t, !ok, "a target confirms once")
	for _, bad := range []port.WatchEvent{{Entry: port.Entry{Key: port.ConfigKey, Value: []byte("{"), Revision: 8}},
		{Entry: port.Entry{Key: port.ConfigKey, Revision: 9}, Deleted: true}} {
		p.advance([]port.WatchEvent{{Entry: good}})
		p.advance([]port.WatchEvent{bad})
		p.setTarget(8, sent)
		_, _, ok = p.takeConfirmation()
		assert.Assert(t, !ok)
	}
	assert.Equal(t, p.configRevision, int64(0))
}

// Guards against a storm of complete reads: at the target size, 24 nodes whose watches had ended read the complete
// state again and again, and the store didn't recover. A watch that is resumed instead must miss no event.
func TestEndedWatchResumesWithoutCompleteRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCountingStore()
		_, err := store.Put(context.Background(), port.Write{Key: port.ConfigKey, Value: configValue(t, 2, 1)})
		assert.NilError(t, err)
		n := runNode(t, store)
		time.Sleep(10 * time.Second)
		store.take()
		for revision := int64(2); revision < 12; revision++ {
			store.breakWatches()
			_, err := store.Put(context.Background(), port.Write{Key: port.ConfigKey, Value: configValue(t, 2, revision)})
			assert.NilError(t, err)
			time.Sleep(watchRestartDelay*2 + time.Millisecond)
			assert.Equal(t, n.currentConfig().Document.Revision, revision)
		}
		calls, _ := store.take()
		assert.Equal(t, calls["range "+port.StatePrefix], 0)
		store.setSilent(true)
		time.Sleep(20 * time.Second)
		calls, _ = store.take()
		assert.Assert(t, calls["range "+port.StatePrefix] > 0, "a silent watch must be restarted from a complete read")
	})
}

// Guards against too many endpoint pulls: two a second by each node from each partition were most of the messages of an
// idle cell. A partition whose owner has changed is pulled at once, and so is every partition while requests are open
// or waiting.
func TestIdleNodePullsEndpointsOnceASecond(t *testing.T) {
	p, owners := pullSchedule{}, map[string]string{"z/0": "a", "z/1": "b"}
	assert.Equal(t, len(p.next(owners, true)), 2, "unknown partitions")
	const rounds = 20 // 10 s
	total := 0
	for range rounds {
		total += len(p.next(owners, true))
	}
	assert.Equal(t, total, len(owners)*rounds/2)
	for range 2 {
		assert.Equal(t, len(p.next(owners, false)), 2, "with requests")
	}
	for _, owner := range []string{"c", "d"} {
		due := p.next(map[string]string{"z/0": "a", "z/1": owner}, true)
		assert.Equal(t, due["z/1"], owner)
	}
}

// Guards against useless moves of allowance: a partition must request only the resources that it is short of.
func TestOnlyMissingResourcesAreRequested(t *testing.T) {
	unlimited := object.Unlimited
	need := resource.Vector{Slots: 59, MilliCPU: 29_500, MemoryMB: 15_104}
	atLimit := resource.Vector{MilliCPU: unlimited / 4, MemoryMB: unlimited / 4}
	assert.Equal(t, shortfall(need, atLimit), resource.Vector{Slots: 59})
	assert.Equal(t, shortfall(need, need), resource.Vector{})
	record := quota.Record{Team: "a", Limit: resource.Vector{Slots: 8, MilliCPU: unlimited, MemoryMB: unlimited},
		Parts: map[string]resource.Vector{"z/0": {Slots: 8, MilliCPU: unlimited / 2}, "z/1": {MilliCPU: unlimited / 2, MemoryMB: unlimited}}}
	synctest.Test(t, func(t *testing.T) {
		n := runNode(t, newCountingStore())
		assert.Equal(t, len(n.sourcePartitions(needKey{"z/0", "a"}, resource.Vector{Slots: 59}, record, record.Limit)), 0)
		assert.Equal(t, len(n.sourcePartitions(needKey{"z/2", "a"}, resource.Vector{Slots: 59}, record, record.Limit)), 1)
	})
}

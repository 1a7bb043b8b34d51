package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
)

var epoch = time.Unix(1_700_000_000, 0)

func endpoint(index int32, zone string, permits int32) Endpoint {
	return Endpoint{Instance: job.TaskID{Job: "J", Index: index}, Service: "lookup", Zone: zone, Permits: permits,
		Worker: zone + "/" + string(rune('a'+index)), Address: "127.0.0.1:1", Connections: 64}
}

func newTestTable(endpoints ...Endpoint) *Table {
	t := NewTable("z1", rand.New(rand.NewPCG(1, 2)))
	t.Apply(EndpointSet{Partition: "p", Version: 1, Endpoints: endpoints, PermitTTLMS: 3000}, epoch, epoch)
	return t
}

// Guards against more open requests at an instance than permits, and against Release not returning a permit.
func TestPickNeverExceedsPermits(t *testing.T) {
	table := newTestTable(endpoint(0, "z1", 3), endpoint(1, "z2", 2))
	var picks []Pick
	for range 5 {
		p, err := table.Pick("lookup", Options{}, epoch)
		assert.NilError(t, err)
		picks = append(picks, p)
	}
	_, err := table.Pick("lookup", Options{}, epoch)
	assert.ErrorIs(t, err, ErrNoPermit)
	table.Release(picks[0], Succeeded, epoch)
	_, err = table.Pick("lookup", Options{}, epoch)
	assert.NilError(t, err)
	assert.Equal(t, table.Violations(), uint64(0))
}

// Guards against exceeding the permits after a pick is returned twice.
func TestReleaseTwiceIsCountedAndRefused(t *testing.T) {
	table := newTestTable(endpoint(0, "z1", 1))
	p, err := table.Pick("lookup", Options{}, epoch)
	assert.NilError(t, err)
	table.Release(p, Succeeded, epoch)
	table.Release(p, Succeeded, epoch)
	assert.Equal(t, table.Violations(), uint64(1))
	assert.Equal(t, p.instance.open, int32(0))
}

// Guards against more connections to a worker than were granted when several instances share it.
func TestPickKeepsWorkerConnections(t *testing.T) {
	a, b := endpoint(0, "z1", 8), endpoint(1, "z1", 8)
	a.Worker, b.Worker, a.Connections, b.Connections = "w", "w", 3, 3
	table := newTestTable(a, b)
	for range 3 {
		_, err := table.Pick("lookup", Options{}, epoch)
		assert.NilError(t, err)
	}
	_, err := table.Pick("lookup", Options{}, epoch)
	assert.ErrorIs(t, err, ErrNoPermit)
}

// Guards against picking an instance that must not get the request, and against reporting a wrong reason.
func TestPickSelection(t *testing.T) {
	draining, tried := endpoint(0, "z1", 4), []job.TaskID{{Job: "J", Index: 1}}
	draining.Draining = true
	cases := []struct {
		name      string
		endpoints []Endpoint
		tried     []job.TaskID
		now       time.Time
		index     int32
		reason    Reason
		err       error
	}{
		{"own zone first", []Endpoint{endpoint(0, "z2", 4), endpoint(1, "z1", 4)}, nil, epoch, 1, OwnZone, nil},
		{"other zone if there is no local one", []Endpoint{endpoint(0, "z2", 4)}, nil, epoch, 0, Spillover, nil},
		{"skips draining", []Endpoint{draining, endpoint(2, "z1", 4)}, nil, epoch, 2, OwnZone, nil},
		{"skips tried", []Endpoint{endpoint(1, "z1", 4), endpoint(2, "z2", 4)}, tried, epoch, 2, Spillover, nil},
		{"all tried", []Endpoint{endpoint(1, "z1", 4)}, tried, epoch, 0, 0, ErrNoInstance},
		{"only draining", []Endpoint{draining}, nil, epoch, 0, 0, ErrNoInstance},
		{"no permit", []Endpoint{endpoint(1, "z1", 0)}, nil, epoch, 0, 0, ErrNoPermit},
		{"lease lapsed", []Endpoint{endpoint(1, "z1", 4)}, nil, epoch.Add(3 * time.Second), 0, 0, ErrPermitLease},
		{"unknown service", nil, nil, epoch, 0, 0, ErrNoService},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for range 20 {
				table := newTestTable(c.endpoints...)
				p, err := table.Pick("lookup", Options{Tried: c.tried}, c.now)
				if c.err != nil {
					assert.ErrorIs(t, err, c.err)
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, p.Instance.Index, c.index)
				assert.Equal(t, p.Reason, c.reason)
			}
		})
	}
}

// Guards against overloading the local zone while other zones are idle, and against needless cross-zone requests.
func TestPickSpillsOverWhenLoaded(t *testing.T) {
	table := newTestTable(endpoint(0, "z1", 4), endpoint(1, "z2", 4))
	for i := range 4 {
		p, err := table.Pick("lookup", Options{}, epoch)
		assert.NilError(t, err)
		assert.Equal(t, p.Zone, map[bool]string{true: "z1", false: "z2"}[i < 3])
	}
}

// Guards against uneven load: with two random choices, no instance gets much more load than the others.
func TestPickBalances(t *testing.T) {
	var endpoints []Endpoint
	for i := range int32(10) {
		endpoints = append(endpoints, endpoint(i, "z1", 100))
	}
	table := newTestTable(endpoints...)
	for range 500 {
		_, err := table.Pick("lookup", Options{}, epoch)
		assert.NilError(t, err)
	}
	for _, inst := range table.services["lookup"].local {
		assert.Assert(t, inst.open >= 45 && inst.open <= 55, "instance %v has %d", inst.Instance, inst.open)
	}
}

// Guards against stale responses that replace newer ones or extend the permit lease, and against reporting a version as
// settled while more requests are open than it grants.
func TestApplyVersions(t *testing.T) {
	table := newTestTable(endpoint(0, "z1", 2))
	var picks []Pick
	for range 2 {
		p, err := table.Pick("lookup", Options{}, epoch)
		assert.NilError(t, err)
		picks = append(picks, p)
	}
	lowered := EndpointSet{Partition: "p", Version: 3, Endpoints: []Endpoint{endpoint(0, "z1", 1)}, PermitTTLMS: 3000}
	assert.Assert(t, table.Apply(lowered, epoch.Add(time.Second), epoch.Add(time.Second)))
	stale := EndpointSet{Partition: "p", Version: 2, Endpoints: []Endpoint{endpoint(0, "z1", 9)}, PermitTTLMS: 3000}
	assert.Assert(t, !table.Apply(stale, epoch.Add(2*time.Second), epoch.Add(2*time.Second)))
	assert.Equal(t, len(table.Expired(epoch.Add(3999*time.Millisecond))), 0)
	assert.Equal(t, len(table.Expired(epoch.Add(4*time.Second))), 1)

	applied, settled := table.Versions("p")
	assert.Equal(t, applied, uint64(3))
	assert.Equal(t, settled, uint64(0))
	table.Release(picks[0], Succeeded, epoch)
	_, settled = table.Versions("p")
	assert.Equal(t, settled, uint64(3))
}

// Guards against sending more than probes to a back end that fails every request, and against not using it again after
// it has recovered.
func TestBreakerLetsOnlyProbesThrough(t *testing.T) {
	table := newTestTable(endpoint(0, "z1", 8))
	now, sent := epoch, 0
	// The permits would expire during the test, so each round renews them.
	for range 60_000 {
		table.partitions["p"].validUntil = now.Add(time.Second)
		if p, err := table.Pick("lookup", Options{}, now); err == nil {
			sent++
			table.Release(p, FailedAttempt, now)
		}
		now = now.Add(time.Millisecond)
	}
	// 5 failures open it; probes follow after 0.5, 1, 2, 4, 8, 16 s within the minute.
	assert.Equal(t, sent, 11)
	now = now.Add(breakerMaxBackoff)
	table.partitions["p"].validUntil = now.Add(time.Second)
	p, err := table.Pick("lookup", Options{}, now)
	assert.NilError(t, err)
	assert.Equal(t, p.Reason, Probe)
	_, err = table.Pick("lookup", Options{}, now)
	assert.ErrorIs(t, err, ErrNoInstance)
	table.Release(p, Succeeded, now)
	p, err = table.Pick("lookup", Options{}, now)
	assert.NilError(t, err)
	assert.Equal(t, p.Reason, OwnZone)
}

// Guards against using an instance that fails every other request, which never has five consecutive failures.
func TestBreakerOpensOnRatio(t *testing.T) {
	var b Breaker
	for i := range 20 {
		assert.Assert(t, b.Allow(epoch))
		b.Record(b.Begin(), i%2 == 0, epoch)
	}
	assert.Assert(t, !b.Allow(epoch))
}

// Guards against an abandoned probe that keeps the breaker open forever.
func TestBreakerAbandonedProbe(t *testing.T) {
	var b Breaker
	for range breakerConsecutiveFailures {
		b.Record(b.Begin(), true, epoch)
	}
	now := epoch.Add(breakerMinBackoff)
	probe := b.Begin()
	assert.Assert(t, probe && !b.Allow(now))
	b.Abandon(probe)
	assert.Assert(t, b.Allow(now))
}

func newLargeTable() *Table {
	var endpoints []Endpoint
	for i := range int32(200) {
		endpoints = append(endpoints, endpoint(i, "z"+string(rune('1'+i%4)), 8))
	}
	return newTestTable(endpoints...)
}

// Guards against heap allocations in the routing of a request.
func TestRouteDoesNotAllocate(t *testing.T) {
	table, tried := newLargeTable(), []job.TaskID{{Job: "J", Index: 0}}
	allocs := testing.AllocsPerRun(1000, func() {
		p, err := table.Pick("lookup", Options{Tried: tried}, epoch)
		if err != nil {
			t.Fatal(err)
		}
		table.Release(p, Succeeded, epoch)
	})
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkRoute(b *testing.B) {
	table := newLargeTable()
	b.ReportAllocs()
	for b.Loop() {
		p, err := table.Pick("lookup", Options{}, epoch)
		if err != nil {
			b.Fatal(err)
		}
		table.Release(p, Succeeded, epoch)
	}
}

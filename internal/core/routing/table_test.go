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

func tableWith(endpoints ...Endpoint) *Table {
	t := NewTable("z1", rand.New(rand.NewPCG(1, 2)))
	t.Apply(EndpointSet{Partition: "p", Version: 1, Endpoints: endpoints, PermitTTLMS: 3000}, epoch, epoch)
	return t
}

// Guards against more open requests at an instance than permits, and against permits that Done doesn't return.
func TestPickNeverExceedsPermits(t *testing.T) {
	table := tableWith(endpoint(0, "z1", 3), endpoint(1, "z2", 2))
	var picks []Pick
	for range 5 {
		p, err := table.Pick("lookup", Options{}, epoch)
		assert.NilError(t, err)
		picks = append(picks, p)
	}
	_, err := table.Pick("lookup", Options{}, epoch)
	assert.ErrorIs(t, err, ErrNoPermit)
	table.Done(picks[0], Succeeded, epoch)
	_, err = table.Pick("lookup", Options{}, epoch)
	assert.NilError(t, err)
	assert.Equal(t, table.Violations(), uint64(0))
}

// Guards against a pick that is returned twice making room for more than the permits.
func TestDoneTwiceIsCountedAndRefused(t *testing.T) {
	table := tableWith(endpoint(0, "z1", 1))
	p, err := table.Pick("lookup", Options{}, epoch)
	assert.NilError(t, err)
	table.Done(p, Succeeded, epoch)
	table.Done(p, Succeeded, epoch)
	assert.Equal(t, table.Violations(), uint64(1))
	assert.Equal(t, p.instance.open, int32(0))
}

// Guards against more connections to a worker than it grants, when several instances share it.
func TestPickKeepsWorkerConnections(t *testing.T) {
	a, b := endpoint(0, "z1", 8), endpoint(1, "z1", 8)
	a.Worker, b.Worker, a.Connections, b.Connections = "w", "w", 3, 3
	table := tableWith(a, b)
	for range 3 {
		_, err := table.Pick("lookup", Options{}, epoch)
		assert.NilError(t, err)
	}
	_, err := table.Pick("lookup", Options{}, epoch)
	assert.ErrorIs(t, err, ErrNoPermit)
}

// Guards against choosing an instance that must not get the request, and against wrong reasons.
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
				table := tableWith(c.endpoints...)
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

// Guards against local overload while other zones are idle, and against leaving the zone without need.
func TestPickSpillsOverWhenLoaded(t *testing.T) {
	table := tableWith(endpoint(0, "z1", 4), endpoint(1, "z2", 4))
	for i := range 4 {
		p, err := table.Pick("lookup", Options{}, epoch)
		assert.NilError(t, err)
		assert.Equal(t, p.Zone, map[bool]string{true: "z1", false: "z2"}[i < 3])
	}
}

// Guards against uneven load: with two choices no instance gets far ahead of the others.
func TestPickBalances(t *testing.T) {
	var endpoints []Endpoint
	for i := range int32(10) {
		endpoints = append(endpoints, endpoint(i, "z1", 100))
	}
	table := tableWith(endpoints...)
	for range 500 {
		_, err := table.Pick("lookup", Options{}, epoch)
		assert.NilError(t, err)
	}
	for _, in := range table.services["lookup"].local {
		assert.Assert(t, in.open >= 45 && in.open <= 55, "instance %v has %d", in.Instance, in.open)
	}
}

// Guards against stale answers of an owner replacing newer ones or extending the permit lease, and against a settled
// version while more requests are open than it grants.
func TestApplyVersions(t *testing.T) {
	table := tableWith(endpoint(0, "z1", 2))
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
	assert.Equal(t, len(table.Expire(epoch.Add(3999*time.Millisecond))), 0)
	assert.Equal(t, len(table.Expire(epoch.Add(4*time.Second))), 1)

	applied, settled := table.Versions("p")
	assert.Equal(t, applied, uint64(3))
	assert.Equal(t, settled, uint64(0))
	table.Done(picks[0], Succeeded, epoch)
	_, settled = table.Versions("p")
	assert.Equal(t, settled, uint64(3))
}

// Guards against a back end that fails everything getting more than probes, and against one that recovered staying
// out of use.
func TestBreakerLetsOnlyProbesThrough(t *testing.T) {
	table := tableWith(endpoint(0, "z1", 8))
	now, sent := epoch, 0
	// Permits would lapse during the test; renew them.
	for range 60_000 {
		table.partitions["p"].validTo = now.Add(time.Second)
		if p, err := table.Pick("lookup", Options{}, now); err == nil {
			sent++
			table.Done(p, FailedTry, now)
		}
		now = now.Add(time.Millisecond)
	}
	// 5 failures open it; probes follow after 0.5, 1, 2, 4, 8, 16 s within the minute.
	assert.Equal(t, sent, 11)
	now = now.Add(breakerLastBackOff)
	table.partitions["p"].validTo = now.Add(time.Second)
	p, err := table.Pick("lookup", Options{}, now)
	assert.NilError(t, err)
	assert.Equal(t, p.Reason, Probe)
	_, err = table.Pick("lookup", Options{}, now)
	assert.ErrorIs(t, err, ErrNoInstance)
	table.Done(p, Succeeded, now)
	p, err = table.Pick("lookup", Options{}, now)
	assert.NilError(t, err)
	assert.Equal(t, p.Reason, OwnZone)
}

// Guards against an instance that fails every other request staying in use, since it never fails five in a row.
func TestBreakerOpensOnRatio(t *testing.T) {
	var b Breaker
	for i := range 20 {
		assert.Assert(t, b.Allows(epoch))
		b.Record(b.Begin(), i%2 == 0, epoch)
	}
	assert.Assert(t, !b.Allows(epoch))
}

// Guards against an abandoned probe keeping the breaker open for ever.
func TestBreakerAbandonedProbe(t *testing.T) {
	var b Breaker
	for range breakerFailuresInRow {
		b.Record(b.Begin(), true, epoch)
	}
	now := epoch.Add(breakerFirstBackOff)
	probe := b.Begin()
	assert.Assert(t, probe && !b.Allows(now))
	b.Abandon(probe)
	assert.Assert(t, b.Allows(now))
}

func routeTable() *Table {
	var endpoints []Endpoint
	for i := range int32(200) {
		endpoints = append(endpoints, endpoint(i, "z"+string(rune('1'+i%4)), 8))
	}
	return tableWith(endpoints...)
}

// Guards against allocations on the path of each request.
func TestRouteDoesNotAllocate(t *testing.T) {
	table, tried := routeTable(), []job.TaskID{{Job: "J", Index: 0}}
	allocs := testing.AllocsPerRun(1000, func() {
		p, err := table.Pick("lookup", Options{Tried: tried}, epoch)
		if err != nil {
			t.Fatal(err)
		}
		table.Done(p, Succeeded, epoch)
	})
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkRoute(b *testing.B) {
	table := routeTable()
	b.ReportAllocs()
	for b.Loop() {
		p, err := table.Pick("lookup", Options{}, epoch)
		if err != nil {
			b.Fatal(err)
		}
		table.Done(p, Succeeded, epoch)
	}
}

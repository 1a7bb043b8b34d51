package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiastall/internal/core/job"
)

func newTestLedger(t interface{ Fatal(...any) }, instances, concurrency int32) *PermitLedger {
	return newInheritingLedger(t, 100, instances, concurrency, time.Time{})
}

func newInheritingLedger(t interface{ Fatal(...any) }, first uint64, instances, concurrency int32, inheritedUntil time.Time) *PermitLedger {
	l := NewPermitLedger("p", first)
	l.SetWorker("w", 16, inheritedUntil)
	for i := range instances {
		e := Endpoint{Instance: job.TaskID{Job: "J", Index: i}, Service: "lookup", Worker: "w", Zone: "z1"}
		if err := l.SetEndpoint(e, concurrency, inheritedUntil); err != nil {
			t.Fatal(err)
		}
	}
	return l
}

func ask(t *testing.T, l *PermitLedger, node string, settled uint64, demand int32, now time.Time) EndpointSet {
	t.Helper()
	set, err := l.Request(EndpointsRequest{Node: node, Settled: settled,
		Demand: []ServiceDemand{{Service: "lookup", Waiting: demand}}}, now)
	assert.NilError(t, err)
	return set
}

// Guards against a permit that two nodes hold at once: it moves only after the node that loses it has settled, or has
// sent no request for the lease and the longest deadline.
func TestPermitMovesAfterSettling(t *testing.T) {
	l := newTestLedger(t, 1, 8)
	a := ask(t, l, "a", 0, 0, epoch)
	assert.Equal(t, a.Endpoints[0].Permits, int32(8))
	b := ask(t, l, "b", 0, 6, epoch)
	assert.Equal(t, b.Endpoints[0].Permits, int32(0))
	a = ask(t, l, "a", a.Version, 0, epoch)
	assert.Equal(t, a.Endpoints[0].Permits, int32(1))
	assert.Equal(t, ask(t, l, "b", 0, 6, epoch).Endpoints[0].Permits, int32(0))
	ask(t, l, "a", a.Version, 0, epoch)
	b = ask(t, l, "b", b.Version, 6, epoch)
	assert.Equal(t, b.Endpoints[0].Permits, int32(7))
}

// Guards against permits that are lost with a dead node, and against granting them again while its requests may be
// open.
func TestPermitsOfSilentNodeMoveAfterLeaseAndDeadline(t *testing.T) {
	l := newTestLedger(t, 1, 8)
	ask(t, l, "a", 0, 0, epoch)
	end := epoch.Add(permitReuseDelay)
	assert.Equal(t, ask(t, l, "b", 0, 1, end).Endpoints[0].Permits, int32(0))
	assert.Equal(t, ask(t, l, "b", 0, 1, end.Add(1)).Endpoints[0].Permits, int32(8))
}

// Guards against a new owner that grants permits which the previous one has just granted to other nodes, and against
// nodes that lose their permits until those have expired.
func TestNewOwnerAdoptsHoldings(t *testing.T) {
	until := InheritedUntil(epoch)
	l := newInheritingLedger(t, 1000, 1, 8, until)
	set := ask(t, l, "a", 0, 1, epoch)
	assert.Assert(t, set.Unchanged && set.HoldingsNonce > 0 && set.PermitTTLMS == 0)
	report := EndpointsRequest{Node: "a", Version: 7, HoldingsNonce: set.HoldingsNonce - 1,
		Holdings: []Holding{{Instance: job.TaskID{Job: "J"}, Worker: "w", Permits: 3, Connections: 5}}}
	set, err := l.Request(report, epoch)
	assert.NilError(t, err)
	assert.Assert(t, set.Unchanged, "a report that wasn't asked for was accepted")
	report.HoldingsNonce = set.HoldingsNonce
	for range 2 { // repeated
		set, err = l.Request(report, epoch)
		assert.NilError(t, err)
		assert.Equal(t, set.Endpoints[0].Permits, int32(3))
		assert.Equal(t, set.Endpoints[0].Connections, int32(5))
	}
	// A report that exceeds the capacity, which no correct previous owner can have granted, is cut to it.
	report.Node, report.Holdings[0].Permits = "b", 7
	set, err = l.Request(report, epoch)
	assert.NilError(t, err)
	assert.Equal(t, l.endpoints[instanceKey{task: job.TaskID{Job: "J"}}].permits.maxTotal(), int32(8))
	set = ask(t, l, "a", set.Version, 1, until.Add(1))
	assert.Equal(t, set.Endpoints[0].Permits, int32(8))
	assert.Equal(t, set.Endpoints[0].Connections, int32(16))
}

// Guards against counting use above a capacity that was lowered as a violation, and against new grants above it.
func TestLoweredConcurrency(t *testing.T) {
	l := newTestLedger(t, 1, 8)
	a := ask(t, l, "a", 0, 0, epoch)
	e := Endpoint{Instance: job.TaskID{Job: "J"}, Service: "lookup", Worker: "w", Zone: "z1"}
	assert.NilError(t, l.SetEndpoint(e, 2, time.Time{}))
	a = ask(t, l, "a", a.Version, 0, epoch)
	assert.Equal(t, a.Endpoints[0].Permits, int32(2))
	ask(t, l, "a", a.Version, 0, epoch)
	assert.Equal(t, l.endpoints[instanceKey{task: e.Instance}].permits.maxTotal(), int32(2))
}

// ledgerModel is a ledger, the routing tables of several nodes and the messages between them.
type ledgerModel struct {
	now      time.Time
	ledger   *PermitLedger
	nodes    []*modelNode
	requests []modelRequest
	replies  []modelReply
}

type modelNode struct {
	name   string
	table  *Table
	open   []modelOpenRequest
	paused bool
}

type modelOpenRequest struct {
	pick     Pick
	deadline time.Time
}

type modelRequest struct {
	node   int
	sentAt time.Time
	body   EndpointsRequest
}

type modelReply struct {
	node   int
	sentAt time.Time
	set    EndpointSet
}

// endExpired ends the requests whose deadline has passed. A node does so before anything else when it resumes.
func (m *ledgerModel) endExpired(n *modelNode) {
	var rest []modelOpenRequest
	for _, o := range n.open {
		if m.now.Before(o.deadline) {
			rest = append(rest, o)
		} else {
			n.table.Release(o.pick, Abandoned, m.now)
		}
	}
	n.open = rest
}

func (m *ledgerModel) check(t *rapid.T) {
	permits, workers := map[instanceKey]int32{}, int32(0)
	for _, n := range m.nodes {
		open, openAll, limit := map[instanceKey]int32{}, int32(0), int32(0)
		for _, o := range n.open {
			if m.now.Before(o.deadline) {
				open[instanceKey{o.pick.Instance, o.pick.Attempt}]++
				openAll++
			}
		}
		if p := n.table.partitions["p"]; p != nil && m.now.Before(p.validUntil) {
			for key, inst := range p.instances {
				open[key] = max(open[key], inst.Permits)
			}
			limit = n.table.Limits(m.now)["w"]
		}
		for key, use := range open {
			permits[key] += use
		}
		workers += max(openAll, limit)
		assert.Equal(t, n.table.Violations(), uint64(0))
	}
	for key, use := range permits {
		assert.Assert(t, use <= 4, "nodes may use %d permits of instance %v", use, key)
	}
	assert.Assert(t, workers <= 16, "nodes may use %d connections", workers)
	assert.Equal(t, m.ledger.Violations(), uint64(0))
}

// Guards against more permits or connections in use than exist when messages are lost, repeated or late, nodes pause
// and owners change.
func TestPermitSumProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerModel{now: epoch, ledger: newTestLedger(t, 5, 4)}
		for i := range 3 {
			m.nodes = append(m.nodes, &modelNode{name: fmt.Sprint("n", i), table: NewTable("z1", rand.New(rand.NewPCG(1, uint64(i))))})
		}
		nodeIndex := rapid.IntRange(0, len(m.nodes)-1)
		send := func(t *rapid.T) {
			i := nodeIndex.Draw(t, "node")
			n := m.nodes[i]
			if n.paused {
				return
			}
			applied, settled := n.table.Versions("p")
			d := ServiceDemand{Service: "lookup", Open: int32(len(n.open)), Waiting: rapid.Int32Range(0, 20).Draw(t, "waiting")}
			m.requests = append(m.requests, modelRequest{i, m.now, EndpointsRequest{Node: n.name, Partition: "p",
				Version: applied, Settled: settled, Demand: []ServiceDemand{d}}})
			body := &m.requests[len(m.requests)-1].body
			body.Holdings, body.HoldingsNonce = n.table.Holdings("p", m.now)
		}
		// A message that was handled may stay in flight, so that it is delivered again later.
		handle := func(t *rapid.T) {
			if len(m.requests) == 0 {
				return
			}
			k := rapid.IntRange(0, len(m.requests)-1).Draw(t, "request")
			r := m.requests[k]
			if !rapid.Bool().Draw(t, "repeat") {
				m.requests = append(m.requests[:k], m.requests[k+1:]...)
			}
			set, err := m.ledger.Request(r.body, m.now)
			assert.NilError(t, err)
			m.replies = append(m.replies, modelReply{r.node, r.sentAt, set})
		}
		receive := func(t *rapid.T) {
			if len(m.replies) == 0 {
				return
			}
			k := rapid.IntRange(0, len(m.replies)-1).Draw(t, "reply")
			r := m.replies[k]
			if n := m.nodes[r.node]; !n.paused {
				n.table.Apply(r.set, r.sentAt, m.now)
				if !rapid.Bool().Draw(t, "repeat") {
					m.replies = append(m.replies[:k], m.replies[k+1:]...)
				}
			}
		}
		// Without exchanges that complete at once, the nodes hardly ever have permits.
		exchange := func(t *rapid.T) {
			before := len(m.requests)
			send(t)
			if len(m.requests) == before {
				return
			}
			r := m.requests[before]
			set, err := m.ledger.Request(r.body, m.now)
			assert.NilError(t, err)
			m.replies = append(m.replies, modelReply{r.node, r.sentAt, set})
			if rapid.IntRange(0, 3).Draw(t, "late") > 0 {
				m.nodes[r.node].table.Apply(set, r.sentAt, m.now)
			}
		}
		pick := func(t *rapid.T) {
			n := m.nodes[nodeIndex.Draw(t, "node")]
			if n.paused {
				return
			}
			if p, err := n.table.Pick("lookup", Options{}, m.now); err == nil {
				n.open = append(n.open, modelOpenRequest{p, m.now.Add(LongestDeadline)})
			}
		}
		advance := func(t *rapid.T) {
			steps := []time.Duration{time.Millisecond, time.Millisecond, time.Second, time.Second, PermitTTL, LongestDeadline, permitReuseDelay}
			m.now = m.now.Add(rapid.SampledFrom(steps).Draw(t, "step"))
			for _, n := range m.nodes {
				if !n.paused {
					m.endExpired(n)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"send":   send,
			"send2":  send,
			"handle": handle, "handle2": handle,
			"exchange": exchange, "exchange2": exchange, "exchange3": exchange, "exchange4": exchange,
			"receive": receive, "receive2": receive,
			"pick": pick, "pick2": pick, "pick3": pick,
			"advance": advance,
			// The previous owner is fenced and sends no more responses; earlier ones may still be in flight.
			"takeover": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
					m.ledger = newInheritingLedger(t, m.ledger.version+1000, 5, 4, InheritedUntil(m.now))
				}
			},
			"drop": func(t *rapid.T) {
				if len(m.requests) > 0 {
					k := rapid.IntRange(0, len(m.requests)-1).Draw(t, "request")
					m.requests = append(m.requests[:k], m.requests[k+1:]...)
				}
			},
			"finish": func(t *rapid.T) {
				n := m.nodes[nodeIndex.Draw(t, "node")]
				if len(n.open) > 0 && !n.paused {
					n.table.Release(n.open[0].pick, Succeeded, m.now)
					n.open = n.open[1:]
				}
			},
			"pause": func(t *rapid.T) {
				n := m.nodes[nodeIndex.Draw(t, "node")]
				n.paused = !n.paused
				if !n.paused {
					m.endExpired(n)
				}
			},
		})
	})
}

package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/resource"
)

const (
	gossipInterval = 500 * time.Millisecond
	teamCount      = 190
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// gossipCell is a set of membership tables that exchange encoded digests in simulated time.
type gossipCell struct {
	tables   map[string]*membership.Table
	ids      []string
	random   *rand.Rand
	requests int
	bytes    int // of requests and replies
}

func newGossipCell(nodes int) *gossipCell {
	c := &gossipCell{tables: map[string]*membership.Table{}, random: rand.New(rand.NewPCG(1, 2))}
	for i := range nodes {
		m := membership.Member{ID: fmt.Sprintf("ingress-zone-%d-%02d", i%5, i), Address: fmt.Sprintf("10.20.%d.%d:7400", i%5, i),
			HTTPAddress: fmt.Sprintf("10.20.%d.%d:8080", i%5, i), Zone: fmt.Sprintf("region-1-zone-%d", i%5),
			Incarnation: 1_900_000_000_000 + int64(i), Revision: 12345, StoreReachable: true}
		c.ids = append(c.ids, m.ID)
		c.tables[m.ID] = membership.NewTable(m, membership.Options{})
	}
	for _, id := range c.ids[1:] {
		c.exchange(id, c.ids[0], c.tables[id].Digest(start), start)
	}
	return c
}

func (c *gossipCell) exchange(from, to string, d membership.Digest, now time.Time) {
	request := transmit(d)
	c.tables[to].MergeRequest(request.digest, now)
	answer := transmit(c.tables[to].Reply(request.digest, now))
	c.tables[from].MergeReply(answer.digest, now, now)
	c.requests++
	c.bytes += request.size + answer.size
}

type transmitted struct {
	digest membership.Digest
	size   int
}

func transmit(d membership.Digest) transmitted {
	m := fromDigest(d)
	got, err := toDigest(m)
	if err != nil {
		panic(err)
	}
	return transmitted{got, proto.Size(m)}
}

// run lets every node gossip. The usage of each team changes in every round, and the configuration stays confirmed.
func (c *gossipCell) run(from, until time.Duration) {
	for now := start.Add(from); now.Before(start.Add(until)); now = now.Add(gossipInterval) {
		for i, id := range c.ids {
			t := c.tables[id]
			t.UpdateSelf(now, func(m *membership.Member) {
				m.ConfirmedAgeMS = 200
				m.Partitions = []membership.Summary{summary(m.Zone, i, c.random)}
			})
			t.Tick(now)
			for _, target := range t.Targets(now, c.random) {
				c.exchange(id, target.ID, t.DigestFor(target.ID, now), now)
			}
		}
	}
}

func summary(zone string, number int, random *rand.Rand) membership.Summary {
	s := membership.Summary{Partition: fmt.Sprintf("%s/%d", zone, number/5), Workers: 55, Settled: true,
		Capacity: resource.Vector{Slots: 1600, MilliCPU: 880_000, MemoryMB: 1_760_000},
		Free:     resource.Vector{Slots: random.Int64N(100), MilliCPU: random.Int64N(80_000), MemoryMB: random.Int64N(90_000)}}
	for i := range teamCount {
		n := 1 + random.Int64N(16)
		s.Teams = append(s.Teams, membership.TeamUsage{Team: fmt.Sprintf("customer-%03d", i),
			Running: resource.Vector{Slots: n, MilliCPU: n * 500, MemoryMB: n * 1000},
			Backlog: resource.Vector{Slots: n / 2, MilliCPU: n / 2 * 500, MemoryMB: n / 2 * 1000}})
	}
	return s
}

// Guards against gossip that uses up the limit of 6 KB/s for all control traffic of a node.
func TestGossipBytesPerNode(t *testing.T) {
	const (
		settle  = 10 * time.Second
		measure = 60 * time.Second
		limit   = 2000 // bytes a second of messages, sent by a node
	)
	for _, nodes := range []int{7, 24} {
		c := newGossipCell(nodes)
		c.run(0, settle)
		c.requests, c.bytes = 0, 0
		c.run(settle, settle+measure)
		perNode := float64(c.bytes) / measure.Seconds() / float64(nodes)
		t.Logf("%d members, %d teams: %.0f B per exchange, %.1f exchanges and %.0f B sent per node and second",
			nodes, teamCount, float64(c.bytes)/float64(c.requests),
			float64(c.requests)/measure.Seconds()/float64(nodes), perNode)
		assert.Assert(t, perNode < limit)
	}
}

// Guards against transport overhead that uses up the limit of control traffic: an exchange of empty messages on an
// established connection must take less than 250 bytes of TCP payload.
func TestTransportOverhead(t *testing.T) {
	n := &fakeNode{}
	r := newRelay(t, serve(t, n))
	client, ctx := newClient(t, Options{}), context.Background()
	const calls = 100
	for range calls {
		_, err := client.Gossip(ctx, r.address(), membership.Digest{})
		assert.NilError(t, err)
	}
	before := r.bytes.Load()
	for range calls {
		_, err := client.Gossip(ctx, r.address(), membership.Digest{})
		assert.NilError(t, err)
	}
	perCall := float64(r.bytes.Load()-before) / calls
	t.Logf("%.0f B of TCP payload for an exchange of empty messages", perCall)
	assert.Assert(t, perCall < 250)
}

package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against declaring live members dead, and taking over their partitions, when links between zones lose packets.
func TestNoLiveMemberDeclaredDeadUnderPacketLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 7, 8, 9, 16, 24}).Draw(t, "members")
		loss := rapid.Float64Range(0, 0.3).Draw(t, "loss")
		c := newCell(n, 4, 0, rapid.Uint64().Draw(t, "seed"))
		c.run(2 * time.Second)
		c.loss = loss
		c.run(30 * time.Second)
		for i := range c.tables {
			assert.Equal(t, len(c.observed(i, Died)), 0, "node %d of %d at loss %.2f", i, n, c.loss)
			assert.Equal(t, len(c.tables[i].records), n-1)
		}
	})
}

// Guards against old heartbeats of a dead owner being relayed for so long that its partitions stay without an owner.
func TestDeadMembersAreFoundWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 7, 9, 24}).Draw(t, "members")
		c := newCell(n, 4, 0, rapid.Uint64().Draw(t, "seed"))
		c.run(3 * time.Second)
		c.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		c.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * round / 10)
		victim := rapid.IntRange(0, n-1).Draw(t, "victim")
		crash := c.now
		c.stopped[victim] = true
		c.run(defaultDeadAfter + 2*round)
		for i := range c.tables {
			if i == victim {
				continue
			}
			died := c.observed(i, Died)
			assert.Equal(t, len(died), 1, "node %d", i)
			assert.Equal(t, died[0].event.Members[0].ID, c.tables[victim].self.member.ID)
			assert.Assert(t, died[0].at.Sub(crash) <= defaultDeadAfter+round, "node %d after %s", i, died[0].at.Sub(crash))
			assert.Equal(t, len(c.observed(i, SuspectedDead)) > 0, true)
		}
	})
}

// Guards against treating the loss of a zone as unrelated deaths: the successors would then all acquire partitions at
// the same time.
func TestDeathsInAZoneFormOneGroup(t *testing.T) {
	c := newCell(12, 3, 0, 7)
	c.run(3 * time.Second)
	for _, i := range []int{0, 3, 6} {
		c.stopped[i] = true
	}
	c.run(time.Second)
	c.stopped[9], c.stopped[1] = true, true
	c.run(6 * time.Second)
	died := c.observed(2, Died)
	last := map[string]Event{}
	groups := map[int]bool{}
	for _, o := range died {
		last[o.event.Zone] = o.event
		groups[o.event.Group] = true
	}
	assert.Equal(t, len(groups), 2)
	assert.Equal(t, len(last["zone-0"].Members), 4)
	assert.Equal(t, len(last["zone-1"].Members), 1)
}

// Guards against a process that, after a pause, declares all other members dead because it received no heartbeats.
func TestPausedNodeDetectsPause(t *testing.T) {
	c := newCell(7, 4, 0, 3)
	c.run(3 * time.Second)
	c.stopped[4] = true
	c.run(10 * time.Second)
	assert.Assert(t, c.tables[4].SinceLastTick(c.now) >= 10*time.Second)
	c.stopped[4] = false
	c.run(5 * time.Second)
	resumed := c.observed(4, Resumed)
	assert.Equal(t, len(resumed), 1)
	assert.Assert(t, resumed[0].event.Gap >= 10*time.Second)
	assert.Equal(t, len(c.observed(4, Died)), 0)
	for _, i := range []int{0, 1, 2, 3, 5, 6} {
		assert.Equal(t, len(c.observed(i, Died)), 1, "node %d", i)
		assert.Equal(t, len(c.observed(i, Returned)), 1, "node %d", i)
	}
}

// Guards against keeping the state of an earlier process after a restart with the same ID.
func TestRestartReplacesIncarnation(t *testing.T) {
	c := newCell(7, 4, 0, 3)
	c.tables[2].UpdateSelf(c.now, func(m *Member) { m.Partitions = []Summary{{Partition: "zone-2/0"}} })
	c.run(3 * time.Second)
	old := c.tables[2]
	again := member(2, 4)
	again.Incarnation = 2
	c.tables[2] = NewTable(again, Options{})
	c.exchange(2, 0, c.tables[2].Digest(c.now))
	c.run(3 * time.Second)
	for _, i := range []int{0, 1, 3, 4, 5, 6} {
		assert.Equal(t, len(c.observed(i, Restarted)), 1, "node %d", i)
		held := c.tables[i].records["node-02"].member
		assert.Equal(t, held.Incarnation, int64(2))
		assert.Equal(t, len(held.Partitions), 0)
	}
	request := old.Digest(c.now)
	c.tables[0].Merge(request, c.now)
	assert.Equal(t, c.tables[0].records["node-02"].member.Incarnation, int64(2), "an old message must not restore the earlier incarnation")
	old.Merge(c.tables[0].Reply(request, c.now), c.now)
	events := old.Tick(c.now)
	assert.Assert(t, slices.ContainsFunc(events, func(e Event) bool { return e.Kind == Superseded }))
}

// Guards against treating a planned stop as a death, and against relayed old entries that mark the member as live again.
func TestLeftMemberIsNotDead(t *testing.T) {
	for _, n := range []int{7, 24} {
		c := newCell(n, 4, 0, 11)
		c.run(3 * time.Second)
		c.tables[1].UpdateSelf(c.now, func(m *Member) { m.State = Left })
		c.run(2 * time.Second)
		c.stopped[1] = true
		c.run(10 * time.Second)
		for i := range c.tables {
			if i != 1 {
				assert.Equal(t, len(c.observed(i, Died)), 0, "node %d", i)
				assert.Equal(t, len(c.observed(i, MemberLeft)), 1, "node %d", i)
				assert.Equal(t, c.tables[i].Reachability(c.now).Known, n-2)
			}
		}
		c.run(time.Minute)
		assert.Assert(t, c.tables[0].records["node-01"] == nil)
	}
}

// Guards against the two sides of a healed network partition each considering the other dead and never reconnecting.
func TestHealedNetworkReconnects(t *testing.T) {
	c := newCell(10, 2, 0, 5)
	c.run(3 * time.Second)
	c.blocked = func(a, b int) bool { return a%2 != b%2 }
	c.run(time.Hour / 4)
	r := c.tables[0].Reachability(c.now)
	assert.DeepEqual(t, r, Reachability{Known: 9, Heard: 4, OutsideKnown: 5})
	c.blocked = func(int, int) bool { return false }
	c.run(5 * time.Second)
	for i := range c.tables {
		assert.Equal(t, c.tables[i].Reachability(c.now).Heard, 9, "node %d", i)
	}
}

// Guards against a confirmation that becomes younger by being relayed, which would keep a revoked key in force.
func TestRelayedConfirmationsAge(t *testing.T) {
	c := newCell(3, 3, 0, 2)
	c.blocked = func(a, b int) bool { return a+b == 2 } // messages between 0 and 2 only pass through 1
	c.tables[0].UpdateSelf(c.now, func(m *Member) { m.Revision, m.ConfirmedAgeMS = 5, 0 })
	confirmed := c.now
	c.run(4 * time.Second)
	view := c.tables[2].Members(c.now)[0]
	assert.Equal(t, view.ID, "node-00")
	assert.Equal(t, view.Revision, int64(5))
	real := c.now.Sub(confirmed).Milliseconds()
	assert.Assert(t, view.ConfirmedAgeMS >= real, "%d < %d", view.ConfirmedAgeMS, real)
	assert.Assert(t, view.ConfirmedAgeMS <= real+3*AgeUnit.Milliseconds(), "%d for %d", view.ConfirmedAgeMS, real)
	assert.Equal(t, c.tables[2].Members(c.now)[1].ConfirmedAgeMS, int64(NeverConfirmed))
}

// Guards against confirmations that never expire because the time in transit on slow links isn't added.
func TestConfirmationsAgeInTransit(t *testing.T) {
	const transit = 900 * time.Millisecond
	now := epoch
	tables := []*Table{NewTable(member(0, 2), Options{}), NewTable(member(1, 2), Options{})}
	exchange := func(from, to *Table) {
		sent := now
		request := from.DigestFor(to.self.member.ID, now)
		now = now.Add(transit)
		to.MergeRequest(request, now)
		reply := to.Reply(request, now)
		now = now.Add(transit)
		from.MergeReply(reply, sent, now)
	}
	tables[0].UpdateSelf(now, func(m *Member) { m.Revision, m.ConfirmedAgeMS = 5, 0 })
	confirmed := now
	for range 5 {
		exchange(tables[1], tables[0])
		exchange(tables[0], tables[1])
		for _, table := range tables {
			age := table.Members(now)[0].ConfirmedAgeMS
			assert.Assert(t, age >= now.Sub(confirmed).Milliseconds(), "%d after %s", age, now.Sub(confirmed))
		}
	}
}

// Guards against a node that can't read the store leaving the load balancer under packet loss, although other nodes
// confirm its configuration.
func TestConfirmationsReachNodesWithoutStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{7, 24}).Draw(t, "members")
		c := newCell(n, 4, 0, rapid.Uint64().Draw(t, "seed"))
		c.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		c.tables[0].UpdateSelf(c.now, func(m *Member) { m.Revision, m.ConfirmedAgeMS = 5, NeverConfirmed })
		for second := range 20 {
			for _, table := range c.tables[1:] { // all but the first node read the store every second
				table.UpdateSelf(c.now, func(m *Member) { m.Revision, m.ConfirmedAgeMS = 5, 0 })
			}
			for range 2 {
				c.run(round)
				age, ok := c.tables[0].Confirmed(5, c.now)
				if second >= 4 {
					assert.Assert(t, ok && age < 3*time.Second, "age %s in second %d", age, second)
				}
			}
		}
		_, ok := c.tables[0].Confirmed(6, c.now)
		assert.Assert(t, !ok)
	})
}

// Guards against a new revision or a store outage taking longer than the bound of 4 s to reach all nodes under packet
// loss.
func TestUrgentChangesSpreadWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{7, 24}).Draw(t, "members")
		c := newCell(n, 4, 0, rapid.Uint64().Draw(t, "seed"))
		c.run(3 * time.Second)
		c.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		c.tables[0].UpdateSelf(c.now, func(m *Member) { m.Revision, m.ConfirmedAgeMS, m.StoreReachable = 9, 0, true })
		c.run(4 * time.Second)
		for i, table := range c.tables {
			view := table.Members(c.now)[0]
			assert.Equal(t, view.Revision, int64(9), "node %d", i)
			assert.Assert(t, view.StoreReachable)
		}
	})
}

// Guards against exceeding the limit of 6 KB/s of gossip traffic per node: large cells have few targets, small ones all
// members.
func TestTargets(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, tc := range []struct{ members, targets int }{{1, 0}, {2, 1}, {5, 4}, {6, 3}, {8, 3}, {9, 3}, {24, 3}} {
		c := newCell(tc.members, 4, 0, 1)
		c.run(3 * time.Second)
		assert.Equal(t, len(c.tables[0].Targets(c.now, random)), tc.targets, "%d members", tc.members)
	}
}

// Guards against counting a paused or lost node as evidence for the freshness rule.
func TestReachability(t *testing.T) {
	c := newCell(6, 3, 0, 1)
	for i := range 4 {
		c.tables[i].UpdateSelf(c.now, func(m *Member) { m.StoreReachable = true })
	}
	c.run(3 * time.Second)
	assert.DeepEqual(t, c.tables[0].Reachability(c.now),
		Reachability{Known: 5, Heard: 5, StoreReachable: 3, OutsideKnown: 4, OutsideHeard: true})
	for _, i := range []int{1, 2, 4, 5} {
		c.stopped[i] = true
	}
	c.run(4 * time.Second)
	assert.DeepEqual(t, c.tables[0].Reachability(c.now),
		Reachability{Known: 5, Heard: 1, StoreReachable: 1, OutsideKnown: 4})
	assert.Assert(t, c.tables[0].Forget("node-01"))
	assert.Assert(t, !c.tables[0].Forget("node-03"), "a live member stays known")
	assert.Equal(t, c.tables[0].Reachability(c.now).Known, 4)
}

// Measures the processor time of one exchange in a large cell; a node takes part in 12 per second.
func BenchmarkExchange(b *testing.B) {
	c := newCell(24, 5, 0, 1)
	c.run(5 * time.Second)
	id := c.tables[1].self.member.ID
	for b.Loop() {
		c.exchange(0, 1, c.tables[0].DigestFor(id, c.now))
	}
}

// Measures the processor time of assigning 25 partitions to 24 members.
func BenchmarkAssign(b *testing.B) {
	c := newCell(24, 5, 0, 1)
	c.run(5 * time.Second)
	all := partitions(5, 5)
	c.announce(all)
	for b.Loop() {
		c.tables[0].Assign(all, c.now)
	}
}

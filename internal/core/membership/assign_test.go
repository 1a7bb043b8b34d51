package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiastall/internal/core/resource"
)

func partitions(zones, each int) []Partition {
	var all []Partition
	for z := range zones {
		for k := range each {
			all = append(all, Partition(fmt.Sprintf("zone-%d/%d", z, k)))
		}
	}
	return all
}

// announce makes each node announce the partitions that the table of node 0 assigns to it.
func (c *cell) announce(all []Partition) map[Partition]string {
	owners := c.tables[0].Assign(all, c.now)
	for _, t := range c.tables {
		t.UpdateSelf(c.now, func(m *Member) {
			m.Partitions = nil
			for _, p := range all {
				if owners[p] == m.ID {
					m.Partitions = append(m.Partitions, Summary{Partition: string(p)})
				}
			}
		})
	}
	return owners
}

// Guards against members that disagree on owners after gossip has converged, and against members with too many
// partitions.
func TestAssignmentsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "members")
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		all := partitions(zones, rapid.IntRange(1, 5).Draw(t, "per zone"))
		c := newCell(n, zones, 0, rapid.Uint64().Draw(t, "seed"))
		c.run(4 * time.Second)
		if rapid.Bool().Draw(t, "announced") {
			c.announce(all)
			c.run(4 * time.Second)
		}
		c.tables[0].SetPartitions(all)
		owners := c.tables[0].Assign(all, c.now)
		load := map[string]int{}
		for _, p := range all {
			assert.Assert(t, owners[p] != "")
			assert.Equal(t, c.tables[0].Owner(p, c.now), owners[p])
			load[owners[p]]++
		}
		for id, held := range load {
			assert.Assert(t, held <= (len(all)+n-1)/n+1, "%s owns %d of %d", id, held, len(all))
		}
		for _, table := range c.tables {
			assert.DeepEqual(t, table.Assign(all, c.now), owners)
		}
	})
}

// Guards against needless takeovers: when a member fails, only its own partitions may move. When it returns still
// announcing them, no other member's may.
func TestFewPartitionsMove(t *testing.T) {
	for _, n := range []int{7, 24} {
		all := partitions(5, 5)
		c := newCell(n, 5, 0, 17)
		c.run(4 * time.Second)
		before := c.announce(all)
		c.run(4 * time.Second)
		leaver := before[all[0]]
		observer := c.tables[(c.index(leaver)+1)%n]
		held := 0
		for _, owner := range before {
			if owner == leaver {
				held++
			}
		}
		assert.DeepEqual(t, observer.Assign(all, c.now), before)
		c.stopped[c.index(leaver)] = true
		c.run(4 * time.Second)
		after := observer.Assign(all, c.now)
		moved := 0
		for _, p := range all {
			if after[p] != before[p] {
				moved++
				assert.Equal(t, before[p], leaver)
			}
		}
		assert.Equal(t, moved, held)
		c.stopped[c.index(leaver)] = false
		c.run(4 * time.Second)
		back := observer.Assign(all, c.now)
		for _, p := range all {
			assert.Assert(t, back[p] == before[p] || back[p] == after[p])
		}
		t.Logf("%d members, %d partitions: %d moved", n, len(all), moved)
	}
}

// Guards against controlling workers from another zone while their own zone has an available node.
func TestOwnersArePreferredInTheZone(t *testing.T) {
	c := newCell(7, 4, 0, 1)
	c.run(3 * time.Second)
	for p, owner := range c.tables[0].Assign(partitions(4, 1), c.now) {
		assert.Equal(t, c.tables[c.index(owner)].self.member.Zone, p.Zone())
	}
}

// Guards against assigning partitions to a node that is about to stop, and against a handover without a successor.
func TestDrainingMemberOwnsNothing(t *testing.T) {
	c := newCell(7, 4, 0, 1)
	c.run(3 * time.Second)
	all := partitions(4, 1)
	owners := c.announce(all)
	c.run(3 * time.Second)
	leaver := owners[all[1]]
	c.tables[0].SetPartitions(all)
	successor := c.tables[0].Successor(all[1], leaver, c.now)
	assert.Assert(t, successor != leaver && successor != "")
	c.tables[c.index(leaver)].UpdateSelf(c.now, func(m *Member) { m.State = Draining })
	c.run(3 * time.Second)
	for _, table := range c.tables {
		table.SetPartitions(all)
		assert.Equal(t, table.Owner(all[1], c.now), successor)
		assert.Assert(t, !slices.Contains(ownersOf(table.Assign(all, c.now)), leaver))
	}
}

func ownersOf(owners map[Partition]string) []string {
	var ids []string
	for _, id := range owners {
		ids = append(ids, id)
	}
	return ids
}

// Guards against gossiping summaries of all 190 teams, and against leaving out the busiest team or the latest
// quantities.
func TestSummariesAreBoundedAndPaced(t *testing.T) {
	c := newCell(2, 1, 0, 1)
	c.run(time.Second)
	update := func(busiest int) {
		c.tables[0].UpdateSelf(c.now, func(m *Member) {
			s := Summary{Partition: "zone-0/0", Workers: 260, Capacity: resource.Vector{Slots: 2080}}
			for i := range 190 {
				u := TeamUsage{Team: fmt.Sprintf("team-%03d", i), Running: resource.Vector{Slots: int64(1 + i%7)}}
				if i == busiest {
					u.Backlog.Slots = 500
				}
				s.Teams = append(s.Teams, u)
			}
			m.Partitions = []Summary{s}
		})
	}
	update(42)
	c.run(time.Second)
	held := func() Summary { return c.tables[1].records["node-00"].member.Partitions[0] }
	assert.Equal(t, len(held().Teams), defaultTeams)
	assert.Equal(t, held().Teams[0].Team, "team-042")
	update(77)
	c.run(2 * time.Second)
	assert.Equal(t, held().Teams[0].Team, "team-042", "announced less than 10 s ago")
	c.run(defaultSummaryInterval)
	assert.Equal(t, held().Teams[0].Team, "team-077")
}

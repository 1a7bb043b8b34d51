package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"
)

const round = 500 * time.Millisecond

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "25"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// cell simulates the gossip between the tables of several nodes in virtual time. Each node starts its rounds at its own
// offset.
type cell struct {
	now     time.Time
	random  *rand.Rand
	loss    float64
	tables  []*Table
	stopped map[int]bool          // nodes that crashed or are paused
	blocked func(a, b int) bool   // whether no messages pass between a and b
	events  map[int][]observation // by observer
}

type observation struct {
	at    time.Time
	event Event
}

func member(i, zones int) Member {
	return Member{ID: fmt.Sprintf("node-%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", 7000+i),
		Zone: fmt.Sprintf("zone-%d", i%zones), Incarnation: 1}
}

func newCell(n, zones int, loss float64, seed uint64) *cell {
	c := &cell{now: epoch, random: rand.New(rand.NewPCG(seed, 1)), loss: loss, stopped: map[int]bool{},
		blocked: func(int, int) bool { return false }, events: map[int][]observation{}}
	for i := range n {
		c.tables = append(c.tables, NewTable(member(i, zones), Options{}))
	}
	for i := 1; i < n; i++ { // every node starts with the first one as its seed
		c.exchange(i, 0, c.tables[i].Digest(c.now))
	}
	return c
}

func (c *cell) messageLost(a, b int) bool { return c.blocked(a, b) || c.random.Float64() < c.loss }

func (c *cell) exchange(from, to int, d Digest) {
	if c.stopped[to] || c.messageLost(from, to) {
		return
	}
	c.tables[to].MergeRequest(d, c.now)
	reply := c.tables[to].Reply(d, c.now)
	if !c.messageLost(to, from) {
		c.tables[from].MergeReply(reply, c.now, c.now)
	}
}

func (c *cell) index(id string) int {
	return slices.IndexFunc(c.tables, func(t *Table) bool { return t.self.member.ID == id })
}

// run advances the virtual time in steps of a tenth of a gossip round.
func (c *cell) run(d time.Duration) {
	const offsets = 10
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(round / offsets) {
		step := int(c.now.Sub(epoch) / (round / offsets) % offsets)
		for i, t := range c.tables {
			if i%offsets != step || c.stopped[i] {
				continue
			}
			for _, e := range t.Tick(c.now) {
				c.events[i] = append(c.events[i], observation{c.now, e})
			}
			for _, m := range t.Targets(c.now, c.random) {
				c.exchange(i, c.index(m.ID), t.DigestFor(m.ID, c.now))
			}
		}
	}
}

// observed returns the events of the kind that node i reported.
func (c *cell) observed(i int, kind EventKind) []observation {
	return slices.DeleteFunc(slices.Clone(c.events[i]), func(o observation) bool { return o.event.Kind != kind })
}

package proof

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sequoiastall/internal/standin/leased"
	"sequoiastall/internal/standin/runcheck"
	"sequoiastall/internal/standin/workerproc"
)

// minFault and maxFault bound the duration of a fault.
const (
	minFault = 100 * time.Millisecond
	maxFault = 15 * time.Second
)

// faultSource injects faults of some kinds, one after the other at random intervals.
type faultSource struct {
	name   string
	every  time.Duration // mean time between the starts of two faults
	kinds  []string
	inject func(c *soakCell, kind string, rng *rand.Rand, d time.Duration)
}

// linkKinds are the faults of a link, or of several at the same time.
var linkKinds = []string{"delay", "hold", "lose", "silence", "reset", "refuse", "slow"}

var machineKinds = []string{"crash", "change", "pause", "freeze", "drain", "lapse", "resize", "fail", "stall", "unanswered", "late", "slow", "reject"}

// faultSources lists the sources of a mixed run. Each has its own random numbers, so that a seed keeps its meaning when
// another source is added.
var faultSources = []faultSource{
	{"node", 1200 * time.Millisecond, []string{"kill", "term", "pause", "stutter", "several", "all", "freeze", "reload"}, (*soakCell).injectNodeFault},
	{"peer", 900 * time.Millisecond, linkKinds, (*soakCell).injectPeerFault},
	{"worker", 900 * time.Millisecond, linkKinds, (*soakCell).injectWorkerLinkFault},
	{"store", 1500 * time.Millisecond, linkKinds, (*soakCell).injectStoreLinkFault},
	{"advice", 2 * time.Second, linkKinds, (*soakCell).injectAdviceLinkFault},
	{"isolate", 4 * time.Second, []string{"hold", "lose", "refuse", "slow"}, (*soakCell).injectIsolation},
	{"storage", 1500 * time.Millisecond, []string{"unavailable", "mute", "unanswered"}, (*soakCell).injectStoreFault},
	{"machine", 900 * time.Millisecond, machineKinds, (*soakCell).injectMachineFault},
}

// allFaults is the filter that selects all faults.
const allFaults = "all"

// selectFaults returns the sources and kinds that the filter names: a list of SOURCE or SOURCE.KIND with commas, or
// allFaults.
func selectFaults(filter string) []faultSource {
	var selected []faultSource
	names := strings.Split(filter, ",")
	for _, s := range faultSources {
		if !slices.Contains(names, allFaults) && !slices.Contains(names, s.name) {
			s.kinds = slices.DeleteFunc(slices.Clone(s.kinds), func(kind string) bool { return !slices.Contains(names, s.name+"."+kind) })
		}
		if len(s.kinds) > 0 {
			selected = append(selected, s)
		}
	}
	return selected
}

// injectUntilCalm injects faults until c.calm is closed, which also ends those that are active.
func (s faultSource) injectUntilCalm(c *soakCell, p soakPlan) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.name)) // never fails
	rng := rand.New(rand.NewPCG(p.seed, h.Sum64()))
	var active sync.WaitGroup
	defer active.Wait()
	for c.sleep(time.Duration(rng.ExpFloat64() * float64(s.every) * p.interval)) {
		kind := s.kinds[rng.IntN(len(s.kinds))]
		duration := logUniform(rng, minFault, min(maxFault, p.length))
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		active.Go(func() { s.inject(c, kind, faultRNG, duration) })
	}
}

// faultLog holds when faults were active.
type faultLog struct {
	checker *runcheck.Checker
	mu      sync.Mutex
	entries []*faultEntry
}

type faultEntry struct {
	text       string
	start, end time.Time // end is zero while the fault is active
}

// begin notes the start of a fault, which concerns the given workers or everything, and returns a function that notes its
// end.
func (f *faultLog) begin(workers []string, format string, args ...any) (end func()) {
	fault := f.checker.BeginFault(workerproc.Now(), workers...)
	e := &faultEntry{text: fmt.Sprintf(format, args...), start: time.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, e)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.end = time.Now()
		fault.End(workerproc.Now())
	}
}

// between returns a line for each fault that was active in a span of time.
func (f *faultLog) between(from, to time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lines []string
	for _, e := range f.entries {
		if e.start.After(to) || !e.end.IsZero() && e.end.Before(from) {
			continue
		}
		lasted := "active"
		if !e.end.IsZero() {
			lasted = e.end.Sub(e.start).Round(time.Millisecond).String()
		}
		lines = append(lines, fmt.Sprintf("%s %s (%s)", e.start.UTC().Format(time.RFC3339Nano), e.text, lasted))
	}
	return lines
}

// injectNodeFault kills, stops, pauses or reloads nodes.
func (c *soakCell) injectNodeFault(kind string, rng *rand.Rand, d time.Duration) {
	victims := []*soakNode{c.pickNode(rng)}
	switch kind {
	case "several":
		victims = c.pickNodes(rng, 2+rng.IntN(max(1, len(c.nodes)/2)))
		kind = []string{"kill", "pause"}[rng.IntN(2)]
	case "all":
		victims, kind = c.nodes, "kill"
	case "freeze":
		victims, kind = c.nodes, "pause"
	}
	if kind == "reload" {
		victims[0].signal(syscall.SIGHUP)
		c.store.CompactHistory()
		return
	}
	victims = slices.DeleteFunc(slices.Clone(victims), func(n *soakNode) bool { return !n.claimed.CompareAndSwap(false, true) })
	var wg sync.WaitGroup
	for _, n := range victims {
		victimRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Go(func() {
			defer n.claimed.Store(false)
			defer c.faults.begin(nil, "node.%s %s", kind, n.settings.Name)()
			c.disturb(n, kind, victimRNG, d)
		})
	}
	wg.Wait()
}

// maxDowntime bounds the time between the end of a node's process and the start of the next one.
const maxDowntime = 3 * time.Second

// disturb injects a fault into the process of a node.
func (c *soakCell) disturb(n *soakNode, kind string, rng *rand.Rand, d time.Duration) {
	switch kind {
	case "kill":
		n.signal(syscall.SIGKILL)
		c.restart(n, min(d, maxDowntime))
	case "term":
		n.signal(syscall.SIGTERM)
		defer c.killAfter(n, gracePeriod)()
		c.restart(n, 0)
	case "pause":
		c.pause(n, d)
	default: // a series of short pauses
		for end := time.Now().Add(d); time.Now().Before(end); {
			c.pause(n, time.Duration(50+rng.IntN(900))*time.Millisecond)
			if !c.sleep(time.Duration(20+rng.IntN(400)) * time.Millisecond) {
				return
			}
		}
	}
}

// gracePeriod is the platform's time from SIGTERM to SIGKILL, grace_s in the settings.
const gracePeriod = 6 * time.Second

// killAfter kills the present process of a node if it hasn't exited after some time. The returned function waits until
// this is settled.
func (c *soakCell) killAfter(n *soakNode, d time.Duration) (settled func()) {
	p := n.current()
	var wg sync.WaitGroup
	wg.Go(func() {
		select {
		case <-p.done:
		case <-time.After(d):
			c.faults.begin(nil, "node.term %s: killed after the grace period", n.settings.Name)()
			p.kill()
		}
	})
	return wg.Wait
}

func (c *soakCell) pause(n *soakNode, d time.Duration) {
	n.signal(syscall.SIGSTOP)
	c.sleep(d)
	n.signal(syscall.SIGCONT)
}

// injectPeerFault disturbs the traffic between one node and one other, or all others.
func (c *soakCell) injectPeerFault(kind string, rng *rand.Rand, d time.Duration) {
	a, others := c.pickNode(rng), c.pickNodes(rng, 2)
	if rng.IntN(4) == 0 {
		others = c.nodes
	}
	var to []string
	for _, b := range others {
		if a != b && (len(to) == 0 || len(others) > 2) {
			to = append(to, b.settings.Name)
		}
	}
	c.injectLinkFault("peer", kind, rng, []*soakNode{a}, to, d)
}

// injectWorkerLinkFault disturbs the traffic between one worker and one node, or all nodes.
func (c *soakCell) injectWorkerLinkFault(kind string, rng *rand.Rand, d time.Duration) {
	c.injectLinkFault("worker", kind, rng, c.oneOrAll(rng), []string{c.workers[rng.IntN(len(c.workers))].ID}, d)
}

func (c *soakCell) injectStoreLinkFault(kind string, rng *rand.Rand, d time.Duration) {
	c.injectLinkFault("store", kind, rng, c.oneOrAll(rng), []string{storeTarget}, d)
}

func (c *soakCell) injectAdviceLinkFault(kind string, rng *rand.Rand, d time.Duration) {
	c.injectLinkFault("advice", kind, rng, c.oneOrAll(rng), []string{adviceTarget}, d)
}

// injectIsolation disturbs the traffic between one node and all targets.
func (c *soakCell) injectIsolation(kind string, rng *rand.Rand, d time.Duration) {
	a := c.pickNode(rng)
	to := []string{storeTarget, adviceTarget}
	for _, w := range c.workers {
		to = append(to, w.ID)
	}
	for _, n := range c.nodes {
		if n != a {
			to = append(to, n.settings.Name)
		}
	}
	c.injectLinkFault("isolate", kind, rng, []*soakNode{a}, to, d)
}

// linkChange is what a fault does to a link, and how it ends.
type linkChange struct{ apply, revert func() }

// injectLinkFault disturbs the traffic between nodes and targets, in one direction or in both.
func (c *soakCell) injectLinkFault(source, kind string, rng *rand.Rand, from []*soakNode, to []string, d time.Duration) {
	sides, amount := rng.IntN(3), rng.Float64()
	var changes []linkChange
	var names []string
	for _, n := range from {
		names = append(names, n.settings.Name)
		for _, target := range to {
			changes = append(changes, changesOf(kind, sides, amount, c.network.link(n.settings.Name, target), c.network.link(target, n.settings.Name))...)
		}
	}
	sideName := []string{"from node", "to node", "both"}[sides]
	defer c.faults.begin(nil, "%s.%s %s: %v and %v", source, kind, sideName, names, to)()
	for _, change := range changes {
		change.apply()
	}
	c.sleep(d)
	for _, change := range changes {
		change.revert()
	}
}

// maxDelay and the rates bound the faults of slow links.
const (
	maxDelay = 400 * time.Millisecond
	minRate  = 4_000  // bytes/s
	maxRate  = 64_000 // bytes/s
)

// changesOf returns the changes for a fault between a node and a target, which are connected by a link that the node
// opens and, between nodes, by one that the target opens. Sides are 0 for data from the node, 1 for data to it, 2 for
// both.
func changesOf(kind string, sides int, amount float64, opened, accepted *link) []linkChange {
	var directions []*direction
	if sides != 1 {
		directions = append(directions, &opened.requests, &accepted.responses)
	}
	if sides != 0 {
		directions = append(directions, &opened.responses, &accepted.requests)
	}
	links := []*link{opened}
	if sides == 2 {
		links = append(links, accepted)
	}
	var changes []linkChange
	for _, l := range links {
		switch kind {
		case "silence":
			changes = append(changes, linkChange{l.silence, func() {}})
		case "reset":
			changes = append(changes, linkChange{func() { l.closeConns(true) }, func() {}})
		case "refuse":
			changes = append(changes, linkChange{func() { l.refusing.Store(true); l.closeConns(true) }, func() { l.refusing.Store(false) }})
		}
	}
	for _, d := range directions {
		switch kind {
		case "delay":
			changes = append(changes, linkChange{func() { d.delay.Store(int64(amount * float64(maxDelay))) }, func() { d.delay.Store(0) }})
		case "hold":
			changes = append(changes, linkChange{func() { d.held.Store(true) }, func() { d.held.Store(false) }})
		case "lose":
			changes = append(changes, linkChange{func() { d.lost.Store(true) }, func() { d.lost.Store(false) }})
		case "slow":
			rate := minRate + int64(amount*(maxRate-minRate))
			changes = append(changes, linkChange{func() { d.rate.bytesPerSecond.Store(rate) }, func() { d.rate.bytesPerSecond.Store(0) }})
		}
	}
	return changes
}

// injectStoreFault makes the store refuse requests (unavailable), leave them without effect and response (mute), or carry
// out every fourth transaction without a response (unanswered).
func (c *soakCell) injectStoreFault(kind string, rng *rand.Rand, d time.Duration) {
	defer c.faults.begin(nil, "storage.%s", kind)()
	var count atomic.Int64
	c.store.SetFault(func(path string) leased.Fault {
		switch {
		case kind == "unavailable":
			return leased.Unavailable
		case kind == "mute":
			return leased.NoResponse
		case path == "/kv-txn" && count.Add(1)%4 == 0:
			return leased.LostResponse
		}
		return leased.Healthy
	})
	c.sleep(d)
	c.store.SetFault(nil)
}

// pickNode returns the scheduling node or any node, with the same probability.
func (c *soakCell) pickNode(rng *rand.Rand) *soakNode {
	i := rng.IntN(2 * len(c.nodes))
	if i < len(c.nodes) {
		return c.nodes[i]
	}
	if n := c.schedulingNode(); n != nil {
		return n
	}
	return c.nodes[i-len(c.nodes)]
}

// pickNodes returns some nodes in random order, among them the scheduling node at least half of the time.
func (c *soakCell) pickNodes(rng *rand.Rand, count int) []*soakNode {
	picked := []*soakNode{c.pickNode(rng)}
	for _, i := range rng.Perm(len(c.nodes)) {
		if n := c.nodes[i]; len(picked) < count && n != picked[0] {
			picked = append(picked, n)
		}
	}
	return picked
}

// oneOrAll returns one node, or at times all nodes.
func (c *soakCell) oneOrAll(rng *rand.Rand) []*soakNode {
	if rng.IntN(4) == 0 {
		return c.nodes
	}
	return []*soakNode{c.pickNode(rng)}
}

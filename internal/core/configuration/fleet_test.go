package configuration

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	tick        = 100 * time.Millisecond
	pollEvery   = time.Second
	gossipEvery = 500 * time.Millisecond
	settled     = 6 * time.Second // after a fault ends, every node must serve again
	revokedIn   = 4 * time.Second
	secrets     = 3
)

// fleetNode is a node with as much of a serve process around its holder as the rules concern.
type fleetNode struct {
	holder    *Holder
	inbox     []func() // answers and calls on their way
	heard     []time.Time
	reaching  []bool
	store     bool
	nextPoll  time.Time
	nextTalk  time.Time
	paused    bool
	cutStore  bool
	cutPeers  bool
	watchDead bool
}

// fleet is a store and its nodes in virtual time.
type fleet struct {
	t        *rapid.T
	now      time.Time
	up       bool
	document Document
	valid    map[int]bool
	revoked  map[int]time.Time
	nodes    []*fleetNode
	upSince  time.Time
	faultAt  time.Time // last change of a fault
	order    *rand.Rand
}

func newFleet(t *rapid.T, size int) *fleet {
	f := &fleet{t: t, now: start, up: true, valid: map[int]bool{}, revoked: map[int]time.Time{}, upSince: start, faultAt: start,
		order: rand.New(rand.NewSource(rapid.Int64().Draw(t, "order")))}
	for n := range secrets {
		f.valid[n] = true
	}
	for i := range size {
		f.nodes = append(f.nodes, &fleetNode{holder: NewHolder(FreshFor), heard: make([]time.Time, size), reaching: make([]bool, size),
			nextPoll: start.Add(time.Duration(i) * tick), nextTalk: start.Add(time.Duration(i) * tick)})
	}
	f.publish()
	return f
}

func (f *fleet) publish() {
	var present []int
	for n := range secrets {
		if f.valid[n] {
			present = append(present, n)
		}
	}
	f.document = document(f.t, f.document.Revision+1, present...)
	for _, n := range f.nodes {
		if d := f.document; !n.watchDead && !n.cutStore {
			n.inbox = append(n.inbox, func() { f.offer(n, d) })
		}
	}
}

func (f *fleet) offer(n *fleetNode, d Document) {
	before := n.holder.Revision()
	_, err := n.holder.Offer(d, f.now)
	assert.NilError(f.t, err)
	if n.holder.Revision() < before {
		f.t.Fatalf("revision went from %d to %d", before, n.holder.Revision())
	}
}

func (f *fleet) poll(n *fleetNode) {
	n.store = f.up && !n.cutStore
	if !n.store {
		return
	}
	d, sent := f.document, f.now
	n.inbox = append(n.inbox, func() {
		f.offer(n, d)
		n.holder.Confirm(d.Revision, sent)
	})
}

// talk sends a call to each peer; the peer answers when it runs, the caller looks at the answer when it runs.
func (f *fleet) talk(from int) {
	n := f.nodes[from]
	for to, peer := range f.nodes {
		if to == from || n.cutPeers || peer.cutPeers {
			continue
		}
		sent := f.now
		peer.inbox = append(peer.inbox, func() {
			age, confirmed := peer.holder.Age(f.now)
			revision, store, held := peer.holder.Revision(), peer.store, peer.holder.Current()
			n.inbox = append(n.inbox, func() {
				n.heard[to], n.reaching[to] = sent, store
				if held != nil && revision > n.holder.Revision() {
					f.offer(n, held.Document)
				}
				if confirmed {
					n.holder.ConfirmRelayed(revision, age, sent)
				}
			})
		})
	}
}

func (f *fleet) reachability(n *fleetNode, self int) Reachability {
	r := Reachability{Known: len(f.nodes) - 1, Store: n.store}
	for i, at := range n.heard {
		if i != self && !at.IsZero() && f.now.Sub(at) <= HeardWithin {
			r.Heard++
			if n.reaching[i] {
				r.Reaching++
			}
		}
	}
	return r
}

func (f *fleet) step() {
	f.now = f.now.Add(tick)
	for i, n := range f.nodes {
		if n.paused {
			continue
		}
		// A resumed node is asked before it looks at what arrived meanwhile.
		f.check(i, n)
		for len(n.inbox) > 0 {
			next := f.order.Intn(len(n.inbox)) // messages cross
			handle := n.inbox[next]
			n.inbox = append(n.inbox[:next], n.inbox[next+1:]...)
			handle()
			f.check(i, n)
		}
		if !f.now.Before(n.nextPoll) {
			n.nextPoll = f.now.Add(pollEvery)
			f.poll(n)
		}
		if !f.now.Before(n.nextTalk) {
			n.nextTalk = f.now.Add(gossipEvery)
			f.talk(i)
		}
		f.check(i, n)
	}
}

func (f *fleet) check(i int, n *fleetNode) {
	a := n.holder.Authority(f.now, f.reachability(n, i))
	for secret, at := range f.revoked {
		since := at
		if f.upSince.After(since) {
			since = f.upSince
		}
		if _, ok := n.holder.Authenticate(fmt.Sprint("secret-", secret)); ok && a.Serve && f.up && f.now.Sub(since) > revokedIn {
			f.t.Fatalf("node %d accepts a key %s after its revocation: %+v", i, f.now.Sub(at), a)
		}
	}
	if !a.Serve && !n.cutPeers && f.now.Sub(f.faultAt) > settled && f.connected() {
		f.t.Fatalf("node %d refuses work without a fault: %+v %+v", i, a, f.reachability(n, i))
	}
}

// connected reports whether no node is paused or cut from its peers. A node that is cut from the store alone has to get
// everything from its peers.
func (f *fleet) connected() bool {
	for _, n := range f.nodes {
		if n.paused || n.cutPeers {
			return false
		}
	}
	return true
}

// Guards against a node that reverts, that accepts a revoked key more than 4 s after its revocation while the store is
// there, or that refuses work although nothing is wrong. Nodes pause, watches die silently, nodes lose the store, their
// peers or both, and the store has outages.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.SampledFrom([]int{3, 4, 7}).Draw(t, "nodes"))
		for range 60 {
			f.step() // everybody has the first revision
		}
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			f.event()
			for range rapid.SampledFrom([]int{1, 3, 10, 30, 70}).Draw(t, "ticks") {
				f.step()
			}
		}
	})
}

func (f *fleet) event() {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "node")]
	cut := 0
	for _, other := range f.nodes {
		if other != n && (other.cutStore || other.cutPeers || other.paused) {
			cut++
		}
	}
	few := 2*(cut+1) < len(f.nodes) // at an even split the freshness rule can't tell a cut from an outage
	switch kind := rapid.SampledFrom([]string{"revoke", "publish", "store", "pause", "cut store", "cut peers", "isolate", "watch", "heal"}).Draw(f.t, "event"); kind {
	case "revoke", "publish":
		if !f.up {
			return
		}
		if secret := rapid.IntRange(0, secrets-1).Draw(f.t, "secret"); kind == "revoke" && f.valid[secret] {
			f.valid[secret] = false
			f.revoked[secret] = f.now
		}
		f.publish()
		return
	case "store":
		f.up = !f.up
		f.upSince = f.now
	case "pause":
		n.paused = !n.paused && few
	case "cut store":
		n.cutStore = !n.cutStore && few
	case "cut peers":
		n.cutPeers = !n.cutPeers && few
	case "isolate":
		n.cutStore, n.cutPeers = few, few
	case "watch":
		n.watchDead = !n.watchDead
	case "heal":
		for _, m := range f.nodes {
			m.paused, m.cutStore, m.cutPeers = false, false, false
		}
	}
	f.faultAt = f.now
}

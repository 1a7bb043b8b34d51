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
	tick               = 100 * time.Millisecond
	pollEvery          = time.Second
	gossipEvery        = 500 * time.Millisecond
	recoveryTime       = 6 * time.Second // after a fault ends, every node must serve again within this time
	maxRevocationDelay = 4 * time.Second
	secretCount        = 3
)

// fleetNode is a holder with the parts of a serve process that the freshness rule depends on.
type fleetNode struct {
	holder           *Holder
	inbox            []func() // calls and replies in transit
	heardAt          []time.Time
	peerReachesStore []bool
	storeReachable   bool
	nextPoll         time.Time
	nextGossip       time.Time
	paused           bool
	cutFromStore     bool
	cutFromPeers     bool
	watchSilent      bool
}

// fleet simulates a store and its nodes in virtual time.
type fleet struct {
	t             *rapid.T
	now           time.Time
	storeUp       bool
	document      Document
	validSecrets  map[int]bool
	revokedAt     map[int]time.Time
	nodes         []*fleetNode
	storeUpSince  time.Time
	lastFaultAt   time.Time // last change of a fault
	deliveryOrder *rand.Rand
}

func newFleet(t *rapid.T, size int) *fleet {
	f := &fleet{t: t, now: start, storeUp: true, validSecrets: map[int]bool{}, revokedAt: map[int]time.Time{},
		storeUpSince: start, lastFaultAt: start, deliveryOrder: rand.New(rand.NewSource(rapid.Int64().Draw(t, "order")))}
	for n := range secretCount {
		f.validSecrets[n] = true
	}
	for i := range size {
		f.nodes = append(f.nodes, &fleetNode{holder: NewHolder(FreshFor), heardAt: make([]time.Time, size),
			peerReachesStore: make([]bool, size), nextPoll: start.Add(time.Duration(i) * tick), nextGossip: start.Add(time.Duration(i) * tick)})
	}
	f.publish()
	return f
}

func (f *fleet) publish() {
	var present []int
	for n := range secretCount {
		if f.validSecrets[n] {
			present = append(present, n)
		}
	}
	f.document = document(f.t, f.document.Revision+1, present...)
	for _, n := range f.nodes {
		if d := f.document; !n.watchSilent && !n.cutFromStore {
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
	n.storeReachable = f.storeUp && !n.cutFromStore
	if !n.storeReachable {
		return
	}
	d, sent := f.document, f.now
	n.inbox = append(n.inbox, func() {
		f.offer(n, d)
		n.holder.Confirm(d.Revision, sent)
	})
}

// gossip sends a call to each peer. The peer replies when it next runs, and the caller handles the reply when it next
// runs.
func (f *fleet) gossip(from int) {
	n := f.nodes[from]
	for to, peer := range f.nodes {
		if to == from || n.cutFromPeers || peer.cutFromPeers {
			continue
		}
		sent := f.now
		peer.inbox = append(peer.inbox, func() {
			age, confirmed := peer.holder.Age(f.now)
			revision, store, active := peer.holder.Revision(), peer.storeReachable, peer.holder.Current()
			n.inbox = append(n.inbox, func() {
				n.heardAt[to], n.peerReachesStore[to] = sent, store
				if active != nil && revision > n.holder.Revision() {
					f.offer(n, active.Document)
				}
				if confirmed {
					n.holder.ConfirmRelayed(revision, age, sent)
				}
			})
		})
	}
}

func (f *fleet) reachability(n *fleetNode, self int) Reachability {
	r := Reachability{Known: len(f.nodes) - 1, Store: n.storeReachable}
	for i, at := range n.heardAt {
		if i != self && !at.IsZero() && f.now.Sub(at) <= MaxHeartbeatAge {
			r.Heard++
			if n.peerReachesStore[i] {
				r.StoreReachable++
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
		// A resumed node is checked before it handles the messages that arrived during the pause.
		f.checkAuthority(i, n)
		for len(n.inbox) > 0 {
			next := f.deliveryOrder.Intn(len(n.inbox)) // messages can be reordered
			handle := n.inbox[next]
			n.inbox = append(n.inbox[:next], n.inbox[next+1:]...)
			handle()
			f.checkAuthority(i, n)
		}
		if !f.now.Before(n.nextPoll) {
			n.nextPoll = f.now.Add(pollEvery)
			f.poll(n)
		}
		if !f.now.Before(n.nextGossip) {
			n.nextGossip = f.now.Add(gossipEvery)
			f.gossip(i)
		}
		f.checkAuthority(i, n)
	}
}

func (f *fleet) checkAuthority(i int, n *fleetNode) {
	a := n.holder.Authority(f.now, f.reachability(n, i))
	for secret, at := range f.revokedAt {
		since := at
		if f.storeUpSince.After(since) {
			since = f.storeUpSince
		}
		if _, ok := n.holder.Authenticate(fmt.Sprint("secret-", secret)); ok && a.Serve && f.storeUp && f.now.Sub(since) > maxRevocationDelay {
			f.t.Fatalf("node %d accepts a key %s after its revocation: %+v", i, f.now.Sub(at), a)
		}
	}
	if !a.Serve && !n.cutFromPeers && f.now.Sub(f.lastFaultAt) > recoveryTime && f.peersConnected() {
		f.t.Fatalf("node %d refuses work without a fault: %+v %+v", i, a, f.reachability(n, i))
	}
}

// peersConnected reports whether no node is paused or disconnected from its peers. A node that is disconnected only
// from the store must get everything from its peers.
func (f *fleet) peersConnected() bool {
	for _, n := range f.nodes {
		if n.paused || n.cutFromPeers {
			return false
		}
	}
	return true
}

// Guards against a node that goes back to an older revision, that accepts a revoked key more than 4 s after its
// revocation while the store is available, or that refuses work without a fault. Nodes pause, watches stop without an
// error, nodes lose the connection to the store, their peers or both, and the store has outages.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.SampledFrom([]int{3, 4, 7}).Draw(t, "nodes"))
		for range 60 {
			f.step() // all nodes get the first revision
		}
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			f.injectEvent()
			for range rapid.SampledFrom([]int{1, 3, 10, 30, 70}).Draw(t, "ticks") {
				f.step()
			}
		}
	})
}

func (f *fleet) injectEvent() {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "node")]
	faulty := 0
	for _, other := range f.nodes {
		if other != n && (other.cutFromStore || other.cutFromPeers || other.paused) {
			faulty++
		}
	}
	minority := 2*(faulty+1) < len(f.nodes) // an even split looks like a store outage to the freshness rule
	switch kind := rapid.SampledFrom([]string{"revoke", "publish", "store", "pause", "cut store", "cut peers", "isolate", "watch", "heal"}).Draw(f.t, "event"); kind {
	case "revoke", "publish":
		if !f.storeUp {
			return
		}
		if secret := rapid.IntRange(0, secretCount-1).Draw(f.t, "secret"); kind == "revoke" && f.validSecrets[secret] {
			f.validSecrets[secret] = false
			f.revokedAt[secret] = f.now
		}
		f.publish()
		return
	case "store":
		f.storeUp = !f.storeUp
		f.storeUpSince = f.now
	case "pause":
		n.paused = !n.paused && minority
	case "cut store":
		n.cutFromStore = !n.cutFromStore && minority
	case "cut peers":
		n.cutFromPeers = !n.cutFromPeers && minority
	case "isolate":
		n.cutFromStore, n.cutFromPeers = minority, minority
	case "watch":
		n.watchSilent = !n.watchSilent
	case "heal":
		for _, m := range f.nodes {
			m.paused, m.cutFromStore, m.cutFromPeers = false, false, false
		}
	}
	f.lastFaultAt = f.now
}

package control

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// In a large cell, the members carry the calls to the workers: each worker has a carrier in its own data centre, which
// keeps the connections and exchanges compact batches with the scheduling node. A carrier decides nothing and keeps no
// state. Every call contains all that makes it safe when it is executed late: the fencing token, and the end of the
// lease on the worker's own clock, after which the worker refuses a start. A carrier that is frozen, cut off or dead is
// therefore no worse than a slow network, and the worker's lease is renewed through another one.

const (
	// carrierMargin is added to the duration that a call may take on its carrier.
	carrierMargin = 300 * time.Millisecond
	// orderDuration is how long a start, stop or pace order may take on its carrier.
	orderDuration = 400 * time.Millisecond
	// renewalOverhead is how long a renewal may take on its carrier besides its wait.
	renewalOverhead = 550 * time.Millisecond
	// carrierQueue bounds the calls that wait to be sent to a carrier.
	carrierQueue = 1024
	// maxBatch bounds the calls or replies in one message.
	maxBatch = 64
	// carrierPause is how long no calls go to a carrier that left one without a reply.
	carrierPause = 2 * time.Second
)

// carriers passes the calls of a term to workers on to members. Its methods correspond to those of port.LeasedWorkers. A
// detour takes another path than the worker's usual one, for a call that is made again while the first has no answer.
type carriers struct {
	direct port.LeasedWorkers

	mu        sync.Mutex
	list      []*carrier
	spreading spreading
	paths     map[cell.WorkerID]int // which of a worker's candidates is used; beyond them, calls are made directly
	nextID    int64
}

// carrier is a member that executes calls.
type carrier struct {
	name, zone  string
	hash        uint64 // of the name
	out         chan *cellpb.CarriedCall
	gone        chan struct{} // closed when the member is lost or its stream has ended
	goneOnce    sync.Once
	pausedUntil time.Time // guarded by carriers.mu

	mu      sync.Mutex
	pending map[int64]chan *cellpb.CarriedReply
}

func newCarriers(direct port.LeasedWorkers, known spreading) *carriers {
	return &carriers{direct: direct, spreading: known, paths: map[cell.WorkerID]int{}}
}

// join adds a member as a carrier. The returned function keeps further calls from it.
func (c *carriers) join(name, zone string) (*carrier, func()) {
	x := &carrier{name: name, zone: zone, hash: xxhash.Sum64String(name), out: make(chan *cellpb.CarriedCall, carrierQueue), gone: make(chan struct{}),
		pending: map[int64]chan *cellpb.CarriedReply{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, x)
	return x, func() {
		c.mu.Lock()
		c.list = slices.DeleteFunc(c.list, func(y *carrier) bool { return x == y })
		c.mu.Unlock()
	}
}

// markLost ends a carrier: no more calls go to it, and those that wait for its replies end.
func (x *carrier) markLost() { x.goneOnce.Do(func() { close(x.gone) }) }

// memberLost ends the carrier of a member that is lost. Its stream may stay open without a sign of that.
func (c *carriers) memberLost(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = slices.DeleteFunc(c.list, func(x *carrier) bool {
		if x.name == name {
			x.markLost()
		}
		return x.name == name
	})
}

// choose returns the carrier for the next call to a worker, or nil if the call is to be made directly. A worker keeps
// its carrier as long as that one stays and reaches it.
func (c *carriers) choose(w port.WorkerRef, detour bool) *carrier {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.spreading.update(len(c.list)) {
		return nil
	}
	paths := c.candidates(w)
	i := c.paths[w.ID]
	if detour {
		i++
	}
	i %= len(paths) + 1
	if i == len(paths) {
		return nil
	}
	return paths[i]
}

const (
	// maxCarriersOfWorker is the number of carriers that are tried for a worker before a call is made directly.
	maxCarriersOfWorker = 2
	// maxPausedDivisor is the fraction (1/n) of the carriers up to which paused ones are left out.
	maxPausedDivisor = 3
)

// candidates returns the carriers for a worker in the order of preference: those of its zone first, and among these in an
// order that differs from worker to worker, so that each carrier gets an equal share and a carrier that leaves moves
// only its own workers.
func (c *carriers) candidates(w port.WorkerRef) []*carrier {
	now, id, paused := time.Now(), xxhash.Sum64String(string(w.ID)), 0
	for _, x := range c.list {
		if now.Before(x.pausedUntil) {
			paused++
		}
	}
	// If many carriers leave calls without a reply, this node's own link is to blame, and direct calls would only load it
	// more.
	skipPaused := paused*maxPausedDivisor <= len(c.list)
	var best []*carrier
	for _, x := range c.list {
		if skipPaused && now.Before(x.pausedUntil) {
			continue
		}
		best = append(best, x)
		for i := len(best) - 1; i > 0 && prefers(w.Zone, id, best[i], best[i-1]); i-- {
			best[i], best[i-1] = best[i-1], best[i]
		}
		best = best[:min(len(best), maxCarriersOfWorker)]
	}
	return best
}

// prefers reports whether a worker of the zone is better served by carrier a than by b.
func prefers(zone string, worker uint64, a, b *carrier) bool {
	if (a.zone == zone) != (b.zone == zone) {
		return a.zone == zone
	}
	return weight(a.hash, worker) > weight(b.hash, worker)
}

// weight is the weight of a carrier for a worker in rendezvous hashing.
func weight(carrier, worker uint64) uint64 {
	var both [8]byte
	binary.LittleEndian.PutUint64(both[:], carrier^worker)
	return xxhash.Sum64(both[:])
}

// reroute makes the next call to a worker take another path, after one that didn't reach the worker.
func (c *carriers) reroute(w port.WorkerRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths[w.ID] = (c.paths[w.ID] + 1) % (maxCarriersOfWorker + 1)
}

// suspend keeps calls from a carrier for a while.
func (c *carriers) suspend(x *carrier) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.pausedUntil = time.Now().Add(carrierPause)
}

// tryCarriersAgain ends the direct calls to a worker after one of them.
func (c *carriers) tryCarriersAgain(w port.WorkerRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.paths, w.ID)
}

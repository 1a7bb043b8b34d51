package routing

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
)

// Durations that decide when permits can be granted again.
const (
	PermitTTL       = 3 * time.Second
	LongestDeadline = 30 * time.Second // of a request
	// permitReuseDelay is the time since a node's last request after which none of its grants can still be in use.
	permitReuseDelay = PermitTTL + LongestDeadline
)

// ErrOvercommitted reports a bug in this package: the nodes' grants exceed the capacity. Nothing is granted then.
var ErrOvercommitted = errors.New("permits exceed the instance's concurrency")

type ledgerEndpoint struct {
	Endpoint
	permits        allocation
	inheritedUntil time.Time // a previous owner's permits may be in use until then
}

type ledgerWorker struct {
	connections    allocation
	inheritedUntil time.Time
}

type ledgerNode struct {
	lastRequest   time.Time
	settled       uint64
	reportedNonce uint64 // nonce of its last report of holdings
	version       uint64 // version at which its view last changed
	demand        map[string]int64
}

// PermitLedger is the owner's record of the permits of one partition. It divides the concurrency of each instance and
// the connections of each worker among the nodes. It isn't safe for concurrent use.
type PermitLedger struct {
	partition      string
	firstVersion   uint64
	version        uint64
	holdingsNonce  uint64    // version at which an instance or worker with a previous owner's permits was last set
	inheritedUntil time.Time // the latest time until which permits of a previous owner may be in use
	endpoints      map[instanceKey]*ledgerEndpoint
	workers        map[string]*ledgerWorker
	nodes          map[string]*ledgerNode
	violations     uint64
}

// NewPermitLedger returns an empty ledger. Versions start above firstVersion, which must exceed those of all previous
// owners of the partition; the time of the takeover in nanoseconds does.
func NewPermitLedger(partition string, firstVersion uint64) *PermitLedger {
	return &PermitLedger{partition: partition, firstVersion: firstVersion, version: firstVersion,
		endpoints: map[instanceKey]*ledgerEndpoint{}, workers: map[string]*ledgerWorker{}, nodes: map[string]*ledgerNode{}}
}

// Violations returns the number of requests that failed with ErrOvercommitted.
func (l *PermitLedger) Violations() uint64 { return l.violations }

// InheritedUntil returns the time until which permits of a previous owner may be in use, given the latest time at which
// it can have granted any.
func InheritedUntil(lastGrant time.Time) time.Time { return lastGrant.Add(permitReuseDelay) }

// SetWorker sets the number of connections that a worker accepts. Until inheritedUntil a previous owner's grants may be
// in use, so only the connections that nodes report are divided; it is zero for a worker without a previous owner. The
// worker must have been acquired, so that the previous owner grants nothing more.
func (l *PermitLedger) SetWorker(id string, connections int32, inheritedUntil time.Time) {
	w := l.workers[id]
	if w == nil {
		w = &ledgerWorker{connections: newAllocation(id)}
		l.workers[id] = w
	}
	w.connections.setCapacity(connections)
	w.inheritedUntil = inheritedUntil
	l.invalidateViews()
	l.requestHoldings(inheritedUntil)
}

// requestHoldings makes the nodes report their holdings again if a previous owner's permits may be in use.
func (l *PermitLedger) requestHoldings(inheritedUntil time.Time) {
	if !inheritedUntil.IsZero() {
		l.holdingsNonce = l.version
	}
	if inheritedUntil.After(l.inheritedUntil) {
		l.inheritedUntil = inheritedUntil
	}
}

// SetEndpoint adds an instance or changes its address or state. e.Permits and e.Connections are ignored; for
// inheritedUntil see SetWorker. The worker must have been set before.
func (l *PermitLedger) SetEndpoint(e Endpoint, concurrency int32, inheritedUntil time.Time) error {
	if l.workers[e.Worker] == nil {
		return errors.Errorf("endpoint %s: unknown worker %s", e.Instance, e.Worker)
	}
	key := instanceKey{e.Instance, e.Attempt}
	entry := l.endpoints[key]
	if entry == nil {
		entry = &ledgerEndpoint{permits: newAllocation(e.Instance.String())}
		l.endpoints[key] = entry
	}
	entry.permits.setCapacity(concurrency)
	entry.Endpoint, entry.inheritedUntil = e, inheritedUntil
	l.invalidateViews()
	l.requestHoldings(inheritedUntil)
	return nil
}

// RemoveEndpoint removes an instance that has ended.
func (l *PermitLedger) RemoveEndpoint(task job.TaskID, attempt int32) {
	delete(l.endpoints, instanceKey{task, attempt})
	l.invalidateViews()
}

// RemoveWorker removes a worker and its instances.
func (l *PermitLedger) RemoveWorker(id string) {
	for key, e := range l.endpoints {
		if e.Worker == id {
			delete(l.endpoints, key)
		}
	}
	delete(l.workers, id)
	l.invalidateViews()
}

// invalidateViews raises the version of every node's view, so that each node is sent the endpoints again.
func (l *PermitLedger) invalidateViews() {
	l.version++
	for _, n := range l.nodes {
		n.version = l.version
	}
}

// Changed reports whether the node's view differs from the version that it has applied. An owner's long poll waits for
// that.
func (l *PermitLedger) Changed(node string, version uint64) bool {
	n := l.nodes[node]
	return n == nil || n.version != version
}

// Request handles a node's request: it renews the node's permits, records its demand and rebalances the permits.
func (l *PermitLedger) Request(r EndpointsRequest, now time.Time) (EndpointSet, error) {
	l.Expire(now)
	n := l.nodes[r.Node]
	if n == nil {
		l.version++
		n = &ledgerNode{version: l.version}
		l.nodes[r.Node] = n
	}
	if now.After(n.lastRequest) {
		n.lastRequest = now
	}
	n.demand = make(map[string]int64, len(r.Demand))
	for _, d := range r.Demand {
		n.demand[d.Service] += int64(max(d.Open, 0)) + int64(max(d.Waiting, 0))
	}
	if r.Settled > n.settled && r.Settled <= l.version {
		n.settled = r.Settled
		l.dropSettled(r.Node, n.settled)
	}
	waiting := l.adoptHoldings(&r, n, now)
	l.rebalance(now)
	if !l.withinCapacity() {
		l.violations++
		return EndpointSet{}, ErrOvercommitted
	}
	set := EndpointSet{Partition: l.partition, Version: n.version, PermitTTLMS: PermitTTL.Milliseconds()}
	if waiting {
		// The node keeps its view until it has reported; permits of a previous owner aren't renewed.
		set.Version, set.Unchanged, set.HoldingsNonce = r.Version, true, l.holdingsNonce
		if r.Version <= l.firstVersion {
			set.PermitTTLMS = 0
		}
		return set, nil
	}
	if r.Version == n.version {
		set.Unchanged = true
		return set, nil
	}
	set.Endpoints = l.view(r.Node)
	return set, nil
}

// adoptHoldings applies a node's report of its grants from a previous owner, and reports whether the node has yet to
// send one. Only a report that this ledger asked for counts: an older one may list permits that have moved since.
func (l *PermitLedger) adoptHoldings(r *EndpointsRequest, n *ledgerNode, now time.Time) (waiting bool) {
	if !now.Before(l.inheritedUntil) {
		return false
	}
	for _, e := range l.endpoints {
		e.permits.inherited = now.Before(e.inheritedUntil)
	}
	for _, w := range l.workers {
		w.connections.inherited = now.Before(w.inheritedUntil)
	}
	if r.HoldingsNonce != l.holdingsNonce || n.reportedNonce == l.holdingsNonce {
		return n.reportedNonce != l.holdingsNonce
	}
	n.reportedNonce = l.holdingsNonce
	l.version++
	n.version = l.version
	for _, h := range r.Holdings {
		if e := l.endpoints[instanceKey{h.Instance, h.Attempt}]; e != nil {
			e.permits.adopt(r.Node, h.Permits, l.version)
		}
		if w := l.workers[h.Worker]; w != nil {
			w.connections.adopt(r.Node, h.Connections, l.version)
		}
	}
	return false
}

func (l *PermitLedger) dropSettled(node string, version uint64) {
	for _, e := range l.endpoints {
		e.permits.dropSettled(node, version)
	}
	for _, w := range l.workers {
		w.connections.dropSettled(node, version)
	}
}

// Expire frees the grants of nodes that have sent no request for so long that none of them can still be in use.
func (l *PermitLedger) Expire(now time.Time) {
	for name, n := range l.nodes {
		if now.Sub(n.lastRequest) <= permitReuseDelay {
			continue
		}
		delete(l.nodes, name)
		for _, e := range l.endpoints {
			delete(e.permits.grants, name)
		}
		for _, w := range l.workers {
			delete(w.connections.grants, name)
		}
	}
}

// rebalance moves permits by demand. Nodes that have sent no request for longer than a permit lease get none.
func (l *PermitLedger) rebalance(now time.Time) {
	names := make([]string, 0, len(l.nodes))
	for name := range l.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	next := l.version + 1
	connections := map[string][]nodeShare{}
	var changed []string
	for _, e := range l.endpoints {
		shares := l.nodeShares(names, e.Service, now)
		connections[e.Worker] = addWeights(connections[e.Worker], shares)
		e.permits.inherited = now.Before(e.inheritedUntil)
		changed = append(changed, e.permits.rebalance(shares, next)...)
	}
	for id, shares := range connections {
		w := l.workers[id]
		w.connections.inherited = now.Before(w.inheritedUntil)
		changed = append(changed, w.connections.rebalance(shares, next)...)
	}
	if len(changed) == 0 {
		return
	}
	l.version = next
	for _, name := range changed {
		l.nodes[name].version = next
	}
}

// nodeShares returns the nodes' weights for a service: the demand plus one, so that a node's first request finds a
// permit.
func (l *PermitLedger) nodeShares(names []string, service string, now time.Time) []nodeShare {
	list := make([]nodeShare, len(names))
	for i, name := range names {
		n := l.nodes[name]
		list[i].node = name
		if now.Sub(n.lastRequest) <= PermitTTL {
			list[i].weight = 1 + n.demand[service]
		}
	}
	return list
}

// addWeights adds the weights of shares of the same nodes in the same order.
func addWeights(sum, shares []nodeShare) []nodeShare {
	if sum == nil {
		return slices.Clone(shares)
	}
	for i := range sum {
		sum[i].weight += shares[i].weight
	}
	return sum
}

// withinCapacity reports whether the nodes' possible use is within the capacities. A capacity that was lowered below
// the current use isn't a violation: nothing more is granted until enough of it is free.
func (l *PermitLedger) withinCapacity() bool {
	for _, e := range l.endpoints {
		if !e.permits.withinCapacity() {
			return false
		}
	}
	for _, w := range l.workers {
		if !w.connections.withinCapacity() {
			return false
		}
	}
	return true
}

func (l *PermitLedger) view(node string) []Endpoint {
	list := make([]Endpoint, 0, len(l.endpoints))
	for _, entry := range l.endpoints {
		e := entry.Endpoint
		e.Permits = entry.permits.current(node)
		e.Connections = l.workers[e.Worker].connections.current(node)
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return compareEndpoints(&a, &b) })
	return list
}

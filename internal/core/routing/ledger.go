package routing

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
)

// Times of permits.
const (
	PermitTTL       = 3 * time.Second
	LongestDeadline = 30 * time.Second // of a request
	// permitReuse is the time since a node's last request after which nothing it was granted can be in use.
	permitReuse = PermitTTL + LongestDeadline
)

// ErrOvercommitted reports a fault of this package: the nodes may use more than there is. Nothing is granted then.
var ErrOvercommitted = errors.New("permits exceed the instance's concurrency")

type ledgerEndpoint struct {
	Endpoint
	permits   division
	notBefore time.Time // a former owner's permits may be in use until then
}

type ledgerWorker struct {
	connections division
	notBefore   time.Time
}

type ledgerNode struct {
	last    time.Time
	settled uint64
	nonce   uint64 // of its last report of holdings
	version uint64 // at which its view changed last
	demand  map[string]int64
}

// PermitLedger is the owner's record of the permits of one partition: it divides the concurrency of each instance and
// the connections of each worker among the nodes. It isn't safe for concurrent use.
type PermitLedger struct {
	partition  string
	first      uint64
	version    uint64
	inherited  uint64    // version at which an instance with a former owner's permits was added last
	notBefore  time.Time // until which there are such
	endpoints  map[instanceKey]*ledgerEndpoint
	workers    map[string]*ledgerWorker
	nodes      map[string]*ledgerNode
	violations uint64
}

// NewPermitLedger returns an empty ledger. Versions start above firstVersion, which must exceed those of all former
// owners of the partition, such as the time of the takeover in nanoseconds.
func NewPermitLedger(partition string, firstVersion uint64) *PermitLedger {
	return &PermitLedger{partition: partition, first: firstVersion, version: firstVersion, endpoints: map[instanceKey]*ledgerEndpoint{},
		workers: map[string]*ledgerWorker{}, nodes: map[string]*ledgerNode{}}
}

// Violations counts answers that were withheld with ErrOvercommitted.
func (l *PermitLedger) Violations() uint64 { return l.violations }

// InheritedUntil returns the time until which permits of a former owner may be in use, given when it last can have
// granted any.
func InheritedUntil(lastGrant time.Time) time.Time { return lastGrant.Add(permitReuse) }

// SetWorker sets the number of connections that a worker accepts. Those that a
// former owner may have granted are divided after notBefore only, but for what nodes report; the zero time is for a
// worker without a former owner. The worker must have been acquired, so that the former owner grants nothing more.
func (l *PermitLedger) SetWorker(id string, connections int32, notBefore time.Time) {
	w := l.workers[id]
	if w == nil {
		w = &ledgerWorker{connections: newDivision(id)}
		l.workers[id] = w
	}
	w.connections.resize(connections)
	w.notBefore = notBefore
	l.touch()
	l.inherit(notBefore)
}

// inherit makes nodes report their holdings again.
func (l *PermitLedger) inherit(notBefore time.Time) {
	if !notBefore.IsZero() {
		l.inherited = l.version
	}
	if notBefore.After(l.notBefore) {
		l.notBefore = notBefore
	}
}

// SetEndpoint adds an instance or changes its address or state. e.Permits and e.Connections are ignored; for
// notBefore see SetWorker. The worker must have been set.
func (l *PermitLedger) SetEndpoint(e Endpoint, concurrency int32, notBefore time.Time) error {
	if l.workers[e.Worker] == nil {
		return errors.Errorf("endpoint %s: worker %s isn't known", e.Instance, e.Worker)
	}
	key := instanceKey{e.Instance, e.Attempt}
	x := l.endpoints[key]
	if x == nil {
		x = &ledgerEndpoint{permits: newDivision(e.Instance.String())}
		l.endpoints[key] = x
	}
	x.permits.resize(concurrency)
	x.Endpoint, x.notBefore = e, notBefore
	l.touch()
	l.inherit(notBefore)
	return nil
}

// RemoveEndpoint removes an instance that has ended.
func (l *PermitLedger) RemoveEndpoint(task job.TaskID, attempt int32) {
	delete(l.endpoints, instanceKey{task, attempt})
	l.touch()
}

// RemoveWorker removes a worker and its instances.
func (l *PermitLedger) RemoveWorker(id string) {
	for key, e := range l.endpoints {
		if e.Worker == id {
			delete(l.endpoints, key)
		}
	}
	delete(l.workers, id)
	l.touch()
}

// touch changes every node's view.
func (l *PermitLedger) touch() {
	l.version++
	for _, n := range l.nodes {
		n.version = l.version
	}
}

// Changed reports whether a node that has applied the version would get something new; an owner's long poll waits
// for it.
func (l *PermitLedger) Changed(node string, version uint64) bool {
	n := l.nodes[node]
	return n == nil || n.version != version
}

// Request answers a node: it renews the node's permits, notes its demand and moves permits.
func (l *PermitLedger) Request(r EndpointsRequest, now time.Time) (EndpointSet, error) {
	l.Expire(now)
	n := l.nodes[r.Node]
	if n == nil {
		l.version++
		n = &ledgerNode{version: l.version}
		l.nodes[r.Node] = n
	}
	if now.After(n.last) {
		n.last = now
	}
	n.demand = make(map[string]int64, len(r.Demand))
	for _, d := range r.Demand {
		n.demand[d.Service] += int64(max(d.Open, 0)) + int64(max(d.Waiting, 0))
	}
	if r.Settled > n.settled && r.Settled <= l.version {
		n.settled = r.Settled
		l.settle(r.Node, n.settled)
	}
	waiting := l.adopt(&r, n, now)
	l.rebalance(now)
	if !l.sound() {
		l.violations++
		return EndpointSet{}, ErrOvercommitted
	}
	set := EndpointSet{Partition: l.partition, Version: n.version, PermitTTLMS: PermitTTL.Milliseconds()}
	if waiting {
		// Until its report is in, the node keeps its view; permits of a former owner aren't renewed.
		set.Version, set.Unchanged, set.HoldingsNonce = r.Version, true, l.inherited
		if r.Version <= l.first {
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

// adopt takes a node's report of what it holds from a former owner, and tells whether the node has yet to report. Only
// a report that this ledger asked for counts, since an older one may be about permits that have moved since.
func (l *PermitLedger) adopt(r *EndpointsRequest, n *ledgerNode, now time.Time) (waiting bool) {
	if !now.Before(l.notBefore) {
		return false
	}
	for _, e := range l.endpoints {
		e.permits.inherited = now.Before(e.notBefore)
	}
	for _, w := range l.workers {
		w.connections.inherited = now.Before(w.notBefore)
	}
	if r.HoldingsNonce != l.inherited || n.nonce == l.inherited {
		return n.nonce != l.inherited
	}
	n.nonce = l.inherited
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

func (l *PermitLedger) settle(node string, version uint64) {
	for _, e := range l.endpoints {
		e.permits.settle(node, version)
	}
	for _, w := range l.workers {
		w.connections.settle(node, version)
	}
}

// Expire frees what nodes held that have been silent for longer than anything can be in use.
func (l *PermitLedger) Expire(now time.Time) {
	for name, n := range l.nodes {
		if now.Sub(n.last) <= permitReuse {
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

// rebalance moves permits by demand. Nodes that are silent for a permit lease get none.
func (l *PermitLedger) rebalance(now time.Time) {
	names := make([]string, 0, len(l.nodes))
	for name := range l.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	next := l.version + 1
	connections := map[string][]claim{}
	var changed []string
	for _, e := range l.endpoints {
		claims := l.claims(names, e.Service, now)
		connections[e.Worker] = addClaims(connections[e.Worker], claims)
		e.permits.inherited = now.Before(e.notBefore)
		changed = append(changed, e.permits.rebalance(claims, next)...)
	}
	for id, claims := range connections {
		w := l.workers[id]
		w.connections.inherited = now.Before(w.notBefore)
		changed = append(changed, w.connections.rebalance(claims, next)...)
	}
	if len(changed) == 0 {
		return
	}
	l.version = next
	for _, name := range changed {
		l.nodes[name].version = next
	}
}

// claims weighs the nodes for a service: one for being there, so that a first request finds a permit, and the demand.
func (l *PermitLedger) claims(names []string, service string, now time.Time) []claim {
	list := make([]claim, len(names))
	for i, name := range names {
		n := l.nodes[name]
		list[i].node = name
		if now.Sub(n.last) <= PermitTTL {
			list[i].weight = 1 + n.demand[service]
		}
	}
	return list
}

// addClaims adds the weights of claims of the same nodes in the same order.
func addClaims(sum, claims []claim) []claim {
	if sum == nil {
		return slices.Clone(claims)
	}
	for i := range sum {
		sum[i].weight += claims[i].weight
	}
	return sum
}

// sound checks that what the nodes may use doesn't exceed what there is. A capacity that was lowered below what is
// in use isn't a fault: nothing more is granted until it is free.
func (l *PermitLedger) sound() bool {
	for _, e := range l.endpoints {
		if !e.permits.sound() {
			return false
		}
	}
	for _, w := range l.workers {
		if !w.connections.sound() {
			return false
		}
	}
	return true
}

func (l *PermitLedger) view(node string) []Endpoint {
	list := make([]Endpoint, 0, len(l.endpoints))
	for _, x := range l.endpoints {
		e := x.Endpoint
		e.Permits = x.permits.current(node)
		e.Connections = l.workers[e.Worker].connections.current(node)
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return compareEndpoints(&a, &b) })
	return list
}

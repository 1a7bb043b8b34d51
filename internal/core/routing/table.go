package routing

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
)

// Errors of Table.Pick. In each case nothing was sent.
var (
	ErrNoService   = errors.New("the service has no instance")
	ErrNoInstance  = errors.New("every instance is draining, failing or was tried")
	ErrNoPermit    = errors.New("no permit or connection is free")
	ErrPermitLease = errors.New("permits aren't confirmed by the partition's owner")
)

// Reason is why an instance was picked.
type Reason int

// Reasons of a pick.
const (
	OwnZone Reason = iota
	Spillover
	Probe
)

// String returns the reason for logs.
func (r Reason) String() string { return [...]string{"own zone", "spillover", "probe"}[r] }

// Options are a request's constraints on the instance.
type Options struct {
	Tried []job.TaskID // instances that earlier attempts of this request used; they aren't picked again
}

// Pick is an instance that was picked for one attempt. It holds a permit and a connection until Table.Release.
type Pick struct {
	Endpoint
	Reason   Reason
	instance *instance
}

// Result is the result of an attempt for the circuit breaker.
type Result int

// Results of an attempt.
const (
	Succeeded     Result = iota
	FailedAttempt        // counts against the instance
	Abandoned            // says nothing about the instance
)

type worker struct {
	open  int32 // requests, each of which uses one connection
	limit int32
}

type instance struct {
	Endpoint
	open      int32
	breaker   Breaker
	worker    *worker
	partition *partition
}

type partition struct {
	version       uint64
	settled       uint64
	validUntil    time.Time
	instances     map[instanceKey]*instance
	workers       map[string]*worker
	lastRenewal   time.Time // when the last request that renewed the permits was sent
	holdingsNonce uint64    // nonce of the holdings that the owner asked for, 0 for none
	previous      map[instanceKey]previousHolding
}

// previousHolding is a grant for an instance that the owner's latest response doesn't list. A new owner doesn't list an
// instance before it has acquired the worker.
type previousHolding struct {
	Holding
	until time.Time // from then on, the previous owner may have granted it to another node
}

type instanceKey struct {
	task    job.TaskID
	attempt int32
}

type service struct {
	local, remote []*instance
}

// Table is one node's view of the endpoints of all partitions. It isn't safe for concurrent use.
type Table struct {
	zone       string
	random     *rand.Rand
	partitions map[string]*partition
	services   map[string]*service
	violations uint64
}

// NewTable returns an empty table for a node in zone. random is used to pick instances.
func NewTable(zone string, random *rand.Rand) *Table {
	return &Table{zone: zone, random: random, partitions: map[string]*partition{}, services: map[string]*service{}}
}

// Violations returns the number of picks that would have exceeded the permits although the selection had found one
// free, and of picks that were returned more than once. It is 0 unless there is a bug in this package or its caller.
func (t *Table) Violations() uint64 { return t.violations }

// Apply applies the response of a partition's owner to a request that was sent at sentAt. It returns false if the
// response is older than the table's version, or leaves out the endpoints of a version that the table doesn't have.
func (t *Table) Apply(set EndpointSet, sentAt, now time.Time) bool {
	p := t.partitions[set.Partition]
	if p == nil {
		if set.Unchanged && set.HoldingsNonce == 0 {
			return false
		}
		p = &partition{instances: map[instanceKey]*instance{}, workers: map[string]*worker{},
			previous: map[instanceKey]previousHolding{}}
		t.partitions[set.Partition] = p
	}
	if set.Version < p.version || (set.Unchanged && set.Version != p.version) {
		return false
	}
	// The owner stops asking once it has the report. Repeating it would cost about 60 bytes per instance and request.
	p.holdingsNonce = set.HoldingsNonce
	if until := sentAt.Add(time.Duration(set.PermitTTLMS) * time.Millisecond); until.After(p.validUntil) {
		p.validUntil = until
	}
	if set.Version > p.version {
		p.keepPreviousGrants(now)
	}
	if set.PermitTTLMS > 0 && sentAt.After(p.lastRenewal) {
		p.lastRenewal = sentAt
	}
	if set.Unchanged || set.Version == p.version {
		return true
	}
	p.version = set.Version
	p.replaceEndpoints(set.Endpoints)
	t.rebuildServices()
	return true
}

// keepPreviousGrants saves the current grants before they are replaced, in case a new owner asks for them.
func (p *partition) keepPreviousGrants(now time.Time) {
	until := p.lastRenewal.Add(permitReuseDelay)
	for key, inst := range p.instances {
		p.previous[key] = previousHolding{inst.holding(), until}
	}
	for key, prev := range p.previous {
		if !now.Before(prev.until) {
			delete(p.previous, key)
		}
	}
}

// holding returns the grant for the instance and its worker, or the use if that is larger.
func (inst *instance) holding() Holding {
	return Holding{Instance: inst.Instance, Attempt: inst.Attempt, Worker: inst.Endpoint.Worker,
		Permits: max(inst.Permits, inst.open), Connections: max(inst.worker.limit, inst.worker.open)}
}

// Holdings returns the report that a new owner asked for and the nonce of its request, or nil and 0 if none asked. It
// leaves out grants that a previous owner may have passed on to another node since.
func (t *Table) Holdings(name string, now time.Time) ([]Holding, uint64) {
	p := t.partitions[name]
	if p == nil || p.holdingsNonce == 0 {
		return nil, 0
	}
	var list []Holding
	for _, inst := range p.instances {
		if now.Before(p.lastRenewal.Add(permitReuseDelay)) {
			list = append(list, inst.holding())
		}
	}
	for key, prev := range p.previous {
		if p.instances[key] == nil && now.Before(prev.until) {
			list = append(list, prev.Holding)
		}
	}
	return list, p.holdingsNonce
}

func (p *partition) replaceEndpoints(endpoints []Endpoint) {
	old := p.instances
	p.instances = make(map[instanceKey]*instance, len(endpoints))
	for _, w := range p.workers {
		w.limit = 0
	}
	listed := make(map[string]bool, len(p.workers))
	for _, e := range endpoints {
		w := p.workers[e.Worker]
		if w == nil {
			w = &worker{}
			p.workers[e.Worker] = w
		}
		// All endpoints of a worker carry the same limit. If they differ, the smallest is safe.
		if !listed[e.Worker] || e.Connections < w.limit {
			w.limit = e.Connections
		}
		listed[e.Worker] = true
		key := instanceKey{e.Instance, e.Attempt}
		inst := old[key]
		if inst == nil {
			inst = &instance{worker: w, partition: p}
		}
		inst.Endpoint = e
		p.instances[key] = inst
	}
	for name, w := range p.workers {
		if !listed[name] && w.open == 0 {
			delete(p.workers, name)
		}
	}
}

// rebuildServices rebuilds the lists of instances by service.
func (t *Table) rebuildServices() {
	clear(t.services)
	for _, p := range t.partitions {
		for _, inst := range p.instances {
			s := t.services[inst.Service]
			if s == nil {
				s = &service{}
				t.services[inst.Service] = s
			}
			if inst.Zone == t.zone {
				s.local = append(s.local, inst)
			} else {
				s.remote = append(s.remote, inst)
			}
		}
	}
	for _, s := range t.services {
		sortByEndpoint(s.local)
		sortByEndpoint(s.remote)
	}
}

// Remove removes a partition. Requests that are open there still end with Release.
func (t *Table) Remove(name string) {
	delete(t.partitions, name)
	t.rebuildServices()
}

// Expired returns the partitions whose permits have expired.
func (t *Table) Expired(now time.Time) []string {
	var expired []string
	for name, p := range t.partitions {
		if !now.Before(p.validUntil) {
			expired = append(expired, name)
		}
	}
	return expired
}

// Versions returns the version applied for a partition, and the latest version whose grants the open requests don't
// exceed; see EndpointsRequest.Settled.
func (t *Table) Versions(name string) (applied, settled uint64) {
	p := t.partitions[name]
	if p == nil {
		return 0, 0
	}
	if p.settled < p.version && p.withinGrants() {
		p.settled = p.version
	}
	return p.version, p.settled
}

func (p *partition) withinGrants() bool {
	for _, inst := range p.instances {
		if inst.open > inst.Permits {
			return false
		}
	}
	for _, w := range p.workers {
		if w.open > w.limit {
			return false
		}
	}
	return true
}

// Limits returns the number of connections that the node may have open to each worker. Workers whose permits have
// expired are left out.
func (t *Table) Limits(now time.Time) map[string]int32 {
	limits := map[string]int32{}
	for _, p := range t.partitions {
		for name, w := range p.workers {
			if now.Before(p.validUntil) {
				limits[name] = w.limit
			}
		}
	}
	return limits
}

// Release returns the pick's permit and connection, and records the result. It must be called exactly once for each
// pick.
func (t *Table) Release(p Pick, r Result, now time.Time) {
	inst := p.instance
	if inst.open <= 0 || inst.worker.open <= 0 {
		t.violations++
		return
	}
	inst.open--
	inst.worker.open--
	probe := p.Reason == Probe
	if r == Abandoned {
		inst.breaker.Abandon(probe)
		return
	}
	inst.breaker.Record(probe, r == FailedAttempt, now)
}

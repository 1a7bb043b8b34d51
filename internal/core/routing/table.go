package routing

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
)

// Errors of Pick. In each case nothing was sent.
var (
	ErrNoService   = errors.New("the service has no instance")
	ErrNoInstance  = errors.New("every instance is draining, failing or was tried")
	ErrNoPermit    = errors.New("no permit or connection is free")
	ErrPermitLease = errors.New("permits aren't confirmed by the partition's owner")
)

// Reason says why an instance was picked.
type Reason int

// Reasons of a pick.
const (
	OwnZone Reason = iota
	Spillover
	Probe
)

// String returns the reason for logs.
func (r Reason) String() string { return [...]string{"own zone", "spillover", "probe"}[r] }

// Options are a request's conditions on the instance.
type Options struct {
	Tried []job.TaskID // instances that earlier tries of this request used
}

// Pick is an instance that was picked for one try. It holds a permit and a connection until Table.Done.
type Pick struct {
	Endpoint
	Reason   Reason
	instance *instance
}

// Result is the end of a try as the breaker sees it.
type Result int

// Results of a try.
const (
	Succeeded Result = iota
	FailedTry        // counts against the instance
	Abandoned        // says nothing about the instance
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
	version   uint64
	settled   uint64
	validTo   time.Time
	instances map[instanceKey]*instance
	workers   map[string]*worker
	renewed   time.Time // when the last answered request was sent
	nonce     uint64    // of the holdings that the owner wants
	former    map[instanceKey]formerHolding
}

// formerHolding is a grant for an instance that the owner's latest answer doesn't have. A new owner doesn't list an
// instance before it has acquired the worker.
type formerHolding struct {
	Holding
	until time.Time // when the former owner may have passed it on
}

type instanceKey struct {
	task    job.TaskID
	attempt int32
}

type service struct {
	local, remote []*instance
}

// Table holds the endpoints of all partitions as one node sees them. It isn't safe for concurrent use.
type Table struct {
	zone       string
	random     *rand.Rand
	partitions map[string]*partition
	services   map[string]*service
	violations uint64
}

// NewTable returns an empty table for a node in zone. random makes the choices.
func NewTable(zone string, random *rand.Rand) *Table {
	return &Table{zone: zone, random: random, partitions: map[string]*partition{}, services: map[string]*service{}}
}

// Violations counts the picks that were refused since they would have exceeded the permits although the selection had
// found one free. It is 0 unless there is a fault in this package.
func (t *Table) Violations() uint64 { return t.violations }

// Apply takes the answer of a partition's owner to a request that was sent at sentAt. It reports false for an answer
// that is older than what the table has.
func (t *Table) Apply(set EndpointSet, sentAt, now time.Time) bool {
	p := t.partitions[set.Partition]
	if p == nil {
		if set.Unchanged && set.HoldingsNonce == 0 {
			return false
		}
		p = &partition{instances: map[instanceKey]*instance{}, workers: map[string]*worker{},
			former: map[instanceKey]formerHolding{}}
		t.partitions[set.Partition] = p
	}
	if set.Version < p.version || (set.Unchanged && set.Version != p.version) {
		return false
	}
	// An owner that has the report asks no more. Repeating it would cost about 60 bytes for each instance and request.
	p.nonce = set.HoldingsNonce
	if until := sentAt.Add(time.Duration(set.PermitTTLMS) * time.Millisecond); until.After(p.validTo) {
		p.validTo = until
	}
	if set.Version > p.version {
		p.remember(now)
	}
	if set.PermitTTLMS > 0 && sentAt.After(p.renewed) {
		p.renewed = sentAt
	}
	if set.Unchanged || set.Version == p.version {
		return true
	}
	p.version = set.Version
	p.replace(set.Endpoints)
	t.index()
	return true
}

// remember keeps the present grants before they are replaced, in case a new owner asks for them.
func (p *partition) remember(now time.Time) {
	until := p.renewed.Add(permitReuse)
	for key, in := range p.instances {
		p.former[key] = formerHolding{in.holding(), until}
	}
	for key, f := range p.former {
		if !now.Before(f.until) {
			delete(p.former, key)
		}
	}
}

func (in *instance) holding() Holding {
	return Holding{Instance: in.Instance, Attempt: in.Attempt, Worker: in.Endpoint.Worker, Permits: max(in.Permits, in.open),
		Connections: max(in.worker.limit, in.worker.open)}
}

// Holdings returns the report that a new owner asked for, and the nonce of its request; nothing if none asked. It has
// no grant that a former owner may have passed on since.
func (t *Table) Holdings(name string, now time.Time) ([]Holding, uint64) {
	p := t.partitions[name]
	if p == nil || p.nonce == 0 {
		return nil, 0
	}
	var list []Holding
	for _, in := range p.instances {
		if now.Before(p.renewed.Add(permitReuse)) {
			list = append(list, in.holding())
		}
	}
	for key, f := range p.former {
		if p.instances[key] == nil && now.Before(f.until) {
			list = append(list, f.Holding)
		}
	}
	return list, p.nonce
}

func (p *partition) replace(endpoints []Endpoint) {
	old := p.instances
	p.instances = make(map[instanceKey]*instance, len(endpoints))
	for _, w := range p.workers {
		w.limit = 0
	}
	fresh := make(map[string]bool, len(p.workers))
	for _, e := range endpoints {
		w := p.workers[e.Worker]
		if w == nil {
			w = &worker{}
			p.workers[e.Worker] = w
		}
		// All endpoints of a worker carry the same bound; should they differ, the smallest is safe.
		if !fresh[e.Worker] || e.Connections < w.limit {
			w.limit = e.Connections
		}
		fresh[e.Worker] = true
		key := instanceKey{e.Instance, e.Attempt}
		in := old[key]
		if in == nil {
			in = &instance{worker: w, partition: p}
		}
		in.Endpoint = e
		p.instances[key] = in
	}
	for name, w := range p.workers {
		if !fresh[name] && w.open == 0 {
			delete(p.workers, name)
		}
	}
}

// index rebuilds the lists by service.
func (t *Table) index() {
	clear(t.services)
	for _, p := range t.partitions {
		for _, in := range p.instances {
			s := t.services[in.Service]
			if s == nil {
				s = &service{}
				t.services[in.Service] = s
			}
			if in.Zone == t.zone {
				s.local = append(s.local, in)
			} else {
				s.remote = append(s.remote, in)
			}
		}
	}
	for _, s := range t.services {
		sortInstances(s.local)
		sortInstances(s.remote)
	}
}

// Remove forgets a partition. Requests that are open there end with Done as usual.
func (t *Table) Remove(name string) {
	delete(t.partitions, name)
	t.index()
}

// Expire returns the partitions whose permits have lapsed.
func (t *Table) Expire(now time.Time) []string {
	var lapsed []string
	for name, p := range t.partitions {
		if !now.Before(p.validTo) {
			lapsed = append(lapsed, name)
		}
	}
	return lapsed
}

// Versions returns the version applied for a partition, and the latest one that the open requests keep to; see
// EndpointsRequest.Settled.
func (t *Table) Versions(name string) (applied, settled uint64) {
	p := t.partitions[name]
	if p == nil {
		return 0, 0
	}
	if p.settled < p.version && p.keepsToGrants() {
		p.settled = p.version
	}
	return p.version, p.settled
}

func (p *partition) keepsToGrants() bool {
	for _, in := range p.instances {
		if in.open > in.Permits {
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

// Limits returns the connections that the node may have open to each worker: none where the permits have lapsed.
func (t *Table) Limits(now time.Time) map[string]int32 {
	limits := map[string]int32{}
	for _, p := range t.partitions {
		for name, w := range p.workers {
			if now.Before(p.validTo) {
				limits[name] = w.limit
			}
		}
	}
	return limits
}

// Done returns the pick's permit and connection. It must be called once for each pick.
func (t *Table) Done(p Pick, r Result, now time.Time) {
	in := p.instance
	if in.open <= 0 || in.worker.open <= 0 {
		t.violations++
		return
	}
	in.open--
	in.worker.open--
	probe := p.Reason == Probe
	if r == Abandoned {
		in.breaker.Abandon(probe)
		return
	}
	in.breaker.Record(probe, r == FailedTry, now)
}

package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/port"
)

// Limits on the requests waiting for a service whose configuration sets none.
const (
	defaultWaitingLimit     = 1000
	defaultTeamWaitingLimit = 250
)

// errShed means that a waiting request was shed in favor of another.
var errShed = errors.New("gave way to a request of a higher class or of a team with fewer requests")

// Router combines the route table with the queue of requests waiting for a permit. All methods may be called
// concurrently.
type Router struct {
	clock    port.Clock
	pool     *pool
	mu       sync.Mutex
	table    *routing.Table
	services map[string]*serviceState
	nextID   uint64
}

var _ Routes = (*Router)(nil)

// serviceState is the router's state for a service, guarded by Router.mu.
type serviceState struct {
	name      string
	budget    routing.Budget
	latency   *routing.Latency
	waitQueue routing.WaitQueue
	waiting   map[uint64]chan waitResult
	open      int32
}

// waitResult ends the wait of a request, with a pick or an error.
type waitResult struct {
	pick routing.Pick
	err  error
}

// NewRouter returns a router for a node in zone. random is the source of randomness for choosing instances.
func NewRouter(zone string, random *rand.Rand, clock port.Clock) *Router {
	return &Router{clock: clock, pool: newPool(), table: routing.NewTable(zone, random),
		services: map[string]*serviceState{}}
}

// Apply implements Routes.
func (r *Router) Apply(set routing.EndpointSet, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if !r.table.Apply(set, sentAt, now) {
		return
	}
	r.pool.setLimits(r.table.Limits(now))
	for _, s := range r.services {
		r.serveWaiting(s, now)
	}
}

// Request implements Routes.
func (r *Router) Request(node, partition string) routing.EndpointsRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	q := routing.EndpointsRequest{Node: node, Partition: partition, Demand: r.demand(now)}
	q.Version, q.Settled = r.table.Versions(partition)
	q.Holdings, q.HoldingsNonce = r.table.Holdings(partition, now)
	return q
}

// Demand implements Routes.
func (r *Router) Demand() []routing.ServiceDemand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.demand(r.clock.Now())
}

// demand returns the open and waiting requests by service. It also closes idle connections whose permits have expired.
// Router.mu must be held.
func (r *Router) demand(now time.Time) []routing.ServiceDemand {
	r.pool.setLimits(r.table.Limits(now))
	var demand []routing.ServiceDemand
	for name, s := range r.services {
		if waiting := int32(s.waitQueue.Len()); s.open > 0 || waiting > 0 {
			demand = append(demand, routing.ServiceDemand{Service: name, Open: s.open, Waiting: waiting})
		}
	}
	return demand
}

// Version returns the endpoint version applied for a partition, 0 for none.
func (r *Router) Version(partition string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	applied, _ := r.table.Versions(partition)
	return applied
}

// Settled returns the latest version whose grants all open requests comply with.
func (r *Router) Settled(partition string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, settled := r.table.Versions(partition)
	return settled
}

// Remove implements Routes.
func (r *Router) Remove(partition string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Remove(partition)
	r.pool.setLimits(r.table.Limits(r.clock.Now()))
}

func (r *Router) service(name string) *serviceState {
	s := r.services[name]
	if s == nil {
		s = &serviceState{name: name, latency: routing.NewLatency(), waiting: map[uint64]chan waitResult{}}
		r.services[name] = s
	}
	return s
}

// acquire picks an instance for the first attempt, or waits for a permit until the deadline.
func (r *Router) acquire(ctx context.Context, svc Service, team string, deadline time.Time) (routing.Pick, error) {
	r.mu.Lock()
	now := r.clock.Now()
	s := r.service(svc.Name)
	s.budget.Deposit(now)
	if s.waitQueue.Len() == 0 {
		p, err := r.table.Pick(s.name, routing.Options{}, now)
		if err == nil {
			s.open++
		}
		if !errors.Is(err, routing.ErrNoPermit) && !errors.Is(err, routing.ErrPermitLease) {
			r.mu.Unlock()
			return p, err
		}
	}
	r.nextID++
	id, result := r.nextID, make(chan waitResult, 1)
	shed, err := s.waitQueue.Enter(routing.Waiter{ID: id, Team: team, Class: svc.Class, Deadline: deadline}, limits(svc), now)
	if err != nil {
		r.mu.Unlock()
		return routing.Pick{}, err
	}
	if shed != nil {
		s.complete(shed.ID, waitResult{err: errShed})
	}
	s.waiting[id] = result
	r.serveWaiting(s, now)
	r.mu.Unlock()
	return r.wait(ctx, s, id, result, deadline.Sub(now))
}

func limits(svc Service) routing.Limits {
	l := routing.Limits{Total: svc.WaitingLimit, Team: svc.TeamWaitingLimit}
	if l.Total == 0 {
		l.Total = defaultWaitingLimit
	}
	if l.Team == 0 {
		l.Team = min(defaultTeamWaitingLimit, l.Total)
	}
	return l
}

func (r *Router) wait(ctx context.Context, s *serviceState, id uint64, result chan waitResult, d time.Duration) (routing.Pick, error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case g := <-result:
		return g.pick, g.err
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.waitQueue.Leave(id) {
		delete(s.waiting, id)
		return routing.Pick{}, routing.ErrTooLate
	}
	// The request was served or shed at the same moment.
	g := <-result
	return g.pick, g.err
}

func (s *serviceState) complete(id uint64, g waitResult) {
	s.waiting[id] <- g
	delete(s.waiting, id)
}

// serveWaiting assigns free permits to waiting requests. If no instance can accept requests any more, it rejects all
// waiting requests, just as new ones are rejected, because no freed permit would end their wait. Router.mu must be held.
func (r *Router) serveWaiting(s *serviceState, now time.Time) {
	for s.waitQueue.Len() > 0 {
		p, err := r.table.Pick(s.name, routing.Options{}, now)
		if errors.Is(err, routing.ErrNoInstance) || errors.Is(err, routing.ErrNoService) {
			s.refuseAll(err)
			return
		}
		if err != nil {
			return
		}
		w, ok := s.waitQueue.Next(now)
		if !ok {
			r.table.Release(p, routing.Abandoned, now)
			return
		}
		s.open++
		s.complete(w.ID, waitResult{pick: p})
	}
}

func (s *serviceState) refuseAll(err error) {
	for id := range s.waiting {
		s.waitQueue.Leave(id)
		s.complete(id, waitResult{err: err})
	}
}

// pickRetry picks an instance for a retry or a hedge, without waiting. It prefers an instance that hasn't been tried; a
// retry may go to one that has.
func (r *Router) pickRetry(service string, tried []job.TaskID, hedge bool) (routing.Pick, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, s := r.clock.Now(), r.service(service)
	p, err := r.table.Pick(service, routing.Options{Tried: tried}, now)
	if err != nil && !hedge {
		p, err = r.table.Pick(service, routing.Options{}, now)
	}
	if err == nil {
		s.open++
	}
	return p, err
}

// release returns the permit of an attempt. latency is 0 unless a response was received.
func (r *Router) release(p routing.Pick, result routing.Result, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, s := r.clock.Now(), r.service(p.Service)
	r.table.Release(p, result, now)
	s.open--
	if latency > 0 {
		s.latency.Record(latency, now)
	}
	s.waitQueue.RecordFreedPermit(now)
	r.serveWaiting(s, now)
}

func (r *Router) decideRetry(service string, o routing.Outcome, idempotent bool, attempts int, deadline time.Time) routing.RetryVerdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return routing.DecideRetry(o, idempotent, attempts, &r.service(service).budget, deadline, r.clock.Now())
}

// hedgeDelay returns how long to wait before sending a second attempt in parallel. It reports false if too few
// latencies are known.
func (r *Router) hedgeDelay(service string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(service).latency.HedgeDelay(r.clock.Now())
}

func (r *Router) withdrawHedge(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(service).budget.Withdraw(r.clock.Now())
}

// Violations returns the number of picks that were rejected because they would have exceeded the permits; 0 unless
// there is a fault.
func (r *Router) Violations() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Violations()
}

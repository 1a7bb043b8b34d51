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

// Limits of the requests that wait for a service where its object has none.
const (
	defaultWaiting     = 1000
	defaultTeamWaiting = 250
)

// errShed reports that a waiting request gave way to another.
var errShed = errors.New("gave way to a request of a higher class or of a team with fewer requests")

// Router is the route table with the requests that wait for a permit. All methods may be called concurrently.
type Router struct {
	clock    port.Clock
	pool     *pool
	mu       sync.Mutex
	table    *routing.Table
	services map[string]*serviceState
	nextID   uint64
}

var _ Routes = (*Router)(nil)

// serviceState is what the router keeps for a service; Router.mu guards it.
type serviceState struct {
	name    string
	budget  routing.Budget
	latency *routing.Latency
	shedder routing.Shedder
	waiting map[uint64]chan grant
	open    int32
}

// grant ends a wait.
type grant struct {
	pick routing.Pick
	err  error
}

// NewRouter returns a router for a node in zone. random makes the choices between instances.
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
		r.serve(s, now)
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

// demand also closes idle connections whose permits have lapsed. Router.mu is held.
func (r *Router) demand(now time.Time) []routing.ServiceDemand {
	r.pool.setLimits(r.table.Limits(now))
	var demand []routing.ServiceDemand
	for name, s := range r.services {
		if waiting := int32(s.shedder.Len()); s.open > 0 || waiting > 0 {
			demand = append(demand, routing.ServiceDemand{Service: name, Open: s.open, Waiting: waiting})
		}
	}
	return demand
}

// Version returns the version applied for a partition, 0 for none.
func (r *Router) Version(partition string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	applied, _ := r.table.Versions(partition)
	return applied
}

// Settled returns the latest version whose grants the open requests keep to.
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
		s = &serviceState{name: name, latency: routing.NewLatency(), waiting: map[uint64]chan grant{}}
		r.services[name] = s
	}
	return s
}

// acquire picks an instance for the first try, or waits for a permit until the deadline.
func (r *Router) acquire(ctx context.Context, svc Service, team string, deadline time.Time) (routing.Pick, error) {
	r.mu.Lock()
	now := r.clock.Now()
	s := r.service(svc.Name)
	s.budget.Deposit(now)
	if s.shedder.Len() == 0 {
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
	id, done := r.nextID, make(chan grant, 1)
	shed, err := s.shedder.Enter(routing.Waiter{ID: id, Team: team, Class: svc.Class, Deadline: deadline}, limits(svc), now)
	if err != nil {
		r.mu.Unlock()
		return routing.Pick{}, err
	}
	if shed != nil {
		s.finish(shed.ID, grant{err: errShed})
	}
	s.waiting[id] = done
	r.serve(s, now)
	r.mu.Unlock()
	return r.wait(ctx, s, id, done, deadline.Sub(now))
}

func limits(svc Service) routing.Limits {
	l := routing.Limits{Total: svc.WaitingLimit, Team: svc.TeamWaitingLimit}
	if l.Total == 0 {
		l.Total = defaultWaiting
	}
	if l.Team == 0 {
		l.Team = min(defaultTeamWaiting, l.Total)
	}
	return l
}

func (r *Router) wait(ctx context.Context, s *serviceState, id uint64, done chan grant, d time.Duration) (routing.Pick, error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case g := <-done:
		return g.pick, g.err
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.shedder.Leave(id) {
		delete(s.waiting, id)
		return routing.Pick{}, routing.ErrTooLate
	}
	// It was served or shed at the same moment.
	g := <-done
	return g.pick, g.err
}

func (s *serviceState) finish(id uint64, g grant) {
	s.waiting[id] <- g
	delete(s.waiting, id)
}

// serve gives permits that are free to those who wait. When no instance can take requests any more, those who wait are
// refused, as new ones are, since nothing would wake them. Router.mu is held.
func (r *Router) serve(s *serviceState, now time.Time) {
	for s.shedder.Len() > 0 {
		p, err := r.table.Pick(s.name, routing.Options{}, now)
		if errors.Is(err, routing.ErrNoInstance) || errors.Is(err, routing.ErrNoService) {
			s.refuseAll(err)
			return
		}
		if err != nil {
			return
		}
		w, ok := s.shedder.Next(now)
		if !ok {
			r.table.Done(p, routing.Abandoned, now)
			return
		}
		s.open++
		s.finish(w.ID, grant{pick: p})
	}
}

func (s *serviceState) refuseAll(err error) {
	for id := range s.waiting {
		s.shedder.Leave(id)
		s.finish(id, grant{err: err})
	}
}

// again picks an instance for a retry or a hedge, without waiting: another one if possible, else one that was tried.
func (r *Router) again(service string, tried []job.TaskID, hedge bool) (routing.Pick, error) {
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

// done returns the permit of a try, of which latency is 0 unless an answer came.
func (r *Router) done(p routing.Pick, result routing.Result, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, s := r.clock.Now(), r.service(p.Service)
	r.table.Done(p, result, now)
	s.open--
	if latency > 0 {
		s.latency.Record(latency, now)
	}
	s.shedder.Freed(now)
	r.serve(s, now)
}

func (r *Router) decide(service string, o routing.Outcome, idempotent bool, tries int, deadline time.Time) routing.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return routing.Decide(o, idempotent, tries, &r.service(service).budget, deadline, r.clock.Now())
}

// hedgeDelay returns when a second try may be sent beside the first.
func (r *Router) hedgeDelay(service string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(service).latency.HedgeDelay(r.clock.Now())
}

func (r *Router) takeHedge(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(service).budget.Withdraw(r.clock.Now())
}

// Violations returns the refused violations of the permits; 0 unless there is a fault.
func (r *Router) Violations() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Violations()
}

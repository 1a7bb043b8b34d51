package routing

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
)

// spilloverLoad is the fraction of its permits in use from which a local instance counts as loaded.
const spilloverLoad = 0.75

func sortByEndpoint(list []*instance) {
	slices.SortFunc(list, func(a, b *instance) int { return compareEndpoints(&a.Endpoint, &b.Endpoint) })
}

func compareEndpoints(a, b *Endpoint) int {
	return cmp.Or(cmp.Compare(a.Instance.Job, b.Instance.Job), cmp.Compare(a.Instance.Index, b.Instance.Index),
		cmp.Compare(a.Attempt, b.Attempt))
}

// Pick selects an instance for one attempt: the less loaded of two random ones in the local zone. If that one counts as
// loaded, or the local zone has no usable one, Pick chooses in the same way among the other zones, and takes that
// instance if its load is lower. It takes a permit and a connection, which Release returns.
func (t *Table) Pick(name string, o Options, now time.Time) (Pick, error) {
	s := t.services[name]
	if s == nil {
		return Pick{}, ErrNoService
	}
	inst, reason := t.pickLessLoaded(s.local, o.Tried, now), OwnZone
	if inst == nil || inst.load() >= spilloverLoad {
		if other := t.pickLessLoaded(s.remote, o.Tried, now); other != nil && (inst == nil || other.load() < inst.load()) {
			inst, reason = other, Spillover
		}
	}
	if inst == nil {
		return Pick{}, s.unavailableReason(o.Tried, now)
	}
	if inst.open >= inst.Permits || inst.worker.open >= inst.worker.limit {
		t.violations++
		return Pick{}, ErrNoPermit
	}
	inst.open++
	inst.worker.open++
	if inst.breaker.Begin() {
		reason = Probe
	}
	return Pick{Endpoint: inst.Endpoint, Reason: reason, instance: inst}, nil
}

// pickLessLoaded draws two random instances and returns the less loaded one that is usable. If neither is, it returns
// the next usable one in the list from a random position, or nil.
func (t *Table) pickLessLoaded(list []*instance, tried []job.TaskID, now time.Time) *instance {
	n := len(list)
	if n == 0 {
		return nil
	}
	first := t.random.IntN(n)
	a := list[first]
	b := a
	if n > 1 {
		b = list[(first+1+t.random.IntN(n-1))%n]
	}
	okA, okB := a.checkUsable(tried, now) == nil, b.checkUsable(tried, now) == nil
	switch {
	case okA && okB && b.load() < a.load():
		return b
	case okA:
		return a
	case okB:
		return b
	}
	for i := 1; i < n; i++ {
		if inst := list[(first+i)%n]; inst.checkUsable(tried, now) == nil {
			return inst
		}
	}
	return nil
}

func (inst *instance) load() float64 { return float64(inst.open) / float64(inst.Permits) }

// checkUsable returns nil, or the reason why the instance can't take a request.
func (inst *instance) checkUsable(tried []job.TaskID, now time.Time) error {
	switch {
	case inst.Draining || !inst.breaker.Allow(now) || slices.Contains(tried, inst.Instance):
		return ErrNoInstance
	case !now.Before(inst.partition.validUntil):
		return ErrPermitLease
	case inst.open >= inst.Permits || inst.worker.open >= inst.worker.limit:
		return ErrNoPermit
	}
	return nil
}

// unavailableReason returns the reason that is likely to pass first: a missing permit, which soon becomes free, then an
// expired permit lease, which is renewed, then the rest.
func (s *service) unavailableReason(tried []job.TaskID, now time.Time) error {
	reason := ErrNoInstance
	for _, list := range [2][]*instance{s.local, s.remote} {
		for _, inst := range list {
			switch err := inst.checkUsable(tried, now); err {
			case ErrNoPermit:
				return err
			case ErrPermitLease:
				reason = err
			}
		}
	}
	return reason
}

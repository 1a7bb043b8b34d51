package routing

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
)

// spilloverLoad is the part of its permits above which a local instance counts as loaded.
const spilloverLoad = 0.75

func sortInstances(list []*instance) {
	slices.SortFunc(list, func(a, b *instance) int { return compareEndpoints(&a.Endpoint, &b.Endpoint) })
}

func compareEndpoints(a, b *Endpoint) int {
	return cmp.Or(cmp.Compare(a.Instance.Job, b.Instance.Job), cmp.Compare(a.Instance.Index, b.Instance.Index),
		cmp.Compare(a.Attempt, b.Attempt))
}

// Pick selects an instance for one try: the less loaded of two random ones of the own zone, or one of another zone if
// the own zone has none or only loaded ones. It takes a permit and a connection, which Done returns.
func (t *Table) Pick(name string, o Options, now time.Time) (Pick, error) {
	s := t.services[name]
	if s == nil {
		return Pick{}, ErrNoService
	}
	in, reason := t.better(s.local, o.Tried, now), OwnZone
	if in == nil || in.load() >= spilloverLoad {
		if other := t.better(s.remote, o.Tried, now); other != nil && (in == nil || other.load() < in.load()) {
			in, reason = other, Spillover
		}
	}
	if in == nil {
		return Pick{}, s.why(o.Tried, now)
	}
	if in.open >= in.Permits || in.worker.open >= in.worker.limit {
		t.violations++
		return Pick{}, ErrNoPermit
	}
	in.open++
	in.worker.open++
	if in.breaker.Begin() {
		reason = Probe
	}
	return Pick{Endpoint: in.Endpoint, Reason: reason, instance: in}, nil
}

// better draws two instances and returns the less loaded one that is usable. If neither is, it takes the next usable
// one in the list from a random position.
func (t *Table) better(list []*instance, tried []job.TaskID, now time.Time) *instance {
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
	okA, okB := a.usable(tried, now) == nil, b.usable(tried, now) == nil
	switch {
	case okA && okB && b.load() < a.load():
		return b
	case okA:
		return a
	case okB:
		return b
	}
	for i := 1; i < n; i++ {
		if in := list[(first+i)%n]; in.usable(tried, now) == nil {
			return in
		}
	}
	return nil
}

func (in *instance) load() float64 { return float64(in.open) / float64(in.Permits) }

// usable returns nil, or the reason why the instance can't take a request.
func (in *instance) usable(tried []job.TaskID, now time.Time) error {
	switch {
	case in.Draining || !in.breaker.Allows(now) || slices.Contains(tried, in.Instance):
		return ErrNoInstance
	case !now.Before(in.partition.validTo):
		return ErrPermitLease
	case in.open >= in.Permits || in.worker.open >= in.worker.limit:
		return ErrNoPermit
	}
	return nil
}

// why returns the most hopeful reason: a permit that becomes free soon, then a lease that is renewed, then the rest.
func (s *service) why(tried []job.TaskID, now time.Time) error {
	reason := ErrNoInstance
	for _, list := range [2][]*instance{s.local, s.remote} {
		for _, in := range list {
			switch err := in.usable(tried, now); err {
			case ErrNoPermit:
				return err
			case ErrPermitLease:
				reason = err
			}
		}
	}
	return reason
}

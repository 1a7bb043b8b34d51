package node

import (
	"time"

	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/routing"
)

// permitTracker updates the permit ledger of a partition to match its running instances.
type permitTracker struct {
	ledger    *routing.PermitLedger
	instances map[instanceKey]partition.Instance
}

type instanceKey struct {
	task    string
	attempt int32
}

func newPermitTracker(name string, startedAt time.Time) *permitTracker {
	return &permitTracker{ledger: routing.NewPermitLedger(name, uint64(startedAt.UnixNano())),
		instances: map[instanceKey]partition.Instance{}}
}

// update adds, changes and removes endpoints to match the instances.
func (t *permitTracker) update(instances []partition.Instance, now time.Time) {
	present := map[instanceKey]bool{}
	for _, in := range instances {
		key := instanceKey{in.Endpoint.Instance.String(), in.Endpoint.Attempt}
		present[key] = true
		if known, found := t.instances[key]; found && known == in {
			continue
		}
		t.instances[key] = in
		t.set(in, now)
	}
	for key, in := range t.instances {
		if !present[key] {
			delete(t.instances, key)
			t.ledger.RemoveEndpoint(in.Endpoint.Instance, in.Endpoint.Attempt)
		}
	}
}

// set adds or changes an instance. The permits that a former owner granted for an inherited instance may be in use
// until the nodes have reported them.
func (t *permitTracker) set(in partition.Instance, now time.Time) {
	notBefore := time.Time{}
	if in.Inherited {
		notBefore = routing.InheritedUntil(now)
	}
	t.ledger.SetWorker(in.Endpoint.Worker, int32(in.Connections), time.Time{})
	_ = t.ledger.SetEndpoint(in.Endpoint, in.Concurrency, notBefore) // it can't fail: the worker was set just before
}

func (t *permitTracker) request(r routing.EndpointsRequest, now time.Time) (routing.EndpointSet, error) {
	return t.ledger.Request(r, now)
}

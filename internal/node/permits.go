package node

import (
	"time"

	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/routing"
)

// permitBook keeps the permit ledger of a partition in step with its running instances.
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

// update adds, changes and removes endpoints.
func (b *permitTracker) update(instances []partition.Instance, now time.Time) {
	present := map[instanceKey]bool{}
	for _, in := range instances {
		key := instanceKey{in.Endpoint.Instance.String(), in.Endpoint.Attempt}
		present[key] = true
		if known, found := b.instances[key]; found && known == in {
			continue
		}
		b.instances[key] = in
		b.set(in, now)
	}
	for key, in := range b.instances {
		if !present[key] {
			delete(b.instances, key)
			b.ledger.RemoveEndpoint(in.Endpoint.Instance, in.Endpoint.Attempt)
		}
	}
}

// set adds an instance. A former owner's permits for an inherited one may be in use until the nodes have reported them.
func (b *permitTracker) set(in partition.Instance, now time.Time) {
	notBefore := time.Time{}
	if in.Inherited {
		notBefore = routing.InheritedUntil(now)
	}
	b.ledger.SetWorker(in.Endpoint.Worker, int32(in.Connections), time.Time{})
	_ = b.ledger.SetEndpoint(in.Endpoint, in.Concurrency, notBefore) // the worker was set just above
}

func (b *permitTracker) request(r routing.EndpointsRequest, now time.Time) (routing.EndpointSet, error) {
	return b.ledger.Request(r, now)
}

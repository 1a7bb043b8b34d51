package routing

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
)

// Guards against nodes that repeat their report with each request after a takeover: with 7,400 instances and 24 nodes,
// an owner then received 540 KB of reports per second.
func TestHoldingsAreReportedUntilTheOwnerHasThem(t *testing.T) {
	until := InheritedUntil(epoch)
	l := newInheritingLedger(t, 1000, 1, 8, until)
	table := NewTable("z", rand.New(rand.NewPCG(1, 1)))
	pull := func() EndpointsRequest {
		r := EndpointsRequest{Node: "a", Partition: l.partition}
		r.Version, r.Settled = table.Versions(l.partition)
		r.Holdings, r.HoldingsNonce = table.Holdings(l.partition, epoch)
		set, err := l.Request(r, epoch)
		assert.NilError(t, err)
		table.Apply(set, epoch, epoch)
		return r
	}
	assert.Equal(t, pull().HoldingsNonce, uint64(0))
	assert.Assert(t, pull().HoldingsNonce > 0)
	for range 3 {
		assert.Equal(t, pull().HoldingsNonce, uint64(0))
	}
	// The owner asks again when it takes over another instance.
	assert.NilError(t, l.SetEndpoint(Endpoint{Instance: job.TaskID{Job: "K"}, Service: "s", Worker: "w"}, 1, until))
	pull()
	assert.Assert(t, pull().HoldingsNonce > 0)
	assert.Equal(t, pull().HoldingsNonce, uint64(0))
}

package dev

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/settings"
	platformstandin "sequoiastall/internal/standin/platform"
)

// BenchmarkConfigurationInForce measures how long a publication takes until it is in force on seven nodes, with a
// working watch and with one that silently delivers no events, each with and without polling. With a silent watch and
// no polling it never comes into force; the benchmark then stops after 10 s.
func BenchmarkConfigurationInForce(b *testing.B) {
	const timeout = 10 * time.Second
	for _, v := range []struct {
		name         string
		silent, poll bool
	}{{"watch=works,poll=on", false, true}, {"watch=works,poll=off", false, false}, {"watch=silent,poll=on", true, true}, {"watch=silent,poll=off", true, false}} {
		b.Run(v.name, func(b *testing.B) {
			o := DefaultOptions(exampleSet(b, "gatecare"))
			o.WorkersPerZone = 1
			if !v.poll {
				o.AdjustSettings = func(s *settings.Settings) { s.Timing.ConfigPollMS, s.Timing.NodeRenewMS = 3_600_000, 3_600_000 }
			}
			cell, err := Start(o)
			assert.NilError(b, err)
			defer cell.Stop()
			assert.Assert(b, waitRevision(cell, 1, timeout) < timeout)
			time.Sleep(5 * time.Second) // every node has to open its watch, and every owner to verify its cache through the watch
			cell.Platform.SetFaults(platformstandin.Faults{SilentWatches: v.silent})
			var longest time.Duration
			b.ResetTimer()
			for i := range b.N {
				assert.NilError(b, cell.Publish(o.Set))
				longest = max(longest, waitRevision(cell, int64(i)+2, timeout))
			}
			b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
		})
	}
}

// waitRevision returns how long it takes until every node has the revision in force, or limit if it takes longer.
func waitRevision(c *Cell, revision int64, limit time.Duration) time.Duration {
	startedAt := time.Now()
	for time.Since(startedAt) < limit {
		behind := false
		for _, n := range c.Nodes {
			behind = behind || n.Server.Revision() < revision
		}
		if !behind {
			return time.Since(startedAt)
		}
		time.Sleep(time.Millisecond)
	}
	return limit
}

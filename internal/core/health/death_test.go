package health

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDied guards against a job that crashes one worker after the other, and against failing jobs that merely ran in a
// rack that was lost, on the same workers as such a job, or on all workers.
func TestDied(t *testing.T) {
	type loss struct {
		after  time.Duration
		worker string
		jobs   []Presence
	}
	killer, beside, everywhere := Presence{"killer", 1}, Presence{"beside", 2}, Presence{"everywhere", 50}
	for _, test := range []struct {
		name   string
		losses []loss
		want   []string
	}{
		{"three workers", []loss{{0, "a", []Presence{killer, everywhere}}, {time.Minute, "b", []Presence{killer, everywhere}},
			{time.Minute, "c", []Presence{killer, everywhere}}}, []string{"fail job killer"}},
		{"one worker three times", []loss{{0, "a", []Presence{killer}}, {time.Minute, "a", []Presence{killer}}, {time.Minute, "a", []Presence{killer}}}, nil},
		{"a rack at once", []loss{{0, "a", []Presence{killer}}, {time.Second, "b", []Presence{killer}}, {time.Second, "c", []Presence{killer}}}, nil},
		{"within days", []loss{{0, "a", []Presence{killer}}, {24 * time.Hour, "b", []Presence{killer}}, {24 * time.Hour, "c", []Presence{killer}}}, nil},
		{"a service on all workers", []loss{{0, "a", []Presence{everywhere}}, {time.Minute, "b", []Presence{everywhere}},
			{time.Minute, "c", []Presence{everywhere}}, {time.Minute, "d", []Presence{everywhere}}}, nil},
		{"a bystander", []loss{{0, "a", []Presence{killer, beside}}, {time.Minute, "b", []Presence{killer, beside}},
			{time.Minute, "c", []Presence{killer, beside}}, {time.Minute, "d", []Presence{beside}}}, []string{"fail job killer"}},
		{"two at once", []loss{{0, "a", []Presence{killer}}, {time.Minute, "b", []Presence{beside}}, {time.Minute, "c", []Presence{killer}},
			{time.Minute, "d", []Presence{beside}}, {time.Minute, "e", []Presence{killer}}, {time.Minute, "f", []Presence{beside}}},
			[]string{"fail job killer", "fail job beside"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker, now, got := NewTracker(), start, []string{}
			for _, d := range test.losses {
				now = now.Add(d.after)
				got = append(got, describe(tracker.Died(Death{Worker: d.worker, Zone: "z", Rack: "r", Workers: 50, Jobs: d.jobs}, now))...)
			}
			assert.DeepEqual(t, got, append([]string{}, test.want...))
		})
	}
}

// TestBinomialTail guards against a wrong tail probability of the binomial distribution.
func TestBinomialTail(t *testing.T) {
	for _, test := range []struct {
		k, n    int
		p, want float64
	}{{3, 3, 0.5, 0.125}, {1, 2, 0.5, 0.75}, {0, 5, 0.1, 1}, {2, 2, 1, 1}, {1, 3, 0, 0}} {
		got := binomialTail(test.k, test.n, test.p)
		assert.Assert(t, math.Abs(got-test.want) < 1e-9, fmt.Sprintf("%+v: %v", test, got))
	}
}

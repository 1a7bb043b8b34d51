package health

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRecordLoss guards against a job that crashes one worker after the other, and against failing jobs that merely ran
// in a rack that was lost, on the same workers as such a job, or on all workers.
func TestRecordLoss(t *testing.T) {
	type loss struct {
		after  time.Duration
		worker string
		jobs   []ExposedJob
	}
	killer, beside, everywhere := ExposedJob{"killer", 1}, ExposedJob{"beside", 2}, ExposedJob{"everywhere", 50}
	for _, test := range []struct {
		name   string
		losses []loss
		want   []string
	}{
		{"three workers", []loss{{0, "a", []ExposedJob{killer, everywhere}}, {time.Minute, "b", []ExposedJob{killer, everywhere}},
			{time.Minute, "c", []ExposedJob{killer, everywhere}}}, []string{"fail job killer"}},
		{"one worker three times", []loss{{0, "a", []ExposedJob{killer}}, {time.Minute, "a", []ExposedJob{killer}}, {time.Minute, "a", []ExposedJob{killer}}}, nil},
		{"a rack at once", []loss{{0, "a", []ExposedJob{killer}}, {time.Second, "b", []ExposedJob{killer}}, {time.Second, "c", []ExposedJob{killer}}}, nil},
		{"within days", []loss{{0, "a", []ExposedJob{killer}}, {24 * time.Hour, "b", []ExposedJob{killer}}, {24 * time.Hour, "c", []ExposedJob{killer}}}, nil},
		{"a service on all workers", []loss{{0, "a", []ExposedJob{everywhere}}, {time.Minute, "b", []ExposedJob{everywhere}},
			{time.Minute, "c", []ExposedJob{everywhere}}, {time.Minute, "d", []ExposedJob{everywhere}}}, nil},
		{"a bystander", []loss{{0, "a", []ExposedJob{killer, beside}}, {time.Minute, "b", []ExposedJob{killer, beside}},
			{time.Minute, "c", []ExposedJob{killer, beside}}, {time.Minute, "d", []ExposedJob{beside}}}, []string{"fail job killer"}},
		{"two at once", []loss{{0, "a", []ExposedJob{killer}}, {time.Minute, "b", []ExposedJob{beside}}, {time.Minute, "c", []ExposedJob{killer}},
			{time.Minute, "d", []ExposedJob{beside}}, {time.Minute, "e", []ExposedJob{killer}}, {time.Minute, "f", []ExposedJob{beside}}},
			[]string{"fail job killer", "fail job beside"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker, now, got := NewTracker(), start, []string{}
			for _, d := range test.losses {
				now = now.Add(d.after)
				got = append(got, describe(tracker.RecordLoss(WorkerLoss{Worker: d.worker, Zone: "z", Rack: "r", Workers: 50, Jobs: d.jobs}, now))...)
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

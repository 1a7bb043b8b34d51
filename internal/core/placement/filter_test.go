package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFilters guards against a filter that passes a worker it should reject, the reverse, and an order of filters in
// which a filter other than the first that applies is reported.
func TestFilters(t *testing.T) {
	sound := Worker{ID: "w", Pool: "p", Capacity: vec(8, 8, 8, 0), Reserved: vec(4, 4, 4, 0)}
	fits := Request{Pool: "p", Resources: vec(4, 4, 4, 0)}
	for _, test := range []struct {
		name   string
		change func(w *Worker, r *Request)
		want   string
	}{
		{"passes", func(*Worker, *Request) {}, ""},
		{"any pool", func(_ *Worker, r *Request) { r.Pool = "" }, ""},
		{"other pool", func(_ *Worker, r *Request) { r.Pool = "q" }, FilterPool},
		{"leaving", func(w *Worker, _ *Request) { w.Leaving = true }, FilterLeaving},
		{"quarantined", func(w *Worker, _ *Request) { w.Quarantined = true }, FilterQuarantine},
		{"failed here", func(_ *Worker, r *Request) { r.Avoid = map[string]bool{"w": true} }, FilterAvoid},
		{"failed elsewhere", func(_ *Worker, r *Request) { r.Avoid = map[string]bool{"x": true, "w": false} }, ""},
		{"slots", func(_ *Worker, r *Request) { r.Resources.Slots++ }, FilterFit},
		{"CPU", func(_ *Worker, r *Request) { r.Resources.MilliCPU++ }, FilterFit},
		{"memory", func(_ *Worker, r *Request) { r.Resources.MemoryMB++ }, FilterFit},
		{"accelerators", func(_ *Worker, r *Request) { r.Resources.Accelerators++ }, FilterFit},
		{"overfilled", func(w *Worker, r *Request) { w.Reserved.Slots, r.Resources = 9, vec(0, 1, 1, 0) }, FilterFit},
		{"first of several", func(w *Worker, r *Request) { w.Leaving, w.Quarantined, r.Resources.Slots = true, true, 9 }, FilterLeaving},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, r := sound, fits
			test.change(&w, &r)
			assert.Equal(t, rejectedBy(&w, &r), test.want)
		})
	}
}

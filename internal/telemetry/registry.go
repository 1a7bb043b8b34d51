// Package telemetry provides metrics, their text exposition, structured logs and checks of invariants.
package telemetry

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of metrics. Durations are in microseconds.
const (
	WaitingTime         = "waiting_time_us"  // from acceptance to start, by class
	DecisionTime        = "decision_time_us" // of one placement or routing decision, by role
	StoreCalls          = "store_calls_total"
	StoreCallTime       = "store_call_time_us"
	ControlBytes        = "control_bytes_total"
	ControlMessages     = "control_messages_total"
	ControlSize         = "control_message_bytes"
	InvariantViolations = "invariant_violations_total"
)

const (
	// The reservoir and decay give quantiles over about the last five minutes.
	reservoirSize  = 1028
	reservoirDecay = 0.015
)

// Label distinguishes the series of a metric.
type Label struct{ Name, Value string }

// kind is the type of a metric in the exposition format.
type kind string

const (
	counterKind kind = "counter"
	gaugeKind   kind = "gauge"
	summaryKind kind = "summary"
)

// Histogram keeps quantiles of recent values, and the count and sum of all values.
type Histogram struct {
	recent metrics.Histogram
	sum    metrics.Counter
}

// Update records a value.
func (h *Histogram) Update(value int64) {
	h.recent.Update(value)
	h.sum.Inc(value)
}

// Record records a duration in microseconds.
func (h *Histogram) Record(d time.Duration) { h.Update(d.Microseconds()) }

// Count returns how many values were recorded.
func (h *Histogram) Count() int64 { return h.recent.Count() }

// Quantile returns a quantile of the recent values, q from 0 to 1.
func (h *Histogram) Quantile(q float64) float64 { return h.recent.Percentile(q) }

// series is one metric with its labels.
type series struct {
	name   string
	labels []Label
	kind   kind
	value  any // metrics.Counter, metrics.Gauge or *Histogram
}

// Registry holds the metrics of a process. It is safe for concurrent use. Hot paths should keep the metrics they use
// instead of looking them up each time.
type Registry struct {
	logger *slog.Logger
	mu     sync.Mutex
	series map[string]*series // by name and labels
	kinds  map[string]kind    // by metric name
	// collectors update gauges before an exposition.
	collectors []func()
}

// NewRegistry returns an empty registry that logs violations to logger.
func NewRegistry(logger *slog.Logger) *Registry {
	return &Registry{logger: logger, series: map[string]*series{}, kinds: map[string]kind{}}
}

// Counter returns the counter with the name and labels; it is created on first use.
func (r *Registry) Counter(name string, labels ...Label) metrics.Counter {
	return register(r, name, labels, counterKind, metrics.NewCounter)
}

// Gauge returns the gauge with the name and labels; it is created on first use.
func (r *Registry) Gauge(name string, labels ...Label) metrics.Gauge {
	return register(r, name, labels, gaugeKind, metrics.NewGauge)
}

// Histogram returns the histogram with the name and labels; it is created on first use.
func (r *Registry) Histogram(name string, labels ...Label) *Histogram {
	return register(r, name, labels, summaryKind, func() *Histogram {
		return &Histogram{recent: metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirDecay)),
			sum: metrics.NewCounter()}
	})
}

// register returns the existing metric or creates one. A name that is already in use with another kind is a programming
// error: it is logged, and the caller gets a metric that is not exposed.
func register[T any](r *Registry, name string, labels []Label, k kind, create func() T) T {
	name = sanitize(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if used, ok := r.kinds[name]; ok && used != k {
		r.logger.Error("metric is in use with another kind", "metric", name, "kind", string(used), "wanted", string(k))
		return create()
	}
	r.kinds[name] = k
	key := name + formatLabels(labels)
	if s := r.series[key]; s != nil {
		return s.value.(T)
	}
	value := create()
	r.series[key] = &series{name: name, labels: labels, kind: k, value: value}
	return value
}

// Collect adds a function that updates gauges before each exposition.
func (r *Registry) Collect(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collectors = append(r.collectors, f)
}

// sanitize replaces characters that aren't allowed in metric and label names.
func sanitize(name string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' {
			return c
		}
		return '_'
	}, name)
}

// StoreCall records a call to the store. outcome is one of a few fixed words such as ok, conflict or unavailable.
func (r *Registry) StoreCall(method, outcome string, elapsed time.Duration) {
	r.Counter(StoreCalls, Label{"method", method}, Label{"outcome", outcome}).Inc(1)
	r.Histogram(StoreCallTime, Label{"method", method}).Record(elapsed)
}

// Invariant returns ok. If it is false, the violation is counted and logged with cause, which holds key-value pairs as
// in slog; the caller decides whether to abort the operation.
func (r *Registry) Invariant(name string, ok bool, cause ...any) bool {
	if !ok {
		r.Counter(InvariantViolations, Label{"invariant", name}).Inc(1)
		r.logger.Error("invariant violated", append([]any{"invariant", name}, cause...)...)
	}
	return ok
}

// Violations returns how often the invariant was violated.
func (r *Registry) Violations(name string) int64 {
	return r.Counter(InvariantViolations, Label{"invariant", name}).Count()
}

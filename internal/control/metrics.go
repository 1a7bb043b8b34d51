package control

import (
	"time"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

// metrics holds the time series of a node. Durations are in microseconds.
type metrics struct {
	registry   *telemetry.Registry
	accepted   gometrics.Counter
	refused    gometrics.Counter
	canceled   gometrics.Counter // before they were accepted
	undecided  gometrics.Counter
	submitTime *telemetry.Histogram
	stateTime  *telemetry.Histogram
	commitTime *telemetry.Histogram
	orderTime  *telemetry.Histogram
	adviceTime *telemetry.Histogram
	takeover   *telemetry.Histogram
	firstStart *telemetry.Histogram
}

func newMetrics(r *telemetry.Registry, n *Node) *metrics {
	outcome := func(value string) gometrics.Counter {
		return r.Counter("submits_total", telemetry.Label{Name: "outcome", Value: value})
	}
	m := &metrics{registry: r, accepted: outcome("accepted"), refused: outcome("refused"), canceled: outcome("canceled"), undecided: outcome("undecided"),
		submitTime: r.Histogram("submit_time_us"), stateTime: r.Histogram("state_time_us"), commitTime: r.Histogram("commit_time_us"),
		orderTime: r.Histogram("order_time_us"), adviceTime: r.Histogram("advice_time_us"), takeover: r.Histogram("takeover_time_us"),
		firstStart: r.Histogram("first_start_time_us")}
	scheduling, storeAge := r.Gauge("scheduling"), r.Gauge("store_age_ms")
	version, term := r.Gauge("config_version"), r.Gauge("term")
	r.Collect(func() {
		scheduling.Update(0)
		if n.Scheduling() {
			scheduling.Update(1)
		}
		storeAge.Update(n.storeAge().Milliseconds())
		if c := n.Config(); c != nil {
			version.Update(c.Version)
		}
		if known := n.membership.Load(); known != nil {
			term.Update(known.term)
		}
	})
	return m
}

// submitted counts a submitted job by the answer that its caller gets.
func (m *metrics) submitted(err error) {
	switch {
	case err == nil:
		m.accepted.Inc(1)
	case errors.Is(err, port.ErrCanceled):
		m.canceled.Inc(1)
	case errors.Is(err, port.ErrAcceptanceUnknown):
		m.undecided.Inc(1)
	default:
		m.refused.Inc(1)
	}
}

// count increments the counter for a kind of event and its outcome. Both must come from a small fixed set, because each
// pair is a time series.
func (m *metrics) count(name, kind, outcome string) {
	m.registry.Counter(name, telemetry.Label{Name: "kind", Value: kind}, telemetry.Label{Name: "outcome", Value: outcome}).Inc(1)
}

// recordSince records the time elapsed since began.
func recordSince(h *telemetry.Histogram, began time.Time) { h.Record(time.Since(began)) }

package intake

import (
	"log/slog"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

// Intake accepts and refuses the jobs that callers submit to a node. It is safe for concurrent use.
type Intake struct {
	store         port.TxnStore
	available     func() bool
	window        *window
	standstill    *standstill
	windowLog     rate.Sometimes
	tombstoneRate *rate.Limiter
	limitedLog    rate.Sometimes
	log           *slog.Logger
	metrics       metrics
}

// logInterval is the shortest interval between two log lines about the same limit.
const logInterval = 10 * time.Second

// Options are what an Intake needs of its node.
type Options struct {
	Node string
	// Store is the store, to which transactions may be relayed. They must reach a LeasedStore, of this or another node.
	Store port.TxnStore
	// StoreAvailable reports whether the store answers.
	StoreAvailable func() bool
	Log            *slog.Logger
	Metrics        *telemetry.Registry
}

// New returns an Intake. KeepWindow and WatchStandstill have to run for it to accept jobs.
func New(o Options) *Intake {
	return &Intake{store: o.Store, available: o.StoreAvailable, window: newWindow(o.Node), standstill: newStandstill(), windowLog: rate.Sometimes{Interval: logInterval},
		tombstoneRate: rate.NewLimiter(tombstonesPerSecond, tombstoneBurst), limitedLog: rate.Sometimes{Interval: logInterval},
		log: o.Log, metrics: metrics{o.Metrics}}
}

// metrics counts what was written.
type metrics struct{ registry *telemetry.Registry }

// tombstones counts an attempt to write a tombstone by its outcome, which must come from a small fixed set.
func (m metrics) tombstones(outcome string) { m.counter("tombstones_total", outcome).Inc(1) }

// windows counts an attempt to open a window, or the loss of one, by its outcome.
func (m metrics) windows(outcome string) { m.counter("submission_windows_total", outcome).Inc(1) }

func (m metrics) counter(name, outcome string) gometrics.Counter {
	return m.registry.Counter(name, telemetry.Label{Name: "outcome", Value: outcome})
}

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
	tombstoneRate *rate.Limiter
	limitedLog    rate.Sometimes
	log           *slog.Logger
	metrics       metrics
}

// logInterval is the shortest interval between two log lines about the same limit.
const logInterval = 10 * time.Second

// New returns an Intake that uses the given store. Its transactions must reach a LeasedStore, of this or another node.
func New(store port.TxnStore, log *slog.Logger, r *telemetry.Registry) *Intake {
	return &Intake{store: store, tombstoneRate: rate.NewLimiter(tombstonesPerSecond, tombstoneBurst), limitedLog: rate.Sometimes{Interval: logInterval},
		log: log, metrics: metrics{r}}
}

// metrics counts what was written.
type metrics struct{ registry *telemetry.Registry }

// tombstones counts an attempt to write a tombstone by its outcome, which must come from a small fixed set.
func (m metrics) tombstones(outcome string) { m.counter("tombstones_total", outcome).Inc(1) }

func (m metrics) counter(name, outcome string) gometrics.Counter {
	return m.registry.Counter(name, telemetry.Label{Name: "outcome", Value: outcome})
}

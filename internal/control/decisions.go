package control

import (
	"log/slog"
	"time"
)

// decisionLog implements cell.Events: it logs the scheduler's decisions and records how long jobs wait for their first
// start.
type decisionLog struct {
	log     *slog.Logger
	metrics *metrics
}

// LogDecision implements cell.Events.
func (d decisionLog) LogDecision(subject, decision string, attrs ...any) {
	d.log.Info("decision", append([]any{"subject", subject, "decision", decision}, attrs...)...)
}

// ObserveFirstStart implements cell.Events.
func (d decisionLog) ObserveFirstStart(wait time.Duration) { d.metrics.firstStart.Record(wait) }

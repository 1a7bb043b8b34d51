package control

import "log/slog"

// decisionLog writes the scheduler's decisions.
type decisionLog struct{ log *slog.Logger }

// Decided implements cell.Events.
func (d decisionLog) Decided(subject, decision string, attrs ...any) {
	d.log.Info("decision", append([]any{"subject", subject, "decision", decision}, attrs...)...)
}

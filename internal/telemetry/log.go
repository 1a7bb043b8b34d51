package telemetry

import (
	"context"
	"io"
	"log/slog"
)

// NewLogger returns a logger that writes JSON lines with the names of the node and its zone.
func NewLogger(w io.Writer, level slog.Leveler, node, zone string) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})).With("node", node, "zone", zone)
}

// Decision is the content of the log line of a routing or placement decision.
type Decision struct {
	Role    string // placement or routing
	Subject string // task or request
	Team    string
	Chosen  string // worker or instance, empty if none
	Reason  string
}

// LogDecision logs the decision in one line, with attrs after its own fields.
func LogDecision(ctx context.Context, logger *slog.Logger, d Decision, attrs ...slog.Attr) {
	if !logger.Enabled(ctx, slog.LevelInfo) {
		return
	}
	attributes := append([]slog.Attr{slog.String("role", d.Role), slog.String("subject", d.Subject),
		slog.String("team", d.Team), slog.String("chosen", d.Chosen), slog.String("reason", d.Reason)}, attrs...)
	logger.LogAttrs(ctx, slog.LevelInfo, "decision", attributes...)
}

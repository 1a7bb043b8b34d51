package telemetry

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// ConnectionKind is the kind of a connection, by the process at its other end.
type ConnectionKind string

// Kinds of connections.
const (
	ConnectionNode   ConnectionKind = "peer"
	ConnectionWorker ConnectionKind = "worker"
	ConnectionStore  ConnectionKind = "store"
)

// StatsHandler returns a gRPC stats handler, for servers or clients, that counts messages and their bytes including
// gRPC's five-byte prefix. HTTP/2 frames and headers, about 60 bytes per call, are not included.
func (r *Registry) StatsHandler(k ConnectionKind) stats.Handler {
	return &statsHandler{in: r.newMessageCounters(k, "in"), out: r.newMessageCounters(k, "out")}
}

// messageCounters count the messages of one direction.
type messageCounters struct {
	bytes, messages metrics.Counter
	size            *Histogram
}

func (r *Registry) newMessageCounters(k ConnectionKind, direction string) messageCounters {
	labels := []Label{{"kind", string(k)}, {"direction", direction}}
	return messageCounters{bytes: r.Counter(ControlBytes, labels...), messages: r.Counter(ControlMessages, labels...),
		size: r.Histogram(ControlSize, labels...)}
}

func (m messageCounters) record(length int) {
	m.bytes.Inc(int64(length))
	m.messages.Inc(1)
	m.size.Update(int64(length))
}

type statsHandler struct {
	in, out messageCounters
}

func (h *statsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (h *statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (h *statsHandler) HandleConn(context.Context, stats.ConnStats) {}

func (h *statsHandler) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch p := s.(type) {
	case *stats.InPayload:
		h.in.record(p.WireLength)
	case *stats.OutPayload:
		h.out.record(p.WireLength)
	}
}

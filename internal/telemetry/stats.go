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
	return &statsHandler{in: r.newTrafficCounters(k, "in"), out: r.newTrafficCounters(k, "out")}
}

// trafficCounters counts the messages of one direction.
type trafficCounters struct {
	bytes, messages metrics.Counter
	size            *Histogram
}

func (r *Registry) newTrafficCounters(k ConnectionKind, direction string) trafficCounters {
	labels := []Label{{"kind", string(k)}, {"direction", direction}}
	return trafficCounters{bytes: r.Counter(ControlBytes, labels...), messages: r.Counter(ControlMessages, labels...),
		size: r.Histogram(ControlSize, labels...)}
}

func (t trafficCounters) record(length int) {
	t.bytes.Inc(int64(length))
	t.messages.Inc(1)
	t.size.Update(int64(length))
}

type statsHandler struct {
	in, out trafficCounters
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

package telemetry

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// PeerKind is what a grpc connection leads to.
type PeerKind string

// Kinds of peers.
const (
	PeerNode   PeerKind = "peer"
	PeerWorker PeerKind = "worker"
	PeerStore  PeerKind = "store"
)

// StatsHandler returns a grpc stats handler, for servers or clients, that counts messages and their bytes with grpc's
// five-byte prefix. HTTP/2 frames and headers, about 60 bytes for a call, are not included.
func (r *Registry) StatsHandler(k PeerKind) stats.Handler {
	return &statsHandler{in: r.newTraffic(k, "in"), out: r.newTraffic(k, "out")}
}

// traffic counts one direction.
type traffic struct {
	bytes, messages metrics.Counter
	size            *Histogram
}

func (r *Registry) newTraffic(k PeerKind, direction string) traffic {
	labels := []Label{{"kind", string(k)}, {"direction", direction}}
	return traffic{bytes: r.Counter(ControlBytes, labels...), messages: r.Counter(ControlMessages, labels...),
		size: r.Histogram(ControlSize, labels...)}
}

func (t traffic) add(length int) {
	t.bytes.Inc(int64(length))
	t.messages.Inc(1)
	t.size.Update(int64(length))
}

type statsHandler struct {
	in, out traffic
}

func (h *statsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (h *statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (h *statsHandler) HandleConn(context.Context, stats.ConnStats) {}

func (h *statsHandler) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch p := s.(type) {
	case *stats.InPayload:
		h.in.add(p.WireLength)
	case *stats.OutPayload:
		h.out.add(p.WireLength)
	}
}

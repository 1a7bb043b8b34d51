package inbound

import (
	"log/slog"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"sequoiastall/internal/telemetry"
)

// reason is why a connection was closed or a request refused.
type reason string

const (
	reasonConns       reason = "connections" // closed for a newer connection
	reasonDescriptors reason = "descriptors" // closed: the machine has no descriptors left
	reasonMemory      reason = "memory"      // closed for one that holds less, or idle
	reasonBusy        reason = "busy"        // refused: no room, and nothing to close for it
	reasonSilence     reason = "silence"     // closed: no complete message for too long
	reasonTimeout     reason = "timeout"     // refused: the request didn't arrive in time
	reasonHead        reason = "head"        // refused: the head is too large
	reasonBody        reason = "body"        // refused: the body is too large
	reasonInvalid     reason = "invalid"     // refused: not a request
)

// reasons are all of them.
var reasons = []reason{reasonConns, reasonDescriptors, reasonMemory, reasonBusy, reasonSilence, reasonTimeout, reasonHead, reasonBody, reasonInvalid}

// reportInterval is the shortest time between two log lines of a port.
const reportInterval = 10 * time.Second

// report counts what a port refused, and logs it in one line for each reportInterval.
type report struct {
	port     string
	log      *slog.Logger
	usage    func() (conns int, held int64)
	counters map[reason]gometrics.Counter

	mu      sync.Mutex
	pending map[reason]int // since the last line
	timer   *time.Timer    // of the next line; nil if nothing is pending
}

func newReport(port string, log *slog.Logger, metrics *telemetry.Registry, usage func() (int, int64)) *report {
	r := &report{port: port, log: log, usage: usage, counters: map[reason]gometrics.Counter{}, pending: map[reason]int{}}
	label := telemetry.Label{Name: "port", Value: port}
	for _, why := range reasons {
		r.counters[why] = metrics.Counter("inbound_refused_total", label, telemetry.Label{Name: "reason", Value: string(why)})
	}
	conns, held := metrics.Gauge("inbound_connections", label), metrics.Gauge("inbound_held_bytes", label)
	metrics.Collect(func() {
		n, bytes := usage()
		conns.Update(int64(n))
		held.Update(bytes)
	})
	return r
}

// add counts a refusal.
func (r *report) add(why reason) {
	r.counters[why].Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[why]++
	if r.timer == nil {
		r.timer = time.AfterFunc(reportInterval, r.write)
	}
}

// write logs what was refused since the last line.
func (r *report) write() {
	r.mu.Lock()
	pending := r.pending
	r.pending, r.timer = map[reason]int{}, nil
	r.mu.Unlock()
	conns, held := r.usage()
	attrs := []any{"port", r.port, "connections", conns, "held_bytes", held}
	for _, why := range reasons {
		if n := pending[why]; n > 0 {
			attrs = append(attrs, string(why), n)
		}
	}
	r.log.Warn("clients refused", attrs...)
}

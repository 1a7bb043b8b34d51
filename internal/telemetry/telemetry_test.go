package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/stats"
	"gotest.tools/v3/assert"
)

func newTestRegistry() (*Registry, *bytes.Buffer) {
	var log bytes.Buffer
	return NewRegistry(NewLogger(&log, slog.LevelInfo, "n1", "z1")), &log
}

// Guards against output that Prometheus scrapers can't parse: order, types, escapes, cumulative sums.
func TestTextExposition(t *testing.T) {
	r, _ := newTestRegistry()
	r.Counter("started_total", Label{"team", "a\"b\\c\nd"}).Inc(3)
	r.Counter("started_total", Label{"team", "a"}).Inc(1)
	r.Gauge("free-slots").Update(-2)
	h := r.Histogram(WaitingTime, Label{"class", "batch"})
	for range 2000 { // more than the reservoir holds
		h.Record(2 * time.Millisecond)
	}
	var out bytes.Buffer
	assert.NilError(t, r.WriteText(&out))
	assert.Equal(t, out.String(), `# TYPE sequoiastall_free_slots gauge
sequoiastall_free_slots -2
# TYPE sequoiastall_started_total counter
sequoiastall_started_total{team="a"} 1
sequoiastall_started_total{team="a\"b\\c\nd"} 3
# TYPE sequoiastall_waiting_time_us summary
sequoiastall_waiting_time_us{class="batch",quantile="0.5"} 2000
sequoiastall_waiting_time_us{class="batch",quantile="0.9"} 2000
sequoiastall_waiting_time_us{class="batch",quantile="0.95"} 2000
sequoiastall_waiting_time_us{class="batch",quantile="0.99"} 2000
sequoiastall_waiting_time_us_sum{class="batch"} 4000000
sequoiastall_waiting_time_us_count{class="batch"} 2000
`)
}

// Guards against a violated invariant that goes unnoticed, or that lacks its cause in the log.
func TestInvariantCountsAndLogs(t *testing.T) {
	r, log := newTestRegistry()
	assert.Assert(t, r.Invariant("capacity", true, "worker", "w1"))
	assert.Equal(t, log.Len(), 0)
	assert.Assert(t, !r.Invariant("capacity", false, "worker", "w1", "slots", 9))
	assert.Equal(t, r.Violations("capacity"), int64(1))
	var line map[string]any
	assert.NilError(t, json.Unmarshal(log.Bytes(), &line))
	delete(line, "time")
	assert.DeepEqual(t, line, map[string]any{"level": "ERROR", "msg": "invariant violated", "node": "n1", "zone": "z1",
		"invariant": "capacity", "worker": "w1", "slots": 9.0})
}

// Guards against a panic or a corrupt exposition when a name is used for two kinds of metric.
func TestNameWithTwoKinds(t *testing.T) {
	r, log := newTestRegistry()
	r.Counter("x").Inc(1)
	r.Gauge("x").Update(5)
	assert.Assert(t, strings.Contains(log.String(), "another kind"))
	var out bytes.Buffer
	assert.NilError(t, r.WriteText(&out))
	assert.Equal(t, out.String(), "# TYPE sequoiastall_x counter\nsequoiastall_x 1\n")
}

// Guards against decisions that can't be explained later.
func TestDecisionLine(t *testing.T) {
	var log bytes.Buffer
	d := Decision{Role: "placement", Subject: "j/1", Team: "t", Chosen: "w1", Reason: "best fit"}
	LogDecision(context.Background(), NewLogger(&log, slog.LevelInfo, "n1", "z1"), d, slog.Int("candidates", 3))
	LogDecision(context.Background(), NewLogger(&log, slog.LevelWarn, "n1", "z1"), d)
	var line map[string]any
	assert.NilError(t, json.Unmarshal(log.Bytes(), &line), "exactly one line")
	delete(line, "time")
	assert.DeepEqual(t, line, map[string]any{"level": "INFO", "msg": "decision", "node": "n1", "zone": "z1",
		"role": "placement", "subject": "j/1", "team": "t", "chosen": "w1", "reason": "best fit", "candidates": 3.0})
}

// Guards against control traffic counted in the wrong direction or for the wrong kind of connection.
func TestStatsHandlerCounts(t *testing.T) {
	r, _ := newTestRegistry()
	h := r.StatsHandler(ConnectionWorker)
	h.HandleRPC(context.Background(), &stats.OutPayload{WireLength: 10})
	h.HandleRPC(context.Background(), &stats.InPayload{WireLength: 30})
	h.HandleRPC(context.Background(), &stats.InPayload{WireLength: 5})
	r.StatsHandler(ConnectionStore).HandleRPC(context.Background(), &stats.InPayload{WireLength: 100})
	count := func(name, kind, direction string) int64 {
		return r.Counter(name, Label{"kind", kind}, Label{"direction", direction}).Count()
	}
	assert.Equal(t, count(ControlBytes, "worker", "out"), int64(10))
	assert.Equal(t, count(ControlBytes, "worker", "in"), int64(35))
	assert.Equal(t, count(ControlMessages, "worker", "in"), int64(2))
	assert.Equal(t, count(ControlBytes, "store", "in"), int64(100))
}

// Guards against lost updates and races between recording, registration and exposition.
func TestConcurrentUse(t *testing.T) {
	r, _ := newTestRegistry()
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 200 {
				r.StoreCall("get", "ok", time.Millisecond)
			}
			assert.Check(t, r.WriteText(&bytes.Buffer{}) == nil)
		})
	}
	wait.Wait()
	assert.Equal(t, r.Counter(StoreCalls, Label{"method", "get"}, Label{"outcome", "ok"}).Count(), int64(1600))
	assert.Equal(t, r.Histogram(StoreCallTime, Label{"method", "get"}).Count(), int64(1600))
}

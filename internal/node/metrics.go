package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

// nodeMetrics holds the node's metrics.
type nodeMetrics struct {
	*telemetry.Registry
	taskWaiting    *telemetry.Histogram
	cycleTime      *telemetry.Histogram
	openWatchGauge metrics.Gauge // open watches of the store
	watchEvents    metrics.Counter
	openWatches    atomic.Int64
}

func newNodeMetrics(r *telemetry.Registry) *nodeMetrics {
	return &nodeMetrics{Registry: r, taskWaiting: r.Histogram("task_waiting_us"), cycleTime: r.Histogram("cycle_us"),
		openWatchGauge: r.Gauge("store_watches"), watchEvents: r.Counter("store_watch_events_total")}
}

// ObserveWaiting records how long a task waited until it was placed.
func (m *nodeMetrics) ObserveWaiting(d time.Duration) { m.taskWaiting.Record(d) }

// ObserveCycle records the duration of a scheduling cycle and the number of its decisions, if it made any.
func (m *nodeMetrics) ObserveCycle(d time.Duration, decisions int) {
	if decisions > 0 {
		m.cycleTime.Record(d)
		m.Counter("decisions").Inc(int64(decisions))
	}
}

// JobEnded counts a job by its final phase.
func (m *nodeMetrics) JobEnded(phase string) {
	m.Counter("jobs_ended", telemetry.Label{Name: "phase", Value: phase}).Inc(1)
}

// meteredStore counts the calls to the store by method and outcome.
type meteredStore struct {
	port.Store
	metrics *nodeMetrics
}

func (s meteredStore) record(method string, start time.Time, err error) {
	outcome := "ok"
	var conflict *port.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		outcome = "conflict"
	case errors.Is(err, port.ErrNotFound):
		outcome = "not_found"
	case errors.Is(err, port.ErrUnknownOutcome):
		outcome = "unknown"
	default:
		outcome = "unavailable"
	}
	s.metrics.StoreCall(method, outcome, time.Since(start))
}

// Watch implements port.Store. It also counts open watches, as a gauge, and events.
func (s meteredStore) Watch(ctx context.Context, prefix string, after int64, handle func([]port.WatchEvent) error) error {
	start := time.Now()
	s.metrics.openWatchGauge.Update(s.metrics.openWatches.Add(1))
	defer func() { s.metrics.openWatchGauge.Update(s.metrics.openWatches.Add(-1)) }()
	err := s.Store.Watch(ctx, prefix, after, func(events []port.WatchEvent) error {
		s.metrics.watchEvents.Inc(int64(len(events)))
		return handle(events)
	})
	s.record("watch", start, err)
	return err
}

// meteredHosts counts the reads of the host list.
type meteredHosts struct {
	port.HostList
	metrics *nodeMetrics
}

// List implements port.HostList.
func (s meteredHosts) List(ctx context.Context) ([]port.Host, error) {
	start := time.Now()
	hosts, err := s.HostList.List(ctx)
	meteredStore{metrics: s.metrics}.record("list", start, err)
	return hosts, err
}

// Get implements port.Store.
func (s meteredStore) Get(ctx context.Context, key string) (port.Entry, error) {
	start := time.Now()
	e, err := s.Store.Get(ctx, key)
	s.record("get", start, err)
	return e, err
}

// Range implements port.Store.
func (s meteredStore) Range(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	start := time.Now()
	entries, revision, err := s.Store.Range(ctx, prefix)
	s.record("range", start, err)
	return entries, revision, err
}

// Put implements port.Store.
func (s meteredStore) Put(ctx context.Context, w port.Write) (int64, error) {
	start := time.Now()
	revision, err := s.Store.Put(ctx, w)
	s.record("put", start, err)
	return revision, err
}

// Delete implements port.Store.
func (s meteredStore) Delete(ctx context.Context, key string, ifRevision int64) error {
	start := time.Now()
	err := s.Store.Delete(ctx, key, ifRevision)
	s.record("delete", start, err)
	return err
}

// Grant implements port.Store.
func (s meteredStore) Grant(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	start := time.Now()
	lease, err := s.Store.Grant(ctx, ttl)
	s.record("grant", start, err)
	return lease, err
}

// KeepAlive implements port.Store.
func (s meteredStore) KeepAlive(ctx context.Context, lease port.LeaseID) error {
	start := time.Now()
	err := s.Store.KeepAlive(ctx, lease)
	s.record("keepalive", start, err)
	return err
}

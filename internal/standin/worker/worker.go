// Package worker is a stand-in for the platform's agent on a worker: it grants leases, runs tasks that only pass time,
// serves requests at service instances, and injects faults.
package worker

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/standinpb"
	"sequoiastall/internal/rpc/workerpb"
)

const (
	// minPingInterval is the shortest interval of pings that doesn't end a connection. Clients ping every 10 s.
	minPingInterval = 5 * time.Second
	// maxMessageBytes bounds a batch; payloads and checkpoints travel in it.
	maxMessageBytes = 64 << 20
)

// Options are the settings of a worker.
type Options struct {
	ID          string
	Zone        string
	Rack        string
	Pool        string
	Capacity    resource.Vector
	Connections int64 // at the service instances in all; 0 means no limit
	// UsageLag is how old reported usage is.
	UsageLag time.Duration
	// InstanceIP is where service instances listen; 127.0.0.1 if empty.
	InstanceIP string
	// Restarted tells that an earlier life of the worker may have granted a control lease that hasn't lapsed yet. Without
	// the wait for it, two owners could each take a different restarted worker for their own.
	Restarted bool
	// Log receives every run; workers may share it. New makes one if it is nil.
	Log *RunLog
	// Logger receives warnings; slog.Default() if it is nil.
	Logger *slog.Logger
}

// Worker is one agent. It owns its leases, tasks and records; they vanish with it.
type Worker struct {
	workerpb.UnimplementedWorkerServer

	options Options
	grpc    *grpc.Server
	agents  *connections // of nodes to the agent
	callers *connections // of routers to the service instances

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced with each event, change of lease or freeze
	stopped  bool
	leaving  bool
	failing  bool
	frozen   bool
	frozenAt time.Time
	started  time.Time
	lease    lease
	lapse    *time.Timer
	sequence uint64
	// durableMark is the largest mark that came with a batch.
	durableMark uint64
	events      []*workerpb.Event // not forgotten, in order of sequence
	running     map[job.TaskID]*task
	ended       map[attemptID]*workerpb.TaskRecord // not forgotten
	used        resource.Vector
}

// attemptID names one attempt of a task.
type attemptID struct {
	task    job.TaskID
	attempt int32
}

// New returns a worker that isn't listening yet.
func New(o Options) *Worker {
	if o.InstanceIP == "" {
		o.InstanceIP = "127.0.0.1"
	}
	if o.Log == nil {
		o.Log = NewRunLog()
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	w := &Worker{
		options: o,
		started: time.Now(),
		agents:  newConnections(0),
		callers: newConnections(o.Connections),
		changed: make(chan struct{}),
		// A token of an earlier life of the worker must stay below those of this one.
		lease:   lease{token: uint64(time.Now().UnixMicro())},
		running: map[job.TaskID]*task{},
		ended:   map[attemptID]*workerpb.TaskRecord{},
	}
	w.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(w.holdWhileFrozen),
	)
	workerpb.RegisterWorkerServer(w.grpc, w)
	standinpb.RegisterWorkerControlServer(w.grpc, control{worker: w})
	return w
}

// ID returns the host ID.
func (w *Worker) ID() string { return w.options.ID }

// Log returns the log that receives the worker's runs.
func (w *Worker) Log() *RunLog { return w.options.Log }

// Host returns the worker's entry in the host list.
func (w *Worker) Host(address string) port.Host {
	return port.Host{ID: w.options.ID, Zone: w.options.Zone, Rack: w.options.Rack, Address: address}
}

// Serve answers calls on l until Stop.
func (w *Worker) Serve(l net.Listener) error { return w.grpc.Serve(w.agents.listen(l)) }

// Stop kills the worker with everything that runs on it. It doesn't return before the runs are logged.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.stopped = true
	if w.lapse != nil {
		w.lapse.Stop()
	}
	at := time.Now()
	if w.frozen {
		at = w.frozenRunsEnd(at)
	}
	for _, t := range w.running {
		w.end(t, workerpb.TaskState_LAPSED, "worker was killed", at)
	}
	w.broadcast()
	w.mu.Unlock()
	w.grpc.Stop()
}

// SetFailing makes every start fail at once.
func (w *Worker) SetFailing(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = on
}

// SetLeaving makes the worker refuse every start.
func (w *Worker) SetLeaving(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = on
}

// SilenceConnections makes the connections that are open now carry nothing any more, in either direction, without
// closing them. New connections work.
func (w *Worker) SilenceConnections() {
	w.agents.silence()
	w.callers.silence()
}

// Freeze stops the worker as a pause of its host would: no answers, no progress, no reaction to lapsed leases. With
// false it resumes; tasks whose lease has lapsed meanwhile end before they make progress.
func (w *Worker) Freeze(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.frozen == on || w.stopped {
		return
	}
	now := time.Now()
	for _, t := range w.running {
		t.settle(now, w.frozen)
	}
	w.frozen = on
	var end time.Time
	if on {
		w.frozenAt = now
		end = w.lease.tasksUntil
	} else {
		w.expireFrozen(now)
	}
	for _, t := range w.running {
		w.options.Log.expect(t, end)
		t.wake()
	}
	w.broadcast()
}

// waitThawed returns when the worker isn't frozen, or ctx ends.
func (w *Worker) waitThawed(ctx context.Context) error {
	for {
		w.mu.Lock()
		frozen, changed := w.frozen, w.changed
		w.mu.Unlock()
		if !frozen {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (w *Worker) holdWhileFrozen(ctx context.Context, r any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := w.waitThawed(ctx); err != nil {
		return nil, err
	}
	out, err := next(ctx, r)
	if err := w.waitThawed(ctx); err != nil {
		return nil, err
	}
	return out, err
}

// broadcast wakes everything that waits for a change. The caller holds w.mu.
func (w *Worker) broadcast() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func instanceID(id job.TaskID, attempt int32) string {
	return id.String() + "#" + strconv.Itoa(int(attempt))
}

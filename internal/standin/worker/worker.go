// Package worker is a stand-in for the platform's agent on a worker. It grants leases, simulates tasks by waiting for
// their duration, serves requests at service instances, and injects faults.
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
	// minPingInterval is the shortest keepalive interval that the server allows; it closes connections that ping more
	// often. Clients ping every 10 s.
	minPingInterval = 5 * time.Second
	// maxMessageBytes bounds a batch, which carries payloads and checkpoints.
	maxMessageBytes = 64 << 20
)

// Options are the settings of a worker.
type Options struct {
	ID          string
	Zone        string
	Rack        string
	Pool        string
	Capacity    resource.Vector
	Connections int64 // limit on open connections to all service instances together; 0 means no limit
	// UsageLag is how old reported usage is.
	UsageLag time.Duration
	// InstanceIP is where service instances listen; 127.0.0.1 if empty.
	InstanceIP string
	// Restarted is set if an earlier process of this worker may have granted a control lease that hasn't lapsed yet.
	// The worker then grants no lease until it has been running for one control TTL. Without this wait, two owners
	// could each acquire a different restarted worker.
	Restarted bool
	// Log receives every run; workers may share it. New creates one if it is nil.
	Log *RunLog
	// Logger receives warnings; slog.Default() if it is nil.
	Logger *slog.Logger
}

// Worker is one simulated agent. Its leases, tasks and records are kept only in memory.
type Worker struct {
	workerpb.UnimplementedWorkerServer

	options       Options
	grpc          *grpc.Server
	nodeConns     *connSet // from scheduler nodes to the agent
	instanceConns *connSet // from routers to the service instances

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at each event, lease change, freeze and stop
	stopped    bool
	leaving    bool
	failing    bool
	frozen     bool
	frozenAt   time.Time
	started    time.Time
	lease      lease
	leaseTimer *time.Timer
	sequence   uint64
	// durableMark is the largest DurableMark of the batches received so far.
	durableMark   uint64
	events        []*workerpb.Event // not yet covered by a ForgetThrough, in order of sequence
	running       map[job.TaskID]*task
	endedAttempts map[attemptID]*workerpb.TaskRecord // not yet covered by a ForgetThrough
	used          resource.Vector                    // reserved by the running tasks
}

// attemptID identifies one attempt of a task.
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
		options:       o,
		started:       time.Now(),
		nodeConns:     newConnSet(0),
		instanceConns: newConnSet(o.Connections),
		changed:       make(chan struct{}),
		// Starting from the current time keeps the tokens of an earlier process of this worker below those of this one.
		lease:         lease{token: uint64(time.Now().UnixMicro())},
		running:       map[job.TaskID]*task{},
		endedAttempts: map[attemptID]*workerpb.TaskRecord{},
	}
	w.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(w.blockWhileFrozen),
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

// Serve handles calls on l until Stop.
func (w *Worker) Serve(l net.Listener) error { return w.grpc.Serve(w.nodeConns.wrap(l)) }

// Stop kills the worker and everything that runs on it. It returns after the runs have been logged.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.stopped = true
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	at := time.Now()
	if w.frozen {
		at = w.endOfFrozenRuns(at)
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

// SilenceConnections makes all open connections drop traffic in both directions without closing them. New connections
// work.
func (w *Worker) SilenceConnections() {
	w.nodeConns.silence()
	w.instanceConns.silence()
}

// Freeze suspends the worker as a pause of its host would: no responses, no progress, no reaction to lapsed leases.
// With false it resumes; tasks whose lease lapsed during the freeze end without further progress.
func (w *Worker) Freeze(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.frozen == on || w.stopped {
		return
	}
	now := time.Now()
	for _, t := range w.running {
		t.rebaseProgress(now, w.frozen)
	}
	w.frozen = on
	var end time.Time
	if on {
		w.frozenAt = now
		end = w.lease.tasksUntil
	} else {
		w.endTasksLapsedInFreeze(now)
	}
	for _, t := range w.running {
		w.options.Log.setExpectedEnd(t, end)
		t.notify()
	}
	w.broadcast()
}

// waitUnfrozen returns nil once the worker isn't frozen, or the error of ctx if that ends first.
func (w *Worker) waitUnfrozen(ctx context.Context) error {
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

func (w *Worker) blockWhileFrozen(ctx context.Context, r any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := w.waitUnfrozen(ctx); err != nil {
		return nil, err
	}
	out, err := next(ctx, r)
	if err := w.waitUnfrozen(ctx); err != nil {
		return nil, err
	}
	return out, err
}

// broadcast wakes all goroutines that wait for a change. The caller holds w.mu.
func (w *Worker) broadcast() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func instanceID(id job.TaskID, attempt int32) string {
	return id.String() + "#" + strconv.Itoa(int(attempt))
}

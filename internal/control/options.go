package control

import (
	"log/slog"
	"time"

	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

// Options configures a node.
type Options struct {
	Name    string
	Address string // IP:port of the service for other nodes
	Zone    string
	// MaxLease is the longest time for which a worker keeps its runs without a renewal.
	MaxLease time.Duration
	// EndedRetention is how long an ended job stays known.
	EndedRetention time.Duration
	// MinStoreLease is the shortest lease that the store grants.
	MinStoreLease time.Duration
	// Cores is the number of cores that the node can use for scheduling.
	Cores float64

	Store        port.TxnStore
	ConfigSource port.ConfigSource
	Workers      port.LeasedWorkers
	Advisor      port.Advisor
	Log          *slog.Logger
	Metrics      *telemetry.Registry
}

const (
	// workerLease is how long runs continue after their scheduler is lost. It bounds how long the tasks of an unreachable
	// worker wait before they may start elsewhere.
	workerLease = 4200 * time.Millisecond
	// drainingWorkerLease is the same for a worker that drains. Its tasks wait for the end of its lease after it has left, because
	// nothing else tells that from a network failure.
	drainingWorkerLease = 2 * time.Second
	// maxClockDrift is the fraction by which a worker's clock may run slower than this node's clock.
	maxClockDrift = 0.02
	// maxStoreSilence is the time without an answer from the store after which a term ends, because another node may be
	// scheduling by then.
	maxStoreSilence = 6 * time.Second
	// schedulerLease is the duration of the scheduling node's store lease, unless the store's minimum is longer.
	schedulerLease = 2 * time.Second

	heartbeatInterval = 100 * time.Millisecond
	// missedHeartbeats is after how many heartbeat intervals without a message one side considers the other side lost.
	missedHeartbeats = 6
	heartbeatTimeout = missedHeartbeats * heartbeatInterval

	configPollInterval   = 600 * time.Millisecond
	registryPollInterval = 400 * time.Millisecond
	// maxRegistryAge is the age of the last reading of the registry from which no start is sent, because the capacity of
	// workers may have shrunk since. Starts must respect a smaller capacity 4.5 s after the registry shows it, and one may
	// be under way for more than a second.
	maxRegistryAge      = 3 * time.Second
	changesPollInterval = 500 * time.Millisecond
	// maxReadyAge is the maximum age of the last message from the store or the scheduling node for a node that reports
	// itself ready.
	maxReadyAge = 2 * time.Second
)

const (
	// fullCores is the number of cores with which a node campaigns without an extra delay. Nodes with fewer cores wait.
	fullCores = 0.8
	// maxLowCoresDelay is the extra delay before a node with 0 cores campaigns. It shrinks to 0 at fullCores.
	maxLowCoresDelay = 500 * time.Millisecond
	// handoverCoresFactor is how many times the cores of the scheduling node another node must have for a handover.
	handoverCoresFactor = 1.5
)

// workerLeaseDuration returns the duration of the workers' leases.
func (o Options) workerLeaseDuration() time.Duration { return min(workerLease, o.MaxLease) }

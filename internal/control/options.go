package control

import (
	"log/slog"
	"time"

	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

// Options describe a node.
type Options struct {
	Name    string
	Address string // of the service for other nodes, IP:port
	// LeaseMax is the longest time that a worker keeps its runs without a renewal.
	MaxLease time.Duration
	// KeepEnded is how long an ended job stays known.
	EndedRetention time.Duration
	// StoreLeaseMin is the shortest lease that the store grants.
	MinStoreLease time.Duration
	// Strength is the number of cores that the node can use for scheduling.
	Cores float64

	Store     port.TxnStore
	Operators port.Operators
	Workers   port.LeasedWorkers
	Advisor   port.Advisor
	Log       *slog.Logger
	Metrics   *telemetry.Registry
}

const (
	// workerLease is how long runs outlive the loss of their scheduler. It bounds how long the tasks of a silent worker
	// wait until they may start elsewhere.
	workerLease = 4500 * time.Millisecond
	// clockDrift is how much slower than this node's clock a worker's may run.
	maxClockDrift = 0.02
	// storeSilence without an answer of the store ends a term: another node may schedule by then.
	maxStoreSilence = 6 * time.Second
	// schedulerLease is the store lease of the scheduling node, if the store grants one that short.
	schedulerLease = 2 * time.Second

	heartbeatInterval = 100 * time.Millisecond
	// beatSilence without a beat means that the other side is lost.
	heartbeatTimeout = 600 * time.Millisecond

	configPollInterval   = 600 * time.Millisecond
	registryPollInterval = 400 * time.Millisecond
	changesPollInterval  = 500 * time.Millisecond
	// readyAge is how old the last sign of the store or the scheduling node may be for a node that reports itself ready.
	maxReadyAge = 2 * time.Second
)

const (
	// fullStrength is the number of cores with which a node is a candidate at once; weaker ones wait.
	fullCores = 0.8
	// weakDelay is how long a node without any strength waits before it tries to schedule.
	maxWeakNodeDelay = 500 * time.Millisecond
	// strongerFactor times its own strength is what another node must have for the scheduling node to hand over.
	handoverCoresFactor = 1.5
)

// lease is how long a worker keeps its runs.
func (o Options) lease() time.Duration { return min(workerLease, o.MaxLease) }

// orphanWait is when the runs of an earlier term's unreachable worker have ended for certain: its holder may have
// renewed them until it noticed that the store is silent.
func (o Options) orphanTimeout() time.Duration {
	return maxStoreSilence + time.Duration(float64(o.lease())*(1+2*maxClockDrift)) + time.Second
}

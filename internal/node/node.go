// Package node implements an ingress node. It connects the decision logic of the core packages with the store, the host
// list, the workers, the other nodes and the callers. Each background loop runs in a goroutine of its own.
package node

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/gateway"
	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

// Options configures a Node.
type Options struct {
	ID          string
	Zone        string
	PeerAddress string   // IP:port at which other nodes reach this one
	HTTPAddress string   // IP:port of the HTTP API for callers
	Seeds       []string // peer addresses to contact in addition to the nodes registered in the store
	Timing      Timing
	Membership  membership.Options
	// MaxAcquisitions limits how many control leases the node acquires concurrently; 0 means defaultMaxAcquisitions.
	MaxAcquisitions int
}

// Timing holds the intervals, timeouts and lifetimes of the node's background loops.
type Timing struct {
	Partition        partition.Timing
	Gossip           time.Duration
	ConfigPoll       time.Duration
	HostPoll         time.Duration
	Register         time.Duration // interval of registration in the store, whose event also shows that the watch works
	RegisterTTL      time.Duration
	StoreTimeout     time.Duration
	PeerTimeout      time.Duration
	Cycle            time.Duration // longest time between two scheduling cycles of a partition
	WorkerPoll       time.Duration // duration of a long poll of a worker, which renews the control lease
	ProgressInterval time.Duration
	IntentInterval   time.Duration // replaces ProgressInterval while intents wait to be written
	ConfigFresh      time.Duration // validity of a confirmation of the configuration
	IsolationStart   time.Duration // an owner isolated for this long starts nothing
	Drain            time.Duration
	JobRetention     time.Duration // how long final job records are kept
}

// DefaultTiming returns the default timing. RegisterTTL is three registration intervals, ConfigFresh three configuration
// polls.
func DefaultTiming() Timing {
	return Timing{
		Partition: partition.DefaultTiming(), Gossip: 500 * time.Millisecond, ConfigPoll: time.Second, HostPoll: time.Second,
		Register: 5 * time.Second, RegisterTTL: 15 * time.Second, StoreTimeout: 500 * time.Millisecond,
		PeerTimeout: time.Second, Cycle: 50 * time.Millisecond, WorkerPoll: time.Second,
		ProgressInterval: 2 * time.Second, IntentInterval: 50 * time.Millisecond, ConfigFresh: configuration.FreshFor,
		IsolationStart: 5 * time.Second, Drain: 30 * time.Second,
		JobRetention: 24 * time.Hour,
	}
}

// Ports holds the interfaces to the systems that the node depends on.
type Ports struct {
	Store   port.Store
	Hosts   port.HostList
	Workers port.Workers
	Peers   port.Peers
	Clock   port.Clock
}

// Node is one ingress node.
type Node struct {
	options Options
	ports   Ports
	log     *slog.Logger
	metrics *nodeMetrics
	routes  gateway.Routes

	mu           sync.Mutex // guards the fields up to otherZoneHeardAt
	table        *membership.Table
	configHolder *configuration.Holder
	random       *rand.Rand
	draining     bool
	hasLeft      bool
	// otherZoneHeardAt is when a member of another zone was last heard from.
	otherZoneHeardAt time.Time

	config          atomic.Pointer[configuration.Active]
	state           *stateCache
	position        watchPosition
	hosts           hostCache
	owners          ownerSet
	storeAnsweredAt atomic.Int64 // Unix nanoseconds of the last answered store call
	// storeFailing is set if the last store call had no answer.
	storeFailing     atomic.Bool
	handovers        chan string
	acquisitionSlots chan struct{} // semaphore with one item for each acquisition in progress
	allowanceNeeds   allowanceNeeds
	sequence         atomic.Uint64 // number of the last write, part of its writer ID
	registrar        registrar
	watchRestarts    chan struct{} // requests a restart of the state watch
	authorityCache   atomic.Pointer[authorityCacheEntry]
	started          time.Time
}

// defaultMaxAcquisitions limits concurrent lease acquisitions, so that taking over a zone's partitions doesn't open
// hundreds of connections at once.
const defaultMaxAcquisitions = 16

// New returns a node. Run starts its background loops.
func New(o Options, p Ports, routes gateway.Routes, log *slog.Logger, metrics *telemetry.Registry) *Node {
	now := p.Clock.Now()
	meters := newNodeMetrics(metrics)
	p.Store, p.Hosts = meteredStore{p.Store, meters}, meteredHosts{p.Hosts, meters}
	self := membership.Member{ID: o.ID, Zone: o.Zone, Address: o.PeerAddress, HTTPAddress: o.HTTPAddress,
		Incarnation: now.UnixMilli()}
	n := &Node{
		options: o, ports: p, log: log, metrics: meters, routes: routes,
		table:        membership.NewTable(self, o.Membership),
		configHolder: configuration.NewHolder(o.Timing.ConfigFresh),
		random:       rand.New(rand.NewPCG(uint64(now.UnixNano()), 1)),
		state:        newStateCache(), handovers: make(chan string, 64), watchRestarts: make(chan struct{}, 1),
		started: now, otherZoneHeardAt: now,
	}
	// Counts start above those of earlier processes of this node, whose registrations must not be taken for its own.
	n.registrar.written = uint64(now.UnixMicro())
	n.acquisitionSlots = make(chan struct{}, cmp.Or(o.MaxAcquisitions, defaultMaxAcquisitions))
	n.owners.init()
	return n
}

// Run runs the background loops until ctx is done. For a graceful stop call Drain first.
func (n *Node) Run(ctx context.Context) {
	var loops conc.WaitGroup
	for _, loop := range []func(context.Context){
		n.gossipLoop, n.configLoop, n.stateLoop, n.hostsLoop, n.registerLoop, n.supervisionLoop, n.endpointsLoop, n.allowanceLoop,
	} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
	n.owners.wait()
}

// runEvery calls f immediately and then once per interval, until ctx is done.
func runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// nextWriterID returns a unique ID for a write, by which this node recognises the write in the store if the response to
// it was lost.
func (n *Node) nextWriterID() string {
	return fmt.Sprintf("%s/%d/%d", n.options.ID, n.started.UnixMilli(), n.sequence.Add(1))
}

// recordStoreResult records whether a store call was answered. A conflict or a missing key is an answer too.
func (n *Node) recordStoreResult(err error) {
	failing := errors.Is(err, port.ErrUnavailable) || errors.Is(err, port.ErrUnknownOutcome)
	n.storeFailing.Store(failing)
	if !failing {
		n.storeAnsweredAt.Store(n.ports.Clock.Now().UnixNano())
	}
}

// storeReachable reports whether the store has answered within the last two configuration polls.
func (n *Node) storeReachable(now time.Time) bool {
	return now.UnixNano()-n.storeAnsweredAt.Load() < (2 * n.options.Timing.ConfigPoll).Nanoseconds()
}

// currentConfig returns the active configuration, or nil if there is none.
func (n *Node) currentConfig() *configuration.Active { return n.config.Load() }

// Package node is the process of an ingress node: it joins the core's decisions with the store, the host list, the
// workers, the other nodes and the callers. Each duty has a goroutine of its own.
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

// Options are the settings of a node.
type Options struct {
	ID          string
	Zone        string
	PeerAddress string   // IP:port at which other nodes reach this one
	HTTPAddress string   // IP:port of the callers' interface
	Seeds       []string // peer addresses to ask before the store has named any
	Timing      Timing
	Membership  membership.Options
	// Acquisitions is how many control leases the node asks for at the same time.
	Acquisitions int
}

// Timing holds the intervals of the node's duties.
type Timing struct {
	Partition        partition.Timing
	Gossip           time.Duration
	ConfigPoll       time.Duration
	HostPoll         time.Duration
	Register         time.Duration // of the node's own entry in the store, whose event also proves that the watch works
	RegisterTTL      time.Duration
	StoreTimeout     time.Duration
	PeerTimeout      time.Duration
	Cycle            time.Duration // longest time between two scheduling cycles
	WorkerPoll       time.Duration // a waiting poll of a worker, which renews the control lease
	ProgressInterval time.Duration
	IntentInterval   time.Duration // the same while intents wait
	ConfigFresh      time.Duration // a confirmation of the configuration counts for so long
	IsolationStart   time.Duration // an isolated owner starts nothing after so long
	Drain            time.Duration
	JobRetention     time.Duration // final job records are kept for so long
}

// DefaultTiming returns the intervals of the design page.
func DefaultTiming() Timing {
	return Timing{
		Partition: partition.DefaultTiming(), Gossip: 500 * time.Millisecond, ConfigPoll: time.Second, HostPoll: time.Second,
		Register: 5 * time.Second, RegisterTTL: 15 * time.Second, StoreTimeout: 500 * time.Millisecond,
		PeerTimeout: time.Second, Cycle: 50 * time.Millisecond, WorkerPoll: time.Second,
		ProgressInterval: 2 * time.Second, IntentInterval: 50 * time.Millisecond, ConfigFresh: configuration.FreshFor, IsolationStart: 5 * time.Second, Drain: 30 * time.Second,
		JobRetention: 24 * time.Hour,
	}
}

// Ports are the node's connections to the outside.
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

	mu           sync.Mutex // guards table, holder, random and draining
	table        *membership.Table
	configHolder *configuration.Holder
	random       *rand.Rand
	draining     bool
	hasLeft      bool
	// outside is when a member of another zone was last heard.
	otherZoneHeardAt time.Time

	config          atomic.Pointer[configuration.Held]
	state           *stateCache
	position        watchPosition
	hosts           hostCache
	owners          ownerSet
	storeAnsweredAt atomic.Int64 // Unix nanoseconds of the last successful store call
	// storeFailing tells that the last store call had no answer.
	storeFailing     atomic.Bool
	handovers        chan string
	acquisitionSlots chan struct{} // one item for each acquisition under way
	allowanceNeeds   allowanceNeeds
	sequence         atomic.Uint64 // of writes, for recognising a lost answer
	registrar        registrar
	watchRestarts    chan struct{} // asks for a new state watch
	authorityCache   atomic.Pointer[authorityCacheEntry]
	started          time.Time
}

// defaultAcquisitions keeps the takeover of a zone's partitions from opening hundreds of connections at once.
const defaultAcquisitions = 16

// New returns a node that hasn't started its duties.
func New(o Options, p Ports, routes gateway.Routes, log *slog.Logger, metrics *telemetry.Registry) *Node {
	now := p.Clock.Now()
	meters := newNodeMetrics(metrics)
	p.Store, p.Hosts = meteredStore{p.Store, meters}, meteredHosts{p.Hosts, meters}
	self := membership.Member{ID: o.ID, Zone: o.Zone, Address: o.PeerAddress, HTTPAddress: o.HTTPAddress, Incarnation: now.UnixMilli()}
	n := &Node{
		options: o, ports: p, log: log, metrics: meters, routes: routes,
		table:        membership.NewTable(self, o.Membership),
		configHolder: configuration.NewHolder(o.Timing.ConfigFresh),
		random:       rand.New(rand.NewPCG(uint64(now.UnixNano()), 1)),
		state:        newStateCache(), handovers: make(chan string, 64), watchRestarts: make(chan struct{}, 1), started: now, otherZoneHeardAt: now,
	}
	// A later life of the node must not take the registrations of an earlier one for its own.
	n.registrar.written = uint64(now.UnixMicro())
	n.acquisitionSlots = make(chan struct{}, cmp.Or(o.Acquisitions, defaultAcquisitions))
	n.owners.init()
	return n
}

// Run performs the node's duties until ctx ends. Call Drain before for a graceful stop.
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

// every calls f at once and then at each interval, until ctx ends.
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

// nextWriter returns a mark for a write, by which this node recognises it after a lost answer.
func (n *Node) nextWriterID() string {
	return fmt.Sprintf("%s/%d/%d", n.options.ID, n.started.UnixMilli(), n.sequence.Add(1))
}

// storeAnswered notes the end of a store call. A conflict or an absent key is an answer too.
func (n *Node) recordStoreResult(err error) {
	failing := errors.Is(err, port.ErrUnavailable) || errors.Is(err, port.ErrUnknownOutcome)
	n.storeFailing.Store(failing)
	if !failing {
		n.storeAnsweredAt.Store(n.ports.Clock.Now().UnixNano())
	}
}

// storeReachable reports whether the store has answered lately.
func (n *Node) storeReachable(now time.Time) bool {
	return now.UnixNano()-n.storeAnsweredAt.Load() < (2 * n.options.Timing.ConfigPoll).Nanoseconds()
}

// current returns the configuration in force, nil if there is none.
func (n *Node) currentConfig() *configuration.Held { return n.config.Load() }

package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"sequoiastall/internal/contain"
	"sequoiastall/internal/control/intake"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
	"sequoiastall/internal/wait"
)

// Node is one process of a cell. It implements port.JobService.
type Node struct {
	options Options
	store   *relayingStore
	intake  *intake.Intake
	metrics *metrics

	config          atomic.Pointer[activeConfig]
	lastStoreReply  atomic.Int64               // Unix nanoseconds of the last answer of the store
	storeFailures   atomic.Int64               // failed store calls since the store's last answer
	membership      atomic.Pointer[membership] // last state received from the scheduling node
	activeTerm      atomic.Pointer[activeTerm] // nil unless this node schedules
	stopping        atomic.Bool
	refusedRevision int64         // revision of the scheduler key whose node refused the attachment; used only by supervise
	newerConfig     chan struct{} // signals that another node has a newer configuration
	leaving         chan struct{} // closed when the node starts to stop
	leaveOnce       sync.Once
	peers           peerConns
	registry        registry
	outbox          chan *cellpb.MemberMessage // messages to the scheduling node
	malformedConfig string                     // last logged error of a configuration that can't be decoded; used only by pollConfig
	fetchingConfig  atomic.Bool                // a configuration is being fetched from another node
	endedTerms      conc.WaitGroup             // calls in flight of this node's ended terms, and calls carried for others
}

type activeConfig struct {
	*cell.Config
	raw []byte
}

// membership is the last state of the scheduling node and the other members that a node received. On the scheduling node
// itself it is the node's own state.
type membership struct {
	term        int64
	address     string // of the scheduling node
	lastContact time.Time
	// storeAge is the time since the store's last answer to the scheduling node or any member, as of lastContact.
	storeAge         time.Duration
	waiting          map[string]int64
	waitingCountedAt time.Time // when waiting was received
	members          []string
}

// outboxSize bounds the messages queued for the scheduling node, which finds the changes of dropped messages in the
// store.
const outboxSize = 512

// New returns a node.
func New(o Options) *Node {
	n := &Node{options: o, newerConfig: make(chan struct{}, 1), leaving: make(chan struct{}), outbox: make(chan *cellpb.MemberMessage, outboxSize)}
	n.store = &relayingStore{TxnStore: intake.NewLeasedStore(o.Store, o.MinStoreLease), node: n}
	n.intake = intake.New(intake.Options{Node: o.Name, Store: n.store, StoreAvailable: n.storeAvailable, Log: o.Log, Metrics: o.Metrics})
	n.registry.source = o.ConfigSource
	n.metrics = newMetrics(o.Metrics, n)
	return n
}

// Run serves the other nodes on the listener and participates in the cell until ctx is done.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(serverOptions(n.options.Log)...)
	cellpb.RegisterCellServer(server, &peerServer{node: n})
	var tasks conc.WaitGroup
	tasks.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			n.options.Log.Error("serving other nodes ended", "error", err.Error())
		}
	})
	tasks.Go(func() { n.keepRunning(ctx, "reading the configuration", n.pollConfig) })
	tasks.Go(func() { n.keepRunning(ctx, "following the scheduling node", n.supervise) })
	tasks.Go(func() { n.keepRunning(ctx, "keeping the submission window open", n.intake.KeepWindow) })
	tasks.Go(func() { n.intake.WatchStandstill(ctx) })
	<-ctx.Done()
	server.Stop()
	n.peers.close()
	tasks.Wait()
	n.endedTerms.Wait()
	return nil
}

// keepRunning runs fn until ctx is done, again after a panic.
func (n *Node) keepRunning(ctx context.Context, during string, fn func(context.Context)) {
	for contain.Panics(n.options.Log, during, func() { fn(ctx) }) {
		if !wait.For(ctx, probeInterval) {
			return
		}
	}
}

// Leave starts a graceful stop: the node hands over scheduling and no longer reports itself ready.
func (n *Node) Leave() {
	n.stopping.Store(true)
	n.leaveOnce.Do(func() { close(n.leaving) })
}

// StoodStill is closed when the process has stood still for so long that it must end.
func (n *Node) StoodStill() <-chan struct{} { return n.intake.StoodStill() }

// Scheduling reports whether this node is the scheduling node.
func (n *Node) Scheduling() bool { return n.activeTerm.Load() != nil }

// supervise follows the scheduling node, or tries to become it if there is none.
func (n *Node) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		h, err := readHolder(ctx, n.store)
		switch {
		case err != nil:
			n.followLastKnown(ctx)
		case h == nil:
			if wait.For(ctx, n.candidacyDelay()) {
				n.campaign(ctx, 0, "no node schedules")
			}
		case h.Address == n.options.Address:
			n.campaign(ctx, h.revision, "the scheduling lease is held by an earlier instance of this node")
		default:
			n.follow(ctx, h)
		}
		if !wait.For(ctx, superviseInterval) {
			return
		}
	}
}

// superviseInterval is the pause between two checks for the scheduling node.
const superviseInterval = 20 * time.Millisecond

// campaign tries to become the scheduling node and, if it succeeds, schedules until the term ends.
func (n *Node) campaign(ctx context.Context, revision int64, reason string) {
	if n.stopping.Load() || n.config.Load() == nil {
		wait.For(ctx, heartbeatInterval/2)
		return
	}
	began := time.Now()
	t, err := n.acquire(ctx, revision)
	if err != nil {
		n.options.Log.Info("decision", "subject", n.options.Name, "decision", "term not won", "reason", reason, "error", err.Error())
		if !errors.Is(err, errTermLost) {
			wait.For(ctx, heartbeatInterval)
		}
		return
	}
	n.options.Log.Info("decision", "subject", n.options.Name, "decision", "term won", "term", t.number, "reason", reason)
	err = n.schedule(ctx, t, began)
	n.options.Log.Info("decision", "subject", n.options.Name, "decision", "term ended", "term", t.number, "reason", err.Error(),
		"lasted_ms", time.Since(began).Milliseconds())
}

// storeAnswered records an answer of the store.
func (n *Node) storeAnswered() {
	silence := n.storeAge()
	n.lastStoreReply.Store(time.Now().UnixNano())
	if n.storeFailures.Swap(0) >= circuitOpenThreshold {
		n.options.Log.Info("dependency regained", "dependency", "store", "silence_ms", silence.Milliseconds())
	}
}

// storeFailed records a store call that was refused or got no answer.
func (n *Node) storeFailed(err error) {
	if n.storeFailures.Add(1) == circuitOpenThreshold {
		n.options.Log.Warn("dependency lost", "dependency", "store", "error", err.Error(), "store_age_ms", n.storeAge().Milliseconds())
	}
}

const (
	// circuitOpenThreshold is the number of consecutive failed calls that opens the circuit to the store.
	circuitOpenThreshold = 2
	// probeInterval is the pause between two reads of the configuration while the store doesn't answer or no configuration
	// has been read yet.
	probeInterval = 120 * time.Millisecond
)

// storeAvailable reports whether the circuit to the store is closed. While the store doesn't answer, this node doesn't
// send job records to it, so that a refusal guarantees to the caller that the job will never run.
func (n *Node) storeAvailable() bool { return n.storeFailures.Load() < circuitOpenThreshold }

// neverAge stands for the age of an answer that was never received.
const neverAge = time.Hour

// storeAge returns the time since the store's last answer.
func (n *Node) storeAge() time.Duration {
	last := n.lastStoreReply.Load()
	if last == 0 {
		return neverAge
	}
	return time.Duration(time.Now().UnixNano() - last)
}

// pollConfig keeps the configuration up to date. It reads the store, and asks other nodes if the store doesn't answer.
func (n *Node) pollConfig(ctx context.Context) {
	for {
		c, raw, err := n.options.ConfigSource.Configuration(ctx)
		switch {
		case err == nil:
			n.storeAnswered()
			n.adoptConfig(c, raw, "store")
		case errors.Is(err, port.ErrNotFound):
			n.storeAnswered()
		case errors.Is(err, port.ErrMalformed):
			n.storeAnswered()
			n.logMalformedConfig(err)
		default:
			n.storeFailed(err)
			n.fetchConfig(ctx)
		}
		if !n.awaitConfigPoll(ctx) {
			return
		}
	}
}

// newerConfigDelay is the delay before the store is read because another node has a newer configuration.
const newerConfigDelay = 20 * time.Millisecond

// awaitConfigPoll waits until the configuration has to be read again, which is at once if another node has a newer one.
// It returns false if ctx ended first.
func (n *Node) awaitConfigPoll(ctx context.Context) bool {
	pause := configPollInterval
	if n.config.Load() == nil || !n.storeAvailable() {
		pause = probeInterval
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.newerConfig:
		if !n.storeAvailable() {
			n.fetchConfig(ctx)
		}
		return wait.For(ctx, newerConfigDelay)
	case <-ctx.Done():
		return false
	}
}

// logMalformedConfig logs a configuration that can't be decoded, once. The last valid one stays in force.
func (n *Node) logMalformedConfig(err error) {
	if text := err.Error(); text != n.malformedConfig {
		n.malformedConfig = text
		n.options.Log.Error("configuration can't be read, the last valid one stays in force", "error", text)
	}
}

// adoptConfig puts a configuration in force unless the active one is at least as new.
func (n *Node) adoptConfig(c *cell.Config, raw []byte, source string) {
	for {
		old := n.config.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if n.config.CompareAndSwap(old, &activeConfig{c, raw}) {
			n.options.Log.Info("decision", "subject", "configuration", "decision", "in force", "version", c.Version, "source", source,
				"queues", len(c.Queues), "teams", len(c.Teams))
			if s := n.activeTerm.Load(); s != nil {
				s.post(backgroundCtx, func() { s.core.SetConfig(c) })
			}
			return
		}
	}
}

// backgroundCtx is for calls that are bounded only by the term that they belong to.
var backgroundCtx = context.Background()

// fetchConfigFromPeers asks other nodes for a newer configuration. It stops at the first configuration that can be
// decoded.
func (n *Node) fetchConfigFromPeers(ctx context.Context) {
	m := n.membership.Load()
	if m == nil {
		return
	}
	for _, address := range n.store.relays(m) {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		reply, err := n.peers.client(address).Configuration(call, &cellpb.ConfigurationRequest{})
		cancel()
		if err != nil || len(reply.Raw) == 0 {
			continue
		}
		c, err := n.options.ConfigSource.DecodeConfiguration(reply.Raw)
		if err != nil {
			n.options.Log.Warn("configuration of another node can't be read", "node", address, "error", err.Error())
			continue
		}
		n.adoptConfig(c, reply.Raw, address)
		return
	}
}

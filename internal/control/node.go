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

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
	"sequoiastall/internal/wait"
)

// Node is one process of a cell. It implements port.Front.
type Node struct {
	options Options
	store   *relayingStore
	metrics *metrics

	config          atomic.Pointer[activeConfig]
	lastStoreReply  atomic.Int64               // Unix nanoseconds of the last answer of the store
	storeFailures   atomic.Int64               // calls of the store without an answer since the last one with
	membership      atomic.Pointer[membership] // what the scheduling node last told
	activeTerm      atomic.Pointer[activeTerm] // non-nil while this node schedules
	stopping        atomic.Bool
	refusedRevision int64         // revision of the scheduler key whose node refused to be followed; owned by supervise
	leaving         chan struct{} // closed when the node begins to stop
	leaveOnce       sync.Once
	peers           peerConns
	outbox          chan *cellpb.MemberMessage // news for the scheduling node
	fetchingConfig  atomic.Bool                // a configuration is being fetched from another node
	terms           conc.WaitGroup             // terms of this node that have calls under way
}

type activeConfig struct {
	*cell.Config
	raw []byte
}

// membership is what a node knows of the scheduling node and the others.
type membership struct {
	term        int64
	address     string // of the scheduling node
	lastContact time.Time
	// storeAge is the time since the store's last answer to the scheduling node or a member when it was heard.
	storeAge         time.Duration
	waiting          map[string]int64
	waitingCountedAt time.Time // when waiting was counted
	members          []string
}

// outboxSize bounds the news that wait for the connection to the scheduling node. It finds the rest in the store.
const outboxSize = 512

// New returns a node.
func New(o Options) *Node {
	n := &Node{options: o, leaving: make(chan struct{}), outbox: make(chan *cellpb.MemberMessage, outboxSize)}
	n.store = &relayingStore{TxnStore: o.Store, node: n}
	n.metrics = newMetrics(o.Metrics, n)
	return n
}

// Run serves the other nodes at the listener and takes its part in the cell until ctx ends.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(serverOptions()...)
	cellpb.RegisterCellServer(server, &peerServer{node: n})
	var tasks conc.WaitGroup
	tasks.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			n.options.Log.Error("serving other nodes ended", "error", err.Error())
		}
	})
	tasks.Go(func() { n.pollConfig(ctx) })
	tasks.Go(func() { n.supervise(ctx) })
	<-ctx.Done()
	server.Stop()
	n.peers.close()
	tasks.Wait()
	n.terms.Wait()
	return nil
}

// Leave begins a graceful stop: the node gives up scheduling and tells the platform that it isn't ready.
func (n *Node) Leave() {
	n.stopping.Store(true)
	n.leaveOnce.Do(func() { close(n.leaving) })
}

// Scheduling reports whether this node holds the term.
func (n *Node) Scheduling() bool { return n.activeTerm.Load() != nil }

// supervise follows the scheduling node, and becomes it when there is none.
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
			n.campaign(ctx, h.revision, "an earlier life of this node scheduled")
		default:
			n.follow(ctx, h)
		}
		if !wait.For(ctx, superviseInterval) {
			return
		}
	}
}

// superviseInterval is the pause between two looks for the scheduling node.
const superviseInterval = 20 * time.Millisecond

// campaign tries to become the scheduling node, and schedules until the term ends.
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

// storeHeard notes an answer of the store.
func (n *Node) storeAnswered() {
	silence := n.storeAge()
	n.lastStoreReply.Store(time.Now().UnixNano())
	if n.storeFailures.Swap(0) >= circuitOpenThreshold {
		n.options.Log.Info("dependency regained", "dependency", "store", "silence_ms", silence.Milliseconds())
	}
}

// storeFailed notes a call that the store didn't answer or refused.
func (n *Node) storeFailed(err error) {
	if n.storeFailures.Add(1) == circuitOpenThreshold {
		n.options.Log.Warn("dependency lost", "dependency", "store", "error", err.Error(), "store_age_ms", n.storeAge().Milliseconds())
	}
}

const (
	// storeFailLimit calls in a row without an answer open the circuit to the store.
	circuitOpenThreshold = 2
	// probeInterval is the pause between two looks whether the store answers again.
	probeInterval = 120 * time.Millisecond
)

// storeUp reports whether calls of the store are worth sending. While it is silent, a job's record isn't sent at all, so
// that the caller can be told truthfully that the job never runs.
func (n *Node) storeAvailable() bool { return n.storeFailures.Load() < circuitOpenThreshold }

// neverHeard is the age of an answer that never came.
const neverAge = time.Hour

// storeAge returns the time since the store's last answer.
func (n *Node) storeAge() time.Duration {
	last := n.lastStoreReply.Load()
	if last == 0 {
		return neverAge
	}
	return time.Duration(time.Now().UnixNano() - last)
}

// pollConfig keeps the newest configuration: from the store, or from the scheduling node if that has a newer one.
func (n *Node) pollConfig(ctx context.Context) {
	for {
		c, raw, err := n.options.Operators.Configuration(ctx)
		switch {
		case err == nil:
			n.storeAnswered()
			n.adoptConfig(c, raw, "store")
		case errors.Is(err, port.ErrNotFound):
			n.storeAnswered()
		default:
			n.storeFailed(err)
			n.fetchConfig(ctx)
		}
		pause := configPollInterval
		if n.config.Load() == nil || !n.storeAvailable() {
			pause = probeInterval
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// offerConfig puts a configuration in force unless a newer one is.
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

// ctxNone is for calls that end with the term that they belong to.
var backgroundCtx = context.Background()

// configFromPeer asks the scheduling node, or any member, for a newer configuration.
func (n *Node) fetchConfigFromPeers(ctx context.Context) {
	m := n.membership.Load()
	if m == nil {
		return
	}
	for _, address := range append([]string{m.address}, m.members...) {
		if address == n.options.Address {
			continue
		}
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		reply, err := n.peers.client(address).Configuration(call, &cellpb.ConfigurationRequest{})
		cancel()
		if err != nil || len(reply.Raw) == 0 {
			continue
		}
		c, err := n.options.Operators.DecodeConfiguration(reply.Raw)
		if err != nil {
			n.options.Log.Warn("configuration of another node can't be read", "node", address, "error", err.Error())
			continue
		}
		n.adoptConfig(c, reply.Raw, address)
		return
	}
}

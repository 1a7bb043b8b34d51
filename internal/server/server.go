// Package server assembles an ingress node from its settings: adapters, the node's duties, the peers' server and the
// callers' gateway.
package server

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/gateway"
	"sequoiastall/internal/node"
	"sequoiastall/internal/peer"
	"sequoiastall/internal/platform"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/connection"
	"sequoiastall/internal/settings"
	"sequoiastall/internal/telemetry"
	"sequoiastall/internal/workerclient"
)

// Server is a running or startable ingress node.
type Server struct {
	settings settings.Settings
	log      *slog.Logger
	registry *telemetry.Registry
	platform *platform.Client
	workers  *workerclient.Client
	peers    *peer.Client
	node     *node.Node
	gateway  *gateway.Gateway
	peerGRPC *peer.Server
	peerAt   net.Listener
	httpAt   net.Listener
}

// New opens the listeners and connections of a node. It fails if an address can't be used.
func New(s settings.Settings, log *slog.Logger) (*Server, error) {
	registry := telemetry.NewRegistry(log)
	peerAt, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	httpAt, err := net.Listen("tcp", s.HTTPAddress)
	if err != nil {
		_ = peerAt.Close()
		return nil, errors.Wrap(err, "http address")
	}
	registry.ExposeProcess()
	store, err := platform.New(s.PlatformAddress, observe(registry, telemetry.PeerStore))
	if err != nil {
		_ = peerAt.Close()
		_ = httpAt.Close()
		return nil, errors.Wrap(err, "platform address")
	}
	clock := port.SystemClock{}
	peers := peer.Options{Stats: registry.StatsHandler(telemetry.PeerNode), Wire: registry.Wire(telemetry.PeerNode)}
	v := &Server{settings: s, log: log, registry: registry, platform: store, workers: workerclient.New(clock, observe(registry, telemetry.PeerWorker)),
		peers:  peer.NewClient(peers),
		peerAt: peerAt, httpAt: httpAt}
	router := gateway.NewRouter(s.Zone, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 2)), clock)
	v.node = node.New(node.Options{ID: s.NodeID, Zone: s.Zone, PeerAddress: peerAt.Addr().String(),
		HTTPAddress: httpAt.Addr().String(), Seeds: s.Seeds, Timing: timing(s.Timing),
		Membership: members(s.Timing), Acquisitions: int(s.Timing.TakeoverParallel)},
		node.Ports{Store: store, Hosts: store, Workers: v.workers, Peers: v.peers, Clock: clock}, router, log, registry)
	v.gateway = gateway.New(gateway.Options{NodeID: s.NodeID, Node: v.node, Router: router, Store: store, Clock: clock, Log: log,
		Registry: registry, Metrics: registryHandler(registry, router)})
	v.peerGRPC = peer.NewServer(v.node, peers)
	return v, nil
}

// observe counts the messages and bytes of connections to a kind of peer.
func observe(r *telemetry.Registry, k telemetry.PeerKind) connection.Options {
	return connection.Options{Stats: r.StatsHandler(k), Wrap: r.Wire(k).Conn}
}

// timing converts the settings' units.
func timing(t settings.Timing) node.Timing {
	ms := settings.Milliseconds
	d := node.DefaultTiming()
	d.Partition = partition.Timing{ControlLease: ms(t.ControlLeaseMS), TaskLease: ms(t.TaskLeaseMS),
		Isolation: ms(t.IsolationStopRenewalMS), Announce: ms(t.HostAnnounceMS)}
	d.Gossip, d.ConfigPoll, d.HostPoll = ms(t.GossipIntervalMS), ms(t.ConfigPollMS), ms(t.HostListPollMS)
	d.Register, d.RegisterTTL = ms(t.NodeRenewMS), ms(t.NodeLeaseMS)
	d.StoreTimeout, d.WorkerPoll = ms(t.StoreTimeoutMS), ms(t.SyncIntervalMS)
	d.IntentInterval, d.ConfigFresh = time.Second/time.Duration(t.IntentsPerSecond), ms(t.ConfigFreshMS)
	d.ProgressInterval, d.IsolationStart, d.Drain = ms(t.ProgressIntervalMS), ms(t.IsolationStopStartsMS), ms(t.DrainMS)
	return d
}

func registryHandler(r *telemetry.Registry, router *gateway.Router) http.Handler {
	permits := r.Gauge("permit_violations")
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		permits.Update(int64(router.Violations()))
		w.Header().Set("Content-Type", telemetry.ContentType)
		_ = r.WriteText(w)
	})
}

// members converts the settings of the failure detector.
func members(t settings.Timing) membership.Options {
	ms := settings.Milliseconds
	return membership.Options{SuspectAfter: ms(t.SuspectAfterMS), DeadAfter: ms(t.DeadAfterMS), GroupWithin: ms(t.OneEventWithinMS),
		Fanout: int(t.GossipFanout), SmallTable: int(t.GossipAllBelow)}
}

// HTTPAddress returns the address of the callers' interface.
func (s *Server) HTTPAddress() string { return s.httpAt.Addr().String() }

// PeerAddress returns the address for other nodes.
func (s *Server) PeerAddress() string { return s.peerAt.Addr().String() }

// Revision returns the revision of the configuration in force at the node, 0 if there is none.
func (s *Server) Revision() int64 { return s.node.Revision().Revision }

// Registry returns the node's metrics.
func (s *Server) Registry() *telemetry.Registry { return s.registry }

// Run serves until ctx ends, and then stops gracefully within the settings' bound.
func (s *Server) Run(ctx context.Context) error {
	duties, end := context.WithCancel(context.Background())
	defer end()
	var wg conc.WaitGroup
	wg.Go(func() { s.node.Run(duties) })
	wg.Go(func() { logServe(s.log, "peer", s.peerGRPC.Serve(s.peerAt)) })
	wg.Go(func() { logServe(s.log, "http", s.gateway.Serve(s.httpAt)) })
	s.log.Info("serving", "http", s.HTTPAddress(), "peer", s.PeerAddress())
	<-ctx.Done()
	s.stop(end)
	wg.Wait()
	return nil
}

// stop refuses new work, finishes open requests while the partitions are handed over, and then ends the duties.
func (s *Server) stop(end context.CancelFunc) {
	bound, cancel := context.WithTimeout(context.Background(), settings.Milliseconds(s.settings.Timing.DrainMS))
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := s.gateway.Drain(bound); err != nil {
			s.log.Warn("open requests remain at the end of the drain", "error", err)
		}
	})
	wg.Go(func() { s.node.Drain(bound) })
	wg.Wait()
	if err := s.gateway.Close(bound); err != nil {
		s.log.Warn("callers' interface closed with an error", "error", err)
	}
	s.node.Leave(bound)
	end()
	s.peerGRPC.Stop()
	s.peers.Close()
	_ = s.workers.Close()
	_ = s.platform.Close()
	s.log.Info("stopped")
}

func logServe(log *slog.Logger, name string, err error) {
	if err != nil {
		log.Debug("listener ended", "listener", name, "error", err)
	}
}

// Package server builds an ingress node from its settings: adapters, the node's background loops, the server for peers
// and the gateway for callers.
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

// Server is an ingress node that runs or is ready to run.
type Server struct {
	settings     settings.Settings
	log          *slog.Logger
	registry     *telemetry.Registry
	platform     *platform.Client
	workers      *workerclient.Client
	peers        *peer.Client
	node         *node.Node
	gateway      *gateway.Gateway
	peerServer   *peer.Server
	peerListener net.Listener
	httpListener net.Listener
}

// New opens the listeners and connections of a node. It fails if an address can't be used.
func New(s settings.Settings, log *slog.Logger) (*Server, error) {
	registry := telemetry.NewRegistry(log)
	peerListener, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	httpListener, err := net.Listen("tcp", s.HTTPAddress)
	if err != nil {
		_ = peerListener.Close()
		return nil, errors.Wrap(err, "http address")
	}
	registry.ExposeProcess()
	store, err := platform.New(s.PlatformAddress, connectionOptions(registry, telemetry.ConnectionStore))
	if err != nil {
		_ = peerListener.Close()
		_ = httpListener.Close()
		return nil, errors.Wrap(err, "platform address")
	}
	clock := port.SystemClock{}
	peerOptions := peer.Options{Stats: registry.StatsHandler(telemetry.ConnectionNode),
		TrafficCounters: registry.TrafficCounters(telemetry.ConnectionNode)}
	server := &Server{settings: s, log: log, registry: registry, platform: store,
		workers: workerclient.New(clock, connectionOptions(registry, telemetry.ConnectionWorker)),
		peers:   peer.NewClient(peerOptions), peerListener: peerListener, httpListener: httpListener}
	router := gateway.NewRouter(s.Zone, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 2)), clock)
	server.node = node.New(node.Options{ID: s.NodeID, Zone: s.Zone, PeerAddress: peerListener.Addr().String(),
		HTTPAddress: httpListener.Addr().String(), Seeds: s.Seeds, Timing: nodeTiming(s.Timing),
		Membership: membershipOptions(s.Timing), MaxAcquisitions: int(s.Timing.TakeoverParallel)},
		node.Ports{Store: store, Hosts: store, Workers: server.workers, Peers: server.peers, Clock: clock},
		router, log, registry)
	server.gateway = gateway.New(gateway.Options{NodeID: s.NodeID, Node: server.node, Router: router, Store: store,
		Clock: clock, Log: log, Registry: registry, Metrics: metricsHandler(registry, router)})
	server.peerServer = peer.NewServer(server.node, peerOptions)
	return server, nil
}

// connectionOptions returns options that count the messages and bytes of connections of one kind.
func connectionOptions(r *telemetry.Registry, k telemetry.ConnectionKind) connection.Options {
	return connection.Options{Stats: r.StatsHandler(k), Wrap: r.TrafficCounters(k).Conn}
}

// nodeTiming converts the timing settings to the node's options.
func nodeTiming(t settings.Timing) node.Timing {
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

func metricsHandler(r *telemetry.Registry, router *gateway.Router) http.Handler {
	permits := r.Gauge("permit_violations")
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		permits.Update(int64(router.Violations()))
		w.Header().Set("Content-Type", telemetry.ContentType)
		_ = r.WriteText(w)
	})
}

// membershipOptions converts the settings of the failure detector.
func membershipOptions(t settings.Timing) membership.Options {
	ms := settings.Milliseconds
	return membership.Options{SuspectAfter: ms(t.SuspectAfterMS), DeadAfter: ms(t.DeadAfterMS), GroupWithin: ms(t.OneEventWithinMS),
		Fanout: int(t.GossipFanout), GossipAllBelow: int(t.GossipAllBelow)}
}

// HTTPAddress returns the address of the HTTP API for callers.
func (s *Server) HTTPAddress() string { return s.httpListener.Addr().String() }

// PeerAddress returns the address for other nodes.
func (s *Server) PeerAddress() string { return s.peerListener.Addr().String() }

// Revision returns the revision of the configuration that is active at the node, 0 if there is none.
func (s *Server) Revision() int64 { return s.node.Revision().Revision }

// Registry returns the node's metrics.
func (s *Server) Registry() *telemetry.Registry { return s.registry }

// Run serves until ctx ends, and then stops gracefully within the drain time of the settings.
func (s *Server) Run(ctx context.Context) error {
	nodeCtx, stopNode := context.WithCancel(context.Background())
	defer stopNode()
	var wg conc.WaitGroup
	wg.Go(func() { s.node.Run(nodeCtx) })
	wg.Go(func() { logListenerEnd(s.log, "peer", s.peerServer.Serve(s.peerListener)) })
	wg.Go(func() { logListenerEnd(s.log, "http", s.gateway.Serve(s.httpListener)) })
	s.log.Info("serving", "http", s.HTTPAddress(), "peer", s.PeerAddress())
	<-ctx.Done()
	s.stop(stopNode)
	wg.Wait()
	return nil
}

// stop rejects new work, waits for open requests while the partitions are handed over, at most for the drain time of the
// settings, and then stops the node's background loops.
func (s *Server) stop(stopNode context.CancelFunc) {
	drainCtx, cancel := context.WithTimeout(context.Background(), settings.Milliseconds(s.settings.Timing.DrainMS))
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := s.gateway.Drain(drainCtx); err != nil {
			s.log.Warn("open requests remain at the end of the drain", "error", err)
		}
	})
	wg.Go(func() { s.node.Drain(drainCtx) })
	wg.Wait()
	if err := s.gateway.Close(drainCtx); err != nil {
		s.log.Warn("callers' interface closed with an error", "error", err)
	}
	s.node.Leave(drainCtx)
	stopNode()
	s.peerServer.Stop()
	s.peers.Close()
	_ = s.workers.Close()
	_ = s.platform.Close()
	s.log.Info("stopped")
}

func logListenerEnd(log *slog.Logger, name string, err error) {
	if err != nil {
		log.Debug("listener ended", "listener", name, "error", err)
	}
}

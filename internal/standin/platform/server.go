// Package platform is an in-memory stand-in for the platform's store and host list, with fault injection.
package platform

import (
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/platformpb"
	"sequoiastall/internal/rpc/standinpb"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// defaultHistory is the number of events kept for watches when Options.History is 0.
const defaultHistory = 4096

// maxMessageBytes lets a value above MaxValueBytes reach the store, so that it is rejected with a clear error.
const maxMessageBytes = 64 << 20

// minPingInterval is the shortest keepalive interval that the server allows; it closes connections that ping more
// often. Clients ping every 10 s.
const minPingInterval = 5 * time.Second

// Options are the settings of a stand-in.
type Options struct {
	// History is the number of events kept for watches that start in the past; 0 means 4096.
	History int
	// HostLag is the delay after which List shows a change of the hosts.
	HostLag time.Duration
	// Hosts are listed from the start, without lag.
	Hosts []port.Host
}

// Counters counts calls, including those that failed.
type Counters struct {
	Gets, Ranges, Puts, Deletes, Grants, KeepAlives, Lists int64
	Watches                                                int64 // opened so far
	WatchesOpen                                            int64
}

// Server is one stand-in. Its keys, leases and hosts are kept only in memory.
type Server struct {
	platformpb.UnimplementedStoreServer
	platformpb.UnimplementedHostListServer

	grpc      *grpc.Server
	maxEvents int

	mu           sync.Mutex
	changed      chan struct{} // closed and replaced at each change of keys or faults and at the stop
	stopped      bool
	revision     int64
	entries      map[string]*platformpb.Entry
	leases       map[int64]*lease
	lastLease    int64
	events       []*platformpb.WatchEvent // the last maxEvents events in order of revision
	compacted    int64                    // revision of the last event that was dropped
	watches      map[*watch]struct{}
	faults       Faults
	counters     Counters
	hostLag      time.Duration
	hostVersions []hostVersion // in order of time, never empty
}

// New returns a stand-in that isn't listening yet.
func New(o Options) *Server {
	if o.History == 0 {
		o.History = defaultHistory
	}
	s := &Server{
		maxEvents:    o.History,
		changed:      make(chan struct{}),
		entries:      map[string]*platformpb.Entry{},
		leases:       map[int64]*lease{},
		watches:      map[*watch]struct{}{},
		hostLag:      o.HostLag,
		hostVersions: []hostVersion{{hosts: hostsByID(o.Hosts)}},
	}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
	)
	platformpb.RegisterStoreServer(s.grpc, s)
	platformpb.RegisterHostListServer(s.grpc, s)
	standinpb.RegisterControlServer(s.grpc, control{server: s})
	return s
}

// Serve handles calls on l until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop ends all calls and connections.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopped = true
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.broadcast()
	s.mu.Unlock()
	s.grpc.Stop()
}

// Counters returns the number of calls so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.WatchesOpen = int64(len(s.watches))
	return c
}

// broadcast wakes all goroutines that wait for a change. The caller holds s.mu.
func (s *Server) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

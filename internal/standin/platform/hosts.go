package platform

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/platformpb"
)

// ErrUnknownHost tells that no host has the given ID.
var ErrUnknownHost = errors.New("unknown host")

// hostVersion is the set of hosts from a moment on.
type hostVersion struct {
	from  time.Time
	hosts map[string]port.Host
}

func byID(hosts []port.Host) map[string]port.Host {
	m := make(map[string]port.Host, len(hosts))
	for _, h := range hosts {
		m[h.ID] = h
	}
	return m
}

// SetHosts replaces the hosts. List shows the change after the lag.
func (s *Server) SetHosts(hosts []port.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pushHosts(byID(hosts))
}

// PutHosts adds hosts, or replaces those with the same ID.
func (s *Server) PutHosts(hosts []port.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(s.latestHosts())
	maps.Copy(next, byID(hosts))
	s.pushHosts(next)
}

// SetHostState changes the state of one host; ErrUnknownHost if there is none with this ID.
func (s *Server) SetHostState(id string, state port.HostState) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.latestHosts()[id]
	if !ok {
		return errors.Wrap(ErrUnknownHost, id)
	}
	h.State = state
	next := maps.Clone(s.latestHosts())
	next[id] = h
	s.pushHosts(next)
	return nil
}

// SetHostLag changes how much later than a change List shows it.
func (s *Server) SetHostLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

func (s *Server) latestHosts() map[string]port.Host { return s.hosts[len(s.hosts)-1].hosts }

func (s *Server) pushHosts(hosts map[string]port.Host) {
	s.visibleHosts()
	s.hosts = append(s.hosts, hostVersion{from: time.Now(), hosts: hosts})
}

// visibleHosts drops the versions that are older than the visible one and returns that.
func (s *Server) visibleHosts() map[string]port.Host {
	edge := time.Now().Add(-s.lag)
	for len(s.hosts) > 1 && !s.hosts[1].from.After(edge) {
		s.hosts = s.hosts[1:]
	}
	return s.hosts[0].hosts
}

// List implements platformpb.HostListServer.
func (s *Server) List(ctx context.Context, _ *platformpb.ListRequest) (*platformpb.ListResponse, error) {
	if err := s.enter(ctx, &s.counters.Lists); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := s.visibleHosts()
	out := &platformpb.ListResponse{}
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[id]
		out.Hosts = append(out.Hosts, &platformpb.Host{
			Id: h.ID, Zone: h.Zone, Rack: h.Rack, Address: h.Address, State: platformpb.Host_State(h.State),
		})
	}
	return out, nil
}

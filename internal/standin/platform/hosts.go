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

// ErrUnknownHost is returned if no host has the given ID.
var ErrUnknownHost = errors.New("unknown host")

// hostVersion is the set of hosts from a given time on.
type hostVersion struct {
	from  time.Time
	hosts map[string]port.Host
}

func hostsByID(hosts []port.Host) map[string]port.Host {
	m := make(map[string]port.Host, len(hosts))
	for _, h := range hosts {
		m[h.ID] = h
	}
	return m
}

// SetHosts replaces the hosts. List shows the change after the host lag.
func (s *Server) SetHosts(hosts []port.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addHostVersion(hostsByID(hosts))
}

// PutHosts adds hosts, or replaces those with the same ID.
func (s *Server) PutHosts(hosts []port.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(s.latestHosts())
	maps.Copy(next, hostsByID(hosts))
	s.addHostVersion(next)
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
	s.addHostVersion(next)
	return nil
}

// SetHostLag sets the delay after which List shows a change of the hosts.
func (s *Server) SetHostLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLag = d
}

func (s *Server) latestHosts() map[string]port.Host {
	return s.hostVersions[len(s.hostVersions)-1].hosts
}

// addHostVersion adds a version of the hosts, which List shows after the host lag, and drops the versions before
// the one that List shows now. The caller holds s.mu.
func (s *Server) addHostVersion(hosts map[string]port.Host) {
	s.visibleHosts()
	s.hostVersions = append(s.hostVersions, hostVersion{from: time.Now(), hosts: hosts})
}

// visibleHosts returns the version of the hosts that List shows, and drops older versions. The caller holds s.mu.
func (s *Server) visibleHosts() map[string]port.Host {
	cutoff := time.Now().Add(-s.hostLag)
	for len(s.hostVersions) > 1 && !s.hostVersions[1].from.After(cutoff) {
		s.hostVersions = s.hostVersions[1:]
	}
	return s.hostVersions[0].hosts
}

// List implements platformpb.HostListServer.
func (s *Server) List(ctx context.Context, _ *platformpb.ListRequest) (*platformpb.ListResponse, error) {
	if err := s.beginCall(ctx, &s.counters.Lists); err != nil {
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

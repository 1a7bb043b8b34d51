package platform

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/platformpb"
	"sequoiastall/internal/rpc/standinpb"
)

// control implements the Control service, through which other processes control a stand-in.
type control struct {
	standinpb.UnimplementedControlServer
	server *Server
}

func (c control) SetFaults(_ context.Context, r *standinpb.Faults) (*standinpb.Faults, error) {
	if _, ok := standinpb.Faults_Down_name[int32(r.Down)]; !ok || r.DelayMs < 0 || r.LoseAnswers < 0 {
		return nil, status.Errorf(codes.InvalidArgument, "faults out of range: %v", r)
	}
	old := c.server.SetFaults(Faults{
		Down:          Availability(r.Down),
		Delay:         time.Duration(r.DelayMs) * time.Millisecond,
		LoseAnswers:   int(r.LoseAnswers),
		SilentWatches: r.SilentWatches,
	})
	return toFaults(old), nil
}

func (c control) GetFaults(context.Context, *standinpb.GetFaultsRequest) (*standinpb.Faults, error) {
	return toFaults(c.server.Faults()), nil
}

func toFaults(f Faults) *standinpb.Faults {
	return &standinpb.Faults{
		Down:          standinpb.Faults_Down(f.Down),
		DelayMs:       f.Delay.Milliseconds(),
		LoseAnswers:   int32(f.LoseAnswers),
		SilentWatches: f.SilentWatches,
	}
}

func (c control) SetHosts(_ context.Context, r *standinpb.SetHostsRequest) (*standinpb.SetHostsResponse, error) {
	hosts, err := fromHosts(r.Hosts)
	if err != nil {
		return nil, err
	}
	c.server.SetHosts(hosts)
	return &standinpb.SetHostsResponse{}, nil
}

func (c control) PutHosts(_ context.Context, r *standinpb.PutHostsRequest) (*standinpb.PutHostsResponse, error) {
	hosts, err := fromHosts(r.Hosts)
	if err != nil {
		return nil, err
	}
	c.server.PutHosts(hosts)
	return &standinpb.PutHostsResponse{}, nil
}

func fromHosts(in []*platformpb.Host) ([]port.Host, error) {
	var out []port.Host
	for _, h := range in {
		if _, ok := platformpb.Host_State_name[int32(h.State)]; !ok || h.Id == "" {
			return nil, status.Errorf(codes.InvalidArgument, "host has no id or an undefined state: %v", h)
		}
		out = append(out, port.Host{ID: h.Id, Zone: h.Zone, Rack: h.Rack, Address: h.Address, State: port.HostState(h.State)})
	}
	return out, nil
}

func (c control) SetHostState(_ context.Context, r *standinpb.SetHostStateRequest) (*standinpb.SetHostStateResponse, error) {
	if _, ok := platformpb.Host_State_name[int32(r.State)]; !ok {
		return nil, status.Errorf(codes.InvalidArgument, "state %d is not defined", r.State)
	}
	if err := c.server.SetHostState(r.Id, port.HostState(r.State)); err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	return &standinpb.SetHostStateResponse{}, nil
}

func (c control) GetCounters(context.Context, *standinpb.GetCountersRequest) (*standinpb.Counters, error) {
	n := c.server.Counters()
	return &standinpb.Counters{
		Gets: n.Gets, Ranges: n.Ranges, Puts: n.Puts, Deletes: n.Deletes, Grants: n.Grants, KeepAlives: n.KeepAlives,
		Lists: n.Lists, Watches: n.Watches, WatchesOpen: n.WatchesOpen,
	}, nil
}

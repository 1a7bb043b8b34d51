package peer

import (
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/rpc/peerpb"
)

func fromEndpointsRequest(r routing.EndpointsRequest) *peerpb.EndpointsRequest {
	m := &peerpb.EndpointsRequest{Node: r.Node, Partition: r.Partition, Version: r.Version}
	for _, d := range r.Demand {
		m.Demand = append(m.Demand, &peerpb.ServiceDemand{Service: d.Service, Open: d.Open, Waiting: d.Waiting})
	}
	return m
}

func toEndpointsRequest(m *peerpb.EndpointsRequest) routing.EndpointsRequest {
	r := routing.EndpointsRequest{Node: m.GetNode(), Partition: m.GetPartition(), Version: m.GetVersion()}
	for _, d := range m.GetDemand() {
		r.Demand = append(r.Demand, routing.ServiceDemand{Service: d.GetService(), Open: d.GetOpen(), Waiting: d.GetWaiting()})
	}
	return r
}

func fromEndpointSet(s routing.EndpointSet) *peerpb.EndpointSet {
	m := &peerpb.EndpointSet{Partition: s.Partition, Version: s.Version, Unchanged: s.Unchanged, PermitTtlMs: s.PermitTTLMS}
	for _, e := range s.Endpoints {
		m.Endpoints = append(m.Endpoints, &peerpb.Endpoint{Job: string(e.Instance.Job), Index: e.Instance.Index,
			Attempt: e.Attempt, Service: e.Service, Worker: e.Worker, Zone: e.Zone, Address: e.Address,
			Draining: e.Draining, Permits: e.Permits, Connections: e.Connections})
	}
	return m
}

func toEndpointSet(m *peerpb.EndpointSet) routing.EndpointSet {
	s := routing.EndpointSet{Partition: m.GetPartition(), Version: m.GetVersion(), Unchanged: m.GetUnchanged(),
		PermitTTLMS: m.GetPermitTtlMs()}
	for _, e := range m.GetEndpoints() {
		s.Endpoints = append(s.Endpoints, routing.Endpoint{Instance: job.TaskID{Job: job.ID(e.GetJob()), Index: e.GetIndex()},
			Attempt: e.GetAttempt(), Service: e.GetService(), Worker: e.GetWorker(), Zone: e.GetZone(), Address: e.GetAddress(),
			Draining: e.GetDraining(), Permits: e.GetPermits(), Connections: e.GetConnections()})
	}
	return s
}

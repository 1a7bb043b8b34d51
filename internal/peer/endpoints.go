package peer

import (
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/rpc/peerpb"
)

func fromEndpointsRequest(r routing.EndpointsRequest) *peerpb.EndpointsRequest {
	m := &peerpb.EndpointsRequest{Node: r.Node, Partition: r.Partition, Version: r.Version, Settled: r.Settled,
		HoldingsNonce: r.HoldingsNonce}
	for _, d := range r.Demand {
		m.Demand = append(m.Demand, &peerpb.ServiceDemand{Service: d.Service, Open: d.Open, Waiting: d.Waiting})
	}
	for _, h := range r.Holdings {
		m.Holdings = append(m.Holdings, &peerpb.Holding{Job: string(h.Instance.Job), Index: h.Instance.Index, Attempt: h.Attempt,
			Worker: h.Worker, Permits: h.Permits, Connections: h.Connections})
	}
	return m
}

func toEndpointsRequest(m *peerpb.EndpointsRequest) routing.EndpointsRequest {
	r := routing.EndpointsRequest{Node: m.GetNode(), Partition: m.GetPartition(), Version: m.GetVersion(), Settled: m.GetSettled(),
		HoldingsNonce: m.GetHoldingsNonce()}
	for _, d := range m.GetDemand() {
		r.Demand = append(r.Demand, routing.ServiceDemand{Service: d.GetService(), Open: d.GetOpen(), Waiting: d.GetWaiting()})
	}
	for _, h := range m.GetHoldings() {
		r.Holdings = append(r.Holdings, routing.Holding{Instance: job.TaskID{Job: job.ID(h.GetJob()), Index: h.GetIndex()},
			Attempt: h.GetAttempt(), Worker: h.GetWorker(), Permits: h.GetPermits(), Connections: h.GetConnections()})
	}
	return r
}

func fromEndpointSet(s routing.EndpointSet) *peerpb.EndpointSet {
	m := &peerpb.EndpointSet{Partition: s.Partition, Version: s.Version, Unchanged: s.Unchanged, PermitTtlMs: s.PermitTTLMS,
		HoldingsNonce: s.HoldingsNonce}
	for _, e := range s.Endpoints {
		m.Endpoints = append(m.Endpoints, &peerpb.Endpoint{Job: string(e.Instance.Job), Index: e.Instance.Index,
			Attempt: e.Attempt, Service: e.Service, Worker: e.Worker, Zone: e.Zone, Address: e.Address,
			Draining: e.Draining, Permits: e.Permits, Connections: e.Connections})
	}
	return m
}

func toEndpointSet(m *peerpb.EndpointSet) routing.EndpointSet {
	s := routing.EndpointSet{Partition: m.GetPartition(), Version: m.GetVersion(), Unchanged: m.GetUnchanged(),
		PermitTTLMS: m.GetPermitTtlMs(), HoldingsNonce: m.GetHoldingsNonce()}
	for _, e := range m.GetEndpoints() {
		s.Endpoints = append(s.Endpoints, routing.Endpoint{Instance: job.TaskID{Job: job.ID(e.GetJob()), Index: e.GetIndex()},
			Attempt: e.GetAttempt(), Service: e.GetService(), Worker: e.GetWorker(), Zone: e.GetZone(), Address: e.GetAddress(),
			Draining: e.GetDraining(), Permits: e.GetPermits(), Connections: e.GetConnections()})
	}
	return s
}

// Package routing selects the service instance that serves a request, and decides whether a failed attempt may be
// retried.
package routing

import "sequoiastall/internal/core/job"

// Endpoint is a service instance that a router can send requests to.
type Endpoint struct {
	Instance    job.TaskID
	Attempt     int32
	Service     string
	Worker      string // host ID
	Zone        string
	Address     string // IP:port
	Draining    bool   // gets no new requests
	Permits     int32  // maximum number of open requests that the receiving node may have at the instance
	Connections int32  // maximum number of connections that the receiving node may have to the worker
}

// EndpointsRequest asks a partition's owner for its endpoints and renews the node's permits there.
type EndpointsRequest struct {
	Node      string
	Partition string
	Version   uint64          // version that the node has applied, 0 for none
	Demand    []ServiceDemand // open and waiting requests at the node
	// Settled is the latest version whose grants the node's open requests don't exceed. The permits that a version
	// withdraws are granted to another node only once Settled has reached that version: after merely applying it
	// (Version), the node may still have more requests open.
	Settled uint64
	// Holdings reports the node's grants to a new owner that asked for them with HoldingsNonce.
	Holdings      []Holding
	HoldingsNonce uint64
}

// Holding is a node's last grant for an instance and for the connections to its worker, or its use if that is larger.
type Holding struct {
	Instance    job.TaskID
	Attempt     int32
	Worker      string
	Permits     int32
	Connections int32
}

// ServiceDemand is a node's demand for permits of a service.
type ServiceDemand struct {
	Service string
	Open    int32
	Waiting int32
}

// EndpointSet is the response to an EndpointsRequest: every endpoint of the partition with the requesting node's
// permits. The permits are valid for PermitTTLMS from the time at which the request was sent.
type EndpointSet struct {
	Partition   string
	Version     uint64
	Unchanged   bool // the node has this version already, so Endpoints is empty
	Endpoints   []Endpoint
	PermitTTLMS int64
	// HoldingsNonce, if not 0, asks for the node's Holdings in its next request. A new owner has no record of what
	// the previous one granted, so nodes keep the grants that they report.
	HoldingsNonce uint64
}

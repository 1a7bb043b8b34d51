// Package routing decides which service instance serves a request, and whether a failed try may be repeated.
package routing

import "sequoiastall/internal/core/job"

// Endpoint is a service instance as a router sees it.
type Endpoint struct {
	Instance    job.TaskID
	Attempt     int32
	Service     string
	Worker      string // host ID
	Zone        string
	Address     string // IP:port
	Draining    bool   // gets no new requests
	Permits     int32  // requests that the receiving node may have open at the instance
	Connections int32  // connections that the receiving node may have open to the worker
}

// EndpointsRequest asks an owner for the endpoints of a partition and renews the node's permits there.
type EndpointsRequest struct {
	Node      string
	Partition string
	Version   uint64          // version that the node has applied, 0 for none
	Demand    []ServiceDemand // open and waiting requests at the node
	// Settled is the latest version whose grants the node's open requests keep to. A lowered grant passes to another
	// node only when this reaches the version that lowered it: at Version itself more requests may still be open.
	Settled uint64
	// Holdings is the node's report to a new owner that asked for it with HoldingsNonce.
	Holdings      []Holding
	HoldingsNonce uint64
}

// Holding is what a node was last granted, or still uses, of an instance and of its worker's connections.
type Holding struct {
	Instance    job.TaskID
	Attempt     int32
	Worker      string
	Permits     int32
	Connections int32
}

// ServiceDemand is a node's need of permits for a service.
type ServiceDemand struct {
	Service string
	Open    int32
	Waiting int32
}

// EndpointSet is the answer: every endpoint of the partition with the permits of the asking node. Permits hold for
// PermitTTLMS from the moment the request was sent.
type EndpointSet struct {
	Partition   string
	Version     uint64
	Unchanged   bool // Endpoints is empty because the version is the one the node has
	Endpoints   []Endpoint
	PermitTTLMS int64
	// HoldingsNonce, if not 0, asks for the node's Holdings in its next request. A new owner doesn't know what the
	// former one granted, and lets the nodes keep what they report.
	HoldingsNonce uint64
}

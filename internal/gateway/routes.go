package gateway

import (
	"time"

	"sequoiastall/internal/core/routing"
)

// Routes is the node's access to the gateway's route table; *Router implements it.
type Routes interface {
	// Apply replaces the endpoints of a partition. The permits hold from sentAt, when the request was sent.
	Apply(set routing.EndpointSet, sentAt time.Time)
	// Request returns the node's next request to the owner of a partition, with version, settled version, demand and
	// holdings. Take the time before the call as sentAt of Apply.
	Request(node, partition string) routing.EndpointsRequest
	// Demand returns the open and waiting requests by service, for the node's next EndpointsRequest.
	// Call it at least once a second: it also closes idle connections whose permits have lapsed.
	Demand() []routing.ServiceDemand
	// Remove forgets a partition that no longer exists; open requests end normally.
	Remove(partition string)
}

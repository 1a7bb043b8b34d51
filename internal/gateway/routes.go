package gateway

import (
	"time"

	"sequoiastall/internal/core/routing"
)

// Routes is the node's interface to the gateway's route table, implemented by *Router.
type Routes interface {
	// Apply replaces the endpoints of a partition. The permits' validity starts at sentAt, when the request was sent.
	Apply(set routing.EndpointSet, sentAt time.Time)
	// Request returns the node's next request to the owner of a partition, with version, settled version, demand and
	// holdings. Pass a time taken before the call as sentAt of Apply.
	Request(node, partition string) routing.EndpointsRequest
	// Demand returns the open and waiting requests by service, for the node's next EndpointsRequest.
	// It must be called at least once a second, because it also closes idle connections whose permits have expired.
	Demand() []routing.ServiceDemand
	// Remove deletes a partition that no longer exists; open requests end normally.
	Remove(partition string)
}

// Package peer carries the calls between ingress nodes over grpc: Client implements port.Peers, Server serves a
// port.PeerHandler.
package peer

import (
	"time"

	"google.golang.org/grpc/stats"

	"sequoiastall/internal/telemetry"
)

const (
	defaultCallTimeout = time.Second
	// The longest hold of an Endpoints call at the owner has to stay below this.
	defaultPollTimeout = 5 * time.Second
	// grpc does not ping more often than this. Silence during calls is found sooner, by their timeouts.
	pingEvery   = 10 * time.Second
	pingTimeout = 2 * time.Second
	// minPingInterval leaves room for jitter: a server closes connections whose pings come faster.
	minPingInterval = 5 * time.Second
	// shortestSilence keeps callers with very short deadlines from replacing connections that are merely slow.
	shortestSilence  = 200 * time.Millisecond
	reconnectBase    = 100 * time.Millisecond
	reconnectMax     = time.Second
	reconnectFactor  = 1.6
	reconnectJitter  = 0.2
	connectTimeout   = time.Second
	maxStreams       = 256
	maxMessageBytes  = 4 << 20 // a configuration document is at most 1 MB
	flowWindowBytes  = 1 << 20 // fixed, so that grpc sends no bandwidth probes
	bufferBytes      = 16 << 10
	gracefulStopWait = 5 * time.Second
)

// Options of a Client or Server. Zero fields take their defaults.
type Options struct {
	CallTimeout time.Duration   // of each call but Endpoints
	PollTimeout time.Duration   // of Endpoints
	Stats       stats.Handler   // observes messages, may be nil
	Wire        *telemetry.Wire // counts bytes, may be nil
}

func (o Options) withDefaults() Options {
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.PollTimeout == 0 {
		o.PollTimeout = defaultPollTimeout
	}
	return o
}

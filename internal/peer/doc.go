// Package peer implements the calls between ingress nodes over gRPC: Client implements port.Peers, Server serves a
// port.PeerHandler.
package peer

import (
	"time"

	"google.golang.org/grpc/stats"

	"sequoiastall/internal/telemetry"
)

const (
	defaultCallTimeout = time.Second
	// The owner must not delay the reply to an Endpoints call for longer than this.
	defaultPollTimeout = 5 * time.Second
	// gRPC doesn't ping more often than this. A connection that no longer responds is detected sooner by the timeouts of
	// calls.
	pingInterval = 10 * time.Second
	pingTimeout  = 2 * time.Second
	// minPingInterval leaves room for jitter: the server closes connections that send pings more often.
	minPingInterval = 5 * time.Second
	// minSilence is how long a timed-out call must have waited for its connection to be replaced. It keeps callers with
	// very short deadlines from replacing connections that are merely slow.
	minSilence       = 200 * time.Millisecond
	reconnectBase    = 100 * time.Millisecond
	reconnectMax     = time.Second
	reconnectFactor  = 1.6
	reconnectJitter  = 0.2
	connectTimeout   = time.Second
	maxStreams       = 256
	maxMessageBytes  = 4 << 20 // a configuration document is at most 1 MB
	flowWindowBytes  = 1 << 20 // fixed, so that gRPC sends no bandwidth probes
	bufferBytes      = 16 << 10
	gracefulStopWait = 5 * time.Second
)

// Options configures a Client or Server. Zero timeouts mean the defaults.
type Options struct {
	CallTimeout     time.Duration              // of every call except Endpoints
	PollTimeout     time.Duration              // of Endpoints
	Stats           stats.Handler              // observes messages, may be nil
	TrafficCounters *telemetry.TrafficCounters // counts bytes, may be nil
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

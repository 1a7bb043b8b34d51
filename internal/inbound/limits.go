package inbound

import "time"

// Limits bounds the connections of one port.
type Limits struct {
	// Port is the name of the port in metrics and log lines.
	Port string
	// Conns is the number of connections that are open at a time.
	Conns int
	// Memory is what all connections may occupy together, in bytes.
	Memory int64
	// ConnMemory is what each connection occupies without a request, in bytes.
	ConnMemory int64
	// ReceiveBuffer bounds the received bytes of a connection that the process hasn't read yet.
	ReceiveBuffer int
	// ReadBuffer is the size of the server's buffer for reading, in bytes. A read that asks for as much shows that the
	// server has used up what it read before. It is 0 if the server tells that itself.
	ReadBuffer int
	// Silence is how long a connection stays open without a complete message of its peer. It is 0 where the server has
	// timeouts of its own.
	Silence time.Duration
	// Charge returns what bytes occupy that were read and may be the beginning of a message.
	Charge func(b []byte) int64
	// MaxCharge bounds what Charge counts for one connection. It is 0 if nothing bounds it.
	MaxCharge int64
}

// Machine is the part of a machine that a process may use.
type Machine struct {
	Memory  int64 // bytes
	Sockets int   // descriptors
}

// Shares of a machine.
const (
	callerMemoryShare = 5 // a fifth
	peerMemoryShare   = 6
	callerSocketShare = 0.4
	peerSocketShare   = 0.25
	// runtimeMemoryShare is the share of the memory that the Go runtime may use. The rest is for the kernel's buffers, the
	// program's text and memory that the runtime doesn't count.
	runtimeMemoryShare = 0.65
)

const (
	// receiveBuffer is the size of a socket's receive buffer, in bytes.
	receiveBuffer = 16 << 10
	// callerConnMemory is for a goroutine, the buffers for reading and writing, and the receive buffer.
	callerConnMemory = 56 << 10
	// peerConnMemory is for the goroutines and buffers of a connection of grpc.
	peerConnMemory = 40 << 10
	// metricsConnMemory includes a response with all metrics.
	metricsConnMemory = 256 << 10
	// smallPortMemory is for all connections of a port that has no callers.
	smallPortMemory = 8 << 20
	readinessConns  = 64
	metricsConns    = 16
	// peerSilence is how long the connection of another node stays open without a message. Members send one each 100 ms.
	peerSilence = time.Minute
)

// CallerLimits returns the limits of the port for callers.
func (m Machine) CallerLimits() Limits {
	return Limits{Port: "callers", Conns: int(callerSocketShare * float64(m.Sockets)), Memory: m.Memory / callerMemoryShare,
		ConnMemory: callerConnMemory, ReceiveBuffer: receiveBuffer, ReadBuffer: HeadBytes, Charge: headCharge, MaxCharge: maxHeadCharge}
}

// ReadinessLimits returns the limits of the port for readiness checks.
func (m Machine) ReadinessLimits() Limits {
	return Limits{Port: "readiness", Conns: readinessConns, Memory: smallPortMemory, ConnMemory: callerConnMemory,
		ReceiveBuffer: receiveBuffer, ReadBuffer: HeadBytes, Charge: headCharge, MaxCharge: maxHeadCharge}
}

// MetricsLimits returns the limits of the port for metrics.
func (m Machine) MetricsLimits() Limits {
	return Limits{Port: "metrics", Conns: metricsConns, Memory: smallPortMemory, ConnMemory: metricsConnMemory,
		ReceiveBuffer: receiveBuffer, ReadBuffer: HeadBytes, Charge: headCharge, MaxCharge: maxHeadCharge}
}

// PeerLimits returns the limits of the port for other nodes.
func (m Machine) PeerLimits() Limits {
	return Limits{Port: "peers", Conns: int(peerSocketShare * float64(m.Sockets)), Memory: m.Memory / peerMemoryShare,
		ConnMemory: peerConnMemory, Silence: peerSilence, Charge: func(b []byte) int64 { return int64(len(b)) }}
}

// RuntimeMemory returns the limit for the memory of the Go runtime, in bytes.
func (m Machine) RuntimeMemory() int64 { return int64(runtimeMemoryShare * float64(m.Memory)) }

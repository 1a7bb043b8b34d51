package inbound

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

const (
	// callMemory is what the server keeps for a call besides its message, in bytes.
	callMemory = 16 << 10
	// messageOverhead bounds the bytes that come with a message besides its own: frames, headers, pings.
	messageOverhead = 256
	// replyCopies is how many times its size a reply occupies: its encoding, in a buffer of the next larger kind.
	replyCopies = 3
)

// CallStats charges the connections of a Listener for what a server of grpc has read of incomplete messages, and for
// calls.
type CallStats struct{}

type connKey struct{}

// peerAddr is the address of a peer. It tells to which connection it belongs, because grpc passes on only the address.
type peerAddr struct {
	net.Addr
	conn *Conn
}

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return peerAddr{c.Conn.RemoteAddr(), c} }

// TagConn implements stats.Handler.
func (CallStats) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	if a, ok := info.RemoteAddr.(peerAddr); ok {
		return context.WithValue(ctx, connKey{}, a.conn)
	}
	return ctx
}

// HandleConn implements stats.Handler.
func (CallStats) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (CallStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (CallStats) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.Begin:
		if err := c.reserveRequest(callMemory); err != nil {
			_ = c.Conn.Close() // ends the call; fails only if it is closed already
		}
	case *stats.InPayload:
		c.progress.Store(now())
		c.release(int64(s.WireLength) + messageOverhead)
	case *stats.End:
		c.releaseRequest(callMemory)
	}
}

// ChargeReplies is an interceptor that charges the connections of a Listener for replies until they are written. A peer
// that doesn't read them would otherwise make the server keep as many as it has calls.
func ChargeReplies(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	reply, err := handle(ctx, request)
	c, ok := ctx.Value(connKey{}).(*Conn)
	if err != nil || !ok {
		return reply, err
	}
	if m, ok := reply.(proto.Message); ok {
		if err := c.reserveReply(int64(replyCopies * proto.Size(m))); err != nil {
			return nil, status.Error(codes.ResourceExhausted, err.Error())
		}
	}
	return reply, nil
}

package inbound

import (
	"math"
	"net"
	"sync/atomic"
	"time"
)

// Conn is a connection of a Listener. Its server reads and writes it from one goroutine each.
type Conn struct {
	net.Conn
	listener *Listener
	progress atomic.Int64 // now() when it was accepted or last completed a message
	idle     atomic.Bool  // the peer has sent no part of a message
	waiting  atomic.Int32 // reads and writes that wait for the peer
	serving  atomic.Bool  // the handler reads a body and charges the connection for it
	ended    atomic.Bool  // a request was served and the next one hasn't begun

	replying atomic.Bool // it has been charged for replies

	// Guarded by the listener's mu.
	held    int64 // bytes that it is charged for
	evicted bool
	read    int64 // part of held: what was read of a message
	request int64 // part of held: a request that is being served, and calls
	replies int64 // part of held: replies to calls that aren't written yet
}

// started is the origin of now.
var started = time.Now()

// now returns a monotonic time in nanoseconds.
func now() int64 { return int64(time.Since(started)) }

// mayLeave reports whether a connection can be closed for others. The caller holds the listener's mu.
func (c *Conn) mayLeave() bool { return !c.evicted && c.waiting.Load() > 0 }

// Read implements net.Conn. It charges the connection for what it returns, and fails with ErrBusy if there is no room.
func (c *Conn) Read(b []byte) (int, error) {
	if size := c.listener.limits.ReadBuffer; size > 0 && len(b) >= size && c.ended.Swap(false) {
		c.release(math.MaxInt64) // the buffer is empty, so nothing was read of the next request
		c.idle.Store(true)
	}
	c.waiting.Add(1)
	n, err := c.Conn.Read(b)
	c.waiting.Add(-1)
	if n > 0 {
		c.idle.Store(false)
	}
	if n > 0 && !c.serving.Load() {
		if err := c.chargeRead(b[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// chargeRead charges the connection for bytes that were read. Only its reader calls it.
func (c *Conn) chargeRead(b []byte) error {
	charge := c.listener.limits.Charge(b)
	if most := c.listener.limits.MaxCharge; most > 0 {
		charge = min(charge, most-c.read)
	}
	return c.listener.reserve(c, &c.read, charge)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.waiting.Add(1)
	defer c.waiting.Add(-1)
	n, err := c.Conn.Write(b)
	if err == nil {
		c.progress.Store(now())
	}
	if c.replying.Load() {
		c.listener.release(c, &c.replies, int64(replyCopies*n))
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.listener.remove(c)
	return err
}

// release ends charges for what was read of a message, at most so many bytes.
func (c *Conn) release(bytes int64) { c.listener.release(c, &c.read, bytes) }

// reserveRequest charges the connection for a request that is being served.
func (c *Conn) reserveRequest(bytes int64) error { return c.listener.reserve(c, &c.request, bytes) }

// releaseRequest ends charges of reserveRequest, at most so many bytes.
func (c *Conn) releaseRequest(bytes int64) { c.listener.release(c, &c.request, bytes) }

// reserveReply charges the connection for a reply. Each written byte ends replyCopies bytes of the charge.
func (c *Conn) reserveReply(bytes int64) error {
	c.replying.Store(true)
	return c.listener.reserve(c, &c.replies, bytes)
}

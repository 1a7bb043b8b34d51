package inbound

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/telemetry"
)

const (
	// graceTime is how long a connection may take for its first message before it can be closed for the sake of another.
	graceTime = 20 * time.Millisecond
	// roomInterval is the pause between two checks whether connections that were closed have released what they held.
	roomInterval = 2 * time.Millisecond
	// roomTimeout bounds the wait for room for a request.
	roomTimeout = time.Second
	// minConns and yieldedNumerator/yieldedDenominator bound to which number of connections a port without descriptors
	// goes back.
	minConns                             = 16
	yieldedNumerator, yieldedDenominator = 3, 4
	// silenceInterval is the pause between two searches for silent connections.
	silenceInterval = time.Second
)

// ErrBusy means that there is no memory for a request: the others that wait hold less.
var ErrBusy = errors.New("too many requests at the same time")

// Listener accepts the connections of one port within its limits.
type Listener struct {
	net.Listener
	limits Limits
	report *report
	closed chan struct{}
	once   sync.Once

	mu          sync.Mutex
	conns       map[*Conn]struct{}
	held        int64 // bytes, by all connections
	leaving     int   // connections that were closed and still hold what they held
	leavingHeld int64 // bytes
}

// Listen listens on a TCP address. The limits take effect at once; the metrics and log lines tell what they refused.
func Listen(address string, limits Limits, log *slog.Logger, metrics *telemetry.Registry) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return setReceiveBuffer(raw, limits.ReceiveBuffer) }}
	inner, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", limits.Port)
	}
	l := &Listener{Listener: inner, limits: limits, closed: make(chan struct{}), conns: map[*Conn]struct{}{}}
	l.report = newReport(limits.Port, log, metrics, l.usage)
	if limits.Silence > 0 {
		go l.closeSilent()
	}
	return l, nil
}

// setReceiveBuffer sets the receive buffer that the accepted connections inherit.
func setReceiveBuffer(raw syscall.RawConn, bytes int) error {
	if bytes == 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
	if err == nil {
		err = failed
	}
	return errors.Wrap(err, "set the receive buffer")
}

// Accept implements net.Listener. It waits until there is room for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	for ; isShortage(err); inner, err = l.Listener.Accept() {
		l.yieldDescriptors()
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(roomInterval):
		}
	}
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: inner, listener: l}
	c.progress.Store(now())
	c.idle.Store(true)
	for !l.admit(c) {
		select {
		case <-l.closed:
			_ = inner.Close() // it was never used
			return nil, net.ErrClosed
		case <-time.After(roomInterval):
		}
	}
	return c, nil
}

// isShortage reports whether accepting a connection failed for want of descriptors or memory of the machine.
func isShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// yieldDescriptors lowers the number of connections below that at which the descriptors ran out, and closes one. The
// process needs some for connections of its own.
func (l *Listener) yieldDescriptors() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Conns = max(min(l.limits.Conns, len(l.conns)*yieldedNumerator/yieldedDenominator), minConns)
	if len(l.conns)-l.leaving > l.limits.Conns {
		l.evict(l.oldest(anyConn), reasonDescriptors)
	}
}

// Close implements net.Listener. The connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// admit adds a connection if there is room for it. If there isn't, it closes another one, which makes room soon.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	need := l.limits.ConnMemory
	if len(l.conns) < l.limits.Conns && l.held+need <= l.limits.Memory {
		l.conns[c] = struct{}{}
		l.hold(c, need)
		return true
	}
	switch {
	case len(l.conns)-l.leaving >= l.limits.Conns:
		l.evict(l.oldest(anyConn), reasonConns)
	case l.held-l.leavingHeld+need > l.limits.Memory:
		l.evict(l.victim(need), reasonMemory)
	}
	return false
}

// reserve charges a connection for further bytes, and adds them to a part of its charge. It makes room for them, or fails
// with ErrBusy. It fails with net.ErrClosed if the connection was closed for the sake of others.
func (l *Listener) reserve(c *Conn, part *int64, bytes int64) error {
	done, err := l.tryReserve(c, part, bytes)
	if done || err != nil {
		return err
	}
	for end := time.Now().Add(roomTimeout); !done && err == nil; done, err = l.tryReserve(c, part, bytes) {
		if time.Now().After(end) {
			l.report.add(reasonBusy)
			return ErrBusy
		}
		time.Sleep(roomInterval)
	}
	return err
}

func (l *Listener) tryReserve(c *Conn, part *int64, bytes int64) (done bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.evicted:
		return false, net.ErrClosed
	case l.held+bytes <= l.limits.Memory:
		*part += bytes
		l.hold(c, bytes)
		return true, nil
	case l.held-l.leavingHeld+bytes <= l.limits.Memory:
		return false, nil // soon
	}
	v := l.victim(c.held + bytes)
	if v == nil {
		l.report.add(reasonBusy)
		return false, ErrBusy
	}
	l.evict(v, reasonMemory)
	return false, nil
}

// release ends at most so many bytes of a part of a connection's charge.
func (l *Listener) release(c *Conn, part *int64, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes = min(bytes, *part)
	*part -= bytes
	l.hold(c, -bytes)
}

// hold changes what a connection is charged for. The caller holds mu.
func (l *Listener) hold(c *Conn, bytes int64) {
	c.held += bytes
	l.held += bytes
	if c.evicted {
		l.leavingHeld += bytes
	}
}

// victim returns the connection that is closed for one that would hold so many bytes, or nil. That is the largest one if it
// holds much more, else the one that has been idle for the longest, else the one that has been without a complete message
// for the longest. A connection in the middle of a message isn't closed for one that would hold much more than it. The
// caller holds mu.
func (l *Listener) victim(bytes int64) *Conn {
	var largest *Conn
	for c := range l.conns {
		if c.mayLeave() && c.held > 2*max(bytes, l.limits.ConnMemory) && (largest == nil || c.held > largest.held) {
			largest = c
		}
	}
	if largest != nil {
		return largest
	}
	if c := l.oldest(func(c *Conn) bool { return c.idle.Load() }); c != nil {
		return c
	}
	return l.oldest(func(c *Conn) bool { return 2*c.held >= bytes })
}

// oldest returns the connection that waits for its peer and has made no progress for the longest time, among those that
// match and are older than graceTime. It returns nil if there is none. The caller holds mu.
func (l *Listener) oldest(matches func(*Conn) bool) *Conn {
	var oldest *Conn
	limit := now() - int64(graceTime)
	for c := range l.conns {
		if c.mayLeave() && c.progress.Load() < limit && matches(c) && (oldest == nil || c.progress.Load() < oldest.progress.Load()) {
			oldest = c
		}
	}
	return oldest
}

// anyConn matches every connection.
func anyConn(*Conn) bool { return true }

// evict closes a connection, if there is one. It holds what it held until its server has noticed. The caller holds mu.
func (l *Listener) evict(c *Conn, why reason) {
	if c == nil {
		return
	}
	l.report.add(why)
	c.evicted = true
	l.leaving++
	l.leavingHeld += c.held
	_ = c.Conn.Close() // fails only if it is closed already
}

// remove forgets a connection that its server has closed.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	l.hold(c, -c.held)
	if c.evicted {
		l.leaving--
	}
	delete(l.conns, c)
}

// closeSilent closes connections whose peers have sent no complete message for too long.
func (l *Listener) closeSilent() {
	ticker := time.NewTicker(silenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.closed:
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		limit := now() - int64(l.limits.Silence)
		for c := range l.conns {
			if !c.evicted && c.progress.Load() < limit {
				l.evict(c, reasonSilence)
			}
		}
		l.mu.Unlock()
	}
}

// usage returns the number of connections and the bytes that they hold.
func (l *Listener) usage() (conns int, held int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.held
}

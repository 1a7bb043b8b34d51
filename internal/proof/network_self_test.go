package proof

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echoThrough returns a network, the link of this process to a server that echoes, and a connection over it.
func echoThrough(t *testing.T) (*network, *link, net.Conn) {
	t.Helper()
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	n := newNetwork(t, "127.0.0.1")
	t.Cleanup(func() { _ = server.Close() })
	n.dialers.set(os.Getpid(), "self")
	n.wg.Go(func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			n.wg.Go(func() { _, _ = io.Copy(c, c); _ = c.Close() })
		}
	})
	conn, err := net.Dial("tcp4", n.relayTo("echo", server.Addr().String()))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.Equal(t, exchange(t, conn, time.Second), "x")
	return n, n.link("self", "echo"), conn
}

// exchange sends a byte and returns what comes back until the timeout.
func exchange(t *testing.T, conn net.Conn, timeout time.Duration) string {
	t.Helper()
	_, err := conn.Write([]byte("x"))
	assert.NilError(t, err)
	return receive(t, conn, timeout)
}

func receive(t *testing.T, conn net.Conn, timeout time.Duration) string {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(timeout)))
	buffer := make([]byte, 10)
	n, _ := conn.Read(buffer) // at the deadline nothing has come
	return string(buffer[:n])
}

// The faults of a link must reach the connections of the process that dials, or the soak shows nothing.
func TestLinkFaults(t *testing.T) {
	const short = 200 * time.Millisecond
	t.Run("held data comes late", func(t *testing.T) {
		_, l, conn := echoThrough(t)
		l.requests.held.Store(true)
		assert.Equal(t, exchange(t, conn, short), "")
		l.heal()
		assert.Equal(t, receive(t, conn, time.Second), "x")
	})
	t.Run("a connection that lost data stays silent", func(t *testing.T) {
		_, l, conn := echoThrough(t)
		l.responses.lost.Store(true)
		assert.Equal(t, exchange(t, conn, short), "")
		l.heal()
		assert.Equal(t, exchange(t, conn, short), "")
	})
	t.Run("silence spares new connections", func(t *testing.T) {
		_, l, conn := echoThrough(t)
		l.silence()
		assert.Equal(t, exchange(t, conn, short), "")
		again, err := net.Dial("tcp4", conn.RemoteAddr().String())
		assert.NilError(t, err)
		defer again.Close()
		assert.Equal(t, exchange(t, again, time.Second), "x")
	})
	t.Run("a refused connection is reset", func(t *testing.T) {
		_, l, conn := echoThrough(t)
		l.refusing.Store(true)
		l.closeConns(true)
		assert.Equal(t, receive(t, conn, time.Second), "")
		again, err := net.Dial("tcp4", conn.RemoteAddr().String())
		assert.NilError(t, err)
		defer again.Close()
		_, err = again.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "reset")
	})
	t.Run("a target that is down refuses connections", func(t *testing.T) {
		n, _, conn := echoThrough(t)
		n.refuse("echo")
		assert.Equal(t, receive(t, conn, time.Second), "")
		_, err := net.Dial("tcp4", conn.RemoteAddr().String())
		assert.ErrorContains(t, err, "refused")
		n.allow("echo")
		again, err := net.Dial("tcp4", conn.RemoteAddr().String())
		assert.NilError(t, err)
		defer again.Close()
		assert.Equal(t, exchange(t, again, time.Second), "x")
	})
}

package gateway

import (
	"io"
	"net"
	"time"
)

// Limits for discarding data that a caller still sends after the last response.
const (
	lingerTimeout  = time.Second
	maxLingerBytes = 16 << 20
)

// lingerListener accepts connections with a lingering close. Closing a connection with unread data, such as the rest of
// an oversized body, resets it, and the caller may never receive the error response. Close therefore shuts down the
// write side and discards what the caller still sends.
type lingerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return lingerConn{tcp}, err
	}
	return c, err
}

type lingerConn struct{ *net.TCPConn }

// Close implements net.Conn. It doesn't block: the rest of the input is discarded in the background.
func (c lingerConn) Close() error {
	if err := c.CloseWrite(); err != nil {
		return c.TCPConn.Close()
	}
	if err := c.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return c.TCPConn.Close()
	}
	go func() {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.TCPConn, maxLingerBytes))
		c.TCPConn.Close()
	}()
	return nil
}

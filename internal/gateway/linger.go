package gateway

import (
	"io"
	"net"
	"time"
)

// Limits of reading what a caller still sends after the last answer.
const (
	lingerTime  = time.Second
	lingerBytes = 16 << 20
)

// lingerListener closes connections in such a way that the last answer arrives. Closing one with unread data, as after
// an oversized body, resets it, and the caller may lose the error that says why.
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

// Close implements net.Conn. It doesn't wait.
func (c lingerConn) Close() error {
	if err := c.CloseWrite(); err != nil {
		return c.TCPConn.Close()
	}
	if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return c.TCPConn.Close()
	}
	go func() {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.TCPConn, lingerBytes))
		c.TCPConn.Close()
	}()
	return nil
}

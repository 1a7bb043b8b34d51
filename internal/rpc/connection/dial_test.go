package connection

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/rpc/platformpb"
)

// closeCounter counts the calls of Close.
type closeCounter struct {
	net.Conn
	closed int
}

func (c *closeCounter) Close() error {
	c.closed++
	return nil
}

// Guards against a lost SYN, which the system repeats after 1 s, making every call fail whose timeout is 500 ms.
func TestLostSYNDelaysConnectionByOneInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := &closeCounter{}, &closeCounter{}
		var dials atomic.Int64
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		start := time.Now()
		c, err := dialFirst(ctx, func(context.Context) (net.Conn, error) {
			if dials.Add(1) == 1 {
				time.Sleep(time.Second)
				return first, nil
			}
			return second, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, c, net.Conn(second))
		assert.Equal(t, time.Since(start), dialInterval)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, first.closed, 1, "the late connection must be closed")
		assert.Equal(t, second.closed, 0)
		assert.Equal(t, dials.Load(), int64(2))
	})
}

// pipeListener accepts the connections that are sent to it.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error {
	close(l.done)
	return nil
}

func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a first call that fails with "not sent" after its timeout because the connection's SYN was lost.
func TestFirstCallSucceedsAfterLostSYN(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := pipeListener{make(chan net.Conn), make(chan struct{})}
		server, served := grpc.NewServer(), make(chan error, 1)
		platformpb.RegisterHostListServer(server, platformpb.UnimplementedHostListServer{})
		go func() { served <- server.Serve(l) }()
		defer func() {
			server.Stop()
			assert.NilError(t, <-served)
		}()
		var dials atomic.Int64
		c, err := New("127.0.0.1:1", Options{dial: func(ctx context.Context, _ string) (net.Conn, error) {
			if dials.Add(1) == 1 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			near, far := net.Pipe()
			l.conns <- far
			return near, nil
		}})
		assert.NilError(t, err)
		defer func() { assert.NilError(t, c.Close()) }()
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err = platformpb.NewHostListClient(c).List(ctx, &platformpb.ListRequest{})
		assert.Equal(t, status.Code(err), codes.Unimplemented, "%v", err)
	})
}

// Guards against a refused connection being reported late, and against an unbounded number of attempts.
func TestDialEndsWithRefusalOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("connection refused")
		start := time.Now()
		_, err := dialFirst(t.Context(), func(context.Context) (net.Conn, error) { return nil, refused })
		assert.ErrorIs(t, err, refused)
		assert.Equal(t, time.Since(start), time.Duration(0))

		var dials atomic.Int64
		ctx, cancel := context.WithTimeout(t.Context(), connectTimeout)
		defer cancel()
		_, err = dialFirst(ctx, func(ctx context.Context) (net.Conn, error) {
			dials.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), connectTimeout)
		assert.Equal(t, dials.Load(), int64(maxDials))
		synctest.Wait()
	})
}

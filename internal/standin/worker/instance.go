package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"sequoiastall/internal/rpc/workerpb"
)

// Headers of requests to a service instance and of its responses.
const (
	HeaderDelay     = "X-Delay-Ms"           // processing time of the request
	HeaderFail      = "X-Fail"               // any value: the response is 500
	HeaderRequestID = "X-Request-Id"         // counted in the run log
	HeaderOutcome   = "Sequoiastall-Outcome" // not_run, if the request was rejected
)

// maxBodyBytes is the maximum size of the body of a request to a service instance.
const maxBodyBytes = 64 << 20

var errStartFails = errors.New("worker fails every start")

// Echo is the body of a response. Body is empty and BodyBase64 set if the request's body isn't UTF-8.
type Echo struct {
	Instance   string `json:"instance"` // job/index#attempt
	Worker     string `json:"worker"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Body       string `json:"body"`
	BodyBase64 []byte `json:"body_base64,omitempty"`
}

// instance is the HTTP server of a service instance.
type instance struct {
	worker       *Worker
	id           string
	address      string
	concurrency  int64
	listener     net.Listener
	server       *fasthttp.Server
	openRequests atomic.Int64
	draining     atomic.Bool
	ctx          context.Context // canceled when the instance ends
	cancel       context.CancelFunc
}

func (w *Worker) openInstance(id attemptID, concurrency int32) (*instance, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(w.options.InstanceIP, "0"))
	if err != nil {
		return nil, errors.Wrap(err, "instance")
	}
	i := &instance{
		worker:      w,
		id:          instanceID(id.task, id.attempt),
		address:     l.Addr().String(),
		concurrency: int64(concurrency),
		listener:    l,
	}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	i.server = &fasthttp.Server{
		Handler:               i.handle,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		MaxRequestBodySize:    maxBodyBytes,
		Logger:                printfLogger{w.options.Logger},
	}
	go func() {
		if err := i.server.Serve(w.instanceConns.wrap(l)); err != nil && i.ctx.Err() == nil && !i.draining.Load() {
			w.options.Logger.Warn("service instance stopped accepting", "instance", i.id, "error", err)
		}
	}()
	return i, nil
}

// printfLogger adapts a slog.Logger to fasthttp.Logger. fasthttp reports connections that were closed by their peer or
// by a stop, hence the debug level.
type printfLogger struct{ logger *slog.Logger }

// Printf implements fasthttp.Logger.
func (l printfLogger) Printf(format string, args ...any) {
	l.logger.Debug(fmt.Sprintf(format, args...))
}

// kill aborts every request. It closes the connections first, so that no interrupted request gets a response.
func (i *instance) kill() {
	_ = i.listener.Close()
	i.worker.instanceConns.closeByLocalAddr(i.address)
	i.cancel()
}

// closeConn closes the connection of a request that was interrupted by the end of the instance. kill misses connections
// that are accepted while it runs.
func (i *instance) closeConn(c *fasthttp.RequestCtx) {
	if err := c.Conn().Close(); err != nil {
		i.worker.options.Logger.Debug("connection of an ended instance", "instance", i.id, "error", err)
	}
}

// drain ends an attempt once its instance has responded to all open requests. Tasks without an instance end at
// once. The caller holds w.mu.
func (w *Worker) drain(t *task, now time.Time) {
	if t.instance == nil {
		w.end(t, workerpb.TaskState_STOPPED, "", now)
		return
	}
	if t.instance.draining.Swap(true) {
		return
	}
	go func() {
		if err := t.instance.server.ShutdownWithContext(t.instance.ctx); err != nil {
			w.options.Logger.Warn("drain of a service instance failed", "instance", t.instance.id, "error", err)
		}
		if w.waitUnfrozen(t.instance.ctx) != nil {
			return // the attempt has already ended in another way
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		now := time.Now()
		w.endLapsedTasks(now)
		if !t.ended {
			w.end(t, workerpb.TaskState_STOPPED, "", now)
		}
	}()
}

func (i *instance) handle(c *fasthttp.RequestCtx) {
	if i.worker.waitUnfrozen(i.ctx) != nil || i.ctx.Err() != nil {
		i.closeConn(c)
		return
	}
	openRequests := i.openRequests.Add(1)
	defer i.openRequests.Add(-1)
	if openRequests > i.concurrency || i.draining.Load() {
		c.Error("instance takes no further request", fasthttp.StatusServiceUnavailable) // Error resets the headers
		c.Response.Header.Set(HeaderOutcome, "not_run")
		return
	}
	delay, err := parseDelay(c.Request.Header.Peek(HeaderDelay))
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if id := c.Request.Header.Peek(HeaderRequestID); len(id) > 0 {
		i.worker.options.Log.recordRequest(string(id))
	}
	if !i.waitDelay(delay) {
		i.closeConn(c)
		return
	}
	if len(c.Request.Header.Peek(HeaderFail)) > 0 {
		c.Error("request asks for a failure", fasthttp.StatusInternalServerError)
		return
	}
	i.writeEcho(c)
}

func parseDelay(b []byte) (time.Duration, error) {
	if len(b) == 0 {
		return 0, nil
	}
	ms, err := strconv.ParseUint(string(b), 10, 32)
	if err != nil {
		return 0, errors.Wrap(err, HeaderDelay)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// waitDelay waits for the processing time of a request. It returns false if the instance has ended; the connection is
// then closed without a response.
func (i *instance) waitDelay(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-i.ctx.Done():
		return false
	}
	return i.worker.waitUnfrozen(i.ctx) == nil && i.ctx.Err() == nil
}

func (i *instance) writeEcho(c *fasthttp.RequestCtx) {
	e := Echo{Instance: i.id, Worker: i.worker.options.ID, Method: string(c.Method()), Path: string(c.Path())}
	if body := c.PostBody(); utf8.Valid(body) {
		e.Body = string(body)
	} else {
		e.BodyBase64 = body
	}
	out, err := json.Marshal(e)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(out)
}

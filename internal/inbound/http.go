package inbound

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// HeadBytes is the size of the largest head that is read.
	HeadBytes = 20 << 10
	// shortestLine is a header line of one byte and a colon.
	shortestLine = 4
	// lineMemory is what the server keeps for each header line besides its text, and for each name in a list, in bytes.
	lineMemory = 96
	// textCopies is how many times it keeps the text.
	textCopies    = 4
	maxHeadCharge = HeadBytes*textCopies + HeadBytes/shortestLine*lineMemory
	// keptHeadBytes is the size of a head from which on its memory isn't kept for the next request.
	keptHeadBytes = 2 << 10
)

const (
	// RequestTimeout bounds the time from the first byte of a request to the end of its head, and the time from the
	// beginning of a connection to its first request.
	RequestTimeout = 20 * time.Second
	// BodyTimeout bounds the time from the end of the head to the end of the body.
	BodyTimeout = 30 * time.Second
	// ResponseTimeout bounds the time in which the client takes a response.
	ResponseTimeout = 10 * time.Second
	// IdleTimeout is how long a connection stays open between two requests.
	IdleTimeout = 60 * time.Second
	// smallTimeout bounds a request and its response at the ports that have no callers.
	smallTimeout = 5 * time.Second
)

// retryAfterSeconds is the value of the Retry-After header of a refused request.
const retryAfterSeconds = "1"

// headCharge returns what the server occupies at most for bytes of a head.
func headCharge(b []byte) int64 {
	lines := bytes.Count(b, []byte{'\n'}) + bytes.Count(b, []byte{','})
	return int64(len(b)*textCopies + lines*lineMemory)
}

// NewHTTPServer returns a server of requests whose bodies the handler reads with ReadBody. It serves Listeners. bodyLimit
// returns the size of the largest body at present, in bytes.
func NewHTTPServer(handler fasthttp.RequestHandler, bodyLimit func() int, log *slog.Logger) *fasthttp.Server {
	s := newServer(handler, log)
	s.StreamRequestBody = true
	s.ReadTimeout, s.WriteTimeout, s.IdleTimeout = RequestTimeout, ResponseTimeout, IdleTimeout
	s.HeaderReceived = func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		refuseAnnounced(h, bodyLimit())
		return fasthttp.RequestConfig{ReadTimeout: BodyTimeout, MaxRequestBodySize: prefetchedBytes}
	}
	return s
}

// prefetchedBytes is how much of a body the server reads before it calls the handler, at least 1.
const prefetchedBytes = 1

// refusedLimitHeader marks a request whose announced body is too large, with the limit in bytes as its value.
const refusedLimitHeader = "Sequoiastall-Refused-Body-Limit"

// refuseAnnounced lets the handler be called without any of the body if that is announced as larger than the limit. The
// server would otherwise wait for its beginning.
func refuseAnnounced(h *fasthttp.RequestHeader, limit int) {
	h.Del(refusedLimitHeader)
	if h.ContentLength() > limit {
		h.Set(refusedLimitHeader, strconv.Itoa(limit))
		h.SetContentLength(0)
		h.Del("Expect")
		h.SetConnectionClose()
	}
}

// NewSmallHTTPServer returns a server of GET requests without bodies. It serves Listeners.
func NewSmallHTTPServer(handler fasthttp.RequestHandler, log *slog.Logger) *fasthttp.Server {
	s := newServer(handler, log)
	s.GetOnly, s.MaxRequestBodySize = true, 1
	s.ReadTimeout, s.WriteTimeout, s.IdleTimeout = smallTimeout, smallTimeout, IdleTimeout
	return s
}

func newServer(handler fasthttp.RequestHandler, log *slog.Logger) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: func(r *fasthttp.RequestCtx) {
			defer endRequest(r)
			handler(r)
		},
		ErrorHandler: func(r *fasthttp.RequestCtx, err error) {
			defer endRequest(r)
			Refuse(r, err)
		},
		ReadBufferSize: HeadBytes, ConnState: observeState, Logger: errorLogger{log}, DisablePreParseMultipartForm: true,
		NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true,
	}
}

// connOf returns the connection of a request, or nil if its server doesn't serve a Listener.
func connOf(r *fasthttp.RequestCtx) *Conn {
	c, _ := r.Conn().(*Conn)
	return c
}

// observeState follows the requests on a connection.
func observeState(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.ended.Store(false)
	case fasthttp.StateIdle:
		c.ended.Store(true)
	}
}

// endRequest ends the charges for a request that was served. The server keeps a request's memory for the next one, which
// would otherwise stay as large as the largest head.
func endRequest(r *fasthttp.RequestCtx) {
	if len(r.Request.Header.RawHeaders())+len(r.Request.Header.RequestURI()) > keptHeadBytes {
		r.Request = fasthttp.Request{}
	}
	if c := connOf(r); c != nil {
		c.serving.Store(false)
		c.releaseRequest(math.MaxInt64)
	}
}

// Refuse answers a request that couldn't be read and had no effect. Its connection is closed after that, because the rest
// of the request may still come.
func Refuse(r *fasthttp.RequestCtx, err error) {
	status, why := classify(err)
	if c := connOf(r); c != nil && why != reasonBusy {
		c.listener.report.add(why)
	}
	message := refusals[why]
	var bodyTooLarge *BodyTooLargeError
	if errors.As(err, &bodyTooLarge) {
		message = bodyTooLarge.Error()
	}
	r.SetConnectionClose()
	WriteError(r, status, message)
}

// WriteError answers a request with a status and the reason for it. With a status that refuses the request for the moment,
// the answer says when to come back.
func WriteError(r *fasthttp.RequestCtx, status int, reason string) {
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		r.Response.Header.Set("Retry-After", retryAfterSeconds)
	}
	text, _ := json.Marshal(struct { // of a string
		Error string `json:"error"`
	}{reason})
	r.SetStatusCode(status)
	r.SetContentType("application/json")
	r.SetBody(text)
}

var refusals = map[reason]string{
	reasonBusy:    ErrBusy.Error(),
	reasonHead:    "the head of the request is too large",
	reasonBody:    "the body is too large",
	reasonTimeout: "the request didn't arrive in time",
	reasonInvalid: "the request can't be read",
}

// classify returns the status and the reason for an error in reading a request.
func classify(err error) (int, reason) {
	var headTooLarge *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, ErrBusy):
		return fasthttp.StatusServiceUnavailable, reasonBusy
	case errors.As(err, &headTooLarge):
		return fasthttp.StatusRequestHeaderFieldsTooLarge, reasonHead
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, reasonBody
	case errors.As(err, &network) && network.Timeout():
		return fasthttp.StatusRequestTimeout, reasonTimeout
	}
	return fasthttp.StatusBadRequest, reasonInvalid
}

// errorLogger logs the server's own lines. Those about single connections, which a client could cause without end, are
// counted by Refuse instead.
type errorLogger struct{ log *slog.Logger }

// Printf implements fasthttp.Logger.
func (l errorLogger) Printf(format string, args ...any) {
	l.log.Debug("server", "format", format)
}

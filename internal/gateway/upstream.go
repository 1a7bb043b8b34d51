package gateway

import (
	"bufio"
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"sequoiastall/internal/core/routing"
)

// Headers of requests to services and of their answers.
const (
	HeaderIdempotent = "Sequoiastall-Idempotent"  // true or false
	HeaderDeadline   = "Sequoiastall-Deadline-Ms" // milliseconds that remain
	HeaderKey        = "Idempotency-Key"
	HeaderTeam       = "Sequoiastall-Team"       // set by the gateway for the instance
	HeaderRequestID  = "Sequoiastall-Request-Id" // unique per try; an instance may return it
	HeaderOutcome    = "Sequoiastall-Outcome"    // not_run in an answer: the instance didn't start the request
)

// Errors of an exchange.
var (
	errCut       = errors.New("the answer is incomplete")
	errMismatch  = errors.New("the answer belongs to another request")
	errUnlimited = errors.New("the answer has no length, so that a cut can't be recognised")
	errUpgrade   = errors.New("the instance switched protocols")
)

// maxInterim bounds the informational responses before an answer.
const maxInterim = 16

// exchange sends a request and reads its whole answer before the deadline of ctx. On an error the connection is
// closed; the outcome says what is known then. resp belongs to the caller and isn't used after the return.
func (p *pool) exchange(ctx context.Context, c *upstreamConn, req *fasthttp.Request, resp *fasthttp.Response,
	echo bool) (routing.Outcome, error) {
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		p.discard(c)
		return routing.NotRun, err
	}
	// A hedged try that lost is interrupted this way; the deadline is set anew before the connection is used again.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	outcome, err := c.roundTrip(req, resp, echo)
	if !stop() || err != nil || resp.ConnectionClose() || c.reader.Buffered() > 0 {
		p.discard(c)
	} else {
		p.put(c)
	}
	return outcome, err
}

func (c *upstreamConn) roundTrip(req *fasthttp.Request, resp *fasthttp.Response, echo bool) (routing.Outcome, error) {
	id := string(req.Header.Peek(HeaderRequestID))
	err := req.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		if !c.sent {
			return routing.NotRun, err
		}
		return routing.Unknown, err
	}
	if err = readAnswer(c.reader, resp, req.Header.IsHead()); err != nil {
		return routing.Unknown, err
	}
	if got := string(resp.Header.Peek(HeaderRequestID)); got != id && (got != "" || echo) {
		return routing.Unknown, errMismatch
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(resp.Header.Peek(HeaderOutcome)) == routing.NotRun.String() {
		return routing.NotRun, nil
	}
	return routing.Ran, nil
}

// readAnswer reads a whole answer. An answer that ends with the connection is an error, since one that was cut off
// would look the same.
func readAnswer(r *bufio.Reader, resp *fasthttp.Response, head bool) error {
	for i := 0; ; i++ {
		if err := resp.Header.Read(r); err != nil {
			return err
		}
		status := resp.StatusCode()
		if status == fasthttp.StatusSwitchingProtocols || i >= maxInterim {
			return errUpgrade
		}
		if status >= fasthttp.StatusOK {
			break
		}
	}
	status := resp.StatusCode()
	if head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		resp.SkipBody = true
		return nil
	}
	length := resp.Header.ContentLength()
	if length < -1 {
		return errUnlimited
	}
	err := resp.ReadBody(r, maxAnswerBytes)
	if err == nil && length == -1 {
		err = resp.Header.ReadTrailer(r)
	}
	if err != nil && !isTimeout(err) && !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return errors.Wrap(errCut, err.Error())
	}
	return err
}

func isTimeout(err error) bool {
	// fasthttp's timeout error isn't a net.Error.
	var n interface{ Timeout() bool }
	return errors.As(err, &n) && n.Timeout()
}

// hopByHop are the headers that concern one connection only. The key isn't passed on, and Expect was answered here.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

type header interface {
	Peek(key string) []byte
	Del(key string)
}

// stripHeaders removes the hop-by-hop headers and those that Connection names.
func stripHeaders(h header) {
	for _, name := range splitNames(h.Peek("Connection")) {
		h.Del(name)
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// outgoing prepares the request for one try. body is shared between the tries and isn't changed.
func outgoing(in *fasthttp.Request, path, team string, p routing.Pick, id string, remaining time.Duration) *fasthttp.Request {
	req := &fasthttp.Request{}
	in.Header.CopyTo(&req.Header)
	stripHeaders(&req.Header)
	for _, name := range []string{"Authorization", HeaderOutcome, HeaderTeam} {
		req.Header.Del(name)
	}
	req.Header.SetRequestURI(path)
	req.Header.SetHost(p.Address)
	req.Header.Set(HeaderRequestID, id)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if team != "" {
		req.Header.Set(HeaderTeam, team)
	}
	req.SetBodyRaw(in.Body())
	return req
}

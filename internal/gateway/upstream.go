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

// Headers of requests to services and of their responses.
const (
	HeaderIdempotent     = "Sequoiastall-Idempotent"  // true or false
	HeaderDeadline       = "Sequoiastall-Deadline-Ms" // remaining time in milliseconds
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTeam           = "Sequoiastall-Team"       // set by the gateway
	HeaderRequestID      = "Sequoiastall-Request-Id" // unique per attempt; an instance may return it
	HeaderOutcome        = "Sequoiastall-Outcome"    // not_run in a response: the instance didn't start the request
)

// Errors of an exchange with an instance.
var (
	errTruncated = errors.New("the answer is incomplete")
	errMismatch  = errors.New("the answer belongs to another request")
	errNoLength  = errors.New("the answer has no length, so that a cut can't be recognised")
	errUpgrade   = errors.New("the instance switched protocols")
)

// maxInterimResponses limits the informational (1xx) responses before the final one.
const maxInterimResponses = 16

// exchange sends a request and reads the complete response before the deadline of ctx. On an error it closes the
// connection, and the outcome says whether the request may have run. resp belongs to the caller and isn't used after
// exchange returns.
func (p *pool) exchange(ctx context.Context, c *upstreamConn, req *fasthttp.Request, resp *fasthttp.Response,
	requireID bool) (routing.Outcome, error) {
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		p.discard(c)
		return routing.NotRun, err
	}
	// This interrupts the slower of two hedged attempts. The deadline is set again before the connection is reused.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	outcome, err := c.roundTrip(req, resp, requireID)
	if !stop() || err != nil || resp.ConnectionClose() || c.reader.Buffered() > 0 {
		p.discard(c)
	} else {
		p.put(c)
	}
	return outcome, err
}

func (c *upstreamConn) roundTrip(req *fasthttp.Request, resp *fasthttp.Response, requireID bool) (routing.Outcome, error) {
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
	if err = readResponse(c.reader, resp, req.Header.IsHead()); err != nil {
		return routing.Unknown, err
	}
	if got := string(resp.Header.Peek(HeaderRequestID)); got != id && (got != "" || requireID) {
		return routing.Unknown, errMismatch
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(resp.Header.Peek(HeaderOutcome)) == routing.NotRun.String() {
		return routing.NotRun, nil
	}
	return routing.Ran, nil
}

// readResponse reads a complete response. A response delimited by the end of the connection is an error, because it
// can't be distinguished from a truncated one.
func readResponse(r *bufio.Reader, resp *fasthttp.Response, head bool) error {
	for i := 0; ; i++ {
		if err := resp.Header.Read(r); err != nil {
			return err
		}
		status := resp.StatusCode()
		if status == fasthttp.StatusSwitchingProtocols || i >= maxInterimResponses {
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
		return errNoLength
	}
	err := resp.ReadBody(r, maxResponseBytes)
	if err == nil && length == -1 {
		err = resp.Header.ReadTrailer(r)
	}
	if err != nil && !isTimeout(err) && !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return errors.Wrap(errTruncated, err.Error())
	}
	return err
}

func isTimeout(err error) bool {
	// fasthttp's timeout error isn't a net.Error.
	var n interface{ Timeout() bool }
	return errors.As(err, &n) && n.Timeout()
}

// hopByHopHeaders are headers that apply to a single connection and aren't forwarded. Expect is among them because the
// gateway has already handled it. The API key isn't forwarded either.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

type header interface {
	Peek(key string) []byte
	Del(key string)
}

// stripHopByHop removes the hop-by-hop headers and those listed in Connection.
func stripHopByHop(h header) {
	for _, name := range splitList(h.Peek("Connection")) {
		h.Del(name)
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// newUpstreamRequest builds the request for one attempt. The body of in is shared between attempts and isn't modified.
func newUpstreamRequest(in *fasthttp.Request, path, team string, p routing.Pick, id string, remaining time.Duration) *fasthttp.Request {
	req := &fasthttp.Request{}
	in.Header.CopyTo(&req.Header)
	stripHopByHop(&req.Header)
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

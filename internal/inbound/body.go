package inbound

import (
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// firstBodyBuffer is the size of the buffer with which the reading of a body begins, in bytes. It grows with what
	// arrives, not with what was announced.
	firstBodyBuffer = 4 << 10
	// bodyCopies is how many times a request occupies its body while it is served.
	bodyCopies = 4
)

// BodyTooLargeError means that a body is larger than its limit.
type BodyTooLargeError struct{ Limit int } // bytes

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the body is larger than %d bytes", e.Limit)
}

// Is reports a match with fasthttp.ErrBodyTooLarge.
func (e *BodyTooLargeError) Is(target error) bool { return target == fasthttp.ErrBodyTooLarge }

// ReadBody reads the body of a request, at most limit bytes. It fails with *BodyTooLargeError, for an announced body
// before anything of it is read, with ErrBusy if there is no memory for it, or with an error of the connection.
func ReadBody(r *fasthttp.RequestCtx, limit int) ([]byte, error) {
	if refused, err := strconv.Atoi(string(r.Request.Header.Peek(refusedLimitHeader))); err == nil {
		return nil, &BodyTooLargeError{refused}
	}
	announced := r.Request.Header.ContentLength()
	if announced > limit {
		return nil, &BodyTooLargeError{limit}
	}
	stream := r.RequestBodyStream()
	if stream == nil {
		return r.PostBody(), nil
	}
	c := connOf(r)
	if c != nil {
		c.serving.Store(true)
	}
	if announced < 0 {
		return readChunks(c, stream, limit)
	}
	body, err := readUpTo(c, stream, announced)
	if err == nil && len(body) < announced { // the library doesn't report it
		err = errors.Wrap(io.ErrUnexpectedEOF, "read the body")
	}
	return body, err
}

// readChunks reads a body of unknown size.
func readChunks(c *Conn, stream io.Reader, limit int) ([]byte, error) {
	if err := charge(c, maxHeadCharge); err != nil { // for its trailers
		return nil, err
	}
	body, err := readUpTo(c, stream, limit+1)
	if err == nil && len(body) > limit {
		err = &BodyTooLargeError{limit}
	}
	return body, err
}

// readUpTo reads a stream to its end, at most so many bytes.
func readUpTo(c *Conn, stream io.Reader, most int) ([]byte, error) {
	var body []byte
	for len(body) < most {
		if len(body) == cap(body) {
			larger := min(max(2*cap(body), firstBodyBuffer), most)
			if err := charge(c, int64(bodyCopies*(larger-cap(body)))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, larger), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read the body")
		}
	}
	return body, nil
}

func charge(c *Conn, bytes int64) error {
	if c == nil {
		return nil
	}
	return c.reserveRequest(bytes)
}

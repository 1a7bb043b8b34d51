// Package callerclient is a client of the callers' interface of an ingress node, for the commands and for dev.
package callerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/wait"
)

// retryPause is the time between two tries of a call that may be repeated.
const retryPause = 100 * time.Millisecond

// headerKey carries the idempotency key of a submission.
const headerKey = "Idempotency-Key"

// Client talks to the callers' interface of a node. It has no state of its own and may be used concurrently.
type Client struct {
	Address string // IP:port
	Secret  string // empty for none
	HTTP    *http.Client
	// Sleep waits between tries; nil for a real timer. It returns early with the error of the context.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Call sends a request and returns the body of a successful answer. It fails with *RefusalError if the gateway says
// why, and with *TransportError if there is no whole answer.
func (c *Client) Call(ctx context.Context, method, path string, header map[string]string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, &TransportError{Outcome: NotRun, Err: err}
	}
	if c.Secret != "" {
		r.Header.Set("Authorization", "Bearer "+c.Secret)
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	answer, err := c.HTTP.Do(r)
	if err != nil {
		return nil, &TransportError{Outcome: transportOutcome(err), Err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, &TransportError{Outcome: Unknown, Err: err}
	}
	if answer.StatusCode < http.StatusMultipleChoices {
		return data, nil
	}
	return nil, refusal(answer.StatusCode, data)
}

// get reads a view. A view changes nothing, so that its failure says nothing about an outcome.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var view T
	data, err := c.Call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return view, err
	}
	return view, errors.Wrap(json.Unmarshal(data, &view), "answer")
}

// pause waits between two tries and reports whether the context goes on.
func (c *Client) pause(ctx context.Context) bool {
	if c.Sleep != nil {
		return c.Sleep(ctx, retryPause) == nil
	}
	return wait.For(ctx, retryPause)
}

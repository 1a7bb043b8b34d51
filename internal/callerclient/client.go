// Package callerclient is a client for the HTTP API of an ingress node. It is used by the commands and by package dev.
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

// retryDelay is the time between two attempts of a call.
const retryDelay = 100 * time.Millisecond

// idempotencyKeyHeader carries the idempotency key of a submission.
const idempotencyKeyHeader = "Idempotency-Key"

// Client calls the HTTP API of a node. It is stateless and may be used concurrently.
type Client struct {
	Address string // IP:port
	Secret  string // API key; empty for none
	HTTP    *http.Client
	// Sleep waits between attempts; nil for a real timer. If the context ends, it returns early with the context's error.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Call sends a request and returns the body of a successful response. It fails with *ResponseError if the gateway returns
// an error response, and with *TransportError if there is no complete response.
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
	response, err := c.HTTP.Do(r)
	if err != nil {
		return nil, &TransportError{Outcome: transportOutcome(err), Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, &TransportError{Outcome: Unknown, Err: err}
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return data, nil
	}
	return nil, responseError(response.StatusCode, data)
}

// getView fetches a view. The call has no side effects, so its errors need no outcome.
func getView[T any](ctx context.Context, c *Client, path string) (T, error) {
	var view T
	data, err := c.Call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return view, err
	}
	return view, errors.Wrap(json.Unmarshal(data, &view), "decode response")
}

// waitForRetry waits between two attempts and reports whether the context is still active.
func (c *Client) waitForRetry(ctx context.Context) bool {
	if c.Sleep != nil {
		return c.Sleep(ctx, retryDelay) == nil
	}
	return wait.For(ctx, retryDelay)
}

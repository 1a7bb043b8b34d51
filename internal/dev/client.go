package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/gateway"
)

// Caller talks to the callers' interface of a node.
type Caller struct {
	Address string // IP:port
	Secret  string
	HTTP    *http.Client
}

// RefusalError is an error answer of the gateway.
type RefusalError struct {
	Status  int
	Code    string
	Message string
	Outcome string // not_run, ran or unknown
}

// Error implements error.
func (e *RefusalError) Error() string { return e.Code + " (" + e.Outcome + "): " + e.Message }

// Call sends a request and returns the body of a successful answer. It fails with *RefusalError if the gateway says why.
func (c *Caller) Call(ctx context.Context, method, path string, header map[string]string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if c.Secret != "" {
		r.Header.Set("Authorization", "Bearer "+c.Secret)
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	answer, err := c.HTTP.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	if answer.StatusCode < 300 {
		return data, nil
	}
	return nil, refusal(answer.StatusCode, data)
}

func refusal(status int, data []byte) error {
	var body struct {
		Error struct {
			Code, Message, Outcome string
		}
	}
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return &RefusalError{Status: status, Code: "http", Message: strings.TrimSpace(string(data)), Outcome: "unknown"}
	}
	return &RefusalError{Status: status, Code: body.Error.Code, Message: body.Error.Message, Outcome: body.Error.Outcome}
}

// Submit submits a job. It repeats the submission with the same idempotency key while the outcome isn't known or the
// node can't take work.
func (c *Caller) Submit(ctx context.Context, key string, spec job.Spec) (job.Status, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return job.Status{}, errors.Wrap(err, "job")
	}
	for {
		data, err := c.Call(ctx, http.MethodPost, "/v1/jobs", map[string]string{"Idempotency-Key": key}, body)
		if err == nil {
			var status job.Status
			return status, errors.Wrap(json.Unmarshal(data, &status), "answer")
		}
		var r *RefusalError
		if errors.As(err, &r) && r.Status < 500 || !pause(ctx) {
			return job.Status{}, err
		}
	}
}

// Job returns the status of a job.
func (c *Caller) Job(ctx context.Context, id job.ID) (job.Status, error) {
	data, err := c.Call(ctx, http.MethodGet, "/v1/jobs/"+string(id), nil, nil)
	if err != nil {
		return job.Status{}, err
	}
	var status job.Status
	return status, errors.Wrap(json.Unmarshal(data, &status), "answer")
}

// Wait polls a job until it has ended.
func (c *Caller) Wait(ctx context.Context, id job.ID) (job.Status, error) {
	for {
		status, err := c.Job(ctx, id)
		if err == nil && status.Phase.Final() {
			return status, nil
		}
		if !pause(ctx) {
			return status, errors.Wrapf(ctx.Err(), "job %s is %s: %s", id, status.Phase, status.Waiting)
		}
	}
}

// Nodes lists the ingress nodes that the node knows.
func (c *Caller) Nodes(ctx context.Context) ([]gateway.NodeView, error) {
	data, err := c.Call(ctx, http.MethodGet, "/v1/nodes", nil, nil)
	if err != nil {
		return nil, err
	}
	var views []gateway.NodeView
	return views, errors.Wrap(json.Unmarshal(data, &views), "answer")
}

// pause waits between two tries.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(100 * time.Millisecond):
		return true
	}
}

package callerclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/gateway"
)

// Submit submits a job. It retries with the same idempotency key while the outcome is unknown or the node can't accept
// work, until the context ends. For an error, OutcomeOf returns whether the job may have been accepted.
func (c *Client) Submit(ctx context.Context, key string, spec job.Spec) (job.Status, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return job.Status{}, &TransportError{Outcome: NotRun, Err: err}
	}
	return c.callWithRetry(ctx, http.MethodPost, "/v1/jobs", map[string]string{idempotencyKeyHeader: key}, body)
}

// Cancel requests that a job ends. It is retried like Submit.
func (c *Client) Cancel(ctx context.Context, id job.ID) (job.Status, error) {
	return c.callWithRetry(ctx, http.MethodDelete, jobPath(id), nil, nil)
}

// callWithRetry retries an idempotent call until it succeeds, fails permanently or the context ends.
func (c *Client) callWithRetry(ctx context.Context, method, path string, header map[string]string, body []byte) (job.Status, error) {
	unknownOutcome := false
	for {
		data, err := c.Call(ctx, method, path, header, body)
		if err == nil {
			var status job.Status
			if err := json.Unmarshal(data, &status); err != nil {
				return status, &TransportError{Outcome: Unknown, Err: errors.Wrap(err, "decode response")}
			}
			return status, nil
		}
		// An earlier attempt may have had an effect even if this one was refused.
		if unknownOutcome || OutcomeOf(err) != NotRun {
			unknownOutcome = true
		}
		var r *ResponseError
		final := errors.As(err, &r) && r.Status < http.StatusInternalServerError
		if !final && c.waitForRetry(ctx) {
			continue
		}
		if unknownOutcome {
			err = &UnknownOutcomeError{Err: err}
		}
		return job.Status{}, err
	}
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id job.ID) (job.Status, error) {
	return getView[job.Status](ctx, c, jobPath(id))
}

func jobPath(id job.ID) string { return "/v1/jobs/" + url.PathEscape(string(id)) }

// Wait polls a job until it has ended. It fails immediately if the job doesn't exist or the key may not see it.
func (c *Client) Wait(ctx context.Context, id job.ID) (job.Status, error) {
	var last job.Status
	for {
		status, err := c.Job(ctx, id)
		if err == nil {
			last = status
			if status.Phase.Final() {
				return status, nil
			}
		}
		var r *ResponseError
		if errors.As(err, &r) && r.Status < http.StatusInternalServerError {
			return last, err
		}
		if !c.waitForRetry(ctx) {
			if err != nil {
				return last, err
			}
			return last, errors.Wrapf(ctx.Err(), "job %s is %s: %s", id, last.Phase, last.Waiting)
		}
	}
}

// Nodes lists the ingress nodes known to the node.
func (c *Client) Nodes(ctx context.Context) ([]gateway.NodeView, error) {
	return getView[[]gateway.NodeView](ctx, c, "/v1/nodes")
}

// Teams lists the teams.
func (c *Client) Teams(ctx context.Context) ([]gateway.TeamView, error) {
	return getView[[]gateway.TeamView](ctx, c, "/v1/teams")
}

// Queues lists the queues.
func (c *Client) Queues(ctx context.Context) ([]gateway.QueueView, error) {
	return getView[[]gateway.QueueView](ctx, c, "/v1/queues")
}

// Partitions lists the partitions.
func (c *Client) Partitions(ctx context.Context) ([]gateway.PartitionView, error) {
	return getView[[]gateway.PartitionView](ctx, c, "/v1/partitions")
}

// Jobs lists the jobs of the key's team that haven't ended, oldest first.
func (c *Client) Jobs(ctx context.Context) (gateway.JobList, error) {
	return getView[gateway.JobList](ctx, c, "/v1/jobs")
}

// Revision returns the revision of the node's active configuration. It needs no key.
func (c *Client) Revision(ctx context.Context) (gateway.RevisionView, error) {
	return getView[gateway.RevisionView](ctx, c, "/v1/revision")
}

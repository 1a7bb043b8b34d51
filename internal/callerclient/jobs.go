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

// Submit submits a job. It repeats the submission with the same idempotency key while the outcome isn't known or the
// node can't take work, until the context ends. OutcomeOf tells what an error means for the job.
func (c *Client) Submit(ctx context.Context, key string, spec job.Spec) (job.Status, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return job.Status{}, &TransportError{Outcome: NotRun, Err: err}
	}
	return c.repeat(ctx, http.MethodPost, "/v1/jobs", map[string]string{headerKey: key}, body)
}

// Cancel requests that a job ends. It is repeated like Submit.
func (c *Client) Cancel(ctx context.Context, id job.ID) (job.Status, error) {
	return c.repeat(ctx, http.MethodDelete, jobPath(id), nil, nil)
}

// repeat makes a call whose repetition is harmless until it succeeds, is refused for good or the context ends.
func (c *Client) repeat(ctx context.Context, method, path string, header map[string]string, body []byte) (job.Status, error) {
	uncertain := false
	for {
		data, err := c.Call(ctx, method, path, header, body)
		if err == nil {
			var status job.Status
			if err := json.Unmarshal(data, &status); err != nil {
				return status, &TransportError{Outcome: Unknown, Err: errors.Wrap(err, "answer")}
			}
			return status, nil
		}
		// A refusal of this try doesn't undo what an earlier one may have done.
		if uncertain || OutcomeOf(err) != NotRun {
			uncertain = true
		}
		var r *RefusalError
		final := errors.As(err, &r) && r.Status < http.StatusInternalServerError
		if !final && c.pause(ctx) {
			continue
		}
		if uncertain {
			err = &UncertainError{Err: err}
		}
		return job.Status{}, err
	}
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id job.ID) (job.Status, error) {
	return get[job.Status](ctx, c, jobPath(id))
}

func jobPath(id job.ID) string { return "/v1/jobs/" + url.PathEscape(string(id)) }

// Wait polls a job until it has ended. It fails at once if the job doesn't exist or the key may not see it.
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
		var r *RefusalError
		if errors.As(err, &r) && r.Status < http.StatusInternalServerError {
			return last, err
		}
		if !c.pause(ctx) {
			if err != nil {
				return last, err
			}
			return last, errors.Wrapf(ctx.Err(), "job %s is %s: %s", id, last.Phase, last.Waiting)
		}
	}
}

// Nodes lists the ingress nodes that the node knows.
func (c *Client) Nodes(ctx context.Context) ([]gateway.NodeView, error) {
	return get[[]gateway.NodeView](ctx, c, "/v1/nodes")
}

// Teams lists the teams.
func (c *Client) Teams(ctx context.Context) ([]gateway.TeamView, error) {
	return get[[]gateway.TeamView](ctx, c, "/v1/teams")
}

// Queues lists the queues.
func (c *Client) Queues(ctx context.Context) ([]gateway.QueueView, error) {
	return get[[]gateway.QueueView](ctx, c, "/v1/queues")
}

// Partitions lists the partitions.
func (c *Client) Partitions(ctx context.Context) ([]gateway.PartitionView, error) {
	return get[[]gateway.PartitionView](ctx, c, "/v1/partitions")
}

// Jobs lists the jobs of the key's team that haven't ended, oldest first.
func (c *Client) Jobs(ctx context.Context) (gateway.JobList, error) {
	return get[gateway.JobList](ctx, c, "/v1/jobs")
}

// Revision asks a node, without a key, for its revision in force.
func (c *Client) Revision(ctx context.Context) (gateway.RevisionView, error) {
	return get[gateway.RevisionView](ctx, c, "/v1/revision")
}

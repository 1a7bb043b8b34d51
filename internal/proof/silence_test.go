package proof

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/rpc/standinpb"
)

// silenceInstances makes the open connections to the service instances of every worker stop carrying data.
func (c *cell) silenceInstances() {
	c.t.Helper()
	hosts, err := c.store.List(c.t.Context())
	assert.NilError(c.t, err)
	for _, h := range hosts {
		conn, err := grpc.NewClient("passthrough:///"+h.Address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
		assert.NilError(c.t, err)
		_, err = standinpb.NewWorkerControlClient(conn).SilenceInstances(c.t.Context(), &standinpb.SilenceInstancesRequest{})
		assert.NilError(c.t, err)
		assert.NilError(c.t, conn.Close())
	}
}

// TestSilentConnections guards against calls that hang on a connection which stays open but carries no data any more,
// while new connections work. The connections lead to agents, the platform and service instances.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{relayPlatform: true, relayAgents: true})
	for _, n := range c.nodes {
		c.awaitService(n, "plans")
		c.awaitService(n, "orders")
	}
	ids := []job.ID{
		c.submit(c.nodes[0], "long", batch(90, 2*time.Second, true)),
		c.submit(c.nodes[1], "gang", gang(8, 4*time.Second)),
		c.submit(c.nodes[2], "once", batch(30, 2*time.Second, false)),
	}
	for _, id := range ids {
		c.awaitRunning(id, 1)
	}
	silenced := 0
	for _, r := range c.agentRelays {
		silenced += r.silence()
	}
	assert.Assert(t, silenced >= len(c.agentRelays), "%d connections to %d agents", silenced, len(c.agentRelays))
	c.silenceInstances()
	c.checkRequestsAfterSilence()
	for _, r := range c.platformRelays {
		assert.Assert(t, r.silence() > 0)
	}
	ids = append(ids, c.submit(c.nodes[0], "after", batch(20, 200*time.Millisecond, true)))
	c.awaitDone(c.nodes[1], ids...)
	c.checkInvariants(ids...)
}

// requestWithRetry sends a request, and repeats it while the node responds that it didn't run: a node whose retry budget
// is used up leaves retries to the caller.
func (c *cell) requestWithRetry(ctx context.Context, n *ingressNode, method, service, id string) error {
	for {
		_, err := c.caller(n, redKey).Call(ctx, method, "/services/"+service+"/x", map[string]string{"X-Request-Id": id}, nil)
		var response *callerclient.ResponseError
		if !errors.As(err, &response) || response.Outcome != "not_run" {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// checkRequestsAfterSilence sends requests to every node. Idempotent requests must succeed. Others must run at most
// once, and the outcomes reported to their callers must be true.
func (c *cell) checkRequestsAfterSilence() {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	var wg sync.WaitGroup
	errs := sync.Map{}
	for i := range 18 {
		wg.Go(func() {
			id, method, service := fmt.Sprintf("silent-%d", i), http.MethodGet, "plans"
			if i%2 == 0 {
				method, service = http.MethodPost, "orders"
			}
			if err := c.requestWithRetry(ctx, c.nodes[i%3], method, service, id); err != nil {
				errs.Store(i, err)
			}
		})
	}
	wg.Wait()
	ran := c.loadHistory().Requests()
	for i := range 18 {
		id := fmt.Sprintf("silent-%d", i)
		v, failed := errs.Load(i)
		if i%2 == 1 {
			assert.Assert(c.t, !failed, "idempotent request %s: %v", id, v)
			continue
		}
		assert.Assert(c.t, ran[id] <= 1, "%s ran %d times", id, ran[id])
		if !failed {
			assert.Equal(c.t, ran[id], 1, id)
			continue
		}
		var response *callerclient.ResponseError
		assert.Assert(c.t, errors.As(v.(error), &response), "%v", v)
		assert.Assert(c.t, response.Outcome != "not_run" || ran[id] == 0, "%s ran, but: %v", id, response)
		assert.Assert(c.t, response.Outcome != "ran" || ran[id] == 1, "%s didn't run, but: %v", id, response)
	}
}

package proof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/standinpb"
)

// submitOnce submits a job without retries.
func (c *cell) submitOnce(n *ingressNode, key string, spec job.Spec) (job.ID, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err = c.caller(n, redKey).Call(ctx, http.MethodPost, "/v1/jobs", map[string]string{"Idempotency-Key": key}, body)
	return job.NewID("red", key), err
}

// TestStoreDownAndKilledNode guards against work that stops because the store is down when a node is killed, and against
// submissions that are accepted although they can't be stored.
func TestStoreDownAndKilledNode(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{})
	c.awaitInstances(6)
	instances := c.serviceInstances()
	killed, successors := c.nodes[1], c.nodes[2:]
	ids := []job.ID{
		c.submitBlue(c.nodes[0], "long", batch(150, 3*time.Second, true)),
		c.submitBlue(c.nodes[1], "long-2", batch(100, 2*time.Second, true)),
		c.submitBlue(c.nodes[2], "long-3", batch(100, 2*time.Second, true)),
		c.submitBlue(c.nodes[2], "gang", gang(8, 4*time.Second)),
	}
	taskCounts := map[job.ID]int{ids[0]: 150, ids[1]: 100, ids[2]: 100, ids[3]: 8}
	c.eventually("every node returns the jobs", func() error {
		for _, n := range c.nodes {
			for _, id := range ids {
				if _, err := c.caller(n, c.keyOf(id)).Job(t.Context(), id); err != nil {
					return err
				}
			}
		}
		return nil
	})
	c.awaitRunning(ids[0], 1)
	c.setFaults(&standinpb.Faults{Down: standinpb.Faults_FAIL})
	time.Sleep(time.Second)
	killed.kill()
	killedAt := time.Now()

	refused := 0
	for i := range 6 {
		_, err := c.submitOnce(c.nodes[2*(i%2)], fmt.Sprintf("refused-%d", i), batch(1, time.Millisecond, true))
		var response *callerclient.ResponseError
		assert.Assert(t, errors.As(err, &response), "%v", err)
		assert.Equal(t, response.Outcome, "not_run", "%v", err)
		refused++
	}
	c.awaitOwners(c.nodes[0], successors[0])
	c.eventually("all tasks have succeeded while the store is down", func() error {
		h := c.loadHistory()
		for _, id := range ids {
			if n := len(h.successes(id)); n != taskCounts[id] {
				return fmt.Errorf("%d of %d tasks of %s", n, taskCounts[id], id)
			}
		}
		return nil
	})
	started := 0
	for _, r := range c.loadHistory().Runs() {
		if r.Start.After(killedAt) && r.Worker[:1] == "b" {
			started++
		}
	}
	assert.Assert(t, started > 0, "the successor of the killed node has started nothing")
	assert.DeepEqual(t, c.serviceInstances(), instances) // a takeover must not stop instances within their team's limit
	c.setFaults(&standinpb.Faults{})
	c.awaitDone(c.nodes[0], ids...)
	c.checkInvariants(ids...)
	for i := range refused {
		_, err := c.store.Get(t.Context(), port.JobPrefix+string(job.NewID("red", fmt.Sprintf("refused-%d", i))))
		assert.ErrorIs(t, err, port.ErrNotFound)
	}
}

// awaitInstances waits until all n service instances run.
func (c *cell) awaitInstances(n int) {
	c.t.Helper()
	c.eventually("all instances run", func() error {
		if running := len(c.serviceInstances()); running != n {
			return fmt.Errorf("%d instances run", running)
		}
		return nil
	})
}

// serviceInstances returns the running service instances, which are the only runs that reserve 4 slots.
func (c *cell) serviceInstances() []string {
	var running []string
	for _, r := range c.loadHistory().Runs() {
		if r.Reserved.Slots == 4 && r.End.IsZero() {
			running = append(running, r.String())
		}
	}
	slices.Sort(running)
	return running
}

// TestLostAnswers guards against duplicated and lost jobs, and against false outcomes, when the store applies writes
// but their responses are lost, while jobs are submitted and end and allowances move between partitions.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{})
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for ctx.Err() == nil {
			time.Sleep(60 * time.Millisecond)
			_, _ = c.control.SetFaults(ctx, &standinpb.Faults{LoseAnswers: 2}) // a failed call is repeated after 60 ms
		}
	}()
	defer func() { stop(); <-stopped }()
	var mu sync.Mutex
	accepted, refused := map[job.ID]bool{}, map[job.ID]error{}
	var wg sync.WaitGroup
	for i := range 24 {
		for _, n := range []*ingressNode{c.nodes[i%3], c.nodes[(i+1)%3]} { // the same idempotency key at two nodes
			wg.Go(func() {
				id, err := c.submitOnce(n, fmt.Sprintf("twice-%d", i), batch(4, 300*time.Millisecond, i%4 != 0))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					accepted[id] = true
				} else {
					refused[id] = err
				}
			})
		}
	}
	// The gang fits the workers of one partition but exceeds a third of the limit, so that allowances must move for it.
	large := c.submit(c.nodes[0], "large", gang(22, time.Second))
	wg.Wait()
	assert.Assert(t, len(accepted) > 0)
	ids := []job.ID{large}
	for id := range accepted {
		ids = append(ids, id)
	}
	c.awaitDone(c.nodes[1], ids...)
	stop()
	<-stopped
	c.setFaults(&standinpb.Faults{})
	for id, err := range refused {
		var response *callerclient.ResponseError
		assert.Assert(t, errors.As(err, &response), "%v", err)
		if response.Outcome != "not_run" || accepted[id] {
			continue
		}
		_, err := c.store.Get(t.Context(), port.JobPrefix+string(id))
		assert.ErrorIs(t, err, port.ErrNotFound, "refused as not_run: %v", response)
	}
	e, err := c.store.Get(t.Context(), port.AllowancePrefix+"red")
	assert.NilError(t, err)
	var allowance quota.Record
	assert.NilError(t, json.Unmarshal(e.Value, &allowance))
	assert.NilError(t, allowance.Check())
	moved := false
	for _, part := range allowance.Parts {
		moved = moved || part.Slots != redLimit/int64(len(zones))
	}
	assert.Assert(t, moved, "no allowance was moved: %v", allowance.Parts)
	t.Logf("%d jobs accepted, %d submissions refused", len(accepted), len(refused))
	c.checkInvariants(ids...)
}

// TestSlowStoreAndKilledWorkers guards against lost, stuck or repeated work when all workers of a zone are killed while
// each call to the store takes 300 ms.
func TestSlowStoreAndKilledWorkers(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{})
	ids := []job.ID{
		c.submit(c.nodes[0], "long", batch(60, 2*time.Second, true)),
		c.submit(c.nodes[1], "long-2", batch(60, 2*time.Second, true)),
		c.submit(c.nodes[2], "long-3", batch(60, 2*time.Second, true)),
	}
	once := c.submit(c.nodes[0], "once", batch(30, 2*time.Second, false))
	c.awaitRunning(once, 1)
	for _, id := range ids {
		c.awaitRunning(id, 1)
	}
	c.setFaults(&standinpb.Faults{DelayMs: 300})
	c.workers[0].kill()
	for i := range workersPerZone {
		_, err := c.control.SetHostState(t.Context(), &standinpb.SetHostStateRequest{Id: fmt.Sprintf("a-w%d", i), State: hostDead})
		assert.NilError(t, err)
	}
	ids = append(ids, c.submit(c.nodes[1], "after", batch(20, 200*time.Millisecond, true)))
	c.awaitDone(c.nodes[1], ids...)
	s := c.awaitJob(c.nodes[2], once)
	c.setFaults(&standinpb.Faults{})
	h := c.loadHistory()
	ran := map[job.TaskID]bool{}
	for _, r := range h.runsOf(once) {
		assert.Assert(t, !ran[r.Task], "non-idempotent %s ran twice", r)
		ran[r.Task] = true
	}
	// A killed worker may not have reported a success or responded to a start; such tasks are counted as unknown.
	assert.Assert(t, len(h.successes(once)) >= int(s.Succeeded), "%d tasks succeeded, but: %+v", len(h.successes(once)), s)
	assert.Equal(t, int(s.Succeeded+s.Unknown), 30, "%+v", s)
	c.checkInvariants(ids...)
}

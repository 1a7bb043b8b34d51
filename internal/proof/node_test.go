package proof

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/job"
)

// TestKilledNode guards against jobs that are lost, stuck or run twice when an ingress node is killed.
func TestKilledNode(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{})
	ids := []job.ID{
		c.submit(c.nodes[0], "long", batch(40, 4*time.Second, true)),
		c.submit(c.nodes[1], "short", batch(60, 500*time.Millisecond, true)),
		c.submit(c.nodes[2], "gang", gang(12, 3*time.Second)),
		c.submit(c.nodes[0], "once", batch(10, 3*time.Second, false)),
	}
	for _, id := range ids {
		c.awaitRunning(id, 1)
	}
	c.nodes[0].kill()
	ids = append(ids, c.submit(c.nodes[1], "after", batch(20, 200*time.Millisecond, true)))
	c.awaitDone(c.nodes[1], ids...)
	c.awaitOwners(c.nodes[1:]...)
	c.checkInvariants(ids...)
}

// longestLease is the length of a pause after which every lease of the paused node has expired. Permits expire last,
// after 33 s: their TTL of 3 s and the longest deadline of a request, 30 s.
const longestLease = 35 * time.Second

// TestPausedNode guards against a node that resumes after a pause with outdated state: it acts on expired leases, runs
// tasks that meanwhile run elsewhere, or accepts a key that was revoked.
func TestPausedNode(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{})
	paused, others := c.nodes[0], c.nodes[1:]
	ids := []job.ID{
		c.submit(paused, "long", batch(40, 6*time.Second, true)),
		c.submit(others[0], "gang", gang(12, 5*time.Second)),
		c.submit(paused, "once", batch(10, 5*time.Second, false)),
	}
	for _, id := range ids {
		c.awaitRunning(id, 1)
	}
	paused.signal(t, syscall.SIGSTOP)
	pausedAt := time.Now()
	c.awaitOwners(others...)
	code, out := c.runCommand("publish", "testdata/revoked", "--platform", c.address, "--wait", "0")
	assert.Equal(t, code, 0, out)
	var wg sync.WaitGroup
	answers := make([]error, 12)
	for i := range answers { // queued in the paused node's sockets, so that it handles them first when it resumes
		wg.Go(func() { answers[i] = c.useOldKey(paused, i) })
	}
	time.Sleep(longestLease - time.Since(pausedAt))
	paused.signal(t, syscall.SIGCONT)
	wg.Wait()
	for i, err := range answers {
		var response *callerclient.ResponseError
		assert.Assert(t, errors.As(err, &response), "request %d with a revoked key: %v", i, err)
		assert.Equal(t, response.Outcome, "not_run", "request %d: %v", i, err)
	}
	c.awaitDone(others[0], ids...)
	after := c.submit(paused, "after", batch(20, 200*time.Millisecond, true))
	c.awaitDone(paused, append(ids, after)...)
	c.awaitOwners(c.nodes...)
	c.checkInvariants(append(ids, after)...)
	for i := range answers {
		assert.Equal(t, c.loadHistory().Requests()[oldRequestID(i)], 0)
	}
}

func oldRequestID(i int) string { return fmt.Sprintf("old-%d", i) }

// useOldKey sends, depending on i, a submission, a service request or a query with the key that tests revoke.
func (c *cell) useOldKey(n *ingressNode, i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	caller := &callerclient.Client{Address: n.http, Secret: oldKey, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	var err error
	switch i % 3 {
	case 0:
		_, err = caller.Call(ctx, http.MethodPost, "/v1/jobs", map[string]string{"Idempotency-Key": oldRequestID(i)},
			[]byte(`{"queue": "batch", "class": "batch", "tasks": 1, "resources": {"slots": 1}}`))
	case 1:
		_, err = caller.Call(ctx, http.MethodGet, "/services/plans/x", map[string]string{"X-Request-Id": oldRequestID(i)}, nil)
	default:
		_, err = caller.Call(ctx, http.MethodGet, "/v1/nodes", nil, nil)
	}
	return err
}

// TestPlannedStop guards against faults of a graceful shutdown: requests are cut off, the health check fails too late,
// or partitions get no new owner.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{})
	draining := c.nodes[0]
	c.awaitService(draining, "plans")
	c.awaitService(draining, "orders")
	id := c.submit(draining, "long", batch(60, 2*time.Second, true))
	c.awaitRunning(id, 1)

	load := &loadGenerator{cell: c, node: draining}
	const callers = 8
	for i := range callers {
		load.wg.Go(func() { load.run(i) })
	}
	c.eventually("requests are answered", func() error {
		if n := load.answered(); n < 5*callers {
			return fmt.Errorf("%d requests were answered", n)
		}
		return nil
	})
	longRequest := make(chan error, 1) // the request is still open when the health check fails
	go func() { longRequest <- load.call(http.MethodPost, "orders", "open-at-the-stop", 3*time.Second) }()
	c.eventually("the long request runs", func() error {
		if c.loadHistory().Requests()["open-at-the-stop"] == 0 {
			return errors.New("the request has not started")
		}
		return nil
	})
	draining.signal(t, syscall.SIGTERM)
	c.eventually("the health check fails", func() error {
		if _, err := c.caller(draining, "").Call(t.Context(), http.MethodGet, "/healthz", nil, nil); err == nil {
			return errors.New("the health check still succeeds")
		}
		return nil
	})
	_, err := c.caller(draining, "").Call(t.Context(), http.MethodGet, "/healthz", nil, nil)
	var response *callerclient.ResponseError
	assert.Assert(t, errors.As(err, &response), "the node must still answer: %v", err)
	assert.Equal(t, response.Code, "draining")
	select {
	case err := <-longRequest:
		t.Fatalf("the long request ended before the health check failed: %v", err)
	default:
	}
	assert.NilError(t, <-longRequest)
	assert.Equal(t, draining.wait(t), 0)
	load.wg.Wait()
	load.check()
	assert.Equal(t, len(draining.matchingLines(t, "partitions handed over")), 1)
	c.awaitOwners(c.nodes[1:]...)
	c.awaitDone(c.nodes[1], id)
	c.checkInvariants(id)
}

// loadGenerator sends requests to a node until the node refuses connections.
type loadGenerator struct {
	cell    *cell
	node    *ingressNode
	wg      sync.WaitGroup
	mu      sync.Mutex
	results map[string]error // by X-Request-Id
}

func (l *loadGenerator) run(caller int) {
	for i := 0; ; i++ {
		id := fmt.Sprintf("load-%d-%d", caller, i)
		method, service := http.MethodGet, "plans"
		if caller%2 == 0 {
			method, service = http.MethodPost, "orders"
		}
		err := l.call(method, service, id, 20*time.Millisecond)
		l.mu.Lock()
		if l.results == nil {
			l.results = map[string]error{}
		}
		l.results[id] = err
		l.mu.Unlock()
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (l *loadGenerator) call(method, service, id string, delay time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := l.cell.caller(l.node, redKey).Call(ctx, method, "/services/"+service+"/x",
		map[string]string{"X-Request-Id": id, "X-Delay-Ms": fmt.Sprint(delay.Milliseconds())}, nil)
	return err
}

// answered returns the number of requests that got the instance's response.
func (l *loadGenerator) answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, err := range l.results {
		if err == nil {
			n++
		}
	}
	return n
}

// check compares the outcomes reported to the callers with the requests that the instances ran. A request that ran must
// have got a response.
func (l *loadGenerator) check() {
	l.cell.t.Helper()
	ran := l.cell.loadHistory().Requests()
	for id, err := range l.results {
		var response *callerclient.ResponseError
		switch {
		case err == nil:
			if ran[id] == 0 {
				l.cell.t.Errorf("%s was answered but didn't run", id)
			}
		case ran[id] > 0:
			l.cell.t.Errorf("%s ran %d times, but its caller got: %v", id, ran[id], err)
		case errors.As(err, &response) && response.Outcome != "not_run":
			l.cell.t.Errorf("%s didn't run, but its caller got: %v", id, err)
		}
	}
	l.cell.t.Logf("%d requests, %d answered", len(l.results), l.answered())
}

// awaitService waits until requests to a service succeed at a node.
func (c *cell) awaitService(n *ingressNode, service string) {
	c.t.Helper()
	c.eventually("service "+service+" answers", func() error {
		_, err := c.caller(n, redKey).Call(c.t.Context(), http.MethodGet, "/services/"+service+"/ready", nil, nil)
		return err
	})
}

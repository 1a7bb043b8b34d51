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

// TestKilledNode guards against jobs that are lost, stuck or run twice when an ingress node dies.
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

// longestLease is how long a pause must be so that every lease of the paused node has lapsed: its permits are the last.
const longestLease = 35 * time.Second

// TestPausedNode guards against a node that goes on where it was after a pause: with leases that have lapsed, tasks that
// run elsewhere, and a key that was revoked.
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
	begun := time.Now()
	c.awaitOwners(others...)
	code, out := c.runCommand("publish", "testdata/revoked", "--platform", c.address, "--wait", "0")
	assert.Equal(t, code, 0, out)
	var wg sync.WaitGroup
	answers := make([]error, 12)
	for i := range answers { // they wait in the paused node's sockets, so that they are the first thing it sees
		wg.Go(func() { answers[i] = c.useOldKey(paused, i) })
	}
	time.Sleep(longestLease - time.Since(begun))
	paused.signal(t, syscall.SIGCONT)
	wg.Wait()
	for i, err := range answers {
		var refusal *callerclient.RefusalError
		assert.Assert(t, errors.As(err, &refusal), "request %d with a revoked key: %v", i, err)
		assert.Equal(t, refusal.Outcome, "not_run", "request %d: %v", i, err)
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

// useOldKey makes a request, a submission or a question with the key that tests revoke.
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

// TestPlannedStop guards against requests that a planned stop cuts short, a health check that fails too late, and
// partitions that nobody takes over.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{})
	leaving := c.nodes[0]
	c.awaitService(leaving, "plans")
	c.awaitService(leaving, "orders")
	id := c.submit(leaving, "long", batch(60, 2*time.Second, true))
	c.awaitRunning(id, 1)

	load := &loadGenerator{cell: c, node: leaving}
	const callers = 8
	for i := range callers {
		load.wg.Go(func() { load.run(i) })
	}
	c.eventually("requests are answered", func() error {
		if n := load.answered(); n < 5*callers {
			return fmt.Errorf("%d were", n)
		}
		return nil
	})
	long := make(chan error, 1) // open while the health check fails
	go func() { long <- load.call(http.MethodPost, "orders", "open-at-the-stop", 3*time.Second) }()
	c.eventually("the long request runs", func() error {
		if c.loadHistory().Requests()["open-at-the-stop"] == 0 {
			return errors.New("not yet")
		}
		return nil
	})
	leaving.signal(t, syscall.SIGTERM)
	c.eventually("the health check fails", func() error {
		if _, err := c.caller(leaving, "").Call(t.Context(), http.MethodGet, "/healthz", nil, nil); err == nil {
			return errors.New("it succeeds")
		}
		return nil
	})
	_, err := c.caller(leaving, "").Call(t.Context(), http.MethodGet, "/healthz", nil, nil)
	var refusal *callerclient.RefusalError
	assert.Assert(t, errors.As(err, &refusal), "the node must still answer: %v", err)
	assert.Equal(t, refusal.Code, "draining")
	select {
	case err := <-long:
		t.Fatalf("the long request ended before the health check failed: %v", err)
	default:
	}
	assert.NilError(t, <-long)
	assert.Equal(t, leaving.wait(t), 0)
	load.wg.Wait()
	load.check()
	assert.Equal(t, len(leaving.matchingLines(t, "partitions handed over")), 1)
	c.awaitOwners(c.nodes[1:]...)
	c.awaitDone(c.nodes[1], id)
	c.checkInvariants(id)
}

// loadGenerator sends requests to a node until it can't be reached any more.
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

// answered returns how many requests got the instance's answer.
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

// check compares what the callers were told with what the instances ran. A request that ran must have been answered.
func (l *loadGenerator) check() {
	l.cell.t.Helper()
	ran := l.cell.loadHistory().Requests()
	for id, err := range l.results {
		var refusal *callerclient.RefusalError
		switch {
		case err == nil:
			if ran[id] == 0 {
				l.cell.t.Errorf("%s was answered but didn't run", id)
			}
		case ran[id] > 0:
			l.cell.t.Errorf("%s ran %d times, but its caller got: %v", id, ran[id], err)
		case errors.As(err, &refusal) && refusal.Outcome != "not_run":
			l.cell.t.Errorf("%s didn't run, but its caller got: %v", id, err)
		}
	}
	l.cell.t.Logf("%d requests, %d answered", len(l.results), l.answered())
}

// awaitService waits until requests to a service are answered at a node.
func (c *cell) awaitService(n *ingressNode, service string) {
	c.t.Helper()
	c.eventually("service "+service+" answers", func() error {
		_, err := c.caller(n, redKey).Call(c.t.Context(), http.MethodGet, "/services/"+service+"/ready", nil, nil)
		return err
	})
}

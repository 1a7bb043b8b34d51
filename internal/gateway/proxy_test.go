package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/routing"
)

func echo(x *upstreamRequest) { x.respond(200, x.req.URL.RequestURI()+" "+x.body) }

// Guards against requests or responses that are altered by the proxy, and hop-by-hop headers that are forwarded.
func TestProxyForwardsRequestAndResponse(t *testing.T) {
	var seen sync.Map
	u := newUpstream(t, func(x *upstreamRequest) {
		for name := range x.req.Header {
			seen.Store(name, x.req.Header.Get(name))
		}
		x.respond(201, x.req.Method+" "+x.req.URL.RequestURI()+" "+x.body, "X-Own: 1", "Connection: X-Hop", "X-Hop: 1", "Keep-Alive: timeout=5")
	})
	r := newHarness(t, 4, u)
	a := r.do("PUT", "/services/lookup/a%2Fb//c?q=1&r=%20", "body", "X-Mine: 2", "Te: trailers", "Connection: X-Gone", "X-Gone: 1", shortDeadline)
	assert.Equal(t, a.status, 201)
	assert.Equal(t, a.body, "PUT /a%2Fb//c?q=1&r=%20 body")
	assert.Equal(t, a.header.Get("X-Own"), "1")
	assert.Equal(t, a.header.Get("X-Hop")+a.header.Get("Keep-Alive"), "")
	for _, name := range []string{"Te", "X-Gone", "Authorization", "Connection"} {
		_, ok := seen.Load(name)
		assert.Assert(t, !ok, "%s was passed on", name)
	}
	team, _ := seen.Load(HeaderTeam)
	assert.Equal(t, team, "a")
	mine, _ := seen.Load("X-Mine")
	assert.Equal(t, mine, "2")
	remaining, _ := seen.Load(HeaderDeadline)
	var ms int
	_, err := fmt.Sscan(remaining.(string), &ms)
	assert.NilError(t, err)
	assert.Assert(t, ms >= 1 && ms <= 150, "deadline %d", ms)
	head := r.do("HEAD", "/services/lookup/", "")
	assert.Equal(t, head.status, 201)
}

// Guards against a late response that is delivered to another caller, and a non-idempotent request that runs twice.
func TestLateResponseIsNotDeliveredElsewhere(t *testing.T) {
	u := newUpstream(t, func(x *upstreamRequest) {
		if strings.HasPrefix(x.req.URL.Path, "/slow") {
			time.Sleep(200 * time.Millisecond)
		}
		x.respond(200, x.req.URL.Path)
	})
	r := newHarness(t, 8, u)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			path := fmt.Sprintf("/slow%d", i)
			a, err := r.send("POST", "/services/lookup"+path, "x", HeaderDeadline+": 100")
			assert.Check(t, err)
			assert.Check(t, a.status == 504 || a.status == 503, a.body)
			if a.status == 503 {
				assert.Check(t, u.runCount(path) == 0, "a refused request ran")
			}
			assert.Check(t, u.runCount(path) <= 1)
		})
		wg.Go(func() {
			path := fmt.Sprintf("/fast%d", i)
			a, err := r.send("GET", "/services/lookup"+path, "", idempotent)
			assert.Check(t, err)
			assert.Check(t, a.status == 200 && a.body == path || a.status == 503, a.body)
		})
	}
	wg.Wait()
}

// Guards against unsolicited bytes on an idle connection being read as the response to the next request.
func TestUnreadBytesCloseTheConnection(t *testing.T) {
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		u := newUpstream(t, func(x *upstreamRequest) {
			x.respond(200, x.req.URL.Path)
			time.Sleep(delay)
			fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		})
		r := newHarness(t, 4, u)
		for i := range 5 {
			path := fmt.Sprintf("/%d", i)
			assert.Equal(t, r.do("GET", "/services/lookup"+path, "").body, path)
			time.Sleep(2*delay + 10*time.Millisecond)
		}
		assert.Equal(t, u.connections(), 5)
	}
}

// Guards against the responses of two requests being swapped: both must be reported as errors with unknown outcome.
func TestSwappedResponsesAreErrors(t *testing.T) {
	var mu sync.Mutex
	var pending *upstreamRequest
	u := newUpstream(t, func(x *upstreamRequest) {
		mu.Lock()
		defer mu.Unlock()
		if pending == nil {
			pending = x
			return
		}
		a, b := *pending, *x
		a.conn, b.conn, pending = b.conn, a.conn, nil
		a.respond(200, a.req.URL.Path)
		b.respond(200, b.req.URL.Path)
	})
	r := newHarness(t, 4, u)
	var wg sync.WaitGroup
	for _, path := range []string{"/one", "/two"} {
		wg.Go(func() {
			a, err := r.send("POST", "/services/lookup"+path, "")
			assert.Check(t, err)
			assert.Check(t, a.status == 502 && strings.Contains(a.body, `"unknown"`), a.body)
		})
	}
	wg.Wait()
	assert.Equal(t, u.runCount("/one")+u.runCount("/two"), 2)
}

// Guards against a response without the request ID being accepted for a service that is configured to return it.
func TestMissingRequestID(t *testing.T) {
	u := newUpstream(t, func(x *upstreamRequest) { fmt.Fprint(x.conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx") })
	r := newHarness(t, 4, u)
	assert.Equal(t, r.do("POST", "/services/lookup/", "").status, 200)
	r.node.service.EchoesRequestID = true
	r.do("POST", "/services/lookup/", "").assertError(t, 502, CodeUpstreamFailed, "unknown")
}

// Guards against a truncated response being forwarded as a success with a short body.
func TestTruncatedResponsesAreErrors(t *testing.T) {
	answers := map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nhalf",
		"trailer":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
		"no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
		"header":    "HTTP/1.1 200 OK\r\nContent-Le",
		"nothing":   "",
		"upgrade":   "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
	}
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			truncating := newUpstream(t, func(x *upstreamRequest) {
				fmt.Fprint(x.conn, text)
				x.conn.Close()
			})
			r := newHarness(t, 4, truncating)
			r.do("POST", "/services/lookup/once", "x").assertError(t, 502, CodeUpstreamFailed, "unknown")
			assert.Equal(t, truncating.runCount("/once"), 1)
			good := newUpstream(t, echo)
			r.apply(4, 64, truncating, good)
			for i := range 4 {
				path := fmt.Sprintf("/%d", i)
				a := r.do("POST", "/services/lookup"+path, "x", idempotent)
				assert.Equal(t, a.body, path+" x")
				assert.Equal(t, good.runCount(path), 1)
			}
		})
	}
}

// Guards against retries on other idle connections when all have stopped responding, and against repeating a request
// that may have run.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	var silentUpTo atomic.Int64
	u := newUpstream(t, func(x *upstreamRequest) {
		if int64(x.connNumber) > silentUpTo.Load() {
			echo(x)
		}
	})
	r := newHarness(t, 8, u)
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() {
			_, err := r.send("GET", "/services/lookup/warm", "")
			assert.Check(t, err)
		})
	}
	wg.Wait()
	silentUpTo.Store(int64(u.connections()))
	a := r.do("POST", "/services/lookup/again", "x", idempotent, HeaderDeadline+": 600")
	assert.Equal(t, a.body, "/again x")
	assert.Equal(t, u.runCount("/again"), 2)
	silentUpTo.Store(int64(u.connections()))
	r.do("POST", "/services/lookup/once", "x", shortDeadline).assertError(t, 504, CodeUpstreamTimeout, "unknown")
	assert.Equal(t, u.runCount("/once"), 1)
}

// Guards against an instance that fails every request receiving more than a few while another one works.
func TestFailingInstanceGetsOnlyProbes(t *testing.T) {
	bad := newUpstream(t, func(x *upstreamRequest) { x.respond(500, "failed") })
	good := newUpstream(t, echo)
	r := newHarness(t, 4, bad, good)
	failed := 0
	for i := range 200 {
		if a := r.do("GET", fmt.Sprintf("/services/lookup/%d", i), ""); a.status == 500 {
			failed++
		}
	}
	assert.Equal(t, bad.total(), failed)
	// Five failures open the circuit breaker; at most two probes fit into the duration of the test.
	assert.Assert(t, failed >= 5 && failed <= 7, "%d failed", failed)
	assert.Equal(t, good.total(), 200-failed)
}

// Guards against a request that certainly didn't run not being retried on another instance, and against one that ran
// being repeated.
func TestNotRunIsRetried(t *testing.T) {
	refusing := newUpstream(t, func(x *upstreamRequest) { x.respond(503, "", HeaderOutcome+": not_run") })
	good := newUpstream(t, echo)
	r := newHarness(t, 4, refusing)
	a := r.do("POST", "/services/lookup/alone", "x")
	a.assertError(t, 502, CodeUpstreamFailed, "not_run")
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Equal(t, refusing.runCount("/alone"), 3)

	r = newHarness(t, 4, refusing, good)
	for i := range 3 {
		path := fmt.Sprintf("/%d", i)
		assert.Equal(t, r.do("POST", "/services/lookup"+path, "x").body, path+" x")
		assert.Equal(t, good.runCount(path), 1)
	}
}

// Guards against a refused connection being reported as unknown outcome, or not being retried on another instance.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable := &upstream{address: l.Addr().String()}
	l.Close()
	r := newHarness(t, 4, unreachable)
	r.do("POST", "/services/lookup/x", "x").assertError(t, 502, CodeUpstreamFailed, "not_run")
	r = newHarness(t, 4, unreachable, newUpstream(t, echo))
	assert.Equal(t, r.do("POST", "/services/lookup/x", "x").body, "/x x")
}

// Guards against more concurrent requests at an instance than permits, more connections than granted, and refused
// requests that ran.
func TestConcurrencyStaysWithinPermits(t *testing.T) {
	u := newUpstream(t, func(x *upstreamRequest) {
		time.Sleep(2 * time.Millisecond)
		echo(x)
	})
	r := newHarness(t, 3, u)
	r.node.service.WaitingLimit = 20
	var wg sync.WaitGroup
	var served, refused atomic.Int64
	for i := range 60 {
		wg.Go(func() {
			path := fmt.Sprintf("/%d", i)
			a, err := r.send("POST", "/services/lookup"+path, "x")
			assert.Check(t, err)
			if a.status == 200 {
				served.Add(1)
				assert.Check(t, u.runCount(path) == 1)
				return
			}
			refused.Add(1)
			assert.Check(t, a.status == 503 && strings.Contains(a.body, "not_run"), a.body)
			assert.Check(t, u.runCount(path) == 0)
		})
	}
	wg.Wait()
	assert.Equal(t, served.Load()+refused.Load(), int64(60))
	assert.Assert(t, served.Load() >= 20)
	assert.Assert(t, u.maxOpen <= 3, "%d at once", u.maxOpen)
	assert.Assert(t, u.connections() <= 3)
	assert.Equal(t, len(r.router.Demand()), 0)
}

// Guards against connections kept beyond a lowered grant, and a version reported as settled too early.
func TestLoweredGrantClosesConnections(t *testing.T) {
	hold := make(chan struct{})
	u := newUpstream(t, func(x *upstreamRequest) {
		if x.req.URL.Path == "/hold" {
			<-hold
		}
		echo(x)
	})
	r := newHarness(t, 4, u)
	var wg sync.WaitGroup
	wg.Go(func() {
		a, err := r.send("GET", "/services/lookup/hold", "")
		assert.Check(t, err)
		assert.Check(t, a.status == 200)
	})
	for u.runCount("/hold") == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, r.router.Settled("p"), uint64(1))
	r.do("GET", "/services/lookup/x", "")
	r.apply(0, 0, u)
	r.router.pool.mu.Lock()
	idle, open := len(r.router.pool.workers["w0"].idle), r.router.pool.workers["w0"].open
	r.router.pool.mu.Unlock()
	assert.Equal(t, idle, 0)
	assert.Equal(t, open, int32(1))
	assert.Equal(t, r.router.Version("p"), uint64(2))
	assert.Equal(t, r.router.Settled("p"), uint64(1))
	close(hold)
	wg.Wait()
	assert.Equal(t, r.router.Settled("p"), uint64(2))
}

// Guards against a superseded hedged attempt that keeps its permit or whose response reaches the caller, and against
// hedging of non-idempotent requests.
func TestHedge(t *testing.T) {
	var delayed atomic.Bool
	slow := newUpstream(t, func(x *upstreamRequest) {
		if delayed.Load() {
			time.Sleep(300 * time.Millisecond)
		}
		echo(x)
	})
	fast := newUpstream(t, echo)
	r := newHarness(t, 4, slow, fast)
	r.node.service.Hedge = true
	for range 60 {
		r.do("GET", "/services/lookup/warm", "", idempotent)
	}
	delayed.Store(true)
	for i := range 8 {
		path := fmt.Sprintf("/%d", i)
		assert.Equal(t, r.do("GET", "/services/lookup"+path, "", idempotent).body, path+" ")
		path = fmt.Sprintf("/once%d", i)
		assert.Equal(t, r.do("GET", "/services/lookup"+path, "").status, 200)
		assert.Equal(t, slow.runCount(path)+fast.runCount(path), 1)
	}
	assert.Equal(t, len(r.router.Demand()), 0)
	assert.Assert(t, r.gateway.proxy.metrics.hedges.Count() > 0)
}

// Guards against a drain that interrupts open requests, or rejects requests with the wrong outcome.
func TestDrain(t *testing.T) {
	hold := make(chan struct{})
	u := newUpstream(t, func(x *upstreamRequest) {
		<-hold
		echo(x)
	})
	r := newHarness(t, 4, u)
	assert.Equal(t, r.do("GET", "/healthz", "").status, 200)
	var wg sync.WaitGroup
	wg.Go(func() {
		a, err := r.send("POST", "/services/lookup/open", "x")
		assert.Check(t, err)
		assert.Check(t, a.body == "/open x", a.body)
	})
	for u.runCount("/open") == 0 {
		time.Sleep(time.Millisecond)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, r.gateway.Drain(canceled), context.Canceled)
	r.do("GET", "/healthz", "").assertError(t, 503, CodeDraining, "not_run")
	a := r.do("POST", "/services/lookup/new", "x")
	a.assertError(t, 503, CodeDraining, "not_run")
	assert.Assert(t, a.header.Get("Retry-After") != "")
	r.do("POST", "/v1/jobs", spec, HeaderIdempotencyKey+": k").assertError(t, 503, CodeDraining, "not_run")
	close(hold)
	assert.NilError(t, r.gateway.Drain(context.Background()))
	wg.Wait()
	assert.Equal(t, u.total(), 1)
	assert.Equal(t, r.node.submits, 0)
}

// Guards against a non-idempotent request with an idempotency key that runs twice or without a claim.
func TestKeyedRequests(t *testing.T) {
	u := newUpstream(t, echo)
	r := newHarness(t, 4, u)
	post := func(path, key string) response {
		return r.do("POST", "/services/lookup"+path, "x", HeaderIdempotencyKey+": "+key)
	}
	assert.Equal(t, post("/a", "1").status, 200)
	post("/a", "1").assertError(t, 409, CodeDuplicate, "unknown")
	assert.Equal(t, u.runCount("/a"), 1)

	r.store.loseResponse = true
	assert.Equal(t, post("/b", "2").status, 200)
	r.store.loseWrite = true
	post("/c", "3").assertError(t, 503, CodeStoreUnavailable, "not_run")
	assert.Equal(t, post("/c", "3").status, 200)
	r.store.down = true
	post("/d", "4").assertError(t, 503, CodeStoreUnavailable, "not_run")
	assert.Equal(t, u.runCount("/d"), 0)
	r.store.down = false

	// The claim of a request that was not run is removed.
	r.apply(0, 0)
	post("/e", "5").assertError(t, 503, CodeNoInstance, "not_run")
	r.apply(4, 64, u)
	assert.Equal(t, post("/e", "5").status, 200)
	assert.Equal(t, u.runCount("/e"), 1)
}

// Guards against a router and a permit ledger that interpret the messages differently: permits must be granted according
// to demand, and must survive a change of the partition's owner.
func TestRouterWithLedger(t *testing.T) {
	u := newUpstream(t, echo)
	r := newHarness(t, 0)
	newLedger := func(first uint64, notBefore time.Time) *routing.PermitLedger {
		l := routing.NewPermitLedger("owned", first)
		l.SetWorker("w", 16, notBefore)
		e := routing.Endpoint{Instance: job.TaskID{Job: "K"}, Service: "lookup", Worker: "w", Zone: "z1", Address: u.address}
		assert.NilError(t, l.SetEndpoint(e, 8, notBefore))
		return l
	}
	exchange := func(l *routing.PermitLedger) routing.EndpointSet {
		sentAt := time.Now()
		set, err := l.Request(r.router.Request("n1", "owned"), sentAt)
		assert.NilError(t, err)
		r.router.Apply(set, sentAt)
		return set
	}
	l := newLedger(100, time.Time{})
	assert.Equal(t, exchange(l).Endpoints[0].Permits, int32(8))
	assert.Equal(t, r.do("POST", "/services/lookup/x", "y").body, "/x y")
	assert.Assert(t, exchange(l).Unchanged)
	l = newLedger(10_000, routing.InheritedUntil(time.Now()))
	assert.Assert(t, exchange(l).HoldingsNonce > 0)
	assert.Equal(t, exchange(l).Endpoints[0].Permits, int32(8))
	assert.Equal(t, r.do("POST", "/services/lookup/x", "y").body, "/x y")
	r.router.Remove("owned")
	r.do("POST", "/services/lookup/z", "").assertError(t, 503, CodeNoInstance, "not_run")
}

// Guards against routing decisions that are not logged, or logged without the fields that explain them.
func TestEachAttemptIsLogged(t *testing.T) {
	r := newHarness(t, 4, newUpstream(t, func(x *upstreamRequest) { x.respond(503, "", HeaderOutcome+": not_run") }))
	var out bytes.Buffer
	r.gateway.proxy.log = slog.New(slog.NewJSONHandler(&out, nil))
	r.do("POST", "/services/lookup/x", "").assertError(t, 502, CodeUpstreamFailed, "not_run")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 3)
	for i, line := range lines {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		for name, want := range map[string]any{"service": "lookup", "instance": "J/0", "worker": "w0", "instance_zone": "z1",
			"try": float64(i + 1), "reason": "own zone", "outcome": "not_run"} {
			assert.Equal(t, fields[name], want, name)
		}
		assert.Assert(t, fields["latency_us"] != nil)
	}
}

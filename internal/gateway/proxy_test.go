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

func echo(x *exchangeOf) { x.answer(200, x.req.URL.RequestURI()+" "+x.body) }

// Guards against a request or an answer that is changed on its way, and hop-by-hop headers that pass.
func TestProxyPassesRequestAndAnswer(t *testing.T) {
	var seen sync.Map
	u := newUpstream(t, func(x *exchangeOf) {
		for name := range x.req.Header {
			seen.Store(name, x.req.Header.Get(name))
		}
		x.answer(201, x.req.Method+" "+x.req.URL.RequestURI()+" "+x.body, "X-Own: 1", "Connection: X-Hop", "X-Hop: 1", "Keep-Alive: timeout=5")
	})
	r := newRig(t, 4, u)
	a := r.do("PUT", "/services/lookup/a%2Fb//c?q=1&r=%20", "body", "X-Mine: 2", "Te: trailers", "Connection: X-Gone", "X-Gone: 1", shortTime)
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
	left, _ := seen.Load(HeaderDeadline)
	var ms int
	_, err := fmt.Sscan(left.(string), &ms)
	assert.NilError(t, err)
	assert.Assert(t, ms >= 1 && ms <= 150, "deadline %d", ms)
	head := r.do("HEAD", "/services/lookup/", "")
	assert.Equal(t, head.status, 201)
}

// Guards against a late answer that reaches another caller, and against a repeated non-idempotent request.
func TestLateAnswerReachesNobodyElse(t *testing.T) {
	u := newUpstream(t, func(x *exchangeOf) {
		if strings.HasPrefix(x.req.URL.Path, "/slow") {
			time.Sleep(200 * time.Millisecond)
		}
		x.answer(200, x.req.URL.Path)
	})
	r := newRig(t, 8, u)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			path := fmt.Sprintf("/slow%d", i)
			a, err := r.try("POST", "/services/lookup"+path, "x", HeaderDeadline+": 100")
			assert.Check(t, err)
			assert.Check(t, a.status == 504 || a.status == 503, a.body)
			if a.status == 503 {
				assert.Check(t, u.ran(path) == 0, "a refused request ran")
			}
			assert.Check(t, u.ran(path) <= 1)
		})
		wg.Go(func() {
			path := fmt.Sprintf("/fast%d", i)
			a, err := r.try("GET", "/services/lookup"+path, "", idempotent)
			assert.Check(t, err)
			assert.Check(t, a.status == 200 && a.body == path || a.status == 503, a.body)
		})
	}
	wg.Wait()
}

// Guards against bytes that arrive on an idle connection being taken as the answer to the next request.
func TestUnreadBytesCloseTheConnection(t *testing.T) {
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		u := newUpstream(t, func(x *exchangeOf) {
			x.answer(200, x.req.URL.Path)
			time.Sleep(delay)
			fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		})
		r := newRig(t, 4, u)
		for i := range 5 {
			path := fmt.Sprintf("/%d", i)
			assert.Equal(t, r.do("GET", "/services/lookup"+path, "").body, path)
			time.Sleep(2*delay + 10*time.Millisecond)
		}
		assert.Equal(t, u.connections(), 5)
	}
}

// Guards against answers of two requests being exchanged.
func TestCrossedAnswersAreErrors(t *testing.T) {
	var mu sync.Mutex
	var first *exchangeOf
	u := newUpstream(t, func(x *exchangeOf) {
		mu.Lock()
		defer mu.Unlock()
		if first == nil {
			first = x
			return
		}
		a, b := *first, *x
		a.conn, b.conn, first = b.conn, a.conn, nil
		a.answer(200, a.req.URL.Path)
		b.answer(200, b.req.URL.Path)
	})
	r := newRig(t, 4, u)
	var wg sync.WaitGroup
	for _, path := range []string{"/one", "/two"} {
		wg.Go(func() {
			a, err := r.try("POST", "/services/lookup"+path, "")
			assert.Check(t, err)
			assert.Check(t, a.status == 502 && strings.Contains(a.body, `"unknown"`), a.body)
		})
	}
	wg.Wait()
	assert.Equal(t, u.ran("/one")+u.ran("/two"), 2)
}

// Guards against an answer without the ID where the service object promises it.
func TestMissingRequestID(t *testing.T) {
	u := newUpstream(t, func(x *exchangeOf) { fmt.Fprint(x.conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx") })
	r := newRig(t, 4, u)
	assert.Equal(t, r.do("POST", "/services/lookup/", "").status, 200)
	r.node.service.EchoesRequestID = true
	r.do("POST", "/services/lookup/", "").has(t, 502, CodeUpstreamFailed, "unknown")
}

// Guards against a cut answer being passed on as a short success.
func TestCutAnswersAreErrors(t *testing.T) {
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
			cut := newUpstream(t, func(x *exchangeOf) {
				fmt.Fprint(x.conn, text)
				x.conn.Close()
			})
			r := newRig(t, 4, cut)
			r.do("POST", "/services/lookup/once", "x").has(t, 502, CodeUpstreamFailed, "unknown")
			assert.Equal(t, cut.ran("/once"), 1)
			good := newUpstream(t, echo)
			r.apply(4, 64, cut, good)
			for i := range 4 {
				path := fmt.Sprintf("/%d", i)
				a := r.do("POST", "/services/lookup"+path, "x", idempotent)
				assert.Equal(t, a.body, path+" x")
				assert.Equal(t, good.ran(path), 1)
			}
		})
	}
}

// Guards against connections that went silent being tried one after the other, and against repeating what may have run.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	var silentUpTo atomic.Int64
	u := newUpstream(t, func(x *exchangeOf) {
		if int64(x.nth) > silentUpTo.Load() {
			echo(x)
		}
	})
	r := newRig(t, 8, u)
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() {
			_, err := r.try("GET", "/services/lookup/warm", "")
			assert.Check(t, err)
		})
	}
	wg.Wait()
	silentUpTo.Store(int64(u.connections()))
	a := r.do("POST", "/services/lookup/again", "x", idempotent, HeaderDeadline+": 600")
	assert.Equal(t, a.body, "/again x")
	assert.Equal(t, u.ran("/again"), 2)
	silentUpTo.Store(int64(u.connections()))
	r.do("POST", "/services/lookup/once", "x", shortTime).has(t, 504, CodeUpstreamTimeout, "unknown")
	assert.Equal(t, u.ran("/once"), 1)
}

// Guards against an instance that fails everything getting more than a few requests while another one works.
func TestFailingInstanceGetsOnlyProbes(t *testing.T) {
	bad := newUpstream(t, func(x *exchangeOf) { x.answer(500, "failed") })
	good := newUpstream(t, echo)
	r := newRig(t, 4, bad, good)
	failed := 0
	for i := range 200 {
		if a := r.do("GET", fmt.Sprintf("/services/lookup/%d", i), ""); a.status == 500 {
			failed++
		}
	}
	assert.Equal(t, bad.total(), failed)
	// Five failures open the breaker; at most two probes fit in the time that this takes.
	assert.Assert(t, failed >= 5 && failed <= 7, "%d failed", failed)
	assert.Equal(t, good.total(), 200-failed)
}

// Guards against a request that provably didn't run not being tried elsewhere, and against one that ran being repeated.
func TestNotRunIsRetried(t *testing.T) {
	refusing := newUpstream(t, func(x *exchangeOf) { x.answer(503, "", HeaderOutcome+": not_run") })
	good := newUpstream(t, echo)
	r := newRig(t, 4, refusing)
	a := r.do("POST", "/services/lookup/alone", "x")
	a.has(t, 502, CodeUpstreamFailed, "not_run")
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Equal(t, refusing.ran("/alone"), 3)

	r = newRig(t, 4, refusing, good)
	for i := range 3 {
		path := fmt.Sprintf("/%d", i)
		assert.Equal(t, r.do("POST", "/services/lookup"+path, "x").body, path+" x")
		assert.Equal(t, good.ran(path), 1)
	}
}

// Guards against a refused connection being reported as possibly run, or not being tried elsewhere.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gone := &upstream{address: l.Addr().String()}
	l.Close()
	r := newRig(t, 4, gone)
	r.do("POST", "/services/lookup/x", "x").has(t, 502, CodeUpstreamFailed, "not_run")
	r = newRig(t, 4, gone, newUpstream(t, echo))
	assert.Equal(t, r.do("POST", "/services/lookup/x", "x").body, "/x x")
}

// Guards against more requests at an instance than permits, more connections than granted, and refusals that ran.
func TestConcurrencyStaysWithinPermits(t *testing.T) {
	u := newUpstream(t, func(x *exchangeOf) {
		time.Sleep(2 * time.Millisecond)
		echo(x)
	})
	r := newRig(t, 3, u)
	r.node.service.WaitingLimit = 20
	var wg sync.WaitGroup
	var served, refused atomic.Int64
	for i := range 60 {
		wg.Go(func() {
			path := fmt.Sprintf("/%d", i)
			a, err := r.try("POST", "/services/lookup"+path, "x")
			assert.Check(t, err)
			if a.status == 200 {
				served.Add(1)
				assert.Check(t, u.ran(path) == 1)
				return
			}
			refused.Add(1)
			assert.Check(t, a.status == 503 && strings.Contains(a.body, "not_run"), a.body)
			assert.Check(t, u.ran(path) == 0)
		})
	}
	wg.Wait()
	assert.Equal(t, served.Load()+refused.Load(), int64(60))
	assert.Assert(t, served.Load() >= 20)
	assert.Assert(t, u.most <= 3, "%d at once", u.most)
	assert.Assert(t, u.connections() <= 3)
	assert.Equal(t, len(r.router.Demand()), 0)
}

// Guards against connections above a lowered grant, and a settled version that comes too early.
func TestLoweredGrantClosesConnections(t *testing.T) {
	hold := make(chan struct{})
	u := newUpstream(t, func(x *exchangeOf) {
		if x.req.URL.Path == "/hold" {
			<-hold
		}
		echo(x)
	})
	r := newRig(t, 4, u)
	var wg sync.WaitGroup
	wg.Go(func() {
		a, err := r.try("GET", "/services/lookup/hold", "")
		assert.Check(t, err)
		assert.Check(t, a.status == 200)
	})
	for u.ran("/hold") == 0 {
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

// Guards against a hedge whose loser keeps its permit or reaches the caller, and hedges of non-idempotent requests.
func TestHedge(t *testing.T) {
	var stuck atomic.Bool
	slow := newUpstream(t, func(x *exchangeOf) {
		if stuck.Load() {
			time.Sleep(300 * time.Millisecond)
		}
		echo(x)
	})
	fast := newUpstream(t, echo)
	r := newRig(t, 4, slow, fast)
	r.node.service.Hedge = true
	for range 60 {
		r.do("GET", "/services/lookup/warm", "", idempotent)
	}
	stuck.Store(true)
	for i := range 8 {
		path := fmt.Sprintf("/%d", i)
		assert.Equal(t, r.do("GET", "/services/lookup"+path, "", idempotent).body, path+" ")
		path = fmt.Sprintf("/once%d", i)
		assert.Equal(t, r.do("GET", "/services/lookup"+path, "").status, 200)
		assert.Equal(t, slow.ran(path)+fast.ran(path), 1)
	}
	assert.Equal(t, len(r.router.Demand()), 0)
	assert.Assert(t, r.gateway.proxy.metrics.hedges.Count() > 0)
}

// Guards against a planned stop that cuts off requests, or refuses untruthfully.
func TestDrain(t *testing.T) {
	hold := make(chan struct{})
	u := newUpstream(t, func(x *exchangeOf) {
		<-hold
		echo(x)
	})
	r := newRig(t, 4, u)
	assert.Equal(t, r.do("GET", "/healthz", "").status, 200)
	var wg sync.WaitGroup
	wg.Go(func() {
		a, err := r.try("POST", "/services/lookup/open", "x")
		assert.Check(t, err)
		assert.Check(t, a.body == "/open x", a.body)
	})
	for u.ran("/open") == 0 {
		time.Sleep(time.Millisecond)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, r.gateway.Drain(ended), context.Canceled)
	r.do("GET", "/healthz", "").has(t, 503, CodeDraining, "not_run")
	a := r.do("POST", "/services/lookup/new", "x")
	a.has(t, 503, CodeDraining, "not_run")
	assert.Assert(t, a.header.Get("Retry-After") != "")
	r.do("POST", "/v1/jobs", spec, HeaderKey+": k").has(t, 503, CodeDraining, "not_run")
	close(hold)
	assert.NilError(t, r.gateway.Drain(context.Background()))
	wg.Wait()
	assert.Equal(t, u.total(), 1)
	assert.Equal(t, r.node.submits, 0)
}

// Guards against a keyed non-idempotent request that runs twice or without a claim.
func TestKeyedRequests(t *testing.T) {
	u := newUpstream(t, echo)
	r := newRig(t, 4, u)
	post := func(path, key string) answerTo { return r.do("POST", "/services/lookup"+path, "x", HeaderKey+": "+key) }
	assert.Equal(t, post("/a", "1").status, 200)
	post("/a", "1").has(t, 409, CodeDuplicate, "unknown")
	assert.Equal(t, u.ran("/a"), 1)

	r.store.lost = true
	assert.Equal(t, post("/b", "2").status, 200)
	r.store.vanish = true
	post("/c", "3").has(t, 503, CodeStore, "not_run")
	assert.Equal(t, post("/c", "3").status, 200)
	r.store.down = true
	post("/d", "4").has(t, 503, CodeStore, "not_run")
	assert.Equal(t, u.ran("/d"), 0)
	r.store.down = false

	// A request that wasn't run leaves no claim behind.
	r.apply(0, 0)
	post("/e", "5").has(t, 503, CodeNoInstance, "not_run")
	r.apply(4, 64, u)
	assert.Equal(t, post("/e", "5").status, 200)
	assert.Equal(t, u.ran("/e"), 1)
}

// Guards against a router and an owner that don't agree on the messages: permits have to arrive by the demand, and to
// survive the change of the owner.
func TestRouterWithLedger(t *testing.T) {
	u := newUpstream(t, echo)
	r := newRig(t, 0)
	ledgerOf := func(first uint64, notBefore time.Time) *routing.PermitLedger {
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
	l := ledgerOf(100, time.Time{})
	assert.Equal(t, exchange(l).Endpoints[0].Permits, int32(8))
	assert.Equal(t, r.do("POST", "/services/lookup/x", "y").body, "/x y")
	assert.Assert(t, exchange(l).Unchanged)
	l = ledgerOf(10_000, routing.InheritedUntil(time.Now()))
	assert.Assert(t, exchange(l).HoldingsNonce > 0)
	assert.Equal(t, exchange(l).Endpoints[0].Permits, int32(8))
	assert.Equal(t, r.do("POST", "/services/lookup/x", "y").body, "/x y")
	r.router.Remove("owned")
	r.do("POST", "/services/lookup/z", "").has(t, 503, CodeNoInstance, "not_run")
}

// Guards against decisions that aren't logged, or without what explains them.
func TestEachTryIsLogged(t *testing.T) {
	r := newRig(t, 4, newUpstream(t, func(x *exchangeOf) { x.answer(503, "", HeaderOutcome+": not_run") }))
	var out bytes.Buffer
	r.gateway.proxy.log = slog.New(slog.NewJSONHandler(&out, nil))
	r.do("POST", "/services/lookup/x", "").has(t, 502, CodeUpstreamFailed, "not_run")
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

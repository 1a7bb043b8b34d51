package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

// upstream is a service instance on loopback. Tests write its responses byte by byte.
type upstream struct {
	address string
	mu      sync.Mutex
	runs    map[string]int // number of requests by path
	open    int
	maxOpen int // largest number of concurrent requests
	conns   int
}

// upstreamRequest is one request received by an upstream.
type upstreamRequest struct {
	conn       net.Conn
	connNumber int // counted from 1
	req        *http.Request
	body       string
}

// respond writes a complete response with the request's ID.
func (x *upstreamRequest) respond(status int, body string, headers ...string) {
	h := strings.Join(append(headers, "Sequoiastall-Request-Id: "+x.req.Header.Get(HeaderRequestID)), "\r\n")
	fmt.Fprintf(x.conn, "HTTP/1.1 %d X\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, h, len(body), body)
}

func newUpstream(t testing.TB, handle func(x *upstreamRequest)) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &upstream{address: l.Addr().String(), runs: map[string]int{}}
	var wg sync.WaitGroup
	var conns sync.Map
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Store(c, true)
			u.mu.Lock()
			u.conns++
			connNumber := u.conns
			u.mu.Unlock()
			wg.Go(func() {
				defer c.Close()
				u.serve(c, connNumber, handle)
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		conns.Range(func(c, _ any) bool { c.(net.Conn).Close(); return true })
		wg.Wait()
	})
	return u
}

func (u *upstream) serve(c net.Conn, connNumber int, handle func(x *upstreamRequest)) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.runs[req.URL.Path]++
		u.open++
		u.maxOpen = max(u.maxOpen, u.open)
		u.mu.Unlock()
		handle(&upstreamRequest{c, connNumber, req, string(body)})
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
	}
}

func (u *upstream) runCount(path string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[path]
}

func (u *upstream) total() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, k := range u.runs {
		n += k
	}
	return n
}

func (u *upstream) connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns
}

// fakeNode implements Node with two teams, a and b.
type fakeNode struct {
	mu        sync.Mutex
	authority error
	submitErr error
	jobs      map[job.ID]job.Status
	submits   int
	service   Service
}

func (n *fakeNode) Authenticate(secret string) (Identity, error) {
	switch secret {
	case "secret-a":
		return Identity{Key: "key-a", Team: "a"}, nil
	case "secret-b":
		return Identity{Key: "key-b", Team: "b"}, nil
	case "secret-a-shared":
		return Identity{Key: "key-a-shared", Team: "a", Queues: []string{"shared"}}, nil
	}
	return Identity{}, ErrUnknownKey
}

func (n *fakeNode) Authority() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.authority
}

func (n *fakeNode) Queue(name string) (Queue, bool) {
	q, ok := map[string]Queue{"qa": {Name: "qa", Team: "a", Class: job.Batch}, "shared": {Name: "shared", Class: job.Service},
		"open": {Name: "open", Open: true, Class: job.Batch}, "gangs": {Name: "gangs", Team: "a", Class: job.Gang},
		"requests": {Name: "requests", Team: "a", Class: "request"}}[name]
	return q, ok
}

func (n *fakeNode) Service(name string) (Service, bool) {
	if name == "opened" {
		s := n.service
		s.Queue = "open"
		return s, true
	}
	return n.service, name == n.service.Name
}

func (n *fakeNode) Submit(_ context.Context, team, key string, spec job.Spec) (job.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.submitErr != nil {
		return job.Status{}, n.submitErr
	}
	id := job.NewID(team, key)
	if s, ok := n.jobs[id]; ok {
		return s, nil
	}
	n.submits++
	n.jobs[id] = job.Status{Record: job.Record{ID: id, Key: key, Spec: spec}, Phase: job.Pending}
	return n.jobs[id], nil
}

func (n *fakeNode) Status(_ context.Context, id job.ID) (job.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.jobs[id]
	if !ok {
		return s, ErrNotFound
	}
	return s, nil
}

func (n *fakeNode) Cancel(_ context.Context, id job.ID) (job.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.jobs[id]
	s.CancelRequested = true
	n.jobs[id] = s
	return s, nil
}

func (n *fakeNode) MayUse(id Identity, queue string) bool {
	return len(id.Queues) == 0 || slices.Contains(id.Queues, queue)
}

func (n *fakeNode) Jobs(_ context.Context, team string) JobList {
	return JobList{Jobs: []JobView{{ID: "J-" + job.ID(team)}}, Total: 1}
}

func (n *fakeNode) Nodes() []NodeView                  { return []NodeView{{ID: "n1", Zone: "z1", State: "live"}} }
func (n *fakeNode) Queues(context.Context) []QueueView { return []QueueView{{Name: "qa", Team: "a"}} }
func (n *fakeNode) Teams() []TeamView                  { return []TeamView{{Name: "a", Limit: 8}} }
func (n *fakeNode) Partitions() []PartitionView        { return []PartitionView{{Name: "z1/0", Owner: "n1"}} }
func (n *fakeNode) Revision() RevisionView             { return RevisionView{Node: "n1", Revision: 3} }

// fakeStore keeps claims in memory and injects the faults set by a test.
type fakeStore struct {
	port.Store
	mu           sync.Mutex
	entries      map[string]port.Entry
	last         int64
	down         bool
	loseResponse bool // the next Put takes effect, but its response is lost
	loseWrite    bool // the next Put has no effect, and its response is lost
}

func (s *fakeStore) Grant(context.Context, time.Duration) (port.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, port.ErrUnavailable
	}
	return 1, nil
}

func (s *fakeStore) Put(_ context.Context, w port.Write) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, port.ErrUnavailable
	}
	if s.loseWrite {
		s.loseWrite = false
		return 0, port.ErrUnknownOutcome
	}
	if e, ok := s.entries[w.Key]; ok {
		return 0, &port.ConflictError{Key: w.Key, Current: &e}
	}
	s.last++
	s.entries[w.Key] = port.Entry{Key: w.Key, Value: w.Value, Revision: s.last}
	if s.loseResponse {
		s.loseResponse = false
		return 0, port.ErrUnknownOutcome
	}
	return s.last, nil
}

func (s *fakeStore) Get(_ context.Context, key string) (port.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return port.Entry{}, port.ErrUnavailable
	}
	e, ok := s.entries[key]
	if !ok {
		return e, port.ErrNotFound
	}
	return e, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, revision int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.entries[key].Revision != revision {
		return port.ErrUnavailable
	}
	delete(s.entries, key)
	return nil
}

// harness is a gateway in front of upstreams.
type harness struct {
	t       testing.TB
	gateway *Gateway
	router  *Router
	node    *fakeNode
	store   *fakeStore
	url     string
	client  *http.Client
	version uint64
}

func newHarness(t testing.TB, permits int32, upstreams ...*upstream) *harness {
	r := &harness{t: t, node: &fakeNode{jobs: map[job.ID]job.Status{}, service: Service{Name: "lookup", Team: "a", Queue: "shared", Deadline: 5 * time.Second}},
		store: &fakeStore{entries: map[string]port.Entry{}}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	r.router = NewRouter("z1", rand.New(rand.NewPCG(1, 2)), port.SystemClock{})
	r.gateway = New(Options{NodeID: "n1", Node: r.node, Router: r.router, Store: r.store, Clock: port.SystemClock{},
		Log: slog.New(slog.DiscardHandler), Registry: telemetry.NewRegistry(slog.New(slog.DiscardHandler)), BodyLimit: 1 << 20, ReadTimeout: 300 * time.Millisecond,
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "metrics") })})
	r.apply(permits, 64, upstreams...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r.url = "http://" + l.Addr().String()
	serveErr := make(chan error, 1)
	go func() { serveErr <- r.gateway.Serve(l) }()
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		assert.Check(t, r.gateway.Close(ctx))
		assert.Check(t, <-serveErr)
		assert.Check(t, r.router.Violations() == 0)
	})
	return r
}

// apply configures the upstreams as endpoints in the gateway's zone, each on its own worker.
func (r *harness) apply(permits, connections int32, upstreams ...*upstream) {
	r.version++
	set := routing.EndpointSet{Partition: "p", Version: r.version, PermitTTLMS: 600_000}
	for i, u := range upstreams {
		set.Endpoints = append(set.Endpoints, routing.Endpoint{Instance: job.TaskID{Job: "J", Index: int32(i)}, Service: "lookup",
			Worker: fmt.Sprint("w", i), Zone: "z1", Address: u.address, Permits: permits, Connections: connections})
	}
	r.router.Apply(set, time.Now())
}

// response is a response of the gateway.
type response struct {
	status int
	body   string
	header http.Header
}

// assertError checks that the response is an error with this status, code and outcome.
func (a response) assertError(t testing.TB, status int, code Code, outcome string) {
	t.Helper()
	assert.Equal(t, a.status, status, a.body)
	assert.Assert(t, strings.Contains(a.body, `"code":"`+string(code)+`"`), a.body)
	assert.Assert(t, strings.Contains(a.body, `"outcome":"`+outcome+`"`), a.body)
}

// do sends a request with team a's key, unless headers override it.
func (r *harness) do(method, path, body string, headers ...string) response {
	r.t.Helper()
	a, err := r.send(method, path, body, headers...)
	assert.NilError(r.t, err)
	return a
}

func (r *harness) send(method, path, body string, headers ...string) (response, error) {
	req, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer secret-a")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
		if value == "" {
			req.Header.Del(name)
		}
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(b), resp.Header}, errors.Wrap(err, "read the response")
}

const (
	idempotent    = HeaderIdempotent + ": true"
	shortDeadline = HeaderDeadline + ": 150"
)

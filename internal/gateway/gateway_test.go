package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
)

const spec = `{"team":"a","queue":"qa","class":"batch","tasks":3,"resources":{"slots":1},"idempotent":true}`

// Guards against invalid submissions that are accepted, reach the node, or are rejected with the wrong error.
func TestBadSubmissions(t *testing.T) {
	r := newHarness(t, 4)
	with := func(old, new string) string { return strings.Replace(spec, old, new, 1) }
	key := HeaderIdempotencyKey + ": k"
	cases := []struct {
		name, body string
		headers    []string
		status     int
		code       Code
	}{
		{"no idempotency key", spec, nil, 400, CodeInvalid},
		{"long idempotency key", spec, []string{HeaderIdempotencyKey + ": " + strings.Repeat("k", 257)}, 400, CodeInvalid},
		{"not JSON", "{", []string{key}, 400, CodeInvalid},
		{"empty", "", []string{key}, 400, CodeInvalid},
		{"two values", spec + spec, []string{key}, 400, CodeInvalid},
		{"unknown field", with(`"tasks"`, `"priority":1,"tasks"`), []string{key}, 400, CodeInvalid},
		{"unknown resource", with(`"slots"`, `"gpus"`), []string{key}, 400, CodeInvalid},
		{"wrong type", with(`"tasks":3`, `"tasks":"3"`), []string{key}, 400, CodeInvalid},
		{"no tasks", with(`"tasks":3`, `"tasks":0`), []string{key}, 400, CodeInvalid},
		{"negative tasks", with(`"tasks":3`, `"tasks":-1`), []string{key}, 400, CodeInvalid},
		{"absurd tasks", with(`"tasks":3`, `"tasks":2000000000`), []string{key}, 400, CodeInvalid},
		{"overflow", with(`"tasks":3`, `"tasks":99999999999999999999`), []string{key}, 400, CodeInvalid},
		{"absurd slots", with(`"slots":1`, `"slots":9000000000000000000`), []string{key}, 400, CodeInvalid},
		{"negative slots", with(`"slots":1`, `"slots":-1`), []string{key}, 400, CodeInvalid},
		{"no resources", with(`"slots":1`, ``), []string{key}, 400, CodeInvalid},
		{"unknown class", with(`batch`, `cron`), []string{key}, 400, CodeInvalid},
		{"service without its name", with(`batch`, `service`), []string{key}, 400, CodeInvalid},
		{"unknown queue", with(`"qa"`, `"nope"`), []string{key}, 404, CodeUnknownQueue},
		{"no key", spec, []string{key, "Authorization: "}, 401, CodeKeyMissing},
		{"unknown key", spec, []string{key, "Authorization: Bearer zzz"}, 401, CodeUnknownKey},
		{"other scheme", spec, []string{key, "Authorization: Basic secret-a"}, 401, CodeUnknownKey},
		{"key of another team", spec, []string{key, "Authorization: Bearer secret-b"}, 403, CodeWrongTeam},
		{"queue of another team", with(`"team":"a"`, `"team":"b"`), []string{key, "Authorization: Bearer secret-b"}, 403, CodeWrongTeam},
		{"key of another team on an open queue", with(`"qa"`, `"open"`), []string{key, "Authorization: Bearer secret-b"}, 403, CodeWrongTeam},
		{"revoked key on an open queue", with(`"qa"`, `"open"`), []string{key, "Authorization: Bearer zzz"}, 401, CodeUnknownKey},
		{"key limited to other queues", spec, []string{key, "Authorization: Bearer secret-a-shared"}, 403, CodeQueueNotAllowed},
		{"key limited to other queues on an open queue", with(`"qa"`, `"open"`), []string{key, "Authorization: Bearer secret-a-shared"}, 403, CodeQueueNotAllowed},
		{"batch on a queue for gangs", with(`"qa"`, `"gangs"`), []string{key}, 400, CodeInvalid},
		{"gang on a queue for batch", with(`batch`, `gang`), []string{key}, 400, CodeInvalid},
		{"batch on a queue for requests", with(`"qa"`, `"requests"`), []string{key}, 400, CodeInvalid},
		{"service instances", with(`batch"`, `service","service":"lookup","concurrency":4`), []string{key}, 400, CodeInvalid},
		{"concurrency of a batch job", with(`"tasks"`, `"concurrency":4,"tasks"`), []string{key}, 400, CodeInvalid},
		{"index of a divided job", with(`"tasks"`, `"first_index":4,"tasks"`), []string{key}, 400, CodeInvalid},
		{"no team on an open queue", strings.Replace(with(`"qa"`, `"open"`), `"team":"a",`, ``, 1), []string{key, "Authorization: "}, 400, CodeInvalid},
		{"compressed", spec, []string{key, "Content-Encoding: gzip"}, 400, CodeInvalid},
		{"oversized", strings.Repeat(" ", 1<<20+1) + spec, []string{key}, 413, CodeTooLarge},
		{"oversized header", spec, []string{key, "X: " + strings.Repeat("x", 20<<10)}, 413, CodeTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r.do("POST", "/v1/jobs", c.body, c.headers...).assertError(t, c.status, c.code, "not_run")
		})
	}
	assert.Equal(t, r.node.submits, 0)
}

// Guards against service requests with invalid headers, keys or paths that are forwarded instead of rejected.
func TestBadRequests(t *testing.T) {
	u := newUpstream(t, echo)
	r := newHarness(t, 4, u)
	cases := []struct {
		path, header string
		status       int
		code         Code
	}{
		{"/services/nope/", "X: 1", 404, CodeUnknownService},
		{"/services/lookup/", "Authorization: ", 401, CodeKeyMissing},
		{"/services/lookup/", "Authorization: Bearer zzz", 401, CodeUnknownKey},
		{"/services/lookup/", "Authorization: Bearer secret-b", 403, CodeWrongTeam},
		{"/services/opened/", "Authorization: Bearer secret-a-shared", 403, CodeQueueNotAllowed},
		{"/services/lookup/", HeaderDeadline + ": 0", 400, CodeInvalid},
		{"/services/lookup/", HeaderDeadline + ": 30001", 400, CodeInvalid},
		{"/services/lookup/", HeaderDeadline + ": soon", 400, CodeInvalid},
		{"/services/lookup/", HeaderIdempotent + ": yes", 400, CodeInvalid},
		{"/services/lookup/", HeaderIdempotencyKey + ": " + strings.Repeat("k", 257), 400, CodeInvalid},
		{"/nope", "X: 1", 404, CodeNotFound},
		{"/v1/nodes", "X: 1", 405, CodeMethodNotAllowed},
	}
	for _, c := range cases {
		t.Run(c.path+" "+c.header[:min(len(c.header), 40)], func(t *testing.T) {
			r.do("POST", c.path, "x", c.header).assertError(t, c.status, c.code, "not_run")
		})
	}
	assert.Equal(t, u.total(), 0)
	assert.Equal(t, r.do("POST", "/services/opened/x", "y", "Authorization: ").body, "/x y")
}

// Guards against slow senders and invalid HTTP that hold a connection forever or get no response.
func TestSlowAndBrokenSenders(t *testing.T) {
	r := newHarness(t, 4)
	for text, status := range map[string]int{
		"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{": 408,
		"NONSENSE\r\n\r\n": 400,
		"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n": 400,
	} {
		c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		assert.NilError(t, err)
		fmt.Fprint(c, text)
		assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err, text)
		assert.Equal(t, resp.StatusCode, status, text)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(body), `"outcome":"not_run"`), string(body))
		c.Close()
	}
	assert.Equal(t, r.node.submits, 0)
}

// Guards against a repeated submission that creates a second job, and jobs that other teams can see or cancel.
func TestJobs(t *testing.T) {
	r := newHarness(t, 4)
	var first, second job.Status
	a := r.do("POST", "/v1/jobs", spec, HeaderIdempotencyKey+": k")
	assert.Equal(t, a.status, 202, a.body)
	assert.NilError(t, json.Unmarshal([]byte(a.body), &first))
	assert.NilError(t, json.Unmarshal([]byte(r.do("POST", "/v1/jobs", spec, HeaderIdempotencyKey+": k").body), &second))
	assert.Equal(t, first.ID, second.ID)
	assert.Equal(t, first.ID, job.NewID("a", "k"))
	assert.Equal(t, r.node.submits, 1)
	path := "/v1/jobs/" + string(first.ID)
	assert.Equal(t, r.do("GET", path, "").status, 200)
	for _, method := range []string{"GET", "DELETE"} {
		r.do(method, path, "", "Authorization: Bearer secret-b").assertError(t, 403, CodeWrongTeam, "not_run")
		r.do(method, path, "", "Authorization: ").assertError(t, 401, CodeKeyMissing, "not_run")
		r.do(method, "/v1/jobs/NOPE", "").assertError(t, 404, CodeNotFound, "not_run")
	}
	assert.Assert(t, !r.node.jobs[first.ID].CancelRequested)
	assert.Equal(t, r.do("DELETE", path, "").status, 200)
	assert.Assert(t, r.node.jobs[first.ID].CancelRequested)
	open := strings.Replace(spec, `"qa"`, `"open"`, 1)
	assert.Equal(t, r.do("POST", "/v1/jobs", open, HeaderIdempotencyKey+": o", "Authorization: ").status, 202)
}

// Guards against errors of the node that are reported to the caller with the wrong outcome.
func TestSubmitErrors(t *testing.T) {
	r := newHarness(t, 4)
	for _, c := range []struct {
		err     error
		status  int
		code    Code
		outcome string
	}{
		{errors.Wrap(ErrNotAccepted, "store unavailable"), 503, CodeStoreUnavailable, "not_run"},
		{errors.New("lost answer"), 503, CodeStoreUnavailable, "unknown"},
		{errors.Wrap(ErrInvalid, "larger than any host"), 400, CodeInvalid, "not_run"},
		{ErrConflict, 409, CodeConflict, "not_run"},
	} {
		r.node.submitErr = c.err
		r.do("POST", "/v1/jobs", spec, HeaderIdempotencyKey+": k").assertError(t, c.status, c.code, c.outcome)
	}
	r.node.authority = errors.New("configuration not confirmed")
	a := r.do("POST", "/v1/jobs", spec, HeaderIdempotencyKey+": k")
	a.assertError(t, 503, CodeNoAuthority, "not_run")
	assert.Equal(t, a.header.Get("Retry-After"), "1")
	r.do("GET", "/healthz", "").assertError(t, 503, CodeNoAuthority, "not_run")
	r.do("GET", "/services/lookup/", "").assertError(t, 503, CodeNoAuthority, "not_run")
}

// Guards against views that are served without a key or differ from the node's data.
func TestViews(t *testing.T) {
	r := newHarness(t, 4)
	for path, part := range map[string]string{"nodes": `"zone":"z1"`, "queues": `"name":"qa"`, "teams": `"limit":8`,
		"partitions": `"owner":"n1"`, "jobs": `"id":"J-a"`} {
		a := r.do("GET", "/v1/"+path, "")
		assert.Equal(t, a.status, 200)
		assert.Assert(t, strings.Contains(a.body, part), a.body)
		r.do("GET", "/v1/"+path, "", "Authorization: ").assertError(t, 401, CodeKeyMissing, "not_run")
	}
	assert.Equal(t, r.do("GET", "/metrics", "").body, "metrics")
	assert.Equal(t, r.do("GET", "/v1/revision", "", "Authorization: ").body, `{"node":"n1","revision":3}`)
	assert.Equal(t, r.do("GET", "/services/lookup/x", "", "Authorization: Bearer secret-a-shared").status, 503, "no instance")
}

// BenchmarkRequest compares a request through the gateway with one sent directly to the instance.
func BenchmarkRequest(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBodyString("answer") }}
	go func() { _ = s.Serve(l) }()
	defer func() { assert.Check(b, s.Shutdown()) }()
	r := newHarness(b, 64, &upstream{address: l.Addr().String()})
	for _, target := range []struct{ name, url string }{
		{"direct", "http://" + l.Addr().String() + "/x"}, {"proxied", r.url + "/services/lookup/x"}} {
		b.Run(target.name, func(b *testing.B) {
			client := &fasthttp.Client{}
			defer client.CloseIdleConnections()
			req, resp := &fasthttp.Request{}, &fasthttp.Response{}
			req.SetRequestURI(target.url)
			req.Header.Set("Authorization", "Bearer secret-a")
			b.ReportAllocs()
			for b.Loop() {
				if err := client.Do(req, resp); err != nil || string(resp.Body()) != "answer" {
					b.Fatal(err, resp.String())
				}
			}
		})
	}
}

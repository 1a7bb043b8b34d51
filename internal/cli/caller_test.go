package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/port"
)

// response is an HTTP response of a fake node.
type response struct {
	status int
	body   string
}

// errorResponse returns a response in the format of the gateway's errors.
func errorResponse(status int, code, outcome string) response {
	return response{status, `{"error":{"code":"` + code + `","message":"m","outcome":"` + outcome + `","retry_after_ms":0}}`}
}

// fakeNode serves the responses that a test defines for each method and path. The last response of
// a list is repeated.
type fakeNode struct {
	mu              sync.Mutex
	responses       map[string][]response // by method and path, for example GET /v1/jobs
	requests        []string              // method, path, Authorization and Idempotency-Key of each request
	bodies          []string
	dropConnections int // number of first requests whose connection is closed without a response
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	// The test isn't notified of aborted requests, so only the mutex orders them before the next request.
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests = append(n.requests, r.Method+" "+r.URL.Path+" "+r.Header.Get("Authorization")+" "+r.Header.Get("Idempotency-Key"))
	n.bodies = append(n.bodies, string(body))
	if n.dropConnections > 0 {
		n.dropConnections--
		panic(http.ErrAbortHandler)
	}
	key := r.Method + " " + r.URL.Path
	queued := n.responses[key]
	if len(queued) == 0 {
		queued = []response{errorResponse(404, "not_found", "not_run")}
	} else if len(queued) > 1 {
		n.responses[key] = queued[1:]
	}
	w.WriteHeader(queued[0].status)
	_, _ = io.WriteString(w, queued[0].body)
}

// sent returns the requests received so far.
func (n *fakeNode) sent() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.requests)
}

// newNodeHarness returns a harness whose commands call a fake node.
func newNodeHarness(t *testing.T) (*harness, *fakeNode) {
	n := &fakeNode{responses: map[string][]response{}}
	s := httptest.NewServer(n)
	t.Cleanup(s.Close)
	t.Setenv(envNode, strings.TrimPrefix(s.URL, "http://"))
	t.Setenv(envKey, "secret")
	return newHarness(t), n
}

// limitRetries makes the retries of commands end after n pauses, instead of after a timeout.
func (h *harness) limitRetries(n int) {
	h.sleepErr = func() error {
		if n--; n < 0 {
			return context.DeadlineExceeded
		}
		return nil
	}
}

const acceptedJob = `{"id":"J1","spec":{"team":"a","queue":"q","class":"batch","tasks":2},"phase":"pending","pending":2,"waiting":"no room"}`

// Guards against fields of a file or flags that don't reach the node, and against a key that isn't sent.
func TestSubmit(t *testing.T) {
	h, n := newNodeHarness(t)
	n.responses["POST /v1/jobs"] = []response{{202, acceptedJob}}
	file := filepath.Join(t.TempDir(), "job.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(`{
		// a comment
		"queue": "q", "name": "n", "tasks": 5, "resources": {"slots": 2, "milli_cpu": 3, "memory_mb": 4, "accelerators": 1},
		"duration_ms": 6, "deadline_ms": 7, "idempotent": true, "pool": "p", "payload": "text",
	}`), 0o600))
	assert.Equal(t, h.run("submit", "-f", file, "--tasks", "2", "--idempotency-key", "k1"), ExitOK, h.stderr)
	assert.Equal(t, n.sent()[0], "POST /v1/jobs Bearer secret k1")
	var spec job.Spec
	assert.NilError(t, json.Unmarshal([]byte(n.bodies[0]), &spec))
	want := job.Spec{Queue: "q", Name: "n", Class: job.Batch, Tasks: 2, DurationMS: 6, DeadlineMS: 7, Idempotent: true, Pool: "p", Payload: []byte("text")}
	want.Resources.Slots, want.Resources.MilliCPU, want.Resources.MemoryMB, want.Resources.Accelerators = 2, 3, 4, 1
	assert.DeepEqual(t, spec, want)
	assert.Assert(t, strings.Contains(h.stdout, "J1") && strings.Contains(h.stdout, "waiting: no room"), h.stdout)

	assert.Equal(t, h.run("submit", "--queue", "q", "--class", "gang", "-o", "json"), ExitOK, h.stderr)
	var status job.Status
	assert.NilError(t, json.Unmarshal([]byte(h.stdout), &status))
	assert.Equal(t, status.ID, job.ID("J1"))
	keys := strings.Fields(n.sent()[1])
	assert.Equal(t, len(keys), 5, "a random idempotency key: %v", keys)
}

// Guards against a submission that is sent although its file or flags are invalid.
func TestSubmitBadInput(t *testing.T) {
	h, n := newNodeHarness(t)
	dir := t.TempDir()
	for content, want := range map[string]string{
		`{"queue": "q", "taks": 3}`:               `job.jsonc:1: unknown field "taks"`,
		"{\n\"queue\": \"q\",\n\"tasks\": \"3\"}": "job.jsonc:3:",
		`{"queue": `: "job.jsonc:1:",
	} {
		file := filepath.Join(dir, "job.jsonc")
		assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
		assert.Equal(t, h.run("submit", "-f", file), ExitInvalid, content)
		assert.Assert(t, strings.Contains(h.stderr, want) && strings.Contains(h.stderr, "nothing was submitted"), h.stderr)
	}
	for _, args := range [][]string{{"submit"}, {"submit", "-f", "absent"}, {"submit", "--queue", "q", "--timeout", "0s"},
		{"submit", "--queue", "q", "--key-file", "absent"}, {"submit", "--queue", "q", "--node", "nowhere"}, {"job"},
		{"job", "a", "b"}, {"cancel"}, {"cancel", "J", "--timeout", "-1s"}, {"status", "x"}} {
		assert.Equal(t, h.run(args...), ExitUsage, "%v: %s", args, h.stderr)
	}
	t.Setenv(envKey, "two\nlines")
	assert.Equal(t, h.run("status"), ExitUsage)
	t.Setenv(envNode, "")
	assert.Equal(t, h.run("status"), ExitUsage)
	assert.Equal(t, len(n.sent()), 0)
}

// Guards against an exit code that makes a script repeat a call that may have taken effect, or not repeat a call that
// did not take effect.
func TestCallExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		responses       []response
		dropConnections int
		pauses          int
		code            int
		sent            int
	}{
		"accepted after a refusal":         {[]response{errorResponse(503, "draining", "not_run"), {202, acceptedJob}}, 0, 9, ExitOK, 2},
		"accepted after a lost answer":     {[]response{{202, acceptedJob}}, 1, 9, ExitOK, 2},
		"refused until the end":            {[]response{errorResponse(503, "store_unavailable", "not_run")}, 0, 2, ExitNotRun, 3},
		"unknown until the end":            {[]response{errorResponse(503, "store_unavailable", "unknown")}, 0, 2, ExitUnknown, 3},
		"lost, then refused until the end": {[]response{errorResponse(503, "draining", "not_run")}, 1, 2, ExitUnknown, 3},
		"lost, then a revoked key":         {[]response{errorResponse(401, "key_unknown", "not_run")}, 1, 2, ExitUnknown, 2},
		"invalid":                          {[]response{errorResponse(400, "invalid_request", "not_run")}, 0, 9, ExitInvalid, 1},
		"unknown queue":                    {[]response{errorResponse(404, "unknown_queue", "not_run")}, 0, 9, ExitInvalid, 1},
		"key used before":                  {[]response{errorResponse(409, "idempotency_conflict", "not_run")}, 0, 9, ExitConflict, 1},
		"revoked key":                      {[]response{errorResponse(401, "key_unknown", "not_run")}, 0, 9, ExitFailure, 1},
		"answer that isn't a job":          {[]response{{200, "hello"}}, 0, 0, ExitUnknown, 1},
		"error that isn't the gateway's":   {[]response{{502, "bad gateway"}}, 0, 0, ExitUnknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h, n := newNodeHarness(t)
			n.responses["POST /v1/jobs"], n.dropConnections = c.responses, c.dropConnections
			h.limitRetries(c.pauses)
			assert.Equal(t, h.run("submit", "--queue", "q", "--idempotency-key", "k1"), c.code, h.stderr)
			assert.Equal(t, len(n.sent()), c.sent)
			for _, r := range n.sent() {
				assert.Equal(t, r, n.sent()[0], "the idempotency key stays the same")
			}
			if c.code != ExitOK {
				assert.Assert(t, strings.Contains(h.stderr, "--idempotency-key k1"), h.stderr)
			}
		})
	}
}

// Guards against an exit code other than ExitUnavailable if the node can't be reached, so that the call had no effect.
func TestUnreachableNode(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	h := newHarness(t)
	h.limitRetries(1)
	for _, args := range [][]string{{"submit", "--queue", "q"}, {"cancel", "J"}, {"job", "J"}, {"job", "J", "--wait"}, {"status"}} {
		h.limitRetries(1)
		assert.Equal(t, h.run(append(args, "--node", strings.TrimPrefix(s.URL, "http://"))...), ExitUnavailable, "%v %s", args, h.stderr)
	}
}

// Guards against a job whose end isn't noticed or whose failure is reported as success.
func TestJobAndCancel(t *testing.T) {
	h, n := newNodeHarness(t)
	final := func(phase, more string) response {
		return response{200, `{"id":"J1","spec":{"team":"a","queue":"q","tasks":2},"phase":"` + phase + `"` + more + `}`}
	}
	for _, c := range []struct {
		last response
		code int
		want string
	}{
		{final("done", `,"succeeded":2`), ExitOK, "done"},
		{final("done", `,"succeeded":1,"unknown":1`), ExitFailure, "1 unknown"},
		{final("failed", `,"reason":"too large"`), ExitFailure, "too large"},
		{final("cancelled", ``), ExitFailure, "cancelled"},
	} {
		n.responses["GET /v1/jobs/J1"] = []response{{200, acceptedJob}, errorResponse(503, "store_unavailable", "not_run"), c.last}
		assert.Equal(t, h.run("job", "J1", "--wait"), c.code, h.stderr)
		assert.Assert(t, strings.Contains(h.stdout+h.stderr, c.want), h.stdout+h.stderr)
	}
	assert.Equal(t, h.run("job", "NONE"), ExitFailure)
	assert.Equal(t, h.run("job", "NONE", "--wait"), ExitFailure)
	n.responses["DELETE /v1/jobs/J1"] = []response{{200, strings.Replace(acceptedJob, `"phase"`, `"cancel_requested":true,"phase"`, 1)}}
	assert.Equal(t, h.run("cancel", "J1"), ExitOK, h.stderr)
	assert.Assert(t, strings.Contains(h.stdout, "cancellation was requested"), h.stdout)
	secret := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(secret, []byte("from-file\n"), 0o600))
	assert.Equal(t, h.run("cancel", "J1", "--key-file", secret), ExitOK)
	assert.Equal(t, n.sent()[len(n.sent())-1], "DELETE /v1/jobs/J1 Bearer from-file ")
}

// Guards against parts of the cell's state that status doesn't show.
func TestStatus(t *testing.T) {
	h, n := newNodeHarness(t)
	n.responses["GET /v1/nodes"] = []response{{200, `[{"id":"n1","zone":"z","address":"127.0.0.1:1","state":"draining","revision":7,"partitions":["z/0","z/1"]}]`}}
	n.responses["GET /v1/partitions"] = []response{{200, `[{"name":"z/0","owner":"n1","workers":3,"settled":true,"capacity":{"slots":24},"free":{"slots":5}},{"name":"z/1","settled":false}]`}}
	n.responses["GET /v1/teams"] = []response{{200, `[{"name":"a","weight":3,"limit":8,"limited":true,"running":6,"backlog":40},{"name":"b","weight":1}]`}}
	n.responses["GET /v1/queues"] = []response{{200, `[{"name":"q","class":"batch","open":true,"pending":4,"running":2}]`}}
	n.responses["GET /v1/jobs"] = []response{{200, `{"jobs":[{"id":"J1","queue":"q","phase":"pending","tasks":2,"pending":2,"submitted_ms":` + "1767225590000" + `,"waiting":"team a is at its limit"}],"total":3}`}}
	assert.Equal(t, h.run("status"), ExitOK, h.stderr)
	for _, want := range []string{"draining  7         z/0,z/1", "z/0        n1     yes      3        24     5", "z/1        none   no",
		"a     75.0%  8      6        40", "b     25.0%  none", "q      batch  (open)  4        2", "10s", "team a is at its limit", "and 2 more jobs"} {
		assert.Assert(t, strings.Contains(h.stdout, want), "%q in\n%s", want, h.stdout)
	}
	assert.Equal(t, h.run("status", "-o", "json"), ExitOK)
	var s cellStatus
	assert.NilError(t, json.Unmarshal([]byte(h.stdout), &s))
	assert.Assert(t, len(s.Nodes) == 1 && len(s.Partitions) == 2 && len(s.Teams) == 2 && len(s.Queues) == 1 && s.Jobs.Total == 3)
	n.responses["GET /v1/queues"] = []response{errorResponse(401, "key_unknown", "not_run")}
	assert.Equal(t, h.run("status"), ExitFailure)
	n.responses["GET /v1/queues"] = []response{errorResponse(503, "no_authority", "not_run")}
	assert.Equal(t, h.run("status"), ExitUnavailable)
}

// Guards against shell completions that are missing, or that fail if no node is configured.
func TestCompletion(t *testing.T) {
	h, n := newNodeHarness(t)
	n.responses["GET /v1/jobs"] = []response{{200, `{"jobs":[{"id":"J1","queue":"q"},{"id":"J2","queue":"q"}],"total":2}`}}
	for args, want := range map[string]string{"job": "J1\tq", "cancel": "J2\tq", "submit --class": "gang", "dev --set": "frio-retorno", "get": "team"} {
		assert.Equal(t, h.run(append(append([]string{"__complete"}, strings.Fields(args)...), "")...), ExitOK)
		assert.Assert(t, strings.Contains(h.stdout, want), "%s: %s", args, h.stdout)
	}
	t.Setenv(envNode, "")
	assert.Equal(t, h.run("__complete", "job", ""), ExitOK)
	assert.Assert(t, strings.HasPrefix(h.stdout, ":4"), h.stdout)
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		assert.Equal(t, h.run("completion", shell), ExitOK)
		assert.Assert(t, len(h.stdout) > 0)
	}
}

func nodeEntry(node, value string) port.Entry {
	return port.Entry{Key: port.NodePrefix + node, Value: []byte(value)}
}

// Guards against a request for the revision that a node rejects because operators have no key: it must need none.
func TestNodeRevisions(t *testing.T) {
	_, n := newNodeHarness(t)
	n.responses["GET /v1/revision"] = []response{{200, `{"node":"n1","revision":4}`}}
	address := os.Getenv(envNode)
	assert.DeepEqual(t, fetchRevision(t.Context(), nodeEntry("n1", `{"http_address":"`+address+`"}`)), NodeRevision{Node: "n1", Revision: 4})
	assert.Equal(t, n.sent()[0], "GET /v1/revision  ")
	assert.Equal(t, fetchRevision(t.Context(), nodeEntry("n2", `{"http_address":"`+address+`"}`)).Error, "its address is now that of node n1")
	assert.Assert(t, fetchRevision(t.Context(), nodeEntry("n1", `{`)).Error != "")
	http.DefaultClient.CloseIdleConnections()
}

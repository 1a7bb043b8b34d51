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

// answer is one answer of a fake node.
type answer struct {
	status int
	body   string
}

func refused(status int, code, outcome string) answer {
	return answer{status, `{"error":{"code":"` + code + `","message":"m","outcome":"` + outcome + `","retry_after_ms":0}}`}
}

// nodeServer is a fake node whose answers a test writes. The last answer of a path is repeated.
type nodeServer struct {
	mu       sync.Mutex
	answers  map[string][]answer // by method and path
	requests []string            // method, path and headers of interest
	bodies   []string
	cut      int // requests whose connection is closed without an answer, from the first
}

func (n *nodeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	// An aborted request tells the test nothing, so that only the mutex orders it before the next one.
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests = append(n.requests, r.Method+" "+r.URL.Path+" "+r.Header.Get("Authorization")+" "+r.Header.Get("Idempotency-Key"))
	n.bodies = append(n.bodies, string(body))
	if n.cut > 0 {
		n.cut--
		panic(http.ErrAbortHandler)
	}
	key := r.Method + " " + r.URL.Path
	list := n.answers[key]
	if len(list) == 0 {
		list = []answer{refused(404, "not_found", "not_run")}
	} else if len(list) > 1 {
		n.answers[key] = list[1:]
	}
	w.WriteHeader(list[0].status)
	_, _ = io.WriteString(w, list[0].body)
}

// sent returns the requests so far.
func (n *nodeServer) sent() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.requests)
}

func newNodeBench(t *testing.T) (*bench, *nodeServer) {
	n := &nodeServer{answers: map[string][]answer{}}
	s := httptest.NewServer(n)
	t.Cleanup(s.Close)
	t.Setenv(envNode, strings.TrimPrefix(s.URL, "http://"))
	t.Setenv(envKey, "secret")
	return newBench(t), n
}

// giveUp makes the bench's retries end after n pauses, in place of a time limit.
func (b *bench) giveUp(n int) {
	b.sleepErr = func() error {
		if n--; n < 0 {
			return context.DeadlineExceeded
		}
		return nil
	}
}

const accepted = `{"id":"J1","spec":{"team":"a","queue":"q","class":"batch","tasks":2},"phase":"pending","pending":2,"waiting":"no room"}`

// Guards against fields of a file or flags that are lost on the way to the node, and against a key that isn't sent.
func TestSubmit(t *testing.T) {
	b, n := newNodeBench(t)
	n.answers["POST /v1/jobs"] = []answer{{202, accepted}}
	file := filepath.Join(t.TempDir(), "job.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(`{
		// a comment
		"queue": "q", "name": "n", "tasks": 5, "resources": {"slots": 2, "milli_cpu": 3, "memory_mb": 4, "accelerators": 1},
		"duration_ms": 6, "deadline_ms": 7, "idempotent": true, "pool": "p", "payload": "text",
	}`), 0o600))
	assert.Equal(t, b.run("submit", "-f", file, "--tasks", "2", "--idempotency-key", "k1"), ExitOK, b.stderr)
	assert.Equal(t, n.sent()[0], "POST /v1/jobs Bearer secret k1")
	var spec job.Spec
	assert.NilError(t, json.Unmarshal([]byte(n.bodies[0]), &spec))
	want := job.Spec{Queue: "q", Name: "n", Class: job.Batch, Tasks: 2, DurationMS: 6, DeadlineMS: 7, Idempotent: true, Pool: "p", Payload: []byte("text")}
	want.Resources.Slots, want.Resources.MilliCPU, want.Resources.MemoryMB, want.Resources.Accelerators = 2, 3, 4, 1
	assert.DeepEqual(t, spec, want)
	assert.Assert(t, strings.Contains(b.stdout, "J1") && strings.Contains(b.stdout, "waiting: no room"), b.stdout)

	assert.Equal(t, b.run("submit", "--queue", "q", "--class", "gang", "-o", "json"), ExitOK, b.stderr)
	var status job.Status
	assert.NilError(t, json.Unmarshal([]byte(b.stdout), &status))
	assert.Equal(t, status.ID, job.ID("J1"))
	keys := strings.Fields(n.sent()[1])
	assert.Equal(t, len(keys), 5, "a random idempotency key: %v", keys)
}

// Guards against a submission that is sent although its file or flags are faulty.
func TestSubmitBadInput(t *testing.T) {
	b, n := newNodeBench(t)
	dir := t.TempDir()
	for content, want := range map[string]string{
		`{"queue": "q", "taks": 3}`:               `job.jsonc:1: unknown field "taks"`,
		"{\n\"queue\": \"q\",\n\"tasks\": \"3\"}": "job.jsonc:3:",
		`{"queue": `: "job.jsonc:1:",
	} {
		file := filepath.Join(dir, "job.jsonc")
		assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
		assert.Equal(t, b.run("submit", "-f", file), ExitInvalid, content)
		assert.Assert(t, strings.Contains(b.stderr, want) && strings.Contains(b.stderr, "nothing was submitted"), b.stderr)
	}
	for _, args := range [][]string{{"submit"}, {"submit", "-f", "absent"}, {"submit", "--queue", "q", "--timeout", "0s"},
		{"submit", "--queue", "q", "--key-file", "absent"}, {"submit", "--queue", "q", "--node", "nowhere"}, {"job"},
		{"job", "a", "b"}, {"cancel"}, {"cancel", "J", "--timeout", "-1s"}, {"status", "x"}} {
		assert.Equal(t, b.run(args...), ExitUsage, "%v: %s", args, b.stderr)
	}
	t.Setenv(envKey, "two\nlines")
	assert.Equal(t, b.run("status"), ExitUsage)
	t.Setenv(envNode, "")
	assert.Equal(t, b.run("status"), ExitUsage)
	assert.Equal(t, len(n.sent()), 0)
}

// Guards against an exit code that tells a script to repeat what may have run, or to give up what has not.
func TestCallExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		answers []answer
		cut     int
		pauses  int
		code    int
		sent    int
	}{
		"accepted after a refusal":         {[]answer{refused(503, "draining", "not_run"), {202, accepted}}, 0, 9, ExitOK, 2},
		"accepted after a lost answer":     {[]answer{{202, accepted}}, 1, 9, ExitOK, 2},
		"refused until the end":            {[]answer{refused(503, "store_unavailable", "not_run")}, 0, 2, ExitNotRun, 3},
		"unknown until the end":            {[]answer{refused(503, "store_unavailable", "unknown")}, 0, 2, ExitUnknown, 3},
		"lost, then refused until the end": {[]answer{refused(503, "draining", "not_run")}, 1, 2, ExitUnknown, 3},
		"lost, then a revoked key":         {[]answer{refused(401, "key_unknown", "not_run")}, 1, 2, ExitUnknown, 2},
		"invalid":                          {[]answer{refused(400, "invalid_request", "not_run")}, 0, 9, ExitInvalid, 1},
		"unknown queue":                    {[]answer{refused(404, "unknown_queue", "not_run")}, 0, 9, ExitInvalid, 1},
		"key used before":                  {[]answer{refused(409, "idempotency_conflict", "not_run")}, 0, 9, ExitConflict, 1},
		"revoked key":                      {[]answer{refused(401, "key_unknown", "not_run")}, 0, 9, ExitFailure, 1},
		"answer that isn't a job":          {[]answer{{200, "hello"}}, 0, 0, ExitUnknown, 1},
		"error that isn't the gateway's":   {[]answer{{502, "bad gateway"}}, 0, 0, ExitUnknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b, n := newNodeBench(t)
			n.answers["POST /v1/jobs"], n.cut = c.answers, c.cut
			b.giveUp(c.pauses)
			assert.Equal(t, b.run("submit", "--queue", "q", "--idempotency-key", "k1"), c.code, b.stderr)
			assert.Equal(t, len(n.sent()), c.sent)
			for _, r := range n.sent() {
				assert.Equal(t, r, n.sent()[0], "the idempotency key stays the same")
			}
			if c.code != ExitOK {
				assert.Assert(t, strings.Contains(b.stderr, "--idempotency-key k1"), b.stderr)
			}
		})
	}
}

// Guards against a node that can't be reached being taken for one that did something.
func TestUnreachableNode(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	b := newBench(t)
	b.giveUp(1)
	for _, args := range [][]string{{"submit", "--queue", "q"}, {"cancel", "J"}, {"job", "J"}, {"job", "J", "--wait"}, {"status"}} {
		b.giveUp(1)
		assert.Equal(t, b.run(append(args, "--node", strings.TrimPrefix(s.URL, "http://"))...), ExitUnavailable, "%v %s", args, b.stderr)
	}
}

// Guards against a job whose end is missed or whose failure looks like success.
func TestJobAndCancel(t *testing.T) {
	b, n := newNodeBench(t)
	final := func(phase, more string) answer {
		return answer{200, `{"id":"J1","spec":{"team":"a","queue":"q","tasks":2},"phase":"` + phase + `"` + more + `}`}
	}
	for _, c := range []struct {
		last answer
		code int
		want string
	}{
		{final("done", `,"succeeded":2`), ExitOK, "done"},
		{final("done", `,"succeeded":1,"unknown":1`), ExitFailure, "1 unknown"},
		{final("failed", `,"reason":"too large"`), ExitFailure, "too large"},
		{final("cancelled", ``), ExitFailure, "cancelled"},
	} {
		n.answers["GET /v1/jobs/J1"] = []answer{{200, accepted}, refused(503, "store_unavailable", "not_run"), c.last}
		assert.Equal(t, b.run("job", "J1", "--wait"), c.code, b.stderr)
		assert.Assert(t, strings.Contains(b.stdout+b.stderr, c.want), b.stdout+b.stderr)
	}
	assert.Equal(t, b.run("job", "NONE"), ExitFailure)
	assert.Equal(t, b.run("job", "NONE", "--wait"), ExitFailure)
	n.answers["DELETE /v1/jobs/J1"] = []answer{{200, strings.Replace(accepted, `"phase"`, `"cancel_requested":true,"phase"`, 1)}}
	assert.Equal(t, b.run("cancel", "J1"), ExitOK, b.stderr)
	assert.Assert(t, strings.Contains(b.stdout, "cancellation was requested"), b.stdout)
	secret := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(secret, []byte("from-file\n"), 0o600))
	assert.Equal(t, b.run("cancel", "J1", "--key-file", secret), ExitOK)
	assert.Equal(t, n.sent()[len(n.sent())-1], "DELETE /v1/jobs/J1 Bearer from-file ")
}

// Guards against views that status leaves out.
func TestStatus(t *testing.T) {
	b, n := newNodeBench(t)
	n.answers["GET /v1/nodes"] = []answer{{200, `[{"id":"n1","zone":"z","address":"127.0.0.1:1","state":"draining","revision":7,"partitions":["z/0","z/1"]}]`}}
	n.answers["GET /v1/partitions"] = []answer{{200, `[{"name":"z/0","owner":"n1","workers":3,"settled":true,"capacity":{"slots":24},"free":{"slots":5}},{"name":"z/1","settled":false}]`}}
	n.answers["GET /v1/teams"] = []answer{{200, `[{"name":"a","weight":3,"limit":8,"limited":true,"running":6,"backlog":40},{"name":"b","weight":1}]`}}
	n.answers["GET /v1/queues"] = []answer{{200, `[{"name":"q","class":"batch","open":true,"pending":4,"running":2}]`}}
	n.answers["GET /v1/jobs"] = []answer{{200, `{"jobs":[{"id":"J1","queue":"q","phase":"pending","tasks":2,"pending":2,"submitted_ms":` + "1767225590000" + `,"waiting":"team a is at its limit"}],"total":3}`}}
	assert.Equal(t, b.run("status"), ExitOK, b.stderr)
	for _, want := range []string{"draining  7         z/0,z/1", "z/0        n1     yes      3        24     5", "z/1        none   no",
		"a     75.0%  8      6        40", "b     25.0%  none", "q      batch  (open)  4        2", "10s", "team a is at its limit", "and 2 more jobs"} {
		assert.Assert(t, strings.Contains(b.stdout, want), "%q in\n%s", want, b.stdout)
	}
	assert.Equal(t, b.run("status", "-o", "json"), ExitOK)
	var s cellStatus
	assert.NilError(t, json.Unmarshal([]byte(b.stdout), &s))
	assert.Assert(t, len(s.Nodes) == 1 && len(s.Partitions) == 2 && len(s.Teams) == 2 && len(s.Queues) == 1 && s.Jobs.Total == 3)
	n.answers["GET /v1/queues"] = []answer{refused(401, "key_unknown", "not_run")}
	assert.Equal(t, b.run("status"), ExitFailure)
	n.answers["GET /v1/queues"] = []answer{refused(503, "no_authority", "not_run")}
	assert.Equal(t, b.run("status"), ExitUnavailable)
}

// Guards against completions that are missing, or that fail when no node is known.
func TestCompletion(t *testing.T) {
	b, n := newNodeBench(t)
	n.answers["GET /v1/jobs"] = []answer{{200, `{"jobs":[{"id":"J1","queue":"q"},{"id":"J2","queue":"q"}],"total":2}`}}
	for args, want := range map[string]string{"job": "J1\tq", "cancel": "J2\tq", "submit --class": "gang", "dev --set": "frio-retorno", "get": "team"} {
		assert.Equal(t, b.run(append(append([]string{"__complete"}, strings.Fields(args)...), "")...), ExitOK)
		assert.Assert(t, strings.Contains(b.stdout, want), "%s: %s", args, b.stdout)
	}
	t.Setenv(envNode, "")
	assert.Equal(t, b.run("__complete", "job", ""), ExitOK)
	assert.Assert(t, strings.HasPrefix(b.stdout, ":4"), b.stdout)
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		assert.Equal(t, b.run("completion", shell), ExitOK)
		assert.Assert(t, len(b.stdout) > 0)
	}
}

func entryOf(node, value string) port.Entry {
	return port.Entry{Key: port.NodePrefix + node, Value: []byte(value)}
}

// Guards against a question for a revision that a node refuses because operators have no key.
func TestNodeRevisions(t *testing.T) {
	_, n := newNodeBench(t)
	n.answers["GET /v1/revision"] = []answer{{200, `{"node":"n1","revision":4}`}}
	address := os.Getenv(envNode)
	assert.DeepEqual(t, fetchRevision(t.Context(), entryOf("n1", `{"http_address":"`+address+`"}`)), NodeRevision{Node: "n1", Revision: 4})
	assert.Equal(t, n.sent()[0], "GET /v1/revision  ")
	assert.Equal(t, fetchRevision(t.Context(), entryOf("n2", `{"http_address":"`+address+`"}`)).Error, "its address is now that of node n1")
	assert.Assert(t, fetchRevision(t.Context(), entryOf("n1", `{`)).Error != "")
	http.DefaultClient.CloseIdleConnections()
}

package proof

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/gateway"
	"sequoiastall/internal/rpc/platformpb"
	"sequoiastall/internal/rpc/standinpb"
)

const hostDead = platformpb.Host_DEAD

// writeObjectSet writes a set of objects that lacks the old key and has an additional team to a new directory, and
// returns the directory.
func writeObjectSet(t *testing.T, team string) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS("testdata/revoked")))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "team.jsonc"),
		[]byte(fmt.Sprintf(`[{"kind": "team", "name": %q}]`, team)), 0o600))
	return dir
}

// TestConcurrentPublish guards against a publication that overwrites a concurrent one, success that is reported before
// the set is in force at every node, and a revoked key that some node still accepts.
func TestConcurrentPublish(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{})
	for _, n := range c.nodes {
		_, err := c.caller(n, oldKey).Nodes(t.Context())
		assert.NilError(t, err)
	}
	// The delay lets both commands read the published set before either of them writes.
	c.setFaults(&standinpb.Faults{DelayMs: 300})
	var wg sync.WaitGroup
	codes, outs := make([]int, 2), make([]string, 2)
	for i := range codes {
		dir := writeObjectSet(t, fmt.Sprintf("team-%d", i))
		wg.Go(func() { codes[i], outs[i] = c.runCommand("publish", dir, "--platform", c.address, "--wait", "30s") })
	}
	published := make(chan struct{})
	go func() { wg.Wait(); close(published) }()
	<-published
	c.setFaults(&standinpb.Faults{})
	winner, loser := 0, 1
	if codes[0] != 0 {
		winner, loser = 1, 0
	}
	assert.Equal(t, codes[winner], 0, "%v %v", outs, codes)
	assert.Equal(t, codes[loser], 4, "%v %v", outs, codes)
	assert.Assert(t, containsAll(outs[loser], "conflict", "revision 2"), outs[loser])
	assert.Assert(t, containsAll(outs[winner], "published revision 2", "node0", "node1", "node2"), outs[winner])
	for _, n := range c.nodes {
		view, err := c.caller(n, "").Revision(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, view.Revision, int64(2), "publish ended before the set was in force at %s", n.id)
		assert.NilError(t, c.checkOldKeyRefused(n))
	}

	code, out := c.runCommand("publish", "testdata/objects", "--platform", c.address, "--wait", "30s")
	assert.Equal(t, code, 0, out)
	for _, n := range c.nodes {
		_, err := c.caller(n, oldKey).Nodes(t.Context())
		assert.NilError(t, err)
	}
	start := time.Now()
	code, out = c.runCommand("publish", "testdata/revoked", "--platform", c.address, "--wait", "0")
	assert.Equal(t, code, 0, out)
	for _, n := range c.nodes {
		c.eventually("the revoked key is refused at "+n.id, func() error { return c.checkOldKeyRefused(n) })
	}
	t.Logf("the revoked key was refused at every node %s after the start of its publication", time.Since(start).Round(time.Millisecond))
	c.checkInvariants()
}

// checkOldKeyRefused returns an error unless a node refuses the key that tests revoke as an unknown key.
func (c *cell) checkOldKeyRefused(n *ingressNode) error {
	_, err := c.caller(n, oldKey).Nodes(c.t.Context())
	var response *callerclient.ResponseError
	if errors.As(err, &response) && response.Code == string(gateway.CodeUnknownKey) {
		return nil
	}
	return fmt.Errorf("%s: the answer to a revoked key is: %v", n.id, err)
}

func containsAll(text string, parts ...string) bool {
	for _, p := range parts {
		if !strings.Contains(text, p) {
			return false
		}
	}
	return true
}

// cancel cancels a job. It retries until the node confirms the cancellation or waitTimeout has passed.
func (c *cell) cancel(n *ingressNode, id job.ID) error {
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if _, err = c.caller(n, redKey).Call(c.t.Context(), http.MethodDelete, "/v1/jobs/"+string(id), nil, nil); err == nil {
			return nil
		}
	}
	return err
}

// TestCancellationBurst guards against cancellations that are lost in a burst, and against tasks that start or keep
// running after their job is recorded as cancelled.
func TestCancellationBurst(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{})
	var ids []job.ID
	for i := range 60 {
		ids = append(ids, c.submit(c.nodes[i%3], fmt.Sprintf("job-%d", i), batch(5, 10*time.Minute, true)))
	}
	c.eventually("tasks run", func() error {
		if n := len(c.loadHistory().Runs()); n < 30 {
			return fmt.Errorf("%d runs", n)
		}
		return nil
	})
	var wg sync.WaitGroup
	for i, id := range ids {
		for j := range 2 { // some are cancelled twice
			if j == 1 && i%3 != 0 {
				continue
			}
			wg.Go(func() {
				if err := c.cancel(c.nodes[(i+j)%3], id); err != nil {
					t.Errorf("cancellation of %s: %v", id, err)
				}
			})
		}
	}
	wg.Wait()
	for _, id := range ids {
		s := c.awaitJob(c.nodes[0], id)
		assert.Equal(t, s.Phase, job.Cancelled, "%+v", s)
	}
	allCancelled := time.Now()
	for _, r := range c.loadHistory().Runs() {
		if id, _ := r.Task.Job.Parent(); slices.Contains(ids, id) {
			assert.Assert(t, !r.End.IsZero() && r.End.Before(allCancelled), "%s kept running after its job was cancelled", r)
		}
	}
	after := c.submit(c.nodes[1], "after", batch(60, 200*time.Millisecond, true))
	c.awaitDone(c.nodes[2], after)
	c.checkInvariants(after)
}

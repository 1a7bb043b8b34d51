package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/port"
)

// harness runs commands against a fake store, with a fake clock that advances by the pauses between retries.
type harness struct {
	t      *testing.T
	store  *fakeStore
	nodes  RevisionReader
	now    time.Time
	stdout string
	stderr string
	// sleepErr, if set, returns the result of each pause; an error ends the retries.
	sleepErr func() error
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, store: newFakeStore(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// run runs a command line, keeps its output and returns its exit code.
func (h *harness) run(args ...string) int {
	h.t.Helper()
	var stdout, stderr bytes.Buffer
	code := execute(h.t.Context(), newRoot(Dependencies{
		OpenStore: func(string) (port.Store, func() error, error) { return h.store, func() error { return nil }, nil },
		Nodes:     h.nodes,
		Now:       func() time.Time { return h.now },
		Sleep: func(ctx context.Context, d time.Duration) error {
			h.now = h.now.Add(d)
			if h.sleepErr != nil {
				return h.sleepErr()
			}
			return ctx.Err()
		},
	}), args, &stdout, &stderr)
	h.stdout, h.stderr = stdout.String(), stderr.String()
	return code
}

// writeObjects writes a set with the given teams to a new directory: a file with the cell, a file with the teams, and a
// file without objects.
func writeObjects(t *testing.T, teams ...string) string {
	dir := t.TempDir()
	var list []string
	for _, team := range teams {
		list = append(list, fmt.Sprintf(`{"kind": "team", "name": %q}`, team))
	}
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "cell.json"), []byte(`{"kind": "cell", "name": "main"}`), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "teams.jsonc"), []byte("[\n"+strings.Join(list, ",\n")+"\n]"), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "README.md"), []byte("not an object"), 0o600))
	return dir
}

func (h *harness) published() configuration.Document {
	d, err := configuration.Unmarshal(h.store.entries[configuration.StoreKey].Value)
	assert.NilError(h.t, err)
	return d
}

// publishAsOther writes a configuration to the store as another publisher does.
func (h *harness) publishAsOther(revision int64) {
	set := object.Set{Cell: object.Cell{Meta: object.Meta{Kind: object.KindCell, Name: "other"}}}
	d, err := configuration.NewDocument(set, revision, "other")
	assert.NilError(h.t, err)
	value, err := d.Marshal()
	assert.NilError(h.t, err)
	h.store.revision++
	h.store.entries[configuration.StoreKey] = port.Entry{Key: configuration.StoreKey, Value: value, Revision: h.store.revision}
}

// Guards against a problem that is reported without its position or that hides other problems.
func TestValidate(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.run("validate", writeObjects(t, "a", "b")), ExitOK, h.stderr)
	assert.Equal(t, h.stdout, "3 objects, no problems\n")
	dir := writeObjects(t, "a", "a", "B")
	assert.Equal(t, h.run("validate", dir), ExitInvalid)
	assert.Assert(t, strings.Contains(h.stderr, filepath.Join(dir, "teams.jsonc")+`:3: team "a": duplicate name`), h.stderr)
	assert.Assert(t, strings.Contains(h.stderr, `teams.jsonc:4: team "B": name must`) && strings.Contains(h.stderr, "2 problems in"), h.stderr)
	assert.Equal(t, h.run("validate", "-o", "json", dir), ExitInvalid)
	var v validation
	assert.NilError(t, json.Unmarshal([]byte(h.stdout), &v))
	assert.Equal(t, len(v.Problems), 2)
	assert.Equal(t, h.run("validate", t.TempDir()), ExitInvalid)
	assert.Equal(t, h.run("validate", filepath.Join(dir, "none")), ExitFailure)
}

// Guards against usage errors that exit with another code than ExitUsage, and against help that lacks an exit code.
func TestUsage(t *testing.T) {
	h := newHarness(t)
	for _, args := range [][]string{{"validate"}, {"validate", "a", "b"}, {"nonsense"}, {"publish", "--no-such", "x"},
		{"get", "nonsense"}, {"validate", "-o", "xml", "x"}, {"key", "new"}, {"publish", "--wait", "-1s", "x"}, {"settings", "check"}} {
		assert.Equal(t, h.run(args...), ExitUsage, "%v: %s", args, h.stderr)
		assert.Assert(t, strings.HasPrefix(h.stderr, "error: "), h.stderr)
	}
	assert.Equal(t, h.run("--help"), ExitOK)
	for _, line := range []string{"0  success", "1  failure", "2  wrong usage", "3  invalid", "4  conflict", "5  unavailable", "6  outcome unknown", "7  refused for now"} {
		assert.Assert(t, strings.Contains(h.stdout, line))
	}
	assert.Equal(t, h.run("completion", "bash"), ExitOK)
	assert.Equal(t, h.run("version"), ExitOK)
}

// Guards against a new revision for an unchanged set, a dry run that publishes, and the publication of an invalid set or
// in spite of a wrong --expect-revision.
func TestPublish(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.run("publish", writeObjects(t, "a")), ExitOK, h.stderr)
	assert.Equal(t, h.published().Revision, int64(1))
	assert.Equal(t, h.run("publish", writeObjects(t, "a")), ExitOK)
	assert.Equal(t, h.stdout, "no changes; revision 1 is published\n")
	assert.Equal(t, h.run("publish", "--dry-run", writeObjects(t, "b")), ExitOK)
	assert.Assert(t, strings.Contains(h.stdout, "removed  team  a") && strings.Contains(h.stdout, "nothing was published"), h.stdout)
	assert.Equal(t, h.run("publish", "--expect-revision", "0", writeObjects(t, "b")), ExitConflict)
	assert.Assert(t, strings.Contains(h.stderr, "revision 1 is published, expected 0"), h.stderr)
	assert.Equal(t, h.run("publish", writeObjects(t, "B")), ExitInvalid)
	assert.Equal(t, h.published().Revision, int64(1))
	assert.Equal(t, h.run("publish", "-o", "json", "--expect-revision", "1", writeObjects(t, "b")), ExitOK)
	var r publishReport
	assert.NilError(t, json.Unmarshal([]byte(h.stdout), &r))
	assert.Assert(t, r.Published && r.Base == 1 && r.Revision == 2 && len(r.Changes) == 2, h.stdout)
}

// Guards against a publication that overwrites a concurrent one, that takes effect twice, or whose outcome is reported
// wrongly after a lost response.
func TestPublishFailures(t *testing.T) {
	lost := func(apply bool) (bool, error) { return apply, port.ErrUnknownOutcome }
	for name, tc := range map[string]struct {
		beforePut func(h *harness, n int) (bool, error)
		code      int
		message   string
		revision  int64
	}{
		"conflict":                         {func(h *harness, n int) (bool, error) { h.publishAsOther(2); return true, nil }, ExitConflict, "somebody else published revision 2", 2},
		"unavailable":                      {func(*harness, int) (bool, error) { return false, port.ErrUnavailable }, ExitUnavailable, "nothing was changed", 1},
		"answer lost, written":             {func(*harness, int) (bool, error) { return lost(true) }, ExitOK, "", 2},
		"answer lost, not written":         {func(_ *harness, n int) (bool, error) { return n > 1, onFirst(n, port.ErrUnknownOutcome) }, ExitOK, "", 2},
		"answer lost, then other":          {func(h *harness, n int) (bool, error) { h.publishAsOther(2); return lost(true) }, ExitConflict, "published revision 2", 2},
		"answer lost, written, then other": {func(h *harness, n int) (bool, error) { h.publishAsOther(3); return lost(false) }, ExitUnknown, "revision 3 is now published by somebody else", 3},
		"lost, then unavailable": {func(_ *harness, n int) (bool, error) {
			if n > 1 {
				return false, port.ErrUnavailable
			}
			return lost(false)
		}, ExitUnknown, "revision 2 may have come into force", 1},
		"always lost": {func(*harness, int) (bool, error) { return lost(false) }, ExitUnknown, "read the published set before", 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.publishAsOther(1)
			h.store.beforePut = func(n int) (bool, error) { return tc.beforePut(h, n) }
			assert.Equal(t, h.run("publish", writeObjects(t, "a")), tc.code, h.stderr)
			assert.Assert(t, strings.Contains(h.stderr, tc.message), h.stderr)
			assert.Equal(t, h.published().Revision, tc.revision)
		})
	}
}

// onFirst returns err in the first call and nil in later ones.
func onFirst(n int, err error) error {
	if n == 1 {
		return err
	}
	return nil
}

// Guards against publish reporting success while a node still applies the previous revision.
func TestPublishWaitsForNodes(t *testing.T) {
	h := newHarness(t)
	h.nodes = &fakeRevisions{names: []string{"n1", "n2"}, inForceAt: map[string]int{"n1": 1, "n2": 4}}
	assert.Equal(t, h.run("publish", writeObjects(t, "a")), ExitOK, h.stderr)
	assert.Assert(t, strings.Contains(h.stdout, "n2    1         in force after 600ms"), h.stdout)
	h = newHarness(t)
	h.nodes = &fakeRevisions{names: []string{"n1", "n2"}, inForceAt: map[string]int{"n1": 1}}
	assert.Equal(t, h.run("publish", writeObjects(t, "a")), ExitFailure)
	assert.Assert(t, strings.Contains(h.stderr, "not known to be in force after 4s at: n2"), h.stderr)
	assert.Assert(t, strings.Contains(h.stdout, "connection refused"), h.stdout)
}

// Guards against published objects that aren't found by kind, in singular or plural, or by name, and against a wrong exit
// code for an absent object or an unavailable store.
func TestGet(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.run("publish", writeObjects(t, "a", "b")), ExitOK)
	assert.Equal(t, h.run("get", "teams"), ExitOK)
	assert.Equal(t, h.stdout, "NAME  FIELDS\na     \nb     \n")
	assert.Equal(t, h.run("get", "cell", "main", "-o", "json"), ExitOK)
	assert.Assert(t, strings.Contains(h.stdout, `"partitions_per_zone": 1`), h.stdout)
	assert.Equal(t, h.run("get", "team", "c"), ExitFailure)
	h.store.getErr = port.ErrUnavailable
	assert.Equal(t, h.run("get", "retry-policies"), ExitUnavailable)
}

// Guards against a printed settings file that isn't valid once node_id, zone and region are filled in, and against a
// missing field that is accepted.
func TestSettings(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.run("settings", "--defaults"), ExitOK)
	path := filepath.Join(t.TempDir(), "s.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(h.stdout), 0o600))
	assert.Equal(t, h.run("settings", "check", path), ExitInvalid)
	assert.Assert(t, strings.Contains(h.stderr, "s.jsonc:4: node_id: missing"), h.stderr)
	named := strings.NewReplacer(`"node_id": ""`, `"node_id": "n"`, `"zone": ""`, `"zone": "z"`, `"region": ""`, `"region": "r"`).Replace(readFile(t, path))
	assert.NilError(t, os.WriteFile(path, []byte(named), 0o600))
	assert.Equal(t, h.run("settings", "check", path), ExitOK, h.stderr)
}

func readFile(t *testing.T, path string) string {
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(data)
}

// Guards against a key object whose hash doesn't match the printed secret, and against a secret that is printed twice.
func TestKeyNew(t *testing.T) {
	h := newHarness(t)
	seen := map[string]bool{}
	for range 3 {
		assert.Equal(t, h.run("key", "new", "--name", "k", "--team", "a", "--queue", "q", "-o", "json"), ExitOK)
		var k keyOutput
		assert.NilError(t, json.Unmarshal([]byte(h.stdout), &k))
		sum := sha256.Sum256([]byte(k.Secret))
		assert.Equal(t, k.Object.SHA256, hex.EncodeToString(sum[:]))
		assert.Assert(t, !seen[k.Secret] && len(k.Secret) >= 43)
		seen[k.Secret] = true
	}
}

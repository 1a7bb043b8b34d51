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

// bench runs commands against a fake store in virtual time.
type bench struct {
	t      *testing.T
	store  *fakeStore
	nodes  NodeRevisions
	now    time.Time
	stdout string
	stderr string
	// sleepErr, if set, says when retries give up.
	sleepErr func() error
}

func newBench(t *testing.T) *bench {
	return &bench{t: t, store: newFakeStore(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (b *bench) run(args ...string) int {
	b.t.Helper()
	var stdout, stderr bytes.Buffer
	code := execute(b.t.Context(), newRoot(Dependencies{
		OpenStore: func(string) (port.Store, func() error, error) { return b.store, func() error { return nil }, nil },
		Nodes:     b.nodes,
		Now:       func() time.Time { return b.now },
		Sleep: func(ctx context.Context, d time.Duration) error {
			b.now = b.now.Add(d)
			if b.sleepErr != nil {
				return b.sleepErr()
			}
			return ctx.Err()
		},
	}), args, &stdout, &stderr)
	b.stdout, b.stderr = stdout.String(), stderr.String()
	return code
}

// directory writes a set with the given teams, one file for the cell and one for the rest.
func directory(t *testing.T, teams ...string) string {
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

func (b *bench) published() configuration.Document {
	d, err := configuration.Unmarshal(b.store.entries[configuration.StoreKey].Value)
	assert.NilError(b.t, err)
	return d
}

// other publishes as somebody else.
func (b *bench) other(revision int64) {
	set := object.Set{Cell: object.Cell{Meta: object.Meta{Kind: object.KindCell, Name: "other"}}}
	d, err := configuration.NewDocument(set, revision, "other")
	assert.NilError(b.t, err)
	value, err := d.Marshal()
	assert.NilError(b.t, err)
	b.store.revision++
	b.store.entries[configuration.StoreKey] = port.Entry{Key: configuration.StoreKey, Value: value, Revision: b.store.revision}
}

// Guards against a fault that is reported without its place or that hides other faults.
func TestValidate(t *testing.T) {
	b := newBench(t)
	assert.Equal(t, b.run("validate", directory(t, "a", "b")), ExitOK, b.stderr)
	assert.Equal(t, b.stdout, "3 objects, no problems\n")
	dir := directory(t, "a", "a", "B")
	assert.Equal(t, b.run("validate", dir), ExitInvalid)
	assert.Assert(t, strings.Contains(b.stderr, filepath.Join(dir, "teams.jsonc")+`:3: team "a": duplicate name`), b.stderr)
	assert.Assert(t, strings.Contains(b.stderr, `teams.jsonc:4: team "B": name must`) && strings.Contains(b.stderr, "2 problems in"), b.stderr)
	assert.Equal(t, b.run("validate", "-o", "json", dir), ExitInvalid)
	var v validation
	assert.NilError(t, json.Unmarshal([]byte(b.stdout), &v))
	assert.Equal(t, len(v.Problems), 2)
	assert.Equal(t, b.run("validate", t.TempDir()), ExitInvalid)
	assert.Equal(t, b.run("validate", filepath.Join(dir, "none")), ExitFailure)
}

func TestUsage(t *testing.T) {
	b := newBench(t)
	for _, args := range [][]string{{"validate"}, {"validate", "a", "b"}, {"nonsense"}, {"publish", "--no-such", "x"},
		{"get", "nonsense"}, {"validate", "-o", "xml", "x"}, {"key", "new"}, {"publish", "--wait", "-1s", "x"}, {"settings", "check"}} {
		assert.Equal(t, b.run(args...), ExitUsage, "%v: %s", args, b.stderr)
		assert.Assert(t, strings.HasPrefix(b.stderr, "error: "), b.stderr)
	}
	assert.Equal(t, b.run("--help"), ExitOK)
	for _, line := range []string{"0  success", "1  failure", "2  wrong usage", "3  invalid", "4  conflict", "5  unavailable", "6  outcome unknown", "7  refused for now"} {
		assert.Assert(t, strings.Contains(b.stdout, line))
	}
	assert.Equal(t, b.run("completion", "bash"), ExitOK)
	assert.Equal(t, b.run("version"), ExitOK)
}

func TestPublish(t *testing.T) {
	b := newBench(t)
	assert.Equal(t, b.run("publish", directory(t, "a")), ExitOK, b.stderr)
	assert.Equal(t, b.published().Revision, int64(1))
	assert.Equal(t, b.run("publish", directory(t, "a")), ExitOK)
	assert.Equal(t, b.stdout, "no changes; revision 1 is published\n")
	assert.Equal(t, b.run("publish", "--dry-run", directory(t, "b")), ExitOK)
	assert.Assert(t, strings.Contains(b.stdout, "removed  team  a") && strings.Contains(b.stdout, "nothing was published"), b.stdout)
	assert.Equal(t, b.run("publish", "--expect-revision", "0", directory(t, "b")), ExitConflict)
	assert.Assert(t, strings.Contains(b.stderr, "revision 1 is published, expected 0"), b.stderr)
	assert.Equal(t, b.run("publish", directory(t, "B")), ExitInvalid)
	assert.Equal(t, b.published().Revision, int64(1))
	assert.Equal(t, b.run("publish", "-o", "json", "--expect-revision", "1", directory(t, "b")), ExitOK)
	var r publishReport
	assert.NilError(t, json.Unmarshal([]byte(b.stdout), &r))
	assert.Assert(t, r.Published && r.Base == 1 && r.Revision == 2 && len(r.Changes) == 2, b.stdout)
}

// Guards against a publication that overwrites another one, that is reported wrongly after a lost answer, or that takes
// effect twice.
func TestPublishFailures(t *testing.T) {
	lost := func(apply bool) (bool, error) { return apply, port.ErrUnknownOutcome }
	for name, tc := range map[string]struct {
		beforePut func(b *bench, n int) (bool, error)
		code      int
		message   string
		revision  int64
	}{
		"conflict":                         {func(b *bench, n int) (bool, error) { b.other(2); return true, nil }, ExitConflict, "somebody else published revision 2", 2},
		"unavailable":                      {func(*bench, int) (bool, error) { return false, port.ErrUnavailable }, ExitUnavailable, "nothing was changed", 1},
		"answer lost, written":             {func(*bench, int) (bool, error) { return lost(true) }, ExitOK, "", 2},
		"answer lost, not written":         {func(_ *bench, n int) (bool, error) { return n > 1, ifFirst(n, port.ErrUnknownOutcome) }, ExitOK, "", 2},
		"answer lost, then other":          {func(b *bench, n int) (bool, error) { b.other(2); return lost(true) }, ExitConflict, "published revision 2", 2},
		"answer lost, written, then other": {func(b *bench, n int) (bool, error) { b.other(3); return lost(false) }, ExitUnknown, "revision 3 is now published by somebody else", 3},
		"lost, then unavailable": {func(_ *bench, n int) (bool, error) {
			if n > 1 {
				return false, port.ErrUnavailable
			}
			return lost(false)
		}, ExitUnknown, "revision 2 may have come into force", 1},
		"always lost": {func(*bench, int) (bool, error) { return lost(false) }, ExitUnknown, "read the published set before", 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.other(1)
			b.store.beforePut = func(n int) (bool, error) { return tc.beforePut(b, n) }
			assert.Equal(t, b.run("publish", directory(t, "a")), tc.code, b.stderr)
			assert.Assert(t, strings.Contains(b.stderr, tc.message), b.stderr)
			assert.Equal(t, b.published().Revision, tc.revision)
		})
	}
}

func ifFirst(n int, err error) error {
	if n == 1 {
		return err
	}
	return nil
}

// Guards against a silent success while a node still has the previous revision.
func TestPublishWaitsForNodes(t *testing.T) {
	b := newBench(t)
	b.nodes = &fakeNodes{order: []string{"n1", "n2"}, arrives: map[string]int{"n1": 1, "n2": 4}}
	assert.Equal(t, b.run("publish", directory(t, "a")), ExitOK, b.stderr)
	assert.Assert(t, strings.Contains(b.stdout, "n2    1         in force after 600ms"), b.stdout)
	b = newBench(t)
	b.nodes = &fakeNodes{order: []string{"n1", "n2"}, arrives: map[string]int{"n1": 1}}
	assert.Equal(t, b.run("publish", directory(t, "a")), ExitFailure)
	assert.Assert(t, strings.Contains(b.stderr, "not known to be in force after 4s at: n2"), b.stderr)
	assert.Assert(t, strings.Contains(b.stdout, "connection refused"), b.stdout)
}

func TestGet(t *testing.T) {
	b := newBench(t)
	assert.Equal(t, b.run("publish", directory(t, "a", "b")), ExitOK)
	assert.Equal(t, b.run("get", "teams"), ExitOK)
	assert.Equal(t, b.stdout, "NAME  FIELDS\na     \nb     \n")
	assert.Equal(t, b.run("get", "cell", "main", "-o", "json"), ExitOK)
	assert.Assert(t, strings.Contains(b.stdout, `"partitions_per_zone": 1`), b.stdout)
	assert.Equal(t, b.run("get", "team", "c"), ExitFailure)
	b.store.getErr = port.ErrUnavailable
	assert.Equal(t, b.run("get", "retry-policies"), ExitUnavailable)
}

func TestSettings(t *testing.T) {
	b := newBench(t)
	assert.Equal(t, b.run("settings", "--defaults"), ExitOK)
	path := filepath.Join(t.TempDir(), "s.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(b.stdout), 0o600))
	assert.Equal(t, b.run("settings", "check", path), ExitInvalid)
	assert.Assert(t, strings.Contains(b.stderr, "s.jsonc:4: node_id: missing"), b.stderr)
	named := strings.NewReplacer(`"node_id": ""`, `"node_id": "n"`, `"zone": ""`, `"zone": "z"`, `"region": ""`, `"region": "r"`).Replace(readFile(t, path))
	assert.NilError(t, os.WriteFile(path, []byte(named), 0o600))
	assert.Equal(t, b.run("settings", "check", path), ExitOK, b.stderr)
}

func readFile(t *testing.T, path string) string {
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(data)
}

// Guards against a key object whose hash isn't that of the printed secret, and against a secret that repeats.
func TestKeyNew(t *testing.T) {
	b := newBench(t)
	seen := map[string]bool{}
	for range 3 {
		assert.Equal(t, b.run("key", "new", "--name", "k", "--team", "a", "--queue", "q", "-o", "json"), ExitOK)
		var k keyOutput
		assert.NilError(t, json.Unmarshal([]byte(b.stdout), &k))
		sum := sha256.Sum256([]byte(k.Secret))
		assert.Equal(t, k.Object.SHA256, hex.EncodeToString(sum[:]))
		assert.Assert(t, !seen[k.Secret] && len(k.Secret) >= 43)
		seen[k.Secret] = true
	}
}

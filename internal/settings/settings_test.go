package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const identity = `"node_id": "n1", "zone": "z1", "region": "r1"`

// Guards against a node that starts with a misspelt or impossible setting, and against a report that stops at the first
// problem.
func TestProblems(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want []string
	}{
		"valid":          {`{` + identity + `, /* comment */ "seeds": ["127.0.0.1:1"], }`, nil},
		"syntax":         {"{\n!", []string{"f:2: syntax error"}},
		"not an object":  {"[]", []string{"f:1: must be an object, not a list"}},
		"no identity":    {"{}", []string{"node_id: missing", "zone: missing", "region: missing"}},
		"unknown":        {"{" + identity + ",\n\"log_lvl\": \"info\"}", []string{`f:2: unknown field "log_lvl", did you mean "log_level"?`}},
		"unit":           {"{" + identity + ",\"timing\": {\n\"task_lease_ms\": \"12s\"}}", []string{`f:2: timing.task_lease_ms: must be a whole number of milliseconds, not the string "12s"`}},
		"no unit":        {"{" + identity + ",\"timing\": {\"task_lease\": 1}}", []string{`unknown field "timing.task_lease", did you mean "task_lease_ms"?`}},
		"name":           {`{"node_id": "N/1", "zone": "z", "region": "r"}`, []string{`node_id: "N/1" must consist`}},
		"address":        {"{" + identity + `, "peer_address": "localhost:1", "http_address": "0.0.0.0:2", "seeds": ["x"]}`, []string{`peer_address: "localhost:1" is not an IP address and port`, "http_address: \"0.0.0.0:2\" is the unspecified", "seeds: entry 1:"}},
		"same address":   {"{" + identity + `, "peer_address": "127.0.0.1:1", "http_address": "127.0.0.1:1"}`, []string{"http_address: is the same as peer_address"}},
		"level":          {"{" + identity + `, "log_level": "loud"}`, []string{`log_level: "loud" is not one of`}},
		"zero":           {"{" + identity + `, "timing": {"gossip_fanout": 0}}`, []string{"timing.gossip_fanout: 0 is out of range"}},
		"order":          {"{" + identity + ",\n\"timing\": {\n\"suspect_after_ms\": 3000}}", []string{"f:3: timing.suspect_after_ms: 3000 must be less than dead_after_ms, 3000"}},
		"late refusal":   {"{" + identity + `, "timing": {"config_fresh_ms": 5000}}`, []string{"a revoked key works for longer than 4 s"}},
		"several faults": {`{"node_id": 4, "zone": "z", "region": "", "log_level": "x"}`, []string{"node_id: must be a string, not 4", "region: missing", "log_level:"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, problems := Parse("f", []byte(tc.text))
			assert.Equal(t, len(problems), len(tc.want), "%v", problems)
			for i, want := range tc.want {
				assert.Assert(t, strings.Contains(problems[i].Error(), want), "%s", problems[i].Error())
			}
		})
	}
}

// Guards against printed defaults that can't be read back or that lack a comment.
func TestPrintedDefaults(t *testing.T) {
	s := Default()
	s.NodeID, s.Zone, s.Region = "n1", "z1", "r1"
	var b bytes.Buffer
	assert.NilError(t, Print(&b, s))
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(path, b.Bytes(), 0o600))
	got, problems := Load(path)
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.DeepEqual(t, got, s)
	for _, typ := range []reflect.Type{reflect.TypeFor[Settings](), reflect.TypeFor[Timing]()} {
		for i := range typ.NumField() {
			assert.Assert(t, typ.Field(i).Tag.Get("doc") != "", typ.Field(i).Name)
		}
	}
}

// Guards against a missing settings file that is treated as an empty one.
func TestLoadWithoutFile(t *testing.T) {
	_, problems := Load(filepath.Join(t.TempDir(), "none"))
	assert.Equal(t, len(problems), 1)
}

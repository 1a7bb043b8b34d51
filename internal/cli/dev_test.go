package cli

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"sequoiastall/examples"
	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/demo"
	"sequoiastall/internal/gateway"
)

// Guards against a dev command that needs the source tree, or that starts a cell despite an invalid set or flag.
func TestDevSets(t *testing.T) {
	load := func(name string) (object.Set, error) { return loadDirectoryOrSample(&cobra.Command{}, name) }
	t.Chdir(t.TempDir())
	for _, name := range []string{"gatecare", "examples/gatecare", "examples/frio-retorno/", "./frio-retorno"} {
		set, err := load(name)
		assert.NilError(t, err, name)
		assert.Equal(t, len(set.Teams), 6)
	}
	for _, name := range []string{"examples", "other", "../gatecare", "/gatecare", "", "examples/../..", "."} {
		_, err := load(name)
		assert.Assert(t, err != nil, name)
	}
	h := newHarness(t)
	assert.NilError(t, os.MkdirAll(filepath.Join("examples", "gatecare"), 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join("examples", "gatecare", "x.json"), []byte(`{"kind": "team"}`), 0o600))
	assert.Equal(t, h.run("dev"), ExitInvalid, "a directory comes before a sample set")
	for _, args := range []string{"--nodes 0", "--nodes 1000", "--workers-per-zone 0", "--http-base -1", "--http-base 65535", "--requests 0"} {
		assert.Equal(t, h.run(append([]string{"dev", "--set", "gatecare"}, strings.Fields(args)...)...), ExitUsage, args)
	}
	assert.Equal(t, h.run("dev", "--set", "gatecare", "--log", "no/such/directory"), ExitFailure)
}

// Guards against embedded sample sets that differ from the files in the source tree.
func TestEmbeddedSets(t *testing.T) {
	for _, name := range examples.Names() {
		embedded, err := examples.Files(name)
		assert.NilError(t, err)
		files, err := readFiles(filepath.Join("..", "..", "examples", name))
		assert.NilError(t, err)
		assert.Equal(t, len(embedded), len(files))
		for i := range files {
			assert.Equal(t, string(embedded[i].Data), string(files[i].Data))
		}
	}
}

// Guards against a cell whose printed addresses can't be used, or that doesn't stop when its context ends.
func TestDev(t *testing.T) {
	p := startCommand(t, newRoot(Dependencies{}), "dev", "--set", "gatecare", "--nodes", "2", "--workers-per-zone", "1", "-o", "json")
	var text strings.Builder
	for p.lines.Scan() {
		text.WriteString(p.lines.Text())
		if p.lines.Text() == "}" {
			break
		}
	}
	var cell devAddresses
	assert.NilError(t, json.Unmarshal([]byte(text.String()), &cell), text.String())
	assert.Equal(t, len(cell.Nodes), 2)
	view, err := readRevision(t, cell.Nodes[1].HTTP)
	assert.NilError(t, err)
	assert.Equal(t, view.Node, cell.Nodes[1].ID)
	p.cancel()
	p.waitForExit(t)
}

// Guards against a demonstration that fails with other numbers of nodes and workers than the defaults, or whose output is
// incomplete.
func TestDemo(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.run("dev", "--demo", "--set", "gatecare", "--nodes", "2", "--workers-per-zone", "6", "--requests", "5", "-o", "json"), ExitOK,
		"%s%s", h.stdout, h.stderr)
	var r demo.Report
	assert.NilError(t, json.Unmarshal([]byte(h.stdout), &r))
	assert.Equal(t, len(r.Broken), 0)
	assert.Equal(t, r.Workers, 24)
	var out strings.Builder
	assert.NilError(t, printSummary(&out, r))
	for _, want := range []string{"urgent", "batch", "gang", "harbour-authority", "LIMIT", "not idempotent", "All guarantees were met"} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
	out.Reset()
	for range maxShownViolations + 3 {
		r.Broken = append(r.Broken, "x ran twice")
	}
	assert.NilError(t, printSummary(&out, r))
	assert.Assert(t, strings.Contains(out.String(), "23 guarantees were violated") && strings.Contains(out.String(), "and 3 more"), out.String())
}

func readRevision(t *testing.T, address string) (gateway.RevisionView, error) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := callerclient.Client{Address: address, HTTP: &http.Client{Transport: transport}}
	return c.Revision(t.Context())
}

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

// Guards against a dev command that needs the source tree, or that starts a cell from a faulty set or flag.
func TestDevSets(t *testing.T) {
	load := func(name string) (object.Set, error) { return loadSampleOrDirectory(&cobra.Command{}, name) }
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
	b := newBench(t)
	assert.NilError(t, os.MkdirAll(filepath.Join("examples", "gatecare"), 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join("examples", "gatecare", "x.json"), []byte(`{"kind": "team"}`), 0o600))
	assert.Equal(t, b.run("dev"), ExitInvalid, "a directory comes before a sample set")
	for _, args := range []string{"--nodes 0", "--nodes 1000", "--workers-per-zone 0", "--http-base -1", "--http-base 65535", "--requests 0"} {
		assert.Equal(t, b.run(append([]string{"dev", "--set", "gatecare"}, strings.Fields(args)...)...), ExitUsage, args)
	}
	assert.Equal(t, b.run("dev", "--set", "gatecare", "--log", "no/such/directory"), ExitFailure)
}

// Guards against sample sets in the binary that differ from the files.
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

// Guards against a cell whose addresses can't be used or that doesn't end with its context.
func TestDev(t *testing.T) {
	p := launch(t, newRoot(Dependencies{}), "dev", "--set", "gatecare", "--nodes", "2", "--workers-per-zone", "1", "-o", "json")
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
	view, err := listRevision(t, cell.Nodes[1].HTTP)
	assert.NilError(t, err)
	assert.Equal(t, view.Node, cell.Nodes[1].ID)
	p.cancel()
	p.end(t)
}

// Guards against a demonstration that can't be run at another size, or whose output lacks a part.
func TestDemo(t *testing.T) {
	b := newBench(t)
	assert.Equal(t, b.run("dev", "--demo", "--set", "gatecare", "--nodes", "2", "--workers-per-zone", "6", "--requests", "5", "-o", "json"), ExitOK,
		"%s%s", b.stdout, b.stderr)
	var r demo.Report
	assert.NilError(t, json.Unmarshal([]byte(b.stdout), &r))
	assert.Equal(t, len(r.Broken), 0)
	assert.Equal(t, r.Workers, 24)
	var out strings.Builder
	assert.NilError(t, printSummary(&out, r))
	for _, want := range []string{"urgent", "batch", "gang", "harbour-authority", "LIMIT", "not idempotent", "All promises were kept"} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
	out.Reset()
	for range maxShownViolations + 3 {
		r.Broken = append(r.Broken, "x ran twice")
	}
	assert.NilError(t, printSummary(&out, r))
	assert.Assert(t, strings.Contains(out.String(), "23 promises were broken") && strings.Contains(out.String(), "and 3 more"), out.String())
}

func listRevision(t *testing.T, address string) (gateway.RevisionView, error) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := callerclient.Client{Address: address, HTTP: &http.Client{Transport: transport}}
	return c.Revision(t.Context())
}

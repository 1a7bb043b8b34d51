package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/platform"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/connection"
	"sequoiastall/internal/workerclient"
)

// process is a command that runs in the test's process.
type process struct {
	cancel context.CancelFunc
	lines  *bufio.Scanner
	done   chan error
}

func launch(t *testing.T, c *cobra.Command, args ...string) *process {
	ctx, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	p := &process{cancel: cancel, lines: bufio.NewScanner(r), done: make(chan error, 1)}
	c.SetArgs(args)
	c.SetOut(w)
	c.SetErr(w)
	go func() {
		err := c.ExecuteContext(ctx)
		_ = w.Close()
		p.done <- err
	}()
	return p
}

// line returns the next log line, which must be JSON.
func (p *process) line(t *testing.T) map[string]any {
	t.Helper()
	assert.Assert(t, p.lines.Scan(), "no further log line")
	out := map[string]any{}
	assert.NilError(t, json.Unmarshal(p.lines.Bytes(), &out), "%s", p.lines.Text())
	return out
}

func (p *process) end(t *testing.T) {
	t.Helper()
	for p.lines.Scan() {
	}
	assert.NilError(t, <-p.done)
}

func runCommand(c *cobra.Command, args ...string) (string, error) {
	var out bytes.Buffer
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(io.Discard)
	err := c.ExecuteContext(context.Background())
	return out.String(), err
}

func hostsIn(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "hosts.json")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// Guards against workers that nodes can't find or reach, and that stay listed as live after their end.
func TestPlatformAndWorkers(t *testing.T) {
	hosts := hostsIn(t, `{
		// a host that is not ours
		"hosts": [{"id": "x", "zone": "b", "rack": "b-r0", "address": "127.0.0.1:1", "state": "leaving"}],
	}`)
	p := launch(t, NewPlatformCommand(), "--listen", "127.0.0.1:0", "--hosts", hosts)
	address := p.line(t)["address"].(string)
	w := launch(t, NewWorkerCommand(), "--count", "3", "--rack-size", "2", "--zone", "a", "--platform", address)
	for range 3 {
		assert.Equal(t, w.line(t)["msg"], "worker is listening")
	}
	store, err := platform.New(address, connection.Options{})
	assert.NilError(t, err)
	defer store.Close()
	list, err := store.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 4)
	assert.Equal(t, list[2].ID+" "+list[2].Rack+" "+list[3].State.String(), "a-w2 a-r1 leaving")
	workers := workerclient.New(port.SystemClock{}, connection.Options{})
	defer workers.Close()
	// A worker that has just started may have granted a lease in an earlier life, and waits for it to lapse.
	_, err = workers.Acquire(t.Context(), list[0], "n1", time.Minute, time.Minute)
	var held *port.HeldError
	assert.Assert(t, errors.As(err, &held), "%v", err)
	for errors.As(err, &held) {
		time.Sleep(10 * time.Millisecond)
		_, err = workers.Acquire(t.Context(), list[0], "n1", 200*time.Millisecond, time.Minute)
	}
	assert.NilError(t, err)

	_, err = runCommand(NewPlatformCommand(), "faults", "--address", address, "--down", "fail")
	assert.NilError(t, err)
	_, err = store.List(t.Context())
	assert.ErrorIs(t, err, port.ErrUnavailable)
	_, err = runCommand(NewPlatformCommand(), "faults", "--address", address)
	assert.NilError(t, err)
	_, err = runCommand(NewPlatformCommand(), "host-state", "x", "dead", "--address", address)
	assert.NilError(t, err)
	_, err = runCommand(NewPlatformCommand(), "host-state", "y", "dead", "--address", address)
	assert.ErrorContains(t, err, "unknown host")

	w.cancel()
	w.end(t)
	list, err = store.List(t.Context())
	assert.NilError(t, err)
	for _, h := range list {
		assert.Equal(t, h.State, port.HostDead, h.ID)
	}
	out, err := runCommand(NewPlatformCommand(), "counters", "--address", address)
	assert.NilError(t, err)
	var counters map[string]string
	assert.NilError(t, json.Unmarshal([]byte(out), &counters))
	assert.Equal(t, counters["lists"], "3")

	// SIGTERM is delivered to the test's process, in which only the platform is left to receive it.
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	p.end(t)
}

// Guards against input that is accepted in part or fails without a reason.
func TestBadInput(t *testing.T) {
	for content, want := range map[string]string{
		`{"hosts": [}`:                          "hosts",
		`{"host": []}`:                          "unknown field",
		`{"hosts": [{"id": "a", "zone": "z"}]}`: "lacks",
		`{"hosts": [{"id": "a", "zone": "z", "rack": "r", "address": "name:1"}]}`:             "address",
		`{"hosts": [{"id": "a", "zone": "z", "rack": "r", "address": "::", "state": "ill"}]}`: "ill",
		`{"hosts": [{"id": "a", "zone": "z", "rack": "r", "address": "127.0.0.1:1"},
		            {"id": "a", "zone": "z", "rack": "r", "address": "127.0.0.1:2"}]}`: "twice",
	} {
		_, err := runCommand(NewPlatformCommand(), "--listen", "127.0.0.1:0", "--hosts", hostsIn(t, content))
		assert.ErrorContains(t, err, want)
	}
	for _, c := range []struct {
		command *cobra.Command
		args    []string
		want    string
	}{
		{NewPlatformCommand(), []string{"--hosts", "absent.json"}, "absent.json"},
		{NewPlatformCommand(), []string{"--listen", "127.0.0.1:0", "--host-lag", "-1s"}, "negative"},
		{NewPlatformCommand(), []string{"faults", "--down", "sideways"}, "sideways"},
		{NewPlatformCommand(), []string{"counters", "--address", "nowhere"}, "nowhere"},
		{NewWorkerCommand(), nil, `"zone" not set`},
		{NewWorkerCommand(), []string{"--zone", "a", "--slots", "-1"}, "negative"},
		{NewWorkerCommand(), []string{"--zone", "a", "--listen", "x"}, "--listen"},
		{NewWorkerCommand(), []string{"--zone", "a", "--count", "0"}, "fleet of 0"},
	} {
		_, err := runCommand(c.command, c.args...)
		assert.ErrorContains(t, err, c.want)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	_, err = runCommand(NewPlatformCommand(), "--listen", l.Addr().String())
	assert.ErrorContains(t, err, "in use")
}

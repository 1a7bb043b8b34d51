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

// runningCommand is a command that runs in a goroutine of the test process.
type runningCommand struct {
	cancel context.CancelFunc
	lines  *bufio.Scanner
	done   chan error
}

// startCommand runs a command in the background, with its stdout and stderr as one stream of lines.
func startCommand(t *testing.T, c *cobra.Command, args ...string) *runningCommand {
	ctx, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	p := &runningCommand{cancel: cancel, lines: bufio.NewScanner(r), done: make(chan error, 1)}
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

// nextLogLine returns the next log line, and fails the test if there is none or it isn't JSON.
func (p *runningCommand) nextLogLine(t *testing.T) map[string]any {
	t.Helper()
	assert.Assert(t, p.lines.Scan(), "no further log line")
	out := map[string]any{}
	assert.NilError(t, json.Unmarshal(p.lines.Bytes(), &out), "%s", p.lines.Text())
	return out
}

// waitForExit discards the remaining output and waits until the command has succeeded.
func (p *runningCommand) waitForExit(t *testing.T) {
	t.Helper()
	for p.lines.Scan() {
	}
	assert.NilError(t, <-p.done)
}

// runCommand runs a command to its end and returns its stdout.
func runCommand(c *cobra.Command, args ...string) (string, error) {
	var out bytes.Buffer
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(io.Discard)
	err := c.ExecuteContext(context.Background())
	return out.String(), err
}

func writeHostsFile(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "hosts.json")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// Guards against workers that nodes can't find or reach, and against workers that stay listed as live after they have
// stopped.
func TestPlatformAndWorkers(t *testing.T) {
	hosts := writeHostsFile(t, `{
		// a host that none of this test's workers registers
		"hosts": [{"id": "x", "zone": "b", "rack": "b-r0", "address": "127.0.0.1:1", "state": "leaving"}],
	}`)
	p := startCommand(t, NewPlatformCommand(), "--listen", "127.0.0.1:0", "--hosts", hosts)
	address := p.nextLogLine(t)["address"].(string)
	w := startCommand(t, NewWorkerCommand(), "--count", "3", "--rack-size", "2", "--zone", "a", "--platform", address)
	for range 3 {
		assert.Equal(t, w.nextLogLine(t)["msg"], "worker is listening")
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
	// A worker that has just started may have granted a lease before a restart, so it grants none until that has expired.
	_, err = workers.Acquire(t.Context(), list[0], "n1", time.Minute, time.Minute)
	var held *port.LeaseHeldError
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
	w.waitForExit(t)
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

	// SIGTERM goes to the test's process, in which only the platform stand-in is still running.
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	p.waitForExit(t)
}

// Guards against invalid input that is accepted in part, or that fails without naming its cause.
func TestStandinBadInput(t *testing.T) {
	for content, want := range map[string]string{
		`{"hosts": [}`:                          "hosts",
		`{"host": []}`:                          "unknown field",
		`{"hosts": [{"id": "a", "zone": "z"}]}`: "lacks",
		`{"hosts": [{"id": "a", "zone": "z", "rack": "r", "address": "name:1"}]}`:             "address",
		`{"hosts": [{"id": "a", "zone": "z", "rack": "r", "address": "::", "state": "ill"}]}`: "ill",
		`{"hosts": [{"id": "a", "zone": "z", "rack": "r", "address": "127.0.0.1:1"},
		            {"id": "a", "zone": "z", "rack": "r", "address": "127.0.0.1:2"}]}`: "twice",
	} {
		_, err := runCommand(NewPlatformCommand(), "--listen", "127.0.0.1:0", "--hosts", writeHostsFile(t, content))
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

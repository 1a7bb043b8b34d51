package proof

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exitTimeout bounds the wait for a process that received SIGTERM; draining takes at most 30 s.
const exitTimeout = 45 * time.Second

// process is one execution of the binary. Its output is appended to a file in the test's directory.
type process struct {
	name       string
	outputPath string
	cmd        *exec.Cmd
	done       chan struct{}
	mu         sync.Mutex
	exitTime   time.Time // when the exit was observed
}

// launch starts the binary. The process is killed at the end of the test, or when the test process exits.
func launch(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	return launchWithEnv(t, nil, dir, name, args...)
}

// launchWithEnv is like launch, and adds variables to the environment.
func launchWithEnv(t *testing.T, env []string, dir, name string, args ...string) *process {
	t.Helper()
	return launchBinary(t, binary, env, dir, name, args...)
}

// launchBinary is like launchWithEnv for the binary at the given path.
func launchBinary(t *testing.T, binary string, env []string, dir, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, outputPath: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.outputPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, p.cmd.Start())
	assert.NilError(t, out.Close())
	go func() {
		_ = p.cmd.Wait() // the exit state is in cmd.ProcessState
		p.mu.Lock()
		p.exitTime = time.Now()
		p.mu.Unlock()
		close(p.done)
	}()
	t.Cleanup(func() { p.kill() })
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s), p.name)
}

// kill sends SIGKILL to the process and waits for its exit.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails only if the process has exited
	<-p.done
}

// wait waits for the process to exit and returns its exit code.
func (p *process) wait(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(exitTimeout):
		t.Fatalf("%s has not exited within %s", p.name, exitTimeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

// exitedAt returns the time at which the process exited, or zero while it runs.
func (p *process) exitedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitTime
}

// matchingLines returns the lines of the process's output that contain a text.
func (p *process) matchingLines(t *testing.T, text string) []string {
	t.Helper()
	data, err := os.ReadFile(p.outputPath)
	assert.NilError(t, err)
	var found []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

package workerproc

import (
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Fleet starts workers as processes of the running binary and receives their events.
type Fleet struct {
	observe func(Event)
	gangs   *gangs

	mu      sync.Mutex
	lives   map[string]int      // last life by worker
	running map[string]*Process // by worker
	readers sync.WaitGroup
}

// NewFleet returns a fleet without workers. It calls observe for each event, possibly from several goroutines at once.
func NewFleet(observe func(Event)) *Fleet {
	f := &Fleet{observe: observe, lives: map[string]int{}, running: map[string]*Process{}}
	f.gangs = newGangs(f.send)
	return f
}

// Process is one life of a worker.
type Process struct {
	Options // with the address that the worker listens on
	BornMS  int64

	cmd  *exec.Cmd
	up   chan Event
	done chan struct{} // closed when the process has ended and its last event was observed

	stdinMu sync.Mutex // held during writes, which block while a paused process has many commands to read
	stdin   io.WriteCloser

	mu     sync.Mutex    // guards Capacity and killed
	killed time.Duration // when the process was told to end; 0: it wasn't
}

// startTimeout bounds the time until a started process reports that it is up.
const startTimeout = 20 * time.Second

// Start starts a life of a worker and waits until it serves. The previous life, if any, must have ended.
func (f *Fleet) Start(o Options) (*Process, error) {
	f.mu.Lock()
	f.lives[o.ID]++
	o.Life = f.lives[o.ID]
	f.mu.Unlock()
	p := &Process{Options: o, up: make(chan Event, 1), done: make(chan struct{})}
	if err := p.launch(f); err != nil {
		return nil, err
	}
	select {
	case up := <-p.up:
		p.Address, p.BornMS = up.Address, up.BornMS
		f.mu.Lock()
		f.running[o.ID] = p
		f.mu.Unlock()
		return p, nil
	case <-p.done:
		return nil, errors.Errorf("worker %s has ended at its start", o.ID)
	case <-time.After(startTimeout):
		p.Kill()
		return nil, errors.Errorf("worker %s isn't up after %s", o.ID, startTimeout)
	}
}

func (p *Process) launch(f *Fleet) error {
	options, err := json.Marshal(p.Options)
	if err != nil {
		return errors.Wrap(err, "encode options")
	}
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the running binary")
	}
	p.cmd = exec.Command(self)
	p.cmd.Env = append(os.Environ(), optionsVariable+"="+string(options))
	p.cmd.Stderr = os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return errors.Wrap(err, "create pipe for commands")
	}
	events, err := p.cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "create pipe for events")
	}
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, "start worker")
	}
	f.readers.Go(func() { p.read(f, events) })
	return nil
}

// read passes on the events of the process until it ends, and then reports its end.
func (p *Process) read(f *Fleet, events io.Reader) {
	defer close(p.done)
	var last time.Duration
	reportedDown := false
	for decoder := json.NewDecoder(events); ; {
		var e Event
		if err := decoder.Decode(&e); err != nil {
			break // the process has ended
		}
		last = max(last, e.At)
		reportedDown = reportedDown || e.Kind == Down
		f.handle(e)
		if e.Kind == Up {
			p.up <- e
		}
	}
	ended := Now()
	_ = p.cmd.Wait() // the process was killed or crashed on purpose
	p.mu.Lock()
	if p.killed > 0 {
		ended = p.killed
	}
	p.mu.Unlock()
	f.mu.Lock()
	if f.running[p.ID] == p {
		delete(f.running, p.ID)
	}
	f.mu.Unlock()
	if !reportedDown {
		f.handle(Event{At: max(last, ended), Kind: Down, Worker: p.ID, Life: p.Life})
	}
}

func (f *Fleet) handle(e Event) {
	f.observe(e)
	f.gangs.observe(e)
}

// send sends a command to a life of a worker, if that still runs.
func (f *Fleet) send(worker string, life int, c Command) {
	f.mu.Lock()
	p := f.running[worker]
	f.mu.Unlock()
	if p != nil && p.Life == life {
		p.Send(c)
	}
}

// Life returns the number of the worker's current life, or 0 if the worker is down.
func (f *Fleet) Life(worker string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.running[worker]; p != nil {
		return p.Life
	}
	return 0
}

// Close kills all workers.
func (f *Fleet) Close() {
	f.mu.Lock()
	var processes []*Process
	for _, p := range f.running {
		processes = append(processes, p)
	}
	f.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	f.readers.Wait()
}

// Send sends a command to the process. It has no effect if the process has ended. A paused process carries the command out
// when it is resumed.
func (p *Process) Send(c Command) {
	if c.Op == Resize {
		p.mu.Lock()
		p.Capacity = c.Capacity
		p.mu.Unlock()
	}
	p.stdinMu.Lock()
	defer p.stdinMu.Unlock()
	_ = json.NewEncoder(p.stdin).Encode(c) // fails only if the process has ended
}

// Pause stops the process with SIGSTOP until Resume.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume resumes a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Kill ends the process and waits until its last event was observed.
func (p *Process) Kill() {
	p.mu.Lock()
	if p.killed == 0 {
		p.killed = Now()
	}
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

func (p *Process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // fails only if the process has ended

// RegistryEntry returns the value that the worker writes to the registry if it is reached at an address.
func (p *Process) RegistryEntry(address, state string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, err := json.Marshal(map[string]any{"service": p.Service, "address": address, "zone": "z", "state": state, "capacity": p.Capacity,
		"labels": p.Labels, "born": p.BornMS})
	if err != nil {
		panic(err) // can't happen: every field has a type that can be encoded
	}
	return b
}

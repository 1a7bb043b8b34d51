package workerproc

import "time"

// Op is what a command does.
type Op string

// Operations of commands. The first four are faults of the next Count calls to Path.
const (
	LoseResponses  Op = "lose-responses"  // the call takes effect, and its connection closes without a response
	DelayResponses Op = "delay-responses" // the response comes after Delay
	DelayExecution Op = "delay-execution" // the call takes effect after Delay and gets no response
	RejectCalls    Op = "reject"          // the response is Status, and the call has no effect

	Resize Op = "resize" // changes the capacity to Capacity
	Fail   Op = "fail"   // sets by On whether all runs that start will fail
	Stall  Op = "stall"  // sets by On whether runs make no progress

	beginGang Op = "begin-gang" // all members of the run's gang are present
	breakGang Op = "break-gang" // another member of the run's gang has ended
)

// Command is a command to a worker's process.
type Command struct {
	Op       Op            `json:"op"`
	Path     string        `json:"path,omitempty"` // such as /run-start; empty: any
	Count    int           `json:"count,omitempty"`
	Delay    time.Duration `json:"delay,omitempty"`
	Status   int           `json:"status,omitempty"`
	Capacity Capacity      `json:"capacity,omitzero"`
	On       bool          `json:"on,omitempty"`
	Task     string        `json:"task,omitempty"`
	Run      int           `json:"run,omitempty"`
	At       time.Duration `json:"at,omitempty"`
}

// command carries out a command.
func (w *worker) command(c Command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	switch c.Op {
	case Resize:
		w.Capacity = c.Capacity
		w.report(Event{At: now, Kind: Resized, Capacity: c.Capacity})
	case Fail:
		w.failing = c.On
	case Stall:
		w.setStalled(now, c.On)
	case beginGang, breakGang:
		if r := w.runs[runKey{c.Task, c.Run}]; r != nil {
			w.commandGang(now, c, r)
		}
	default:
		w.faults = append(w.faults, &c)
	}
	w.advance()
}

func (w *worker) commandGang(now time.Duration, c Command, r *run) {
	if c.Op == breakGang {
		w.end(r, now, Broken)
		return
	}
	r.workingFrom = c.At
	if r.resumedWork > 0 {
		r.workingFrom += w.Bounds.Restore
	}
}

// setStalled stops or resumes the progress of all runs. Work that was due meanwhile happens later.
func (w *worker) setStalled(now time.Duration, stalled bool) {
	switch {
	case stalled && w.stalled == 0:
		w.stalled = now
	case !stalled && w.stalled > 0:
		for _, r := range w.runs {
			if r.workingFrom < never {
				r.workingFrom += max(0, now-max(w.stalled, r.workingFrom))
			}
		}
		w.stalled = 0
	}
}

// takeFault returns the fault of the next call to a path, or an empty command.
func (w *worker) takeFault(path string) Command {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.faults {
		if c.Count > 0 && (c.Path == "" || c.Path == path) {
			c.Count--
			return *c
		}
	}
	return Command{}
}

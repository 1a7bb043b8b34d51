package workerproc

import "time"

// Kind is the kind of an event.
type Kind string

// Kinds of events of a worker.
const (
	Up         Kind = "up"         // a life of the worker has begun
	Down       Kind = "down"       // its process has ended, and with it everything that ran
	Registered Kind = "registered" // its registry entry has State; reported by whoever writes the entry
	Resized    Kind = "resized"    // its capacity has changed
	Started    Kind = "started"    // a run has begun
	Rejected   Kind = "rejected"   // a start was rejected, with Reason
	Stopping   Kind = "stopping"   // a run received a stop
	Saved      Kind = "saved"      // a run produced Checkpoint
	Ended      Kind = "ended"      // a run has ended, with Outcome and Number
	Listed     Kind = "listed"     // ends up to Number were listed in a response
	Acked      Kind = "acked"      // ends up to Number were acknowledged
	Leased     Kind = "leased"     // the lease ends at Until
	Lapsed     Kind = "lapsed"     // the lease has expired
)

// Outcome is how a run ended.
type Outcome string

// Outcomes of a run.
const (
	Done        Outcome = "done"
	Failed      Outcome = "failed"
	Stopped     Outcome = "stopped"
	LeaseLapsed Outcome = "lapsed"
	Broken      Outcome = "broken" // another member of the gang ended
	Alone       Outcome = "alone"  // the other members of the gang didn't come in time
)

// Capacity is an amount of what tasks take up.
type Capacity struct {
	CPU   int64 `json:"cpu"` // thousandths of a core
	MemMB int64 `json:"mem_mb"`
}

// Plus returns the sum of two amounts.
func (c Capacity) Plus(d Capacity) Capacity { return Capacity{c.CPU + d.CPU, c.MemMB + d.MemMB} }

// Minus returns the difference of two amounts.
func (c Capacity) Minus(d Capacity) Capacity { return Capacity{c.CPU - d.CPU, c.MemMB - d.MemMB} }

// Fits returns whether c is within limit.
func (c Capacity) Fits(limit Capacity) bool { return c.CPU <= limit.CPU && c.MemMB <= limit.MemMB }

// Event is what happened on a worker. At is a reading of Now. An event may be reported after its time, if the worker's
// process was paused.
type Event struct {
	At         time.Duration `json:"at"`
	Kind       Kind          `json:"kind"`
	Worker     string        `json:"worker"`
	Life       int           `json:"life"` // number of the worker's process under its ID, from 1
	Task       string        `json:"task,omitempty"`
	Run        int           `json:"run,omitempty"`
	Spec       string        `json:"spec,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	Late       bool          `json:"late,omitempty"` // the order was carried out long after it was sent
	Outcome    Outcome       `json:"outcome,omitempty"`
	Number     int64         `json:"number,omitempty"`
	Reason     string        `json:"reason,omitempty"`
	State      string        `json:"state,omitempty"`
	Until      time.Duration `json:"until,omitempty"`
	Token      int64         `json:"token,omitempty"`
	Capacity   Capacity      `json:"capacity,omitzero"`
	Service    string        `json:"service,omitempty"`
	Labels     []string      `json:"labels,omitempty"`
	Address    string        `json:"address,omitempty"`
	BornMS     int64         `json:"born_ms,omitempty"`
}

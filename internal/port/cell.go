package port

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/cell"
)

// Txn is an all-or-nothing change of the store.
type Txn struct {
	Expect  []Expect
	Puts    []Put
	Deletes []string
}

// Size returns the number of entries, which the store bounds.
func (t Txn) Size() int { return len(t.Expect) + len(t.Puts) + len(t.Deletes) }

// Expect is a condition of a transaction: the key's last change has the revision, 0 if the key must be absent.
type Expect struct {
	Key      string
	Revision int64
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID // 0 for none
}

// TxnConflictError tells that a condition of a transaction failed and nothing was written.
type TxnConflictError struct {
	Current []Entry // of the keys in Expect that exist
}

// Error implements error.
func (e *TxnConflictError) Error() string { return "a condition of the transaction failed" }

// Entry returns a key's current entry; false if it is absent.
func (e *TxnConflictError) Entry(key string) (Entry, bool) {
	for _, c := range e.Current {
		if c.Key == key {
			return c, true
		}
	}
	return Entry{}, false
}

// Page is a part of the entries below a prefix. Pages of one prefix aren't a snapshot.
type Page struct {
	Entries  []Entry
	More     bool
	Revision int64 // of the store when the page was read
}

// TxnStore is the platform's store with transactions. Each method is one call. Reads fail with ErrUnavailable, writes with
// ErrUnavailable, ErrUnknownOutcome, ErrLeaseLapsed or *TxnConflictError.
type TxnStore interface {
	Get(ctx context.Context, key string) (Entry, error) // ErrNotFound if absent
	Page(ctx context.Context, prefix, after string) (Page, error)
	Commit(ctx context.Context, t Txn) (revision int64, err error)
	// Changes returns the changes below a prefix after a revision and the revision to go on from. It waits for a change
	// for at most wait, and fails with ErrCompacted if the history doesn't reach back that far.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]WatchEvent, int64, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// Operators is what the platform tells of the configuration and the workers.
type Operators interface {
	// Configuration returns the newest configuration and its encoded form, for other nodes. It fails with ErrNotFound if
	// there is none yet.
	Configuration(ctx context.Context) (*cell.Config, []byte, error)
	// DecodeConfiguration reads the encoded form.
	DecodeConfiguration(raw []byte) (*cell.Config, error)
	// Workers returns the registry. Entries that can't be read are left out.
	Workers(ctx context.Context) ([]cell.WorkerReport, error)
}

// Errors of a worker's answers. ErrUnavailable and ErrUnknownOutcome are possible too.
var (
	ErrOldRun       = errors.New("the run isn't later than one that ended there")
	ErrRefused      = errors.New("refused, not carried out")
	ErrNoTicket     = errors.New("the ticket isn't valid")
	ErrOtherLife    = errors.New("another instance answers at the address")
	ErrBadOrder     = errors.New("the order isn't understood")
	ErrNotListening = errors.New("the address refuses connections")
)

// WorkerRef addresses one worker.
type WorkerRef struct {
	ID      cell.WorkerID
	Address string
}

// Renewal extends the lease of everything that runs on a worker.
type Renewal struct {
	Token int64         // fencing token
	DueMS int64         // end of the lease on the worker's clock, 0 leaves it as it is
	Ack   int64         // ends up to this number may be forgotten
	Wait  time.Duration // the answer may wait that long for an end
}

// RenewalReply is a worker's inventory with its clock.
type RenewalReply struct {
	ClockMS   int64
	Inventory cell.Inventory
}

// Start tells a worker to start a run.
type Start struct {
	Order cell.Order
	Token int64
	DueMS int64
}

// LeasedWorkers gives orders to workers. A call may be carried out seconds after it went unanswered.
type LeasedWorkers interface {
	Renew(ctx context.Context, w WorkerRef, r Renewal) (RenewalReply, error)
	// Start and Stop return the worker's clock in milliseconds, also with an error if the worker told it.
	Start(ctx context.Context, w WorkerRef, s Start) (clockMS int64, err error)
	Stop(ctx context.Context, w WorkerRef, r cell.RunID, token int64) (clockMS int64, err error)
}

// Advisor knows which workers may run a step.
type Advisor interface {
	// Advise returns the workers that may run the step and how long their tickets hold. timeout bounds the call.
	Advise(ctx context.Context, step cell.StepID, workers []cell.WorkerID, timeout time.Duration) ([]cell.Ticket, time.Duration, error)
}

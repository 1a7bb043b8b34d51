package port

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/cell"
)

// Txn is an atomic change of the store.
type Txn struct {
	Conditions []Expect
	Puts       []Put
	Deletes    []string
}

// Size returns the number of entries, which the store limits.
func (t Txn) Size() int { return len(t.Conditions) + len(t.Puts) + len(t.Deletes) }

// Expect is a condition of a transaction: the key's last change must have the revision; 0 means that the key must be
// absent.
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

// TxnConflictError reports that a condition of a transaction failed and nothing was written.
type TxnConflictError struct {
	Current []Entry // of the keys in Conditions that exist
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

// Page is a part of the entries below a prefix. The pages of a prefix don't form a consistent snapshot.
type Page struct {
	Entries  []Entry
	More     bool
	Revision int64 // of the store when the page was read
}

// TxnStore is the platform's store with transactions. Each method makes one call. Reads fail with ErrUnavailable, writes
// with ErrUnavailable, ErrUnknownOutcome, ErrLeaseLapsed or *TxnConflictError.
type TxnStore interface {
	Get(ctx context.Context, key string) (Entry, error) // ErrNotFound if absent
	Page(ctx context.Context, prefix, after string) (Page, error)
	Commit(ctx context.Context, t Txn) (revision int64, err error)
	// Changes returns the changes below a prefix after a revision and the revision to continue from. It waits for
	// a change for at most wait, and fails with ErrCompacted if the store no longer has changes that old.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]WatchEvent, int64, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// ConfigSource provides the configuration and the registry of workers, which come from the platform.
type ConfigSource interface {
	// Configuration returns the newest configuration and its encoded form, which is sent to other nodes. It fails with
	// ErrNotFound if there is none yet, and with ErrMalformed if it can't be decoded.
	Configuration(ctx context.Context) (*cell.Config, []byte, error)
	// DecodeConfiguration decodes the encoded form.
	DecodeConfiguration(raw []byte) (*cell.Config, error)
	// Workers returns the registry of workers and the revision after which changes have to be read. Entries that can't be
	// read are left out.
	Workers(ctx context.Context) (reports []cell.WorkerReport, revision int64, err error)
	// WorkerChanges returns the changes of the registry after a revision and the revision to continue from. It fails with
	// ErrCompacted if the changes are no longer available.
	WorkerChanges(ctx context.Context, after int64) (changes []WorkerChange, revision int64, err error)
}

// WorkerChange is a change of a worker's entry in the registry.
type WorkerChange struct {
	ID     cell.WorkerID
	Report *cell.WorkerReport // nil if the entry was removed or can't be read
}

// Errors of calls to workers, besides ErrUnavailable and ErrUnknownOutcome.
var (
	ErrStaleRun          = errors.New("run is not newer than one that has already ended on the worker")
	ErrRefused           = errors.New("refused, not executed")
	ErrNoTicket          = errors.New("invalid ticket")
	ErrInstanceChanged   = errors.New("another instance answers at the address")
	ErrOrderOutdated     = errors.New("decided for another instance of the worker, not sent")
	ErrMalformed         = errors.New("malformed message")
	ErrConnectionRefused = errors.New("the address refuses connections")
)

// WorkerRef addresses one worker.
type WorkerRef struct {
	ID      cell.WorkerID
	Address string
	Zone    string // "" if it isn't known
}

// Renewal extends the lease of everything that runs on a worker.
type Renewal struct {
	Token      int64         // fencing token
	LeaseEndMS int64         // end of the lease on the worker's clock; 0 leaves it unchanged
	Ack        int64         // the worker may discard run ends up to this number
	Wait       time.Duration // how long the worker may wait for a run to end before it answers
}

// RenewalReply is a worker's inventory with a reading of its clock.
type RenewalReply struct {
	ClockMS   int64
	Inventory cell.Inventory
}

// Start is a request to a worker to start a run.
type Start struct {
	Order      cell.Order
	Token      int64
	LeaseEndMS int64
}

// LeasedWorkers sends orders to workers. A worker may still execute a call seconds after the call has
// failed without a response.
type LeasedWorkers interface {
	Renew(ctx context.Context, w WorkerRef, r Renewal) (RenewalReply, error)
	// Start and Stop return the worker's clock in milliseconds, also with an error if the worker's response contains
	// it.
	Start(ctx context.Context, w WorkerRef, s Start) (clockMS int64, err error)
	Stop(ctx context.Context, w WorkerRef, r cell.RunID, token int64) (clockMS int64, err error)
	// Pace sets the percentage of full speed at which a run works.
	Pace(ctx context.Context, w WorkerRef, r cell.RunID, percent int, token int64) error
}

// Advisor decides which workers may run a step.
type Advisor interface {
	// Advise returns the workers that may run the step and how long their tickets are valid. timeout limits the call.
	Advise(ctx context.Context, step cell.StepID, workers []cell.WorkerID, timeout time.Duration) ([]cell.Ticket, time.Duration, error)
}

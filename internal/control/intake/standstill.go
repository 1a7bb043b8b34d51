package intake

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/control/instant"
	"sequoiastall/internal/port"
)

const (
	// standstillLimit is the longest time for which a process may stand still and go on accepting jobs. Requests that wait in its
	// sockets are as old. With windowLease and the time that a submission may take, it stays below MinTombstoneLife.
	standstillLimit = 30 * time.Second
	// standstillTick is the interval at which a process notes that it runs.
	standstillTick = time.Second
)

// errStoodStill means that nothing was sent because the submission may be older than the tombstone of its job.
var errStoodStill = errors.Wrap(port.ErrUnavailable, "the node has stood still for too long")

// standstill tells whether the process, or its machine, has stood still for longer than standstillLimit. Once it has, it stays
// so: a request that is read later may have waited in a socket.
type standstill struct {
	lastRun atomic.Pointer[instant.Instant]
	ended   chan struct{} // closed when a standstill has been noticed
}

func newStandstill() *standstill {
	s := &standstill{ended: make(chan struct{})}
	s.note()
	return s
}

func (s *standstill) note() {
	now := instant.Now()
	s.lastRun.Store(&now)
}

// tooLong also notices a standstill that has just ended, before watch does.
func (s *standstill) tooLong() bool { return s.lastRun.Load().Age() > standstillLimit }

// watch notes that the process runs, until ctx is done or the process has stood still for too long.
func (s *standstill) watch(ctx context.Context) (tooLong bool) {
	ticker := time.NewTicker(standstillTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if s.tooLong() {
			return true
		}
		s.note()
	}
}

// WatchStandstill notices when the process has stood still for too long, until ctx is done.
func (i *Intake) WatchStandstill(ctx context.Context) {
	if i.standstill.watch(ctx) {
		i.log.Error("stood still", "for_ms", i.standstill.lastRun.Load().Age().Milliseconds(), "limit_ms", standstillLimit.Milliseconds())
		close(i.standstill.ended)
	}
}

// StoodStill is closed when the process has stood still for so long that requests in its sockets may be older than the
// tombstones of their jobs. No job is accepted after that, and the process should end, which closes the sockets.
func (i *Intake) StoodStill() <-chan struct{} { return i.standstill.ended }

package platform

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Availability is the availability mode of the stand-in.
type Availability int

// Availability modes.
const (
	Up   Availability = iota
	Fail              // calls fail at once without effect, open watches end
	Hang              // calls get no response until the mode changes or the caller's context ends
)

// Faults is the set of active faults. The zero value is a platform without faults.
type Faults struct {
	Down Availability
	// Delay is added to each call before it takes effect, and to each delivery of a watch.
	Delay time.Duration
	// LoseAnswers is the number of further writes that take effect but return an error to their caller.
	LoseAnswers int
	// SilentWatches stops deliveries on every watch that is open or gets opened while it is set. Such a watch stays
	// open and never delivers again, even after the fault is cleared.
	SilentWatches bool
}

// SetFaults replaces the active faults and returns the previous ones.
func (s *Server) SetFaults(f Faults) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.faults
	s.faults = f
	if f.SilentWatches {
		for w := range s.watches {
			w.silent = true
		}
	}
	s.broadcast()
	return old
}

// Faults returns the active faults; LoseAnswers counts down with each lost response.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// beginCall applies the faults that act before a call takes effect. It counts the call first, because a call that fails
// also adds load to the store.
func (s *Server) beginCall(ctx context.Context, counter *int64) error {
	s.mu.Lock()
	*counter++
	delay := s.faults.Delay
	s.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
	}
	for {
		s.mu.Lock()
		down, changed := s.faults.Down, s.changed
		s.mu.Unlock()
		switch down {
		case Up:
			return nil
		case Fail:
			return errDown
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
	}
}

var (
	errDown       = status.Error(codes.Unavailable, "platform is down")
	errAnswerLost = status.Error(codes.Unavailable, "answer lost")
)

// loseAnswer returns the error that replaces the response of a write that took effect, or nil if the response isn't to
// be lost. The caller holds s.mu.
func (s *Server) loseAnswer() error {
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return errAnswerLost
}

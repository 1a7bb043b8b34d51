package cli

import (
	"fmt"

	"github.com/pkg/errors"

	"sequoiastall/internal/port"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitUnknown     = 6
	ExitNotRun      = 7
)

const exitHelp = `Exit codes:
  0  success
  1  failure, also of a job that was waited for
  2  wrong usage
  3  invalid objects, settings or job
  4  conflict: somebody else has published, or the idempotency key was used for another job
  5  unavailable: the platform or the node can't be reached; nothing was changed
  6  outcome unknown: the change may have taken effect
  7  refused for now: nothing was run, and the same call may be made again later`

// ExitError is an error with the exit code of the process.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

func exitf(code int, format string, args ...any) error {
	return &ExitError{Code: code, Err: errors.Errorf(format, args...)}
}

// errReported ends a command whose problems are already on stderr.
var errReported = errors.New("problems were reported")

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var coded *ExitError
	var conflict *port.ConflictError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		return coded.Code
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, port.ErrUnknownOutcome):
		return ExitUnknown
	case errors.Is(err, port.ErrUnavailable):
		return ExitUnavailable
	}
	return ExitFailure
}

// usage wraps an error of cobra's argument checks.
func usage(err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: ExitUsage, Err: fmt.Errorf("%w (see --help)", err)}
}

package cli

import (
	"fmt"

	"github.com/pkg/errors"

	"sequoiastall/internal/port"
)

// Exit codes. The help of the commands describes them, see exitHelp.
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
  1  failure, including the failure of a job under --wait
  2  wrong usage
  3  invalid objects, settings or job
  4  conflict: another publication came first, or the idempotency key was used for another job
  5  unavailable: the platform or the node can't be reached; nothing was changed
  6  outcome unknown: the change may have taken effect
  7  refused for now: nothing was run, and the call may be retried later`

// ExitError is an error that determines the exit code of the process.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

func exitErrorf(code int, format string, args ...any) error {
	return &ExitError{Code: code, Err: errors.Errorf(format, args...)}
}

// errReported makes a command fail after it has written its problems to stderr; execute doesn't print it.
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

// usageError wraps an error in the command line, such as one of cobra's argument checks, in an ExitError with ExitUsage.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: ExitUsage, Err: fmt.Errorf("%w (see --help)", err)}
}

package gateway

import (
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"sequoiastall/internal/core/routing"
)

// Code identifies a class of errors returned to callers.
type Code string

// Error codes.
const (
	CodeInvalid          Code = "invalid_request"
	CodeTooLarge         Code = "too_large"
	CodeRequestTimeout   Code = "request_timeout"
	CodeKeyMissing       Code = "key_missing"
	CodeUnknownKey       Code = "key_unknown"
	CodeWrongTeam        Code = "wrong_team"
	CodeQueueNotAllowed  Code = "queue_not_allowed"
	CodeUnknownQueue     Code = "unknown_queue"
	CodeUnknownService   Code = "unknown_service"
	CodeNotFound         Code = "not_found"
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeConflict         Code = "idempotency_conflict"
	CodeDuplicate        Code = "duplicate_request"
	CodeNoAuthority      Code = "no_authority"
	CodeDraining         Code = "draining"
	CodeOverload         Code = "overload"
	CodeNoInstance       Code = "no_instance"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeUpstreamFailed   Code = "upstream_failed"
	CodeUpstreamTimeout  Code = "upstream_timeout"
	CodeInternal         Code = "internal"
)

var statusByCode = map[Code]int{
	CodeInvalid: 400, CodeTooLarge: 413, CodeRequestTimeout: 408, CodeKeyMissing: 401, CodeUnknownKey: 401, CodeWrongTeam: 403,
	CodeQueueNotAllowed: 403,
	CodeUnknownQueue:    404, CodeUnknownService: 404, CodeNotFound: 404, CodeMethodNotAllowed: 405, CodeConflict: 409,
	CodeDuplicate: 409, CodeNoAuthority: 503, CodeDraining: 503, CodeOverload: 503, CodeNoInstance: 503, CodeStoreUnavailable: 503,
	CodeUpstreamFailed: 502, CodeUpstreamTimeout: 504, CodeInternal: 500,
}

// defaultRetryAfter is the Retry-After value for errors that are expected to be temporary.
const defaultRetryAfter = time.Second

// Error is an error returned to a caller.
type Error struct {
	Code       Code
	Message    string
	Outcome    routing.Outcome
	RetryAfter time.Duration // 0 if a retry won't help
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// notRun returns an error for work that was not started.
func notRun(code Code, message string) *Error {
	e := &Error{Code: code, Message: message, Outcome: routing.NotRun}
	if statusByCode[code] == fiber.StatusServiceUnavailable {
		e.RetryAfter = defaultRetryAfter
	}
	return e
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code         Code   `json:"code"`
	Message      string `json:"message"`
	Outcome      string `json:"outcome"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

func (e *Error) write(c fiber.Ctx) error {
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	c.Status(statusByCode[e.Code])
	return c.JSON(errorBody{errorFields{e.Code, e.Message, e.Outcome.String(), e.RetryAfter.Milliseconds()}})
}

// handleError is fiber's error handler. Fiber returns its own errors only before a handler runs, so their outcome is
// not_run.
func handleError(c fiber.Ctx, err error) error {
	var gatewayErr *Error
	var fiberErr *fiber.Error
	switch {
	case errors.As(err, &gatewayErr):
	case !errors.As(err, &fiberErr):
		gatewayErr = &Error{Code: CodeInternal, Message: "internal error", Outcome: routing.Unknown}
	case fiberErr.Code == fiber.StatusRequestEntityTooLarge:
		gatewayErr = notRun(CodeTooLarge, "the body exceeds the limit")
	case fiberErr.Code == fiber.StatusRequestHeaderFieldsTooLarge:
		gatewayErr = notRun(CodeTooLarge, "the header exceeds the limit")
	case fiberErr.Code == fiber.StatusRequestTimeout:
		gatewayErr = notRun(CodeRequestTimeout, "the request wasn't received in time")
	case fiberErr.Code == fiber.StatusNotFound:
		gatewayErr = notRun(CodeNotFound, "there is no such path")
	case fiberErr.Code == fiber.StatusMethodNotAllowed:
		gatewayErr = notRun(CodeMethodNotAllowed, "the path doesn't have this method")
	default:
		gatewayErr = notRun(CodeInvalid, fiberErr.Message)
	}
	return gatewayErr.write(c)
}

// nodeError converts an error of a Node method. mutating is set if the method may have changed state.
func nodeError(err error, mutating bool) *Error {
	switch {
	case errors.Is(err, ErrUnknownKey):
		return notRun(CodeUnknownKey, "the key is unknown or revoked")
	case errors.Is(err, ErrNoAuthority):
		return notRun(CodeNoAuthority, err.Error())
	case errors.Is(err, ErrNotFound):
		return notRun(CodeNotFound, "there is no such job")
	case errors.Is(err, ErrInvalid):
		return notRun(CodeInvalid, err.Error())
	case errors.Is(err, ErrConflict):
		return notRun(CodeConflict, err.Error())
	case errors.Is(err, ErrNotAccepted):
		return notRun(CodeStoreUnavailable, err.Error())
	}
	e := notRun(CodeStoreUnavailable, err.Error())
	if mutating {
		e.Outcome = routing.Unknown
	}
	return e
}

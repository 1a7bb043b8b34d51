package gateway

import (
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"sequoiastall/internal/core/routing"
)

// Code names a class of errors towards callers.
type Code string

// Codes of errors.
const (
	CodeInvalid         Code = "invalid_request"
	CodeTooLarge        Code = "too_large"
	CodeSlowSender      Code = "request_timeout"
	CodeNoKey           Code = "key_missing"
	CodeUnknownKey      Code = "key_unknown"
	CodeWrongTeam       Code = "wrong_team"
	CodeQueueNotAllowed Code = "queue_not_allowed"
	CodeUnknownQueue    Code = "unknown_queue"
	CodeUnknownService  Code = "unknown_service"
	CodeNotFound        Code = "not_found"
	CodeMethod          Code = "method_not_allowed"
	CodeConflict        Code = "idempotency_conflict"
	CodeDuplicate       Code = "duplicate_request"
	CodeNoAuthority     Code = "no_authority"
	CodeDraining        Code = "draining"
	CodeOverload        Code = "overload"
	CodeNoInstance      Code = "no_instance"
	CodeStore           Code = "store_unavailable"
	CodeUpstreamFailed  Code = "upstream_failed"
	CodeUpstreamTimeout Code = "upstream_timeout"
	CodeInternal        Code = "internal"
)

var statuses = map[Code]int{
	CodeInvalid: 400, CodeTooLarge: 413, CodeSlowSender: 408, CodeNoKey: 401, CodeUnknownKey: 401, CodeWrongTeam: 403,
	CodeQueueNotAllowed: 403,
	CodeUnknownQueue:    404, CodeUnknownService: 404, CodeNotFound: 404, CodeMethod: 405, CodeConflict: 409,
	CodeDuplicate: 409, CodeNoAuthority: 503, CodeDraining: 503, CodeOverload: 503, CodeNoInstance: 503, CodeStore: 503,
	CodeUpstreamFailed: 502, CodeUpstreamTimeout: 504, CodeInternal: 500,
}

// defaultRetryAfter is what callers are told to wait after a refusal that may soon be over.
const defaultRetryAfter = time.Second

// Error is an error towards a caller.
type Error struct {
	Code       Code
	Message    string
	Outcome    routing.Outcome
	RetryAfter time.Duration // 0 if repeating doesn't help
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// notRun returns an error about work that wasn't started.
func notRun(code Code, message string) *Error {
	e := &Error{Code: code, Message: message, Outcome: routing.NotRun}
	if statuses[code] == fiber.StatusServiceUnavailable {
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
	c.Status(statuses[e.Code])
	return c.JSON(errorBody{errorFields{e.Code, e.Message, e.Outcome.String(), e.RetryAfter.Milliseconds()}})
}

// handleError is fiber's error handler. Errors of fiber itself arise before a handler runs.
func handleError(c fiber.Ctx, err error) error {
	var own *Error
	var fromFiber *fiber.Error
	switch {
	case errors.As(err, &own):
	case !errors.As(err, &fromFiber):
		own = &Error{Code: CodeInternal, Message: "internal error", Outcome: routing.Unknown}
	case fromFiber.Code == fiber.StatusRequestEntityTooLarge:
		own = notRun(CodeTooLarge, "the body exceeds the limit")
	case fromFiber.Code == fiber.StatusRequestHeaderFieldsTooLarge:
		own = notRun(CodeTooLarge, "the header exceeds the limit")
	case fromFiber.Code == fiber.StatusRequestTimeout:
		own = notRun(CodeSlowSender, "the request wasn't received in time")
	case fromFiber.Code == fiber.StatusNotFound:
		own = notRun(CodeNotFound, "there is no such path")
	case fromFiber.Code == fiber.StatusMethodNotAllowed:
		own = notRun(CodeMethod, "the path doesn't have this method")
	default:
		own = notRun(CodeInvalid, fromFiber.Message)
	}
	return own.write(c)
}

// fromNode translates an error of a Node method. changes tells that the method may have had an effect.
func fromNode(err error, changes bool) *Error {
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
	case errors.Is(err, ErrNotTaken):
		return notRun(CodeStore, err.Error())
	}
	e := notRun(CodeStore, err.Error())
	if changes {
		e.Outcome = routing.Unknown
	}
	return e
}

package callerclient

import (
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Outcomes of a call that failed.
const (
	NotRun  = "not_run" // the call had no effect and will have none
	Ran     = "ran"
	Unknown = "unknown" // the call may have had an effect
)

// ResponseError is an error response of the gateway.
type ResponseError struct {
	Status     int // HTTP status code
	Code       string
	Message    string
	Outcome    string        // not_run, ran or unknown
	RetryAfter time.Duration // 0 if the gateway doesn't suggest a retry
}

// Error implements error.
func (e *ResponseError) Error() string { return e.Code + " (" + e.Outcome + "): " + e.Message }

// TransportError means that there was no complete response.
type TransportError struct {
	Outcome string // not_run if nothing was sent, else unknown
	Err     error
}

// Error implements error.
func (e *TransportError) Error() string { return "no answer (" + e.Outcome + "): " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// UnknownOutcomeError means that a call was retried and that one of its attempts may have had an effect.
type UnknownOutcomeError struct{ Err error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return "the outcome is unknown: " + e.Err.Error() }

// Unwrap returns the error of the last attempt.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// OutcomeOf returns the outcome of the call that failed with err; Unknown if err isn't an error of this package.
func OutcomeOf(err error) string {
	var unknown *UnknownOutcomeError
	var response *ResponseError
	var transport *TransportError
	switch {
	case errors.As(err, &unknown):
		return Unknown
	case errors.As(err, &response):
		return response.Outcome
	case errors.As(err, &transport):
		return transport.Outcome
	}
	return Unknown
}

// transportOutcome returns NotRun if the connection could not be established, else Unknown: the request may have been
// sent before the error.
func transportOutcome(err error) string {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return Unknown
}

func responseError(status int, data []byte) error {
	var body struct {
		Error struct {
			Code         string `json:"code"`
			Message      string `json:"message"`
			Outcome      string `json:"outcome"`
			RetryAfterMS int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return &ResponseError{Status: status, Code: "http", Message: strings.TrimSpace(string(data)), Outcome: Unknown}
	}
	e := body.Error
	return &ResponseError{Status: status, Code: e.Code, Message: e.Message, Outcome: e.Outcome,
		RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond}
}

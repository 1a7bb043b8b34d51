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
	NotRun  = "not_run" // it had no effect and will have none
	Ran     = "ran"
	Unknown = "unknown" // it may have had an effect
)

// RefusalError is an error answer of the gateway.
type RefusalError struct {
	Status     int // of HTTP
	Code       string
	Message    string
	Outcome    string        // not_run, ran or unknown
	RetryAfter time.Duration // 0 if the gateway doesn't suggest a repetition
}

// Error implements error.
func (e *RefusalError) Error() string { return e.Code + " (" + e.Outcome + "): " + e.Message }

// TransportError says that there was no whole answer.
type TransportError struct {
	Outcome string // not_run if nothing was sent, else unknown
	Err     error
}

// Error implements error.
func (e *TransportError) Error() string { return "no answer (" + e.Outcome + "): " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// UncertainError says that a call was repeated and that one of its tries may have had an effect.
type UncertainError struct{ Err error }

// Error implements error.
func (e *UncertainError) Error() string { return "the outcome is unknown: " + e.Err.Error() }

// Unwrap returns the error of the last try.
func (e *UncertainError) Unwrap() error { return e.Err }

// OutcomeOf returns what an error of this package says about the call's effect; Unknown for other errors.
func OutcomeOf(err error) string {
	var uncertain *UncertainError
	var refused *RefusalError
	var transport *TransportError
	switch {
	case errors.As(err, &uncertain):
		return Unknown
	case errors.As(err, &refused):
		return refused.Outcome
	case errors.As(err, &transport):
		return transport.Outcome
	}
	return Unknown
}

// transportOutcome tells whether a request may have been sent before the error.
func transportOutcome(err error) string {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return Unknown
}

func refusal(status int, data []byte) error {
	var body struct {
		Error struct {
			Code         string `json:"code"`
			Message      string `json:"message"`
			Outcome      string `json:"outcome"`
			RetryAfterMS int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return &RefusalError{Status: status, Code: "http", Message: strings.TrimSpace(string(data)), Outcome: Unknown}
	}
	e := body.Error
	return &RefusalError{Status: status, Code: e.Code, Message: e.Message, Outcome: e.Outcome,
		RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond}
}

package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome tells whether a request ran on a backend server. It is the value of the
// response header Jacinthnotch-Outcome.
type Outcome string

// The outcomes of a request.
const (
	// NotRun means that no byte of the request can have reached a backend server.
	NotRun Outcome = "not-run"
	// Ran means that a backend server answered.
	Ran Outcome = "ran"
	// Unknown means that the request was or may have been sent, and that its answer
	// was lost.
	Unknown Outcome = "unknown"
)

// Code identifies the reason for a refusal. Codes are stable, so that callers may
// depend on them.
type Code string

// The values of error.code in responses to callers.
const (
	CodeInvalidRequest   Code = "invalid_request"
	CodeInvalidJSON      Code = "invalid_json"
	CodeInvalidFile      Code = "invalid_file"
	CodeInvalidKey       Code = "invalid_api_key"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not_found"
	CodeModelNotFound    Code = "model_not_found"
	CodeServiceNotFound  Code = "service_not_found"
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeTooLarge         Code = "too_large"
	CodeHeadersTooLarge  Code = "headers_too_large"
	CodeKeyConflict      Code = "idempotency_conflict"
	CodeCallRunning      Code = "call_running"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeOverloaded       Code = "overloaded"
	CodeRateLimited      Code = "rate_limited"
	CodeDeadline         Code = "deadline_exceeded"
	CodeCancelled        Code = "cancelled"
	CodeQuarantined      Code = "quarantined"
	CodeNoServer         Code = "no_server"
	CodeServerFailed     Code = "server_failed"
	CodeServerRefused    Code = "server_refused"
	// If Calls.Begin refuses an idempotent call with CodeLogUnavailable or
	// CodeOwnerUnavailable, the call runs without being recorded first.
	CodeLogUnavailable   Code = "log_unavailable"
	CodeOwnerUnavailable Code = "owner_unavailable"
	CodeDraining         Code = "draining"
	CodeInternal         Code = "internal_error"
)

// Refusal is the error of a request that has no result.
type Refusal struct {
	Code Code
	// Status is the HTTP status for the caller.
	Status  int
	Message string
	// Param is the name of the invalid field or header; empty if there is none.
	Param string
	// RetryAfter is the delay after which a retry may succeed; zero if no delay is
	// suggested.
	RetryAfter time.Duration
	// Outcome is never empty in a refusal that reaches a caller.
	Outcome Outcome
	// Err is the cause, for logs only.
	Err error
}

func (r *Refusal) Error() string {
	text := fmt.Sprintf("%s (%d, %s): %s", r.Code, r.Status, r.Outcome, r.Message)
	if r.Err != nil {
		text += ": " + r.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// Invalid returns the refusal of a malformed request, with status 400.
func Invalid(param, format string, args ...any) *Refusal {
	return &Refusal{Code: CodeInvalidRequest, Status: http.StatusBadRequest, Param: param,
		Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// TooLarge returns the refusal of a request above a size limit, with status 413.
func TooLarge(param, format string, args ...any) *Refusal {
	return &Refusal{Code: CodeTooLarge, Status: http.StatusRequestEntityTooLarge, Param: param,
		Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// NotFound returns the refusal of a request for an object that the workspace does
// not have, with status 404.
func NotFound(param, format string, args ...any) *Refusal {
	return &Refusal{Code: CodeNotFound, Status: http.StatusNotFound, Param: param,
		Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// Unavailable returns the refusal of a request that was not run, with status 503.
func Unavailable(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter,
		Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// AsRefusal converts err to a refusal, or returns nil if err is nil. An error of
// another type becomes an internal error with an unknown outcome, because it is not
// certain that the request did not run.
func AsRefusal(err error) *Refusal {
	if err == nil {
		return nil
	}
	if r, ok := errors.AsType[*Refusal](err); ok {
		if r.Outcome == "" || r.Status == 0 {
			complete := *r
			if complete.Outcome == "" {
				complete.Outcome = Unknown
			}
			if complete.Status == 0 {
				complete.Status = http.StatusInternalServerError
			}
			return &complete
		}
		return r
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &Refusal{Code: CodeDeadline, Status: http.StatusGatewayTimeout, Outcome: Unknown,
			Message: "the deadline passed before the answer was complete", Err: err}
	}
	if errors.Is(err, context.Canceled) {
		return &Refusal{Code: CodeCancelled, Status: http.StatusServiceUnavailable, Outcome: Unknown,
			Message: "the request was cancelled", Err: err}
	}
	return &Refusal{Code: CodeInternal, Status: http.StatusInternalServerError, Outcome: Unknown,
		Message: "internal error", Err: err}
}

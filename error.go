package carawayspread

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is the machine-readable reason of a failed request that callers and operators receive.
type Code string

// Error codes.
const (
	CodeMalformed        Code = "malformed_request"      // The body or a header cannot be read.
	CodeTooLarge         Code = "request_too_large"      // The body exceeds the limit.
	CodeMethod           Code = "method_not_allowed"     // The path does not take this method.
	CodeNotFound         Code = "not_found"              // There is no such path.
	CodeUnknownWorkspace Code = "unknown_workspace"      // No workspace has this name.
	CodeUnknownClass     Code = "unknown_class"          // No class has this name.
	CodeUnknownModel     Code = "unknown_model"          // No service offers this model.
	CodeUnknownService   Code = "unknown_service"        // No service has this name.
	CodeDeadlineExceeded Code = "deadline_exceeded"      // The caller's deadline has passed.
	CodeOverloaded       Code = "overloaded"             // The class target cannot be met now.
	CodeShareExceeded    Code = "share_exceeded"         // The workspace has queued more than the others leave it.
	CodeNoEndpoint       Code = "no_endpoint"            // No endpoint can take the request now.
	CodeDraining         Code = "draining"               // This process is draining.
	CodeQuarantined      Code = "quarantined"            // The request crashed the endpoints that ran it.
	CodeSuspect          Code = "suspect"                // The request is being tried alone after a crash.
	CodeInProgress       Code = "in_progress"            // A request with this idempotency key is running.
	CodeUnknownOutcome   Code = "unknown_outcome"        // Whether the request ran cannot be known. Final.
	CodeKeyReused        Code = "idempotency_key_reuse"  // The key was used with another body.
	CodeStoreUnavailable Code = "store_unavailable"      // A store that the request needs cannot be reached now.
	CodeEndpointFailed   Code = "endpoint_failed"        // The endpoint failed while it ran the request.
	CodeIncomplete       Code = "incomplete_answer"      // The answer ended early and could not be resumed.
	CodeConflict         Code = "version_conflict"       // The change was made against an older version.
	CodeInvalid          Code = "invalid_change"         // The change does not pass the checks.
	CodeDuplicateAttempt Code = "duplicate_attempt"      // The same attempt arrived twice.
	CodeStale            Code = "stale_fence"            // The order carries an outdated fencing token.
	CodeUnauthenticated  Code = "unauthenticated"        // The request has no API key or no workspace holds it.
	CodeUnproven         Code = "configuration_unproven" // Whether the API key is still valid cannot be known now.
)

// Error is a failed request, with what its caller needs to handle it.
type Error struct {
	code    Code
	message string
	// notRun is true only if the process that made the error can prove that no endpoint has
	// started the request and that none will.
	notRun     bool
	retryAfter time.Duration // zero if a retry is of no use
	cause      error
}

// ErrShutdown is the cancellation cause in the context of a request that is still running when its
// process ends.
var ErrShutdown = errors.New("the process is shutting down")

// ErrorOption sets an optional part of an Error.
type ErrorOption func(*Error)

// NotRun marks the request as proven not to have run.
func NotRun() ErrorOption { return func(e *Error) { e.notRun = true } }

// RetryAfter sets the delay after which the caller may retry.
func RetryAfter(d time.Duration) ErrorOption { return func(e *Error) { e.retryAfter = d } }

// CausedBy sets the underlying error, which is logged and never sent to callers.
func CausedBy(err error) ErrorOption { return func(e *Error) { e.cause = err } }

// NewError returns an Error with that code and message.
func NewError(code Code, message string, opts ...ErrorOption) *Error {
	e := &Error{code: code, message: message}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// AsError returns the first Error in the chain of err.
func AsError(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s: %s", e.code, e.message)
	}
	return fmt.Sprintf("%s: %s: %v", e.code, e.message, e.cause)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

// Code returns the machine-readable reason.
func (e *Error) Code() Code { return e.code }

// Message returns the text for the caller.
func (e *Error) Message() string { return e.message }

// NotRun reports whether the request is proven not to have run.
func (e *Error) NotRun() bool { return e.notRun }

// RetryAfter returns the delay after which the caller may retry; zero if a retry is of no use.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

var statusOf = map[Code]int{
	CodeMalformed:        http.StatusBadRequest,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeMethod:           http.StatusMethodNotAllowed,
	CodeNotFound:         http.StatusNotFound,
	CodeUnknownWorkspace: http.StatusForbidden,
	CodeUnknownClass:     http.StatusBadRequest,
	CodeUnknownModel:     http.StatusNotFound,
	CodeUnknownService:   http.StatusNotFound,
	CodeDeadlineExceeded: http.StatusGatewayTimeout,
	CodeOverloaded:       http.StatusServiceUnavailable,
	CodeShareExceeded:    http.StatusTooManyRequests,
	CodeNoEndpoint:       http.StatusServiceUnavailable,
	CodeDraining:         http.StatusServiceUnavailable,
	CodeQuarantined:      http.StatusUnprocessableEntity,
	CodeSuspect:          http.StatusServiceUnavailable,
	CodeInProgress:       http.StatusConflict,
	CodeUnknownOutcome:   http.StatusConflict,
	CodeKeyReused:        http.StatusUnprocessableEntity,
	CodeStoreUnavailable: http.StatusServiceUnavailable,
	CodeEndpointFailed:   http.StatusBadGateway,
	CodeIncomplete:       http.StatusBadGateway,
	CodeConflict:         http.StatusConflict,
	CodeInvalid:          http.StatusUnprocessableEntity,
	CodeDuplicateAttempt: http.StatusConflict,
	CodeStale:            http.StatusPreconditionFailed,
	CodeUnauthenticated:  http.StatusUnauthorized,
	CodeUnproven:         http.StatusServiceUnavailable,
}

// Status returns the HTTP status for the code.
func (c Code) Status() int {
	if status, ok := statusOf[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

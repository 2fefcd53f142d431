package coder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Outcome is what is known about the effect of a refused or failed request.
type Outcome int

// The outcomes of a request without a complete response.
const (
	// Unknown means that an endpoint may have run the request.
	Unknown Outcome = iota
	// NotRun means that no endpoint can have started to run the request.
	NotRun
)

// String returns the value of the Foxtailflow-Outcome header.
func (o Outcome) String() string {
	if o == NotRun {
		return "not-run"
	}
	return "unknown"
}

// Error is a result that is not OK.
//
// It is an immutable value; the With methods return changed copies.
type Error struct {
	code       Code
	outcome    Outcome
	message    string
	retryAfter time.Duration
	cause      error
}

// New returns an error with a code, the outcome Unknown and a message.
func New(code Code, format string, args ...any) Error {
	return Error{code: code, message: fmt.Sprintf(format, args...)}
}

// Refuse returns an error with the outcome NotRun.
func Refuse(code Code, format string, args ...any) Error {
	return New(code, format, args...).WithOutcome(NotRun)
}

// Wrap returns an error with a code and a cause.
func Wrap(code Code, cause error, format string, args ...any) Error {
	return New(code, format, args...).WithCause(cause)
}

// WithOutcome returns a copy with the outcome o.
func (e Error) WithOutcome(o Outcome) Error {
	e.outcome = o
	return e
}

// WithRetryAfter returns a copy that advises the caller to retry after d.
func (e Error) WithRetryAfter(d time.Duration) Error {
	e.retryAfter = d
	return e
}

// maxCauseText bounds the text of a cause in bytes: an error of malformed input may
// quote most of it.
const maxCauseText = 400

// WithCause returns a copy with the cause and its stack trace. The text of a long cause
// is cut.
func (e Error) WithCause(cause error) Error {
	if cause == nil {
		return e
	}
	if text := cause.Error(); len(text) > maxCauseText {
		cause = longError{cause, text[:maxCauseText] + "..."}
	}
	e.cause = eris.Wrap(cause, e.message)
	return e
}

// longError is an error whose text was cut.
type longError struct {
	error
	text string
}

// Error returns the beginning of the text.
func (e longError) Error() string { return e.text }

// Unwrap returns the error.
func (e longError) Unwrap() error { return e.error }

// Code returns the result code.
func (e Error) Code() Code { return e.code }

// Outcome returns what is known about the effect of the request.
func (e Error) Outcome() Outcome { return e.outcome }

// RetryAfter returns the advised delay before a retry, or 0 if there is none.
func (e Error) RetryAfter() time.Duration { return e.retryAfter }

// Message returns the message without the code and the cause.
func (e Error) Message() string { return e.message }

// Unwrap returns the cause.
func (e Error) Unwrap() error { return e.cause }

// Error returns the code, the message and the cause.
func (e Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%d: %v", e.code, e.cause)
	}
	return fmt.Sprintf("%d: %s", e.code, e.message)
}

// FromError returns err as an Error. Of other errors, context.DeadlineExceeded gets
// the code DeadlinePassed and the rest Internal.
func FromError(err error) Error {
	var e Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Wrap(DeadlinePassed, err, "the deadline has passed")
	}
	return Wrap(Internal, err, "internal error")
}

// Is reports whether err carries the given code.
func Is(err error, code Code) bool {
	var e Error
	return errors.As(err, &e) && e.code == code
}

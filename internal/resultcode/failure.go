package resultcode

import (
	"fmt"
	"time"
)

// Failure is an error that consists of a Code and details of one request.
type Failure struct {
	Code Code
	// Detail is appended to the code's text; it must not contain secrets.
	Detail string
	// RetryAfter overrides the code's default if it is positive.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs only.
	Cause error
}

// Fail returns a Failure with a formatted detail.
func Fail(code Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// WithCause returns a copy of f that wraps cause.
func (f Failure) WithCause(cause error) *Failure {
	f.Cause = cause
	return &f
}

// Error implements error.
func (f *Failure) Error() string {
	message := fmt.Sprintf("%d %s: %s", f.Code.Number, f.Code.Name, f.Code.Text)
	if f.Detail != "" {
		message += ": " + f.Detail
	}
	if f.Cause != nil {
		message += ": " + f.Cause.Error()
	}
	return message
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Cause }

// RetryDelay returns how long the caller should wait before it retries; zero means
// unspecified.
func (f *Failure) RetryDelay() time.Duration {
	if f.RetryAfter > 0 {
		return f.RetryAfter
	}
	return f.Code.RetryAfter
}

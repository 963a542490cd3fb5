package resultcode

import (
	"fmt"
	"time"
)

// Failure is a Code as an error, with what is particular to one request.
type Failure struct {
	Code Code
	// Detail is added to the code's text; it must hold nothing secret.
	Detail string
	// RetryAfter overrides the code's default when it is above zero.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs only.
	Cause error
}

// Fail returns a Failure with a formatted detail.
func Fail(code Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Because returns a copy of f that wraps cause.
func (f Failure) Because(cause error) *Failure {
	f.Cause = cause
	return &f
}

// Error implements error.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%d %s: %s", f.Code.Number, f.Code.Name, f.Code.Text)
	if f.Detail != "" {
		text += ": " + f.Detail
	}
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Cause }

// Wait returns how long the caller should wait before another try; zero means
// that nothing can be said.
func (f *Failure) Wait() time.Duration {
	if f.RetryAfter > 0 {
		return f.RetryAfter
	}
	return f.Code.RetryAfter
}

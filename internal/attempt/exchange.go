package attempt

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// errInactivityTimeout is the cancellation cause of an exchange whose deadline
// has passed.
var errInactivityTimeout = merry.New("no data arrived on the connection before the timeout")

// exchange is one request on one connection, with a deadline that is extended
// whenever data arrives.
//
// The deadline protects against a connection that has gone silent permanently
// while new ones work: reads on it block forever without an error. When the
// deadline passes, the connection is closed so that no late data can arrive
// from it.
type exchange struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	tracker writeTracker
	resp    *http.Response
}

func (r *Runner) newExchange(ctx context.Context, headerTimeout time.Duration) *exchange {
	x := &exchange{}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.timer = time.AfterFunc(headerTimeout, func() { x.cancel(errInactivityTimeout) })
	return x
}

// send writes the request and waits for the response header; the error of a malformed
// one is a responsehead.Violation. After an error,
// sealAndCheckSent reports whether the request may have been sent.
func (x *exchange) send(t http.RoundTripper, req *http.Request) error {
	resp, err := t.RoundTrip(req.WithContext(x.tracker.withTrace(x.ctx)))
	if err != nil {
		return x.causeOr(err)
	}
	x.resp = resp
	return nil
}

// sealAndCheckSent closes the connection to further writes, which ends the
// exchange, and reports whether any byte of the request may have been sent.
func (x *exchange) sealAndCheckSent() bool { return x.tracker.seal() }

// extendDeadline sets the deadline to timeout from now.
func (x *exchange) extendDeadline(timeout time.Duration) { x.timer.Reset(timeout) }

// causeOr returns the cancellation cause if the exchange was canceled, and err
// otherwise.
func (x *exchange) causeOr(err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		return cause
	}
	return err
}

// abort ends the exchange and closes its connection.
func (x *exchange) abort() {
	x.timer.Stop()
	x.cancel(context.Canceled)
	if x.resp != nil {
		_ = x.resp.Body.Close()
	}
}

// closeConnection ends the exchange and closes its connection, also if the response
// has no body: the transport counts the connection as idle by then.
func (x *exchange) closeConnection() {
	x.tracker.seal()
	x.abort()
}

// maxDrainBytes bounds how much of a response is discarded to make its connection
// reusable.
const maxDrainBytes = 4096

// finish ends an exchange whose response was read. Its connection is reused if
// the response ends within maxDrainBytes, and in order.
func (x *exchange) finish() {
	if _, err := io.CopyN(io.Discard, x.resp.Body, maxDrainBytes); err != nil && err != io.EOF {
		x.tracker.seal()
	}
	_ = x.resp.Body.Close()
	x.timer.Stop()
	x.cancel(context.Canceled)
}

// isLocalError reports whether a dial error was caused by a shortage of resources
// on this machine, so that it says nothing about the target.
func isLocalError(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

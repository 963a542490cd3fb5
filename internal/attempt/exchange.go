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

// errSilent is the cause with which a deadline ends an exchange.
var errSilent = merry.New("the connection is silent")

// exchange is one request on one connection, with a deadline that each sign of
// life puts off.
//
// The deadline guards against a connection that went silent for good while new
// ones work: reads on it block for ever and no error comes. When it passes, the
// connection is closed, so that nothing late can arrive from it.
type exchange struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	trace  footprint
	resp   *http.Response
}

func (r *Runner) newExchange(ctx context.Context, first time.Duration) *exchange {
	x := &exchange{}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.timer = time.AfterFunc(first, func() { x.cancel(errSilent) })
	return x
}

// send writes the request and waits for the response's header. The verdict on
// a failed one is x.sent().
func (x *exchange) send(t *http.Transport, req *http.Request) error {
	resp, err := t.RoundTrip(req.WithContext(x.trace.observe(x.ctx)))
	if err != nil {
		return x.explain(err)
	}
	x.resp = resp
	return nil
}

// sent returns true where a byte of the request may have left. It ends the
// exchange.
func (x *exchange) sent() bool { return x.trace.final() }

// alive puts the deadline off.
func (x *exchange) alive(limit time.Duration) { x.timer.Reset(limit) }

// explain puts the cause of the cancelling in the place of the error that it
// led to.
func (x *exchange) explain(err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		return cause
	}
	return err
}

// abort ends the exchange and its connection.
func (x *exchange) abort() {
	x.timer.Stop()
	x.cancel(context.Canceled)
	if x.resp != nil {
		_ = x.resp.Body.Close()
	}
}

// maxDrain bounds what is read of a response to keep its connection.
const maxDrain = 4096

// finish ends an exchange whose response was read; its connection is kept where
// nothing else follows in the response.
func (x *exchange) finish() {
	_, _ = io.CopyN(io.Discard, x.resp.Body, maxDrain)
	_ = x.resp.Body.Close()
	x.timer.Stop()
	x.cancel(context.Canceled)
}

// localCause tells whether an error of dialling comes from this machine, so
// that it says nothing about the target.
func localCause(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

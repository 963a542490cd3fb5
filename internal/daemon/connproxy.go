package daemon

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorystall/savorystall/internal/dialing"
	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/resultcode"
)

const (
	// proxyBufferSize is how many bytes are copied at once.
	proxyBufferSize = 4 << 10
	// callerCloseTimeout is how long a caller may take to close after its answer. Closing
	// the connection with unread data would reset it, and the answer might be lost.
	callerCloseTimeout = 500 * time.Millisecond
	// proxyWriteTimeout is how long either side may accept none of the data sent to it.
	proxyWriteTimeout = 5 * time.Second
)

// connProxy copies the bytes of one connection between a caller and the neighbour that
// serves it, without parsing requests. The neighbour closes the connection after its first
// answer, so that the end of the connection shows whether an answer is outstanding.
type connProxy struct {
	caller    tcpConn
	neighbour *dialing.Conn
	// acceptedAt is when the caller's connection was accepted. sendDelays records how long
	// its first bytes waited from then on; it may be nil.
	acceptedAt time.Time
	sendDelays *waitStats
	// requestSent reports that bytes of the caller may have reached the neighbour,
	// responseStarted that part of its answer arrived, and callerLeft that the caller
	// closed its connection.
	requestSent, responseStarted, callerLeft atomic.Bool

	mu sync.Mutex
	// neighbourEnded reports that the neighbour has closed the connection.
	neighbourEnded bool
}

var proxyBuffers = sync.Pool{New: func() any { b := make([]byte, proxyBufferSize); return &b }}

// run copies bytes until both ends are closed, and reports whether the neighbour ended the
// connection with an answer or the caller closed it.
func (p *connProxy) run() (complete bool) {
	_ = p.caller.SetReadDeadline(time.Now().Add(firstRequestTimeout)) // fails only on a closed connection
	requestDone := make(chan struct{})
	go func() {
		defer close(requestDone)
		p.copyRequest()
	}()
	complete = p.copyResponse()
	_ = p.neighbour.Close()
	<-requestDone
	_ = p.caller.Close()
	return complete
}

// copyRequest copies the data that the caller sends, and forwards its close.
func (p *connProxy) copyRequest() {
	err := copyBytes(p.neighbour, p.caller, func([]byte) { p.onRequestData() })
	if err == nil || errors.As(err, new(readError)) {
		p.callerLeft.Store(true) // or the caller sent nothing in time
		_ = p.neighbour.Close()
		return
	}
	// The neighbour accepts no more data. Further data of the caller must still be read:
	// otherwise closing would reset its connection, and it might lose an answer.
	_, _ = io.Copy(io.Discard, p.caller)
}

// abortNeighbour notifies the neighbour at once that the caller has disconnected: on a
// daemon with a high scheduling latency, the goroutine that reads from the caller has to
// wait to be scheduled. Unlike Close, it does not wait for goroutines that use the
// connection.
func (p *connProxy) abortNeighbour() {
	p.callerLeft.Store(true)
	_, _ = p.neighbour.CloseWrite(), p.neighbour.CloseRead() // fail if the neighbour has closed the connection
}

// neighbourGone ends a proxy whose neighbour is not known to be alive any more: its caller
// gets an error instead of waiting for a frozen daemon. A neighbour that has closed the
// connection has stopped or crashed. Its answer may have arrived and be unread, and the
// proxy ends on its own after it.
func (p *connProxy) neighbourGone() {
	if !peerClosed(p.neighbour) {
		_ = p.neighbour.Close()
	}
}

// onRequestData records that bytes of the caller are sent to the neighbour. From then on
// the caller may be silent.
func (p *connProxy) onRequestData() {
	if p.requestSent.Swap(true) {
		return
	}
	if p.sendDelays != nil {
		p.sendDelays.record(time.Since(p.acceptedAt))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.neighbourEnded {
		_ = p.caller.SetReadDeadline(time.Time{})
	}
}

// limitCallerRead bounds how long the caller's data is still read after the neighbour has
// closed the connection.
func (p *connProxy) limitCallerRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.neighbourEnded = true
	_ = p.caller.SetReadDeadline(time.Now().Add(callerCloseTimeout))
}

// continuePrefix is the beginning, and headerEnd the end, of the interim response that a
// server sends before it reads a body. It does not count as an answer.
var continuePrefix, headerEnd = []byte("HTTP/1.1 100 "), []byte("\r\n\r\n")

// skipContinues returns the part of the first chunk of an answer after any "100 Continue"
// responses.
func skipContinues(chunk []byte) []byte {
	for bytes.HasPrefix(chunk, continuePrefix) {
		_, chunk, _ = bytes.Cut(chunk, headerEnd)
	}
	return chunk
}

// copyResponse copies the answer of the neighbour, and its close. It reports whether an
// answer arrived, if one was outstanding.
func (p *connProxy) copyResponse() (complete bool) {
	err := copyBytes(p.caller, p.neighbour, func(chunk []byte) {
		if len(skipContinues(chunk)) > 0 {
			p.responseStarted.Store(true)
		}
	})
	defer p.limitCallerRead()
	switch {
	case p.callerLeft.Load() || peerClosed(p.caller):
		return true
	case p.requestSent.Load() && !p.responseStarted.Load():
		p.sendFailure()
	case err != nil && p.responseStarted.Load():
		_ = p.caller.SetLinger(0) // a truncated answer must not look complete
		_ = p.caller.Close()
		return false
	default:
		complete = true
	}
	_ = p.caller.CloseWrite()
	return complete
}

// sendFailure answers a request whose neighbour closed the connection without an answer.
// The request may have run.
func (p *connProxy) sendFailure() {
	f := resultcode.Fail(resultcode.NeighbourLost, "")
	body := string(gateway.FailureBody(f))
	response := http.Response{
		StatusCode: f.Code.HTTPStatus, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header: http.Header{"Content-Type": {"application/json"}}, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
	_ = response.Write(p.caller) // fails if the caller has disconnected, which is harmless
}

// readError is an error of the connection that is read from.
type readError struct{ error }

// copyBytes copies until the end of from, and calls onChunk with each chunk before it is
// written. Errors of from are returned as a readError.
func copyBytes(to net.Conn, from io.Reader, onChunk func([]byte)) error {
	b := proxyBuffers.Get().(*[]byte)
	defer proxyBuffers.Put(b)
	for {
		n, err := from.Read(*b)
		if n > 0 {
			onChunk((*b)[:n])
			_ = to.SetWriteDeadline(time.Now().Add(proxyWriteTimeout)) // fails only on a closed connection
			if _, writeErr := to.Write((*b)[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return readError{err}
		}
	}
}

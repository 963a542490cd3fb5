package targetconn

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/dialing"
	"github.com/savorystall/savorystall/internal/responsehead"
)

// Request is one request to a target, with its complete body.
type Request struct {
	Method string
	// RequestTarget is the escaped request target of the request line.
	RequestTarget string
	// Host is the value of the Host header.
	Host   string
	Header http.Header
	// SetHeaders sets the headers that depend on the time. It is called after a connection
	// was obtained, and may be nil.
	SetHeaders func(h http.Header)
	Body       []byte
	// MaxConnections limits the connections to the address; zero means no limit.
	MaxConnections int
	// History holds the connections on which the request was sent before; it is not sent on them
	// again, and the connection on which it is sent is added. A target may repeat its response
	// late: on the same connection, it would be taken for the response to the second sending. It
	// may be nil if the request is sent once.
	History *History
	// MatchesResponse reports whether the response with this status and header belongs to the
	// request; reused tells that an earlier request was sent on the connection, to which the
	// response may belong. If it is nil, every response does.
	MatchesResponse func(status int, h http.Header, reused bool) bool
	// OnMismatch is called for each response that does not belong to the request; it may be
	// nil.
	OnMismatch func()
	// MaySend is called immediately before the request is sent; its error is the cause of the
	// UnsentError of a request that must not be sent. It may be nil.
	MaySend func() error
	// CallerGone is called immediately before the request is sent and reports whether nobody
	// waits for its response any more; it may be nil.
	CallerGone func() bool
	// WatchCaller arranges for end to be called once when nobody waits for the response any
	// more. Stop cancels this and reports whether end was not called. End does not block.
	// WatchCaller may be nil.
	WatchCaller func(end func()) (stop func() bool)
}

// Exchange is a request together with the response that it has started to receive.
type Exchange struct {
	// Response is the response. Its body must be read through Read.
	Response     *http.Response
	pool         *Pool
	conn         *conn
	stopWatching func() bool
	// written is closed when the request body was written or the write failed.
	written  chan struct{}
	writeErr error
	ended    bool
	// reused reports that an earlier request was sent on the connection.
	reused bool
}

// maxMismatches is the number of responses to other requests that are skipped
// before the connection is closed.
const maxMismatches = 2

// ErrCallerGone is the cause of the error if nobody waits for the response any more.
var ErrCallerGone = errors.New("the caller no longer waits for the response")

var errMismatch = merry.New("the responses on the connection belong to other requests")

// Do sends a request and waits for the header of its response. The error is an
// *UnsentError if no byte was sent; after any other error the target may have run
// the request. When ctx ends, the connection is closed, which makes the target
// cancel the request.
func (p *Pool) Do(ctx context.Context, address string, r Request) (*Exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, &UnsentError{Cause: err}
	}
	c, err := p.connect(ctx, address, r.MaxConnections, r.History)
	if err != nil {
		return nil, err
	}
	x := &Exchange{pool: p, conn: c, written: make(chan struct{})}
	x.stopWatching = r.closeOnCancel(ctx, c)
	if r.SetHeaders != nil {
		r.SetHeaders(r.Header)
	}
	first, rest := r.encode()
	// This check comes last: on a daemon short of CPU time every lock and every allocation may
	// cause a scheduling delay, during which the caller may disconnect.
	if err := r.checkUnsent(); err != nil {
		x.cancelUnsent()
		return nil, &UnsentError{Cause: err}
	}
	r.History.add(c)
	x.reused, c.used = c.used, true
	sent, err := x.send(first, rest)
	if err != nil && !sent {
		x.terminate()
		return nil, &UnsentError{Cause: err}
	}
	if err == nil {
		err = x.readResponse(&r)
	}
	if err != nil {
		x.terminate()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if isPeerTimeout(err) {
			p.CloseIdle(address)
		}
		return nil, err
	}
	return x, nil
}

// checkUnsent returns why the request is not to be sent, or nil.
func (r *Request) checkUnsent() error {
	if r.CallerGone != nil && r.CallerGone() {
		return ErrCallerGone
	}
	if r.MaySend != nil {
		return r.MaySend()
	}
	return nil
}

// closeOnCancel resets the connection when ctx ends and shuts it down when the caller is
// gone; both unblock reads and writes. Stop cancels this and reports whether neither has
// happened.
func (r *Request) closeOnCancel(ctx context.Context, c *conn) (stop func() bool) {
	stopAfterFunc := context.AfterFunc(ctx, c.reset)
	if r.WatchCaller == nil {
		return stopAfterFunc
	}
	stopWatching := r.WatchCaller(c.shutdown)
	return func() bool {
		callerGone := !stopWatching()
		return stopAfterFunc() && !callerGone
	}
}

// isPeerTimeout reports whether an error means that the peer does not respond.
func isPeerTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, os.ErrDeadlineExceeded)
}

// maxInlineBody is the largest body that is written completely before the response
// is read. A target may respond before it has read a larger body, and read the
// rest only afterwards: finishing the write first could then block forever.
const maxInlineBody = 32 << 10

// encode returns the bytes to write before the response is read, and the rest.
func (r *Request) encode() (first, rest []byte) {
	if len(r.Body) <= maxInlineBody {
		return append(r.encodeHeader(), r.Body...), nil
	}
	return r.encodeHeader(), r.Body
}

// send writes the request. Sent is false if no byte was sent.
func (x *Exchange) send(first, rest []byte) (sent bool, err error) {
	n, err := x.conn.Write(first)
	if err != nil || len(rest) == 0 {
		close(x.written)
		return n > 0, err
	}
	go func() {
		defer close(x.written)
		_, x.writeErr = x.conn.Write(rest)
	}()
	return true, nil
}

// cancelUnsent ends an exchange of which nothing was sent.
func (x *Exchange) cancelUnsent() {
	x.ended = true
	if !x.stopWatching() {
		x.closeConn()
		return
	}
	x.pool.putUnused(x.conn)
}

func (r *Request) encodeHeader() []byte {
	b := bytes.NewBuffer(make([]byte, 0, 1024+min(len(r.Body), maxInlineBody)))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.RequestTarget)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || bodyExpected(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// bodyExpected reports whether a request without a body must have a Content-Length
// of 0 (RFC 9110, 8.6).
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readResponse reads the header of the response that belongs to the request.
func (x *Exchange) readResponse(r *Request) error {
	request := &http.Request{Method: r.Method}
	for range maxMismatches + 1 {
		response, err := x.readFinalHeader(request)
		if err != nil {
			return err
		}
		if r.MatchesResponse == nil || r.MatchesResponse(response.StatusCode, response.Header, x.reused) {
			x.Response = response
			return nil
		}
		if r.OnMismatch != nil {
			r.OnMismatch()
		}
		if response.Close {
			return errMismatch
		}
		if err := skipBody(response); err != nil {
			return err
		}
	}
	return errMismatch
}

// skipBody reads a response to its end.
func skipBody(response *http.Response) error {
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	return responsehead.CheckTrailer(response.Trailer)
}

// readFinalHeader reads the header of one response and skips informational (1xx)
// responses. If any of them is malformed, the error is a responsehead.Violation.
func (x *Exchange) readFinalHeader(request *http.Request) (*http.Response, error) {
	x.conn.limit.allowance = maxHeadBytes
	defer func() { x.conn.limit.allowance = unlimited }()
	buffered, _ := x.conn.reader.Peek(x.conn.reader.Buffered()) // cannot fail
	if err := x.conn.head.ExpectHead(buffered); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, cmp.Or(x.conn.head.Violation(), err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, merry.New("the target switched to another protocol")
		}
	}
}

// EndsWithConnection reports whether the response has neither a length nor chunks, so that its end
// looks like the end of its target.
func (x *Exchange) EndsWithConnection() bool {
	return x.Response.Close && x.Response.ContentLength < 0 && len(x.Response.TransferEncoding) == 0
}

// Read reads the body of the response. It returns io.EOF only at the actual end: if
// the connection is reset within a body of unknown length, it returns that error, and after
// a malformed trailer a responsehead.Violation. It returns io.EOF without bytes, so that the exchange can still be aborted because of the last ones.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Response.Body.Read(p)
	if err == io.EOF && n > 0 {
		return n, nil
	}
	if err == io.EOF {
		if err := responsehead.CheckTrailer(x.Response.Trailer); err != nil {
			return 0, err
		}
		x.finish()
	}
	return n, err
}

// finish ends an exchange whose response was read completely.
func (x *Exchange) finish() {
	if x.ended {
		return
	}
	x.ended = true
	deadline, reusable := x.pool.reuseDeadline(x.Response)
	select {
	case <-x.written:
		reusable = reusable && x.writeErr == nil
	default:
		// The target responded before reading the whole request body; the rest
		// must still be written to this connection.
		go x.finishAfterWrite(deadline, reusable)
		return
	}
	x.reuseOrClose(deadline, reusable)
}

// reuseOrClose returns the connection to the pool if it is safe to reuse, and
// closes it otherwise.
func (x *Exchange) reuseOrClose(deadline time.Time, reusable bool) {
	stopped := x.stopWatching()
	if !reusable || !stopped || x.conn.reader.Buffered() > 0 {
		x.closeConn()
		return
	}
	x.conn.reuseDeadline = deadline
	x.pool.putIdle(x.conn)
}

// lateBodyTimeout limits how long a target may take to read the rest of a body
// after it has responded.
const lateBodyTimeout = 2 * time.Second

func (x *Exchange) finishAfterWrite(deadline time.Time, reusable bool) {
	timer := time.NewTimer(lateBodyTimeout)
	defer timer.Stop()
	select {
	case <-x.written:
		x.reuseOrClose(deadline, reusable && x.writeErr == nil)
	case <-timer.C:
		x.stopWatching()
		x.closeConn()
	}
}

func (x *Exchange) closeConn() {
	x.conn.reset()
	x.pool.release(x.conn.address)
}

// reset closes a connection and discards unsent data. A regular close would still
// deliver a request that is buffered in the socket, for instance because the
// receive window is full, to the target long after the caller has disconnected.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*dialing.Conn); ok {
		_ = tcp.SetLinger(0) // on failure the unsent data is delivered
	}
	_ = c.Conn.Close() // the connection no longer counts, whatever the error
}

// shutdown notifies the target immediately that nobody waits any more. Unlike a close, it does
// not wait until the goroutines that read and write the connection were scheduled.
func (c *conn) shutdown() {
	if tcp, ok := c.Conn.(*dialing.Conn); ok {
		_, _ = tcp.CloseRead(), tcp.CloseWrite() // these fail if the connection has ended
	}
}

// Abort ends the exchange and closes its connection, unless the exchange has
// already ended. A target that is still processing the request cancels it.
func (x *Exchange) Abort() {
	if x.ended {
		return
	}
	x.terminate()
}

func (x *Exchange) terminate() {
	x.ended = true
	x.stopWatching()
	x.closeConn()
}

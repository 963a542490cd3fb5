package targetconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// Request is one request to a target. Its body is whole.
type Request struct {
	Method string
	// Target is the request target as it stands on the first line, escaped.
	Target string
	// Host is the Host header.
	Host   string
	Header http.Header
	// Complete sets the headers that depend on the time, once there is a connection; it may
	// be nil.
	Complete func(h http.Header)
	Body     []byte
	// Connections bounds the connections to the address; zero means no bound.
	Connections int
	// Mine tells whether the answer with these headers belongs to the request.
	Mine func(status int, h http.Header) bool
	// Foreign is told of each answer that did not; it may be nil.
	Foreign func()
	// Abandoned tells, right before the request is sent, whether nobody waits for its
	// answer any more; it may be nil.
	Abandoned func() bool
	// Watch calls end once when nobody waits for the answer any more, until stop is called,
	// which tells that end was not called; it may be nil. End does not block.
	Watch func(end func()) (stop func() bool)
}

// Exchange is a request whose answer has begun.
type Exchange struct {
	// Response is the answer. Its body is read through Read.
	Response *http.Response
	pool     *Pool
	conn     *conn
	stop     func() bool
	// written is closed when the request's body has left, or failed to.
	written  chan struct{}
	writeErr error
	ended    bool
}

// maxForeign is how many answers to other requests are passed over before the
// connection is given up.
const maxForeign = 2

// ErrAbandoned is the cause where nobody waited for the answer any more.
var ErrAbandoned = errors.New("nobody waits for the answer any more")

var errForeign = merry.New("the answers on the connection belong to other requests")

// Do sends a request and waits for the header of its answer. The error is an
// *Unsent where no byte has left; any other means that the target may have run
// the request. When ctx ends, the connection is closed, which makes a target
// drop the request.
func (p *Pool) Do(ctx context.Context, address string, r Request) (*Exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Unsent{Cause: err}
	}
	c, err := p.connect(ctx, address, r.Connections)
	if err != nil {
		return nil, err
	}
	x := &Exchange{pool: p, conn: c, written: make(chan struct{})}
	x.stop = r.endsWith(ctx, c)
	if r.Complete != nil {
		r.Complete(r.Header)
	}
	first, rest := r.text()
	// Last of all: on a daemon short of processor time each lock and each piece of memory may
	// cost a turn, in which the caller leaves.
	if r.Abandoned != nil && r.Abandoned() {
		x.abandon()
		return nil, &Unsent{Cause: ErrAbandoned}
	}
	sent, err := x.send(first, rest)
	if err != nil && !sent {
		x.drop()
		return nil, &Unsent{Cause: err}
	}
	if err == nil {
		err = x.receive(&r)
	}
	if err != nil {
		x.drop()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if silent(err) {
			p.Forget(address)
		}
		return nil, err
	}
	return x, nil
}

// endsWith lets a connection end with ctx, or when nobody waits any more, which wakes reads
// and writes. Stop tells that it has not.
func (r *Request) endsWith(ctx context.Context, c *conn) (stop func() bool) {
	stopped := context.AfterFunc(ctx, c.reset)
	if r.Watch == nil {
		return stopped
	}
	unwatched := r.Watch(c.hangUp)
	return func() bool {
		left := !unwatched()
		return stopped() && !left
	}
}

// silent tells whether an error says that the other end does not answer.
func silent(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, os.ErrDeadlineExceeded)
}

// maxInline is the largest body that is written before the answer is awaited. A
// target may answer before it has read a longer one, and read the rest only
// after that: waiting for the write to end first could then wait for ever.
const maxInline = 32 << 10

// text is what is to be sent before the answer is awaited, and the rest.
func (r *Request) text() (first, rest []byte) {
	if len(r.Body) <= maxInline {
		return append(r.head(), r.Body...), nil
	}
	return r.head(), r.Body
}

// send writes the request. Sent is false where no byte has left.
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

// abandon ends an exchange of which nothing was sent.
func (x *Exchange) abandon() {
	x.ended = true
	if !x.stop() {
		x.closeConn()
		return
	}
	x.pool.giveBack(x.conn)
}

func (r *Request) head() []byte {
	b := bytes.NewBuffer(make([]byte, 0, 1024+min(len(r.Body), maxInline)))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || bodyExpected(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	// A buffer takes every write.
	_ = r.Header.Write(b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// bodyExpected tells whether a request without a body states its length of zero
// (RFC 9110, 8.6).
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads the header of the answer that belongs to the request.
func (x *Exchange) receive(r *Request) error {
	asked := &http.Request{Method: r.Method}
	for range maxForeign + 1 {
		response, err := x.readHeader(asked)
		if err != nil {
			return err
		}
		if r.Mine == nil || r.Mine(response.StatusCode, response.Header) {
			x.Response = response
			return nil
		}
		if r.Foreign != nil {
			r.Foreign()
		}
		if response.Close {
			return errForeign
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
	return errForeign
}

// readHeader reads one header, past those that only tell of progress.
func (x *Exchange) readHeader(asked *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(x.conn.reader, asked)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, merry.New("the target switches to another protocol")
		}
	}
}

// Read reads the body of the answer. Its error is io.EOF only at the true end: a
// body without a length that is reset ends with the error of the reset.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Response.Body.Read(p)
	if err == io.EOF {
		x.finish()
	}
	return n, err
}

// finish ends an exchange whose answer was read to its end.
func (x *Exchange) finish() {
	if x.ended {
		return
	}
	x.ended = true
	until, ok := x.pool.idleUntil(x.Response)
	select {
	case <-x.written:
		ok = ok && x.writeErr == nil
	default:
		// The target answered early and has not read all of the body; what is
		// left of it is still due on this connection.
		go x.finishLate(until, ok)
		return
	}
	x.settle(until, ok)
}

// settle keeps the connection where nothing speaks against it.
func (x *Exchange) settle(until time.Time, ok bool) {
	stopped := x.stop()
	if !ok || !stopped || x.conn.reader.Buffered() > 0 {
		x.closeConn()
		return
	}
	x.conn.until = until
	x.pool.keep(x.conn)
}

// lateBody bounds how long a target may take to read the rest of a body that it
// has answered already.
const lateBody = 2 * time.Second

func (x *Exchange) finishLate(until time.Time, ok bool) {
	timer := time.NewTimer(lateBody)
	defer timer.Stop()
	select {
	case <-x.written:
		x.settle(until, ok && x.writeErr == nil)
	case <-timer.C:
		x.stop()
		x.closeConn()
	}
}

func (x *Exchange) closeConn() {
	x.conn.reset()
	x.pool.release(x.conn.address)
}

// reset closes a connection and throws away what has not left yet. A plain close
// would still deliver a request that waits in the socket, for instance behind a
// full window, to a target long after its caller has gone.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // at worst the rest is delivered
	}
	_ = c.Conn.Close() // its place is free whatever this says
}

// hangUp lets the target know at once that nobody waits any more. It does not wait, as a close
// does, until the goroutines that read and write the connection have had their turns.
func (c *conn) hangUp() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_, _ = tcp.CloseRead(), tcp.CloseWrite() // fail where the connection has ended
	}
}

// Abort ends the exchange and its connection, unless it has ended already. A
// target that still works on the request drops it.
func (x *Exchange) Abort() {
	if x.ended {
		return
	}
	x.drop()
}

func (x *Exchange) drop() {
	x.ended = true
	x.stop()
	x.closeConn()
}

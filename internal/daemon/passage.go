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

	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/resultcode"
)

const (
	// passageChunk is how many bytes are carried at once.
	passageChunk = 4 << 10
	// lastRead is how long a caller may take to close after its answer. Closing with its
	// bytes unread would reset the connection, and the answer might be lost.
	lastRead = 500 * time.Millisecond
	// takesNothing is how long either side may take none of what is sent to it.
	takesNothing = 5 * time.Second
)

// passage carries the bytes of one connection between a caller and the neighbour that
// serves it, without reading them as requests. The neighbour ends the connection with its
// first answer, so that its end tells whether one is owed.
type passage struct {
	caller    tcpConn
	neighbour *net.TCPConn
	// accepted is when the caller's connection was, and sending takes how long its first bytes
	// waited from then on; it may be nil.
	accepted time.Time
	sending  *waits
	// asked tells that bytes of the caller may have reached the neighbour, answered that
	// some of its answer came, left that the caller closed its connection.
	asked, answered, left atomic.Bool

	mu sync.Mutex
	// ending tells that the neighbour has ended.
	ending bool
}

var passageBuffers = sync.Pool{New: func() any { b := make([]byte, passageChunk); return &b }}

// run carries bytes until both ends are closed, and tells whether the neighbour ended it
// with an answer or the caller by leaving.
func (p *passage) run() (whole bool) {
	_ = p.caller.SetReadDeadline(time.Now().Add(firstRequest)) // fails only on a closed connection
	asking := make(chan struct{})
	go func() {
		defer close(asking)
		p.ask()
	}()
	whole = p.answer()
	_ = p.neighbour.Close()
	<-asking
	_ = p.caller.Close()
	return whole
}

// ask carries what the caller sends, and its close.
func (p *passage) ask() {
	err := carryBytes(p.neighbour, p.caller, func([]byte) { p.begin() })
	if err == nil || errors.As(err, new(readError)) {
		p.left.Store(true) // or sent nothing in time
		_ = p.neighbour.Close()
		return
	}
	// The neighbour takes no more. What the caller still sends is read all the same, or the
	// close would reset its connection and it might lose an answer.
	_, _ = io.Copy(io.Discard, p.caller)
}

// hangUp lets the neighbour know at once that the caller has left: on a daemon whose turns take long
// the goroutine that reads the caller's close waits for its own. It does not wait for those that
// use the connection, as a close does.
func (p *passage) hangUp() {
	p.left.Store(true)
	_, _ = p.neighbour.CloseWrite(), p.neighbour.CloseRead() // fail where the neighbour has ended
}

// begin notes that bytes of the caller go to the neighbour. From then on it may be silent.
func (p *passage) begin() {
	if p.asked.Swap(true) {
		return
	}
	if p.sending != nil {
		p.sending.note(time.Since(p.accepted))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ending {
		_ = p.caller.SetReadDeadline(time.Time{})
	}
}

// end bounds what is still read of the caller once the neighbour has ended.
func (p *passage) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = true
	_ = p.caller.SetReadDeadline(time.Now().Add(lastRead))
}

// continues is how that begins which a server says before it reads a body, and headerEnd how it
// ends. It is no answer.
var continues, headerEnd = []byte("HTTP/1.1 100 "), []byte("\r\n\r\n")

// afterContinues returns what follows in a chunk of an answer's beginning.
func afterContinues(chunk []byte) []byte {
	for bytes.HasPrefix(chunk, continues) {
		_, chunk, _ = bytes.Cut(chunk, headerEnd)
	}
	return chunk
}

// answer carries what the neighbour answers, and its end. It tells whether an answer came,
// if one was owed.
func (p *passage) answer() (whole bool) {
	err := carryBytes(p.caller, p.neighbour, func(chunk []byte) {
		if len(afterContinues(chunk)) > 0 {
			p.answered.Store(true)
		}
	})
	defer p.end()
	switch {
	case p.left.Load() || hungUp(p.caller):
		return true
	case p.asked.Load() && !p.answered.Load():
		p.fail()
	case err != nil && p.answered.Load():
		_ = p.caller.SetLinger(0) // an answer that is cut off must not look complete
		_ = p.caller.Close()
		return false
	default:
		whole = true
	}
	_ = p.caller.CloseWrite()
	return whole
}

// fail answers a request whose neighbour ended without an answer. It may have run.
func (p *passage) fail() {
	f := resultcode.Fail(resultcode.NeighbourLost, "")
	body := string(gateway.FailureBody(f))
	answer := http.Response{
		StatusCode: f.Code.HTTPStatus, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header: http.Header{"Content-Type": {"application/json"}}, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
	_ = answer.Write(p.caller) // a caller that has left needs no answer
}

// readError is an error of the connection that is read from.
type readError struct{ error }

// carryBytes copies until the end of from, and shows each chunk before it is written. Errors
// of from are a readError.
func carryBytes(to net.Conn, from io.Reader, show func([]byte)) error {
	b := passageBuffers.Get().(*[]byte)
	defer passageBuffers.Put(b)
	for {
		n, err := from.Read(*b)
		if n > 0 {
			show((*b)[:n])
			_ = to.SetWriteDeadline(time.Now().Add(takesNothing)) // fails only on a closed connection
			if _, werr := to.Write((*b)[:n]); werr != nil {
				return werr
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

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// engine is a stand-in of an engine of a service. It writes its answers byte by byte, so that a
// case can make it send what a faulty engine sends.
type engine struct {
	id, version, service, zone, address string
	slots                               int
	record                              *record
	// lateBodies leaves the bodies of requests to answer, and makes the receive window small.
	lateBodies bool
	// coldLeft, if set, returns how much longer the engine is cold.
	coldLeft func(now time.Time) time.Duration
	// health, if set, waits until a health check gets a slot.
	health func()
	// answer runs a request and writes its answer; false closes the connection.
	answer func(x *exchange) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	// runs lists, for each Attempt-Id, the requests that the engine began to work on.
	runs map[string][]http.Header
}

// exchange is a request that an engine has read.
type exchange struct {
	engine *engine
	conn   net.Conn
	header http.Header
	path   string
	// body is what has not been read of the body.
	body io.Reader
	// attempt is the Attempt-Id.
	attempt string
	// state is kept for all requests of one connection.
	state *connState
}

// connState is what an engine remembers of a connection.
type connState struct {
	// beforeNext is sent when the next request has been read, before it is worked on.
	beforeNext string
}

// start listens and registers the engine as ready.
func (e *engine) start(s *store) error {
	if err := e.listen(); err != nil {
		return err
	}
	e.register(s, "ready")
	return nil
}

// listen begins to serve, at the address of the engine or, at first, on a free port.
func (e *engine) listen() error {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listen := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	if e.lateBodies {
		listen = listenSmall
	}
	l, err := listen(address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener, e.conns = l, map[net.Conn]bool{}
	if e.runs == nil {
		e.runs = map[string][]http.Header{}
	}
	e.address = l.Addr().String()
	e.mu.Unlock()
	go e.accept(l)
	return nil
}

// register writes the entry of the engine to the store.
func (e *engine) register(s *store, state string) {
	entry, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots,
		"state": state, "cold_left_ms": 0, "sequence": 1,
	})
	s.put("servers", e.id, entry)
}

// crash resets all connections and stops listening, as the end of the process does.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	e.conns = map[net.Conn]bool{}
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	in, state := bufio.NewReader(c), &connState{}
	for e.serveOne(c, in, state) {
	}
}

// serveOne serves one request of a connection, and reports whether the connection stays open.
func (e *engine) serveOne(c net.Conn, in *bufio.Reader, state *connState) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	if !e.lateBodies {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
	}
	if r.URL.Path == "/healthz" {
		return e.answerHealth(c)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		return writeAll(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "+e.id+"\r\nContent-Length: 0\r\n\r\n")
	}
	if state.beforeNext != "" {
		if !writeAll(c, state.beforeNext) {
			return false
		}
		state.beforeNext = ""
	}
	x := &exchange{engine: e, conn: c, body: r.Body, header: r.Header, path: r.URL.Path, attempt: r.Header.Get("Attempt-Id"), state: state}
	e.mu.Lock()
	e.runs[x.attempt] = append(e.runs[x.attempt], r.Header)
	e.mu.Unlock()
	e.record.linef("run      %s at %s tenant=%q after=%q", x.attempt, e.id, r.Header.Get("Tenant"), r.Header.Get("Last-Event-Id"))
	return e.answer(x)
}

// answerHealth answers a health check.
func (e *engine) answerHealth(c net.Conn) bool {
	if e.health != nil {
		e.health()
	}
	cold := ""
	if e.coldLeft != nil {
		if left := e.coldLeft(time.Now()); left > 0 {
			cold = fmt.Sprintf("Cold-Ms: %d\r\n", left.Milliseconds())
		}
	}
	return writeAll(c, "HTTP/1.1 200 OK\r\nInstance-Id: "+e.id+"\r\n"+cold+"Content-Length: 0\r\n\r\n")
}

func writeAll(w io.Writer, text string) bool {
	_, err := io.WriteString(w, text)
	return err == nil
}

// stamp returns the signature of the engine's answer to a request.
func (x *exchange) stamp() string { return "3e1b." + x.engine.id + "." + x.attempt }

// head returns the head of an answer with further header lines.
func (x *exchange) head(status int, lines string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nResponse-Stamp: %s\r\n%s\r\n", status, http.StatusText(status), x.attempt, x.stamp(), lines)
}

// respond writes an answer with a body.
func (x *exchange) respond(status int, body string) bool {
	lines := fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	return writeAll(x.conn, x.head(status, lines)+body)
}

// work stands for the time that a request takes.
func (x *exchange) work(d time.Duration) { time.Sleep(d) }

// runsOf returns how often each engine began to work on a request.
func runsOf(engines []*engine, attempt string) (total int, headers []http.Header) {
	for _, e := range engines {
		e.mu.Lock()
		headers = append(headers, e.runs[attempt]...)
		e.mu.Unlock()
	}
	return len(headers), headers
}

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// engine stands in for one engine. It serves one request at a time on a connection, echoes Attempt-Id and signs
// its answers.
type engine struct {
	id       string
	listener net.Listener
	rec      *record
	// handle answers a request that was read with its body.
	handle func(c *engineConn, r *http.Request, body []byte)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// engineConn is a connection of a caller to an engine. One goroutine uses it.
type engineConn struct {
	net.Conn
	engine *engine
	// late are bytes that are sent at the point where the next response is expected.
	late []byte
}

// startEngine starts an engine and registers it in the store.
func (f *fixture) startEngine(id, zone string, slots int, handle func(c *engineConn, r *http.Request, body []byte)) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, listener: listener, rec: f.rec, handle: handle, conns: map[net.Conn]bool{}}
	f.engines = append(f.engines, e)
	go e.serve()
	entry := map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": slots,
		"state": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1796000000000,
	}
	f.store.put(tableServers, id, entry)
	f.rec.line("engine %s registers at %s", id, listener.Addr())
	return e, nil
}

func (e *engine) serve() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serveConn(&engineConn{Conn: conn, engine: e})
	}
}

func (e *engine) serveConn(c *engineConn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.conns, c.Conn)
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if len(c.late) > 0 {
			e.rec.line("engine %s: the extra response arrives where the response to %s is expected", e.id, r.Header.Get("Attempt-Id"))
			_, _ = c.Write(c.late) // fails if the daemon has closed the connection
			c.late = nil
		}
		if r.Header.Get("Expect-Instance") != e.id {
			c.answer(r, http.StatusMisdirectedRequest, "Instance-Id: "+e.id+"\r\n", nil)
			continue
		}
		e.handle(c, r, body)
	}
}

func (e *engine) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

// encodeAnswer returns a complete response with a length.
func encodeAnswer(r *http.Request, status int, headers string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), r.Header.Get("Attempt-Id"), headers, len(body))
	b.Write(body)
	return b.Bytes()
}

// answer sends a complete response.
func (c *engineConn) answer(r *http.Request, status int, headers string, body []byte) {
	_, _ = c.Write(encodeAnswer(r, status, headers, body)) // fails if the daemon has closed the connection
}

// stamp is the header that signs a response.
const stamp = "Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"

// notExecuted is the header of an engine that did not run a request.
const notExecuted = "Not-Executed: 1\r\n"

package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client sends requests to one daemon, one at a time, on a connection that it keeps open.
type client struct {
	record  *record
	address string
	conn    net.Conn
	in      *bufio.Reader
}

// request is what a client sends.
type request struct {
	method, path string
	header       map[string]string
	body         string
}

// result is what a client has received.
type result struct {
	attempt string
	status  int
	header  http.Header
	body    string
	// err is the reason why the answer is not complete; nil if it is.
	err error
}

// host is the host of all routes.
const host = "ficu95.example"

// clientTimeout is how long a client waits for an answer beyond the deadline that it states.
const clientTimeout = 12 * time.Second

// send sends a request with an Attempt-Id of its own and waits for the answer.
func (c *client) send(r request) result {
	var id [8]byte
	_, _ = rand.Read(id[:])
	res := result{attempt: hex.EncodeToString(id[:])}
	res.err = c.exchange(r, &res)
	end := "complete"
	if res.err != nil {
		end = res.err.Error()
	}
	c.record.linef("answered %s %s %s status=%d stamp=%q bytes=%d %s", res.attempt, r.method, r.path, res.status, res.header.Get("Response-Stamp"), len(res.body), end)
	return res
}

func (c *client) exchange(r request, res *result) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n", r.method, r.path, host, res.attempt)
	for name, value := range r.header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if r.body != "" || r.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	text.WriteString("\r\n" + r.body)
	c.record.linef("sent     %s %s %s", res.attempt, r.method, r.path)
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		c.close()
		return err
	}
	response, err := http.ReadResponse(c.in, &http.Request{Method: r.method})
	if err != nil {
		c.close()
		return err
	}
	res.status, res.header = response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	res.body = string(body)
	if err != nil || response.Close {
		c.close()
	}
	return err
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

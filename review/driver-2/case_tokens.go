package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// hugeUsage is a Token-Usage whose first number is the largest 64-bit integer.
const hugeUsage = "9223372036854775807,64"

// exitWait is how long the case waits for the daemon to end after the request.
const exitWait = 5 * time.Second

// tokenUsage: a client states a Token-Usage beyond all bounds for one stream, at a service whose engines don't look
// at it. The result is broken if the daemon ends. It is no case of the review, as no page names such a client.
func tokenUsage(f *fixture, trouble bool) error {
	_, err := f.startEngine("i-7f3a91c2", "hall-a", 6, func(c *engineConn, r *http.Request, _ []byte) {
		id := r.Header.Get("Attempt-Id")
		c.engine.rec.line("engine %s runs %s", c.engine.id, id)
		event := "id: 1\ndata: piece\n\n"
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, stamp, len(event), event) // fails if the daemon has closed the connection
	})
	if err != nil {
		return err
	}
	f.configure(
		map[string]any{"name": "r-6q5rmmv", "host": host, "prefix": prefix, "kind": "streaming", "timeout_ms": 10000, "goal_ms": 600, "priority": 1, "service": service, "attempts": 2, "public": false, "sticky": false, "resumable": true, "target_gap_ms": 250},
		map[string]any{"name": service, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
	)
	d, err := f.startDaemon("edge-hall-a-1", "hall-a")
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	usage := "800,64"
	if trouble {
		usage = hugeUsage
	}
	r := f.send(d, http.MethodPost, "9c41d07be2a30000", []byte("tag this"), 2*time.Second, map[string]string{"Model": "m", "Token-Usage": usage})
	select {
	case <-d.exited:
		return fmt.Errorf("%w: the daemon has ended after a request with Token-Usage %s", errBroken, usage)
	case <-time.After(exitWait):
	}
	if r.status != http.StatusOK {
		return errors.New("the request was not served")
	}
	return nil
}

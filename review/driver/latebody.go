package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// longBody is the largest body of the long requests of kcv-north.
	longBody = 140000
	// smallWindow is the receive buffer of an engine.
	smallWindow = 8 << 10
	// lateEvents and lateGap shape the streams of lateBody; a pause is below the site's 250 ms.
	lateEvents = 14
	lateGap    = 200 * time.Millisecond
)

// listenSmall listens with a small receive window.
func listenSmall(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
		})
		if err != nil {
			return err
		}
		return failure
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// lateBody: engines answer before they have read a long body, and read on later. They are sound,
// and nothing else happens: each request has to get its whole answer.
func lateBody(e *env) verdict {
	var late window
	answer := func(n *exchange) bool {
		if !late.open.Load() && !n.readBody() {
			return false
		}
		if !writeAll(n.conn, n.head(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")) {
			return false
		}
		for i := 1; i <= lateEvents; i++ {
			event := fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
			if !writeAll(n.conn, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
				e.record.linef("broken   the connection of %s at %s is gone at event %d", n.attempt, n.engine.id, i)
				return false
			}
			n.work(lateGap)
		}
		return n.readBody() && writeAll(n.conn, "0\r\n\r\n")
	}
	route := streamRoute("r-recap", "/recap/", 1)
	route["resumable"] = false
	e.lateBodies = true
	if err := e.begin(configOf([]map[string]any{route}), poolService, 64, answer); err != nil {
		return verdict{invalid: err.Error()}
	}
	late.during(e, 4*time.Second, 4*time.Second, "engines read long bodies late")
	var turn atomic.Int64
	results := e.traffic(16, 600*time.Millisecond, 12*time.Second, func() request {
		n := turn.Add(1)
		return request{method: http.MethodPost, path: "/recap/2f", body: strings.Repeat("p", longBody), header: map[string]string{
			"Deadline-Ms": fmt.Sprint(poolTimeout), "Authorization": "Bearer " + tenantKey, "Model": "m", "Token-Usage": "1460,64",
			"Prompt-Prefix": fmt.Sprintf("5c1e07a%x:800,91bd3f%04x:660", n%8, n),
		}}
	})
	v := verdict{}
	if served(results) == 0 {
		v.invalid = "nothing was served"
	}
	lost := 0
	for _, r := range results {
		if runs, _ := runsOf(e.engines, r.attempt); runs > 0 && r.err != nil {
			lost++
		}
	}
	if lost > 3 {
		v.violations = append(v.violations, fmt.Sprintf("LOST: %d requests were passed on to a sound engine, and their connections were closed without a whole answer", lost))
	}
	return v
}

// readBody reads the body of the request to its end.
func (x *exchange) readBody() bool {
	_, err := io.Copy(io.Discard, x.body)
	return err == nil
}

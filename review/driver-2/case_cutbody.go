package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// failShare is the part of its requests that the grey engine fails.
	failShare = 0.4
	// failTime is how long it does so.
	failTime = 5 * time.Second
	// answerBytes is the size of the engine's answers, of successes and failures alike.
	answerBytes = 100_000
	// lookupInterval is the time between two requests.
	lookupInterval = 50 * time.Millisecond
)

// cutFailureBody: an engine answers each request with 100,000 bytes. With trouble it fails a part of its requests
// with a signed 500 of the same size. The rule is broken if a client gets an answer that looks complete and is
// not the whole body of the engine.
func cutFailureBody(f *fixture, trouble bool) error {
	var mu sync.Mutex
	sent := map[string][sha256.Size]byte{}
	n, started := 0, time.Now()
	_, err := f.startEngine("i-7f3a91c2", "hall-a", 6, func(c *engineConn, r *http.Request, _ []byte) {
		id := r.Header.Get("Attempt-Id")
		body := bytes.Repeat([]byte(id), answerBytes/len(id))
		mu.Lock()
		n++
		status := http.StatusOK
		if trouble && time.Since(started) < failTime && float64(n)*failShare >= float64(int(float64(n-1)*failShare)+1) {
			status = http.StatusInternalServerError
		}
		sent[id] = sha256.Sum256(body)
		mu.Unlock()
		time.Sleep(15 * time.Millisecond)
		c.engine.rec.line("engine %s answers %s with %d and %d bytes", c.engine.id, id, status, len(body))
		c.answer(r, status, stamp, body)
	})
	if err != nil {
		return err
	}
	f.configure(
		map[string]any{"name": "r-tdhbjph", "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 1500, "goal_ms": 300, "priority": 2, "service": service, "attempts": 1, "public": false, "sticky": false, "resumable": false},
		map[string]any{"name": service, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
	)
	d, err := f.startDaemon("edge-hall-a-1", "hall-a")
	if err != nil {
		return err
	}
	started = time.Now()
	cut, whole := 0, 0
	for i := 0; time.Since(started) < failTime; i++ {
		id := fmt.Sprintf("9c41d07be2a3%04x", i)
		r := f.send(d, http.MethodPost, id, []byte("unpaid wages of May"), 1500*time.Millisecond, nil)
		mu.Lock()
		same := sent[id] == sha256.Sum256(r.body)
		mu.Unlock()
		isComplete := r.err == nil && r.header.Get("Content-Length") == strconv.Itoa(len(r.body))
		switch {
		case r.header.Get("Response-Stamp") == "": // not an answer of the engine
		case isComplete && !same:
			cut++
		case isComplete:
			whole++
		}
		time.Sleep(lookupInterval)
	}
	f.rec.line("%d answers of the engine came whole, %d looked complete and were cut", whole, cut)
	if cut > 0 {
		return fmt.Errorf("%w: %d answers were cut and looked complete", errBroken, cut)
	}
	if whole == 0 {
		return fmt.Errorf("no answer came")
	}
	return nil
}

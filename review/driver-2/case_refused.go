package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// shedShare is the part of their requests that the grey engines reject, and extraShare the part of its answers
	// that one of the two sends twice.
	shedShare  = 0.45
	extraShare = 0.03
	// warmUp is how long the engines work well before each disruption, and troubleTime how long they do not.
	warmUp      = 2 * time.Second
	troubleTime = 4 * time.Second
	// disruptions is how often that happens.
	disruptions = 12
	// filingInterval is the time between two requests.
	filingInterval = 5 * time.Millisecond
	// lateRunTime is how long the case waits for runs after the last answer.
	lateRunTime = 2 * time.Second
)

// filings counts how often each unrepeatable request has run.
type filings struct {
	mu   sync.Mutex
	runs map[string]int
	rng  *rand.Rand
}

// draw reports true with a probability.
func (f *filings) draw(probability float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < probability
}

func (f *filings) run(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id]++
}

func (f *filings) count(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// refusedButRun: clients send unrepeatable requests to a service with two engines. With trouble, both reject a part of
// their requests (503 with Not-Executed), and one sends a few of its answers twice, the second time late: where the
// response to the next request on the connection is expected. Every answer of an engine has the Attempt-Id of
// its request. The rule is broken if a request is answered 503 and has run, or has run twice.
func refusedButRun(f *fixture, trouble bool) error {
	work := &filings{runs: map[string]int{}, rng: rand.New(rand.NewPCG(1, 2))}
	started := time.Now()
	isTroubled := func() bool {
		return trouble && time.Since(started)%(warmUp+troubleTime) > warmUp
	}
	const garbling = "i-7f3a91c2"
	handle := func(c *engineConn, r *http.Request, body []byte) {
		id := r.Header.Get("Attempt-Id")
		answer := encodeAnswer(r, http.StatusOK, stamp, []byte("filed "+id))
		if isTroubled() && work.draw(shedShare) {
			c.engine.rec.line("engine %s rejects %s", c.engine.id, id)
			answer = encodeAnswer(r, http.StatusServiceUnavailable, notExecuted, nil)
		} else {
			c.engine.rec.line("engine %s runs %s (%d bytes)", c.engine.id, id, len(body))
			work.run(id)
			time.Sleep(15 * time.Millisecond)
		}
		_, _ = c.Write(answer) // fails if the daemon has closed the connection
		if c.engine.id == garbling && isTroubled() && work.draw(extraShare) {
			c.late = answer
		}
	}
	for _, id := range []string{garbling, "i-02d9e6b4"} {
		if _, err := f.startEngine(id, "hall-a", 6, handle); err != nil {
			return err
		}
	}
	f.configure(
		map[string]any{"name": "r-tdhbjph", "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 1500, "goal_ms": 300, "priority": 2, "service": service, "attempts": 4, "public": false, "sticky": false, "resumable": false},
		map[string]any{"name": service, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
	)
	d, err := f.startDaemon("edge-hall-a-1", "hall-a")
	if err != nil {
		return err
	}
	started = time.Now()
	var clients sync.WaitGroup
	var mu sync.Mutex
	status := map[string]int{}
	ticker := time.NewTicker(filingInterval)
	defer ticker.Stop()
	for i := 0; time.Since(started) < disruptions*(warmUp+troubleTime); i++ {
		<-ticker.C
		clients.Go(func() {
			id := fmt.Sprintf("9c41d07be2a3%04x", i)
			r := f.send(d, http.MethodPost, id, []byte("unpaid wages of May"), 1500*time.Millisecond, nil)
			mu.Lock()
			defer mu.Unlock()
			status[id] = r.status
		})
	}
	clients.Wait()
	time.Sleep(lateRunTime)
	refusedAndRun, doubled, served := 0, 0, 0
	for id, answered := range status {
		n := work.count(id)
		switch {
		case n > 1:
			f.rec.line("%s has run %d times, answered %d", id, n, answered)
			doubled++
		case answered == http.StatusServiceUnavailable && n > 0:
			f.rec.line("%s was answered 503 and has run", id)
			refusedAndRun++
		case answered == http.StatusOK && n == 1:
			served++
		}
	}
	f.rec.line("%d requests: %d served, %d answered 503 and run, %d run more than once", len(status), served, refusedAndRun, doubled)
	if refusedAndRun+doubled > 0 {
		return fmt.Errorf("%w: %d requests were answered 503 and have run, %d have run more than once", errBroken, refusedAndRun, doubled)
	}
	if served < len(status)/2 && !trouble {
		return fmt.Errorf("only %d of %d requests were served", served, len(status))
	}
	return nil
}

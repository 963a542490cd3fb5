package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The limits of kcv-north-now-grown for cold engines: cold_per_s and warmup_s of its model
// service, and the bounds cold_over and cold_slack.
const (
	coldPerS  = 14.0
	coldOver  = 1.5
	coldSlack = 5.0
	warmup    = 3 * time.Second
	maxCold   = int(coldPerS*coldOver + coldSlack)
	// heartbeat is how often an engine writes its entry (heartbeat_ms).
	heartbeat = 1200 * time.Millisecond
	// inTransit is how long after an engine has turned cold requests aren't counted that may have
	// been sent before.
	inTransit = 25 * time.Millisecond
	// engineSlots and runTime are the slots of an engine and how long a request occupies one.
	engineSlots = 16
	runTime     = 25 * time.Millisecond
)

// coldEngine is what is seen of an engine that turns cold at some moments.
type coldEngine struct {
	*engine
	mu sync.Mutex
	// turned are the moments at which the engine has turned cold, arrivals when requests came.
	turned, arrivals []time.Time
	written          int64
	// slot holds a value for each request that is worked on; others wait in order of arrival.
	slot chan struct{}
}

// inSlot waits for a slot and occupies it for a time.
func (c *coldEngine) inSlot(d time.Duration) {
	c.slot <- struct{}{}
	time.Sleep(d)
	<-c.slot
}

// coldLeft returns how much longer the engine is cold.
func (c *coldEngine) coldLeft(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.turned) == 0 {
		return 0
	}
	return max(0, c.turned[len(c.turned)-1].Add(warmup).Sub(now))
}

// turnCold makes the engine cold now.
func (c *coldEngine) turnCold(e *env) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turned = append(c.turned, time.Now())
	e.record.linef("engine   %s turns cold", c.id)
}

// beat writes the entry of the engine about every heartbeat if it has changed.
func (c *coldEngine) beat(e *env) {
	for range time.Tick(heartbeat) {
		left := c.coldLeft(time.Now()).Milliseconds()
		if left == 0 && c.written == 0 {
			continue
		}
		c.written = left
		entry, _ := json.Marshal(map[string]any{
			"service": c.service, "address": c.address, "zone": c.zone, "version": "v1", "slots": c.slots,
			"state": "ready", "cold_left_ms": left, "sequence": 1,
		})
		e.store.put("servers", c.id, entry)
	}
}

// most returns the largest number of requests that came within one second while the engine was
// cold.
func (c *coldEngine) most() (n int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, turned := range c.turned {
		begin, end := turned.Add(inTransit), turned.Add(warmup)
		for i, first := range c.arrivals {
			if first.Before(begin) || first.After(end) {
				continue
			}
			count := 0
			for _, a := range c.arrivals[i:] {
				if a.Sub(first) < time.Second && !a.After(end) {
					count++
				}
			}
			if count > n {
				n, at = count, first
			}
		}
	}
	return n, at
}

// The partition of manyOwners: one node_cut of 12 s, and when the engines turn cold in it.
const (
	cutAt     = 4 * time.Second
	cutLength = 12 * time.Second
	coldAt    = cutAt + 8*time.Second
)

// manyOwners: two of six daemons, both of one zone of three, are cut off from all others for longer
// than it takes until each counts the others as gone. Engines turn cold meanwhile, as they may at
// any moment, and say so. All daemons together must not send a cold engine more than its limit.
func manyOwners(e *env) verdict {
	engines := make([]*coldEngine, 4)
	byID := map[string]*coldEngine{}
	answer := func(x *exchange) bool {
		c := byID[x.engine.id]
		c.mu.Lock()
		c.arrivals = append(c.arrivals, time.Now())
		c.mu.Unlock()
		c.inSlot(runTime)
		body := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		return writeAll(x.conn, x.head(http.StatusOK, fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n", len(body)))+body)
	}
	for i := range engines {
		added, err := e.addEngine(poolService, "hall-a", engineSlots, answer)
		if err != nil {
			return verdict{invalid: err.Error()}
		}
		engines[i] = &coldEngine{engine: added, slot: make(chan struct{}, engineSlots)}
		byID[added.id] = engines[i]
		added.coldLeft = engines[i].coldLeft
		added.health = func() { engines[i].inSlot(time.Millisecond) }
		time.AfterFunc(time.Duration(i)*heartbeat/4, func() { engines[i].beat(e) })
	}
	config := configOf([]map[string]any{streamRoute("r-flag", "/flag/", 1)})
	pool := config["services"].([]map[string]any)[1]
	pool["warmup_s"], pool["cold_per_s"] = warmup.Seconds(), coldPerS
	pool["engine"].(map[string]any)["slots"] = engineSlots
	e.writeConfig(config)
	e.coldOver, e.coldSlack, e.links = fmt.Sprint(coldOver), fmt.Sprint(coldSlack), newLinks()
	if err := e.startDaemons("hall-a", "hall-a", "hall-a", "hall-b", "hall-c", "hall-d"); err != nil {
		return verdict{invalid: err.Error()}
	}
	cutOff := []string{e.daemons[0].name, e.daemons[1].name}
	e.serving = e.daemons[:3] // the clients are those of hall-a
	if e.trouble {
		time.AfterFunc(cutAt, func() {
			e.record.linef("trouble  node_cut: two of six daemons, both of hall-a, are cut off from all others for %s", cutLength)
			e.links.partition(cutOff, true)
		})
		time.AfterFunc(cutAt+cutLength, func() {
			e.links.partition(cutOff, false)
			e.record.linef("trouble  node_cut ends")
		})
	}
	for _, c := range engines {
		time.AfterFunc(coldAt, func() { c.turnCold(e) })
	}
	var turn atomic.Int64
	results := e.traffic(24, 60*time.Millisecond, cutAt+cutLength+2*time.Second, func() request {
		n := turn.Add(1)
		return request{method: http.MethodPost, path: "/flag/2f", body: "{}", header: map[string]string{
			"Deadline-Ms": "2500", "Authorization": "Bearer " + tenantKey, "Model": "m", "Token-Usage": "60,16",
			"Prompt-Prefix": fmt.Sprintf("5c1e07a%04x:30,91bd3f%05x:30", n%997, n),
		}}
	})
	v := verdict{}
	if n := served(results); n < 1000 {
		v.invalid = fmt.Sprintf("only %d of %d requests were served", n, len(results))
	}
	for _, c := range engines {
		n, at := c.most()
		e.record.linef("engine   %s got at most %d requests in a second while it was cold, limit %d", c.id, n, maxCold)
		if n > maxCold {
			v.violations = append(v.violations, fmt.Sprintf("FAILBACK: %s, cold, got %d requests in the second from %.3f on, limit %d", c.id, n, at.Sub(e.record.began).Seconds(), maxCold))
		}
	}
	return v
}

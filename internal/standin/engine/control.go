package enginestandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// refreshStatus replaces the published figures once they are StatusLag old.
// The word that the engine leaves is never late.
func (e *Engine) refreshStatus(now time.Time) {
	if now.Sub(e.statusSeen) >= e.cfg.StatusLag {
		e.statusSeen = now
		e.status.Running = len(e.running)
		e.status.Waiting = len(e.waiting)
		e.status.StepMS = float64(e.lastStep) / float64(time.Millisecond)
	}
	e.status.Leaving = e.leaving
	e.status.Models = e.models()
}

// models returns the models that are served; nil means any.
func (e *Engine) models() []string {
	if len(e.orders) == 0 {
		return e.cfg.Models
	}
	return e.orders[len(e.orders)-1].Models
}

func (e *Engine) postOrders(w http.ResponseWriter, r *http.Request) {
	var o Orders
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.orders); n > 0 && e.cfg.EnforceFencing && o.Fencing < e.orders[n-1].Fencing {
		writeJSON(w, http.StatusConflict, e.orders[n-1])
		return
	}
	e.orders = append(e.orders, o)
	writeJSON(w, http.StatusOK, o)
}

func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	present := Orders{Models: e.cfg.Models}
	if n := len(e.orders); n > 0 {
		present = e.orders[n-1]
	}
	writeJSON(w, http.StatusOK, present)
}

func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		limit = maxCacheEvents
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.polls++
	writeJSON(w, http.StatusOK, e.cache.after(after, limit, time.Now()))
}

// Store puts the start of a prompt into the cache, as a request with it does.
func (e *Engine) Store(prompt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(Prefix(prompt), time.Now())
}

// CachePolls returns how often the cache events were asked for.
func (e *Engine) CachePolls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.polls
}

// maxCacheEvents bounds the events that are kept for polls.
const maxCacheEvents = 1024

type timedEvent struct {
	CacheEvent
	at time.Time
}

// cache is a prefix cache that forgets its oldest entry first.
type cache struct {
	// run names the engine's run.
	run     string
	entries int
	lag     time.Duration
	gap     int
	order   []uint64
	held    map[uint64]bool
	events  []timedEvent
	next    uint64
	polls   int
}

func newCache(cfg Config) cache {
	return cache{run: string(ident.NewAttempt()), entries: cfg.CacheEntries, lag: cfg.CacheLag, gap: cfg.CacheGap, held: map[uint64]bool{}}
}

func (c *cache) store(prefix uint64, now time.Time) {
	if c.held[prefix] {
		return
	}
	c.held[prefix] = true
	c.order = append(c.order, prefix)
	c.publish("stored", prefix, now)
	if len(c.order) <= c.entries {
		return
	}
	oldest := c.order[0]
	c.order = c.order[1:]
	delete(c.held, oldest)
	c.publish("evicted", oldest, now)
}

func (c *cache) publish(kind string, prefix uint64, now time.Time) {
	c.next++
	if c.gap > 0 && c.next%uint64(c.gap) == 0 {
		return
	}
	e := CacheEvent{Sequence: c.next, Kind: kind, Prefix: fmt.Sprintf("%016x", prefix)}
	c.events = append(c.events, timedEvent{CacheEvent: e, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// after returns at most limit events that follow a number. A number that this run
// has not reached is one of a former run: it gets none and starts anew.
func (c *cache) after(seq uint64, limit int, now time.Time) CacheEvents {
	if seq > c.next {
		seq = 0
	}
	out := CacheEvents{Run: c.run, Events: []CacheEvent{}, Next: seq}
	for _, e := range c.events {
		if e.Sequence <= out.Next || now.Sub(e.at) < c.lag {
			continue
		}
		if len(out.Events) == limit {
			break
		}
		out.Events = append(out.Events, e.CacheEvent)
		out.Next = e.Sequence
	}
	return out
}

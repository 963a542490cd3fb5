package enginestandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// refreshStatus replaces the published figures once they are StatusLag old. The
// leaving flag and the models are always current.
func (e *Engine) refreshStatus(now time.Time) {
	if now.Sub(e.statusUpdatedAt) >= e.cfg.StatusLag {
		e.statusUpdatedAt = now
		e.status.Running = len(e.running)
		e.status.Waiting = len(e.waiting)
		e.status.StepMS = float64(e.lastStep) / float64(time.Millisecond)
	}
	e.status.Leaving = e.leaving
	e.status.Models = e.servedModels()
}

// servedModels returns the models of the latest orders, or those configured if
// there are none; nil means any model.
func (e *Engine) servedModels() []string {
	if len(e.orders) == 0 {
		return e.cfg.Models
	}
	return e.orders[len(e.orders)-1].Models
}

func (e *Engine) postOrders(w http.ResponseWriter, r *http.Request) {
	var orders Orders
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize)).Decode(&orders); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.orders); n > 0 && e.cfg.EnforceFencing && orders.Fencing < e.orders[n-1].Fencing {
		writeJSON(w, http.StatusConflict, e.orders[n-1])
		return
	}
	e.orders = append(e.orders, orders)
	writeJSON(w, http.StatusOK, orders)
}

func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := Orders{Models: e.cfg.Models}
	if n := len(e.orders); n > 0 {
		current = e.orders[n-1]
	}
	writeJSON(w, http.StatusOK, current)
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
	writeJSON(w, http.StatusOK, e.cache.eventsAfter(after, limit, time.Now()))
}

// CachePrompt adds the start of a prompt to the cache, as a request with this
// prompt does.
func (e *Engine) CachePrompt(prompt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(PrefixID(prompt), time.Now())
}

// CachePolls returns the number of requests for cache events.
func (e *Engine) CachePolls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.polls
}

// maxCacheEvents bounds the events that are retained for polls.
const maxCacheEvents = 1024

type timestampedEvent struct {
	CacheEvent
	publishedAt time.Time
}

// cache is a prefix cache that evicts its oldest entry first (FIFO).
type cache struct {
	// runID identifies the run of the engine; a restarted engine has another.
	runID          string
	capacity       int
	publishDelay   time.Duration
	dropInterval   int
	insertionOrder []uint64
	cached         map[uint64]bool
	events         []timestampedEvent
	lastSequence   uint64
	polls          int
}

func newCache(cfg Config) cache {
	return cache{runID: string(ident.NewAttempt()), capacity: cfg.CacheEntries, publishDelay: cfg.CacheEventDelay, dropInterval: cfg.CacheEventDropInterval, cached: map[uint64]bool{}}
}

func (c *cache) store(prefixID uint64, now time.Time) {
	if c.cached[prefixID] {
		return
	}
	c.cached[prefixID] = true
	c.insertionOrder = append(c.insertionOrder, prefixID)
	c.publish("stored", prefixID, now)
	if len(c.insertionOrder) <= c.capacity {
		return
	}
	oldest := c.insertionOrder[0]
	c.insertionOrder = c.insertionOrder[1:]
	delete(c.cached, oldest)
	c.publish("evicted", oldest, now)
}

func (c *cache) publish(kind string, prefixID uint64, now time.Time) {
	c.lastSequence++
	if c.dropInterval > 0 && c.lastSequence%uint64(c.dropInterval) == 0 {
		return
	}
	e := CacheEvent{Sequence: c.lastSequence, Kind: kind, Prefix: fmt.Sprintf("%016x", prefixID)}
	c.events = append(c.events, timestampedEvent{CacheEvent: e, publishedAt: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns at most limit events with a sequence number above seq. A
// number that this run has not reached belongs to an earlier run; reading then
// restarts from the beginning.
func (c *cache) eventsAfter(seq uint64, limit int, now time.Time) CacheEvents {
	if seq > c.lastSequence {
		seq = 0
	}
	out := CacheEvents{Run: c.runID, Events: []CacheEvent{}, Next: seq}
	for _, e := range c.events {
		if e.Sequence <= out.Next || now.Sub(e.publishedAt) < c.publishDelay {
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

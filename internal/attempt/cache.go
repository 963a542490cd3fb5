package attempt

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/placement"
)

const (
	cacheEventsPath = "/cache/events"
	// CachePageEvents bounds the events of one answer, and with some 60 bytes
	// each the bytes.
	CachePageEvents = 64
	// maxCachePageBytes is eight times what such an answer takes.
	maxCachePageBytes = 32 << 10
)

// ErrNoCacheEvents tells that a target does not publish cache events.
var ErrNoCacheEvents = merry.Sentinel("the target publishes no cache events")

// cachePage is the answer to GET /cache/events.
type cachePage struct {
	Run    string `json:"run"`
	Events []struct {
		Sequence uint64 `json:"seq"`
		Kind     string `json:"kind"`
		Prefix   string `json:"prefix"`
	} `json:"events"`
	Next uint64 `json:"next"`
}

// CacheEvents asks a target for the cache events after a number. It takes at most
// ConnectTimeout and FirstByte. ErrNoCacheEvents tells that there are none to be
// had; other errors are those of a target that gave no answer of use.
func (r *Runner) CacheEvents(ctx context.Context, address string, after uint64) (placement.CachePage, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ConnectTimeout+r.cfg.FirstByte)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "limit": {strconv.Itoa(CachePageEvents)}}
	u := &url.URL{Scheme: "http", Host: address, Path: cacheEventsPath, RawQuery: query.Encode()}
	resp, err := r.fresh.RoundTrip(newRequest(ctx, http.MethodGet, u, requestHeader(ctx, nil), nil))
	if err != nil {
		return placement.CachePage{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusNotImplemented:
		return placement.CachePage{}, ErrNoCacheEvents
	default:
		return placement.CachePage{}, fmt.Errorf("cache events: status %d", resp.StatusCode)
	}
	var page cachePage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxCachePageBytes)).Decode(&page); err != nil {
		return placement.CachePage{}, merry.Prepend(err, "cache events")
	}
	return page.events()
}

func (p *cachePage) events() (placement.CachePage, error) {
	out := placement.CachePage{Run: p.Run, Next: p.Next, More: len(p.Events) >= CachePageEvents}
	for _, e := range p.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			return placement.CachePage{}, merry.Prepend(err, "prefix of a cache event")
		}
		out.Events = append(out.Events, placement.CacheEvent{Sequence: e.Sequence, Prefix: prefix, Stored: e.Kind == "stored"})
	}
	return out, nil
}

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
	// MaxCachePageEvents bounds the number of events in one response and thereby
	// its size, at about 60 bytes per event.
	MaxCachePageEvents = 64
	// maxCachePageBytes is eight times the size of such a response.
	maxCachePageBytes = 32 << 10
)

// ErrCacheEventsUnsupported reports that a target does not publish cache events.
var ErrCacheEventsUnsupported = merry.Sentinel("the target does not support cache events")

// cachePage is the response to GET /cache/events.
type cachePage struct {
	RunID  string `json:"run"`
	Events []struct {
		Sequence uint64 `json:"seq"`
		Kind     string `json:"kind"`
		Prefix   string `json:"prefix"`
	} `json:"events"`
	Next uint64 `json:"next"`
}

// CacheEvents requests the cache events after a sequence number from a target.
// It takes at most ConnectTimeout plus FirstByteTimeout. It returns
// ErrCacheEventsUnsupported if the target does not publish events, and another
// error if the target is unreachable or its response is invalid.
func (r *Runner) CacheEvents(ctx context.Context, address string, after uint64) (placement.CachePage, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ConnectTimeout+r.cfg.FirstByteTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "limit": {strconv.Itoa(MaxCachePageEvents)}}
	u := &url.URL{Scheme: "http", Host: address, Path: cacheEventsPath, RawQuery: query.Encode()}
	resp, err := r.unpooled.RoundTrip(newRequest(ctx, http.MethodGet, u, requestHeader(ctx, nil), nil))
	if err != nil {
		return placement.CachePage{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusNotImplemented:
		return placement.CachePage{}, ErrCacheEventsUnsupported
	default:
		return placement.CachePage{}, fmt.Errorf("cache events: status %d", resp.StatusCode)
	}
	var page cachePage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxCachePageBytes)).Decode(&page); err != nil {
		return placement.CachePage{}, merry.Prepend(err, "cache events")
	}
	return page.toPlacement()
}

func (p *cachePage) toPlacement() (placement.CachePage, error) {
	out := placement.CachePage{Run: p.RunID, Next: p.Next, More: len(p.Events) >= MaxCachePageEvents}
	for _, e := range p.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			return placement.CachePage{}, merry.Prepend(err, "cache events: invalid prefix")
		}
		out.Events = append(out.Events, placement.CacheEvent{Sequence: e.Sequence, Prefix: prefix, Stored: e.Kind == "stored"})
	}
	return out, nil
}

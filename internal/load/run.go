package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// StreamResult summarizes what the callers of one stream received.
type StreamResult struct {
	Name string
	// Complete counts answers that were complete and correct, Wrong those that
	// ended as complete but had the wrong content, and Cut those that ended early
	// with a visible error.
	Complete, Wrong, Cut int
	// Refused counts rejected requests by the name of the result code.
	Refused map[string]int
	// Tokens is the total number of tokens of the complete answers.
	Tokens int64
	// First holds the times to the first byte of an answer, Total those to its
	// end, both in microseconds.
	First, Total *hdrhistogram.Histogram
}

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

func newStreamResult(name string) *StreamResult {
	return &StreamResult{
		Name: name, Refused: map[string]int{},
		First: hdrhistogram.New(1, histogramMax, histogramDigits),
		Total: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (s *StreamResult) add(res result) {
	switch {
	case res.rejection != "":
		s.Refused[res.rejection]++
		return
	case res.truncated:
		s.Cut++
		return
	case res.mismatch:
		s.Wrong++
		return
	}
	s.Complete++
	s.Tokens += int64(res.tokens)
	// Values above one hour are recorded as one hour; no run is longer.
	_ = s.First.RecordValue(min(res.firstByte.Microseconds(), histogramMax))
	_ = s.Total.RecordValue(min(res.total.Microseconds(), histogramMax))
}

// minPauseAfterRejection keeps a rejected caller from retrying immediately.
const minPauseAfterRejection = 20 * time.Millisecond

// Run sends requests until the spec's duration has elapsed or ctx ends, waits for
// the requests in flight, and returns one result per stream.
func Run(ctx context.Context, s Spec) []*StreamResult {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: 10 * time.Second}}
	defer client.CloseIdleConnections()
	sendCtx, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	results := make([]*StreamResult, len(s.Streams))
	var callers sync.WaitGroup
	for i, stream := range s.Streams {
		results[i] = newStreamResult(stream.Name)
		var mu sync.Mutex
		for n := range stream.Concurrent {
			c := &caller{client: client, stream: stream, index: n}
			callers.Go(func() {
				c.loop(ctx, sendCtx, func(res result) {
					mu.Lock()
					defer mu.Unlock()
					results[i].add(res)
				})
			})
		}
	}
	callers.Wait()
	return results
}

// caller sends requests one after the other, so that at most one is in flight.
type caller struct {
	client *http.Client
	stream Stream
	index  int
	sent   int
}

func (c *caller) loop(ctx, sendCtx context.Context, record func(result)) {
	for sendCtx.Err() == nil {
		res := c.send(ctx)
		record(res)
		pause := c.stream.Pause
		if res.rejection != "" {
			pause = max(pause, minPauseAfterRejection)
		}
		timer := time.NewTimer(pause)
		select {
		case <-sendCtx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Row is what the callers of one stream received.
type Row struct {
	Name string
	// Complete answers were whole and right; Wrong ones were called complete
	// and were not right; Cut ones ended early with a visible error.
	Complete, Wrong, Cut int
	// Refused counts refusals by the name of their result code.
	Refused map[string]int
	// Tokens were received in all.
	Tokens int64
	// First is the time to the first byte of the answer, Total to its end,
	// both in microseconds.
	First, Total *hdrhistogram.Histogram
}

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

func newRow(name string) *Row {
	return &Row{
		Name: name, Refused: map[string]int{},
		First: hdrhistogram.New(1, histogramMax, histogramDigits),
		Total: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (r *Row) add(a answer) {
	switch {
	case a.refused != "":
		r.Refused[a.refused]++
		return
	case a.cut:
		r.Cut++
		return
	case a.wrong:
		r.Wrong++
		return
	}
	r.Complete++
	r.Tokens += int64(a.tokens)
	// Values above an hour are recorded as an hour; a run is never longer.
	_ = r.First.RecordValue(min(a.first.Microseconds(), histogramMax))
	_ = r.Total.RecordValue(min(a.total.Microseconds(), histogramMax))
}

// refusedPause keeps a refused caller from asking again at once.
const refusedPause = 20 * time.Millisecond

// Run sends the load until the spec's duration has passed or ctx ends, waits for
// the answers that are under way, and returns a row for each stream.
func Run(ctx context.Context, s Spec) []*Row {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: 10 * time.Second}}
	defer client.CloseIdleConnections()
	starting, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	rows := make([]*Row, len(s.Streams))
	var callers sync.WaitGroup
	for i, stream := range s.Streams {
		rows[i] = newRow(stream.Name)
		var mu sync.Mutex
		for n := range stream.Concurrent {
			c := &caller{client: client, stream: stream, number: n}
			callers.Go(func() {
				c.loop(ctx, starting, func(a answer) {
					mu.Lock()
					defer mu.Unlock()
					rows[i].add(a)
				})
			})
		}
	}
	callers.Wait()
	return rows
}

// caller keeps one request in flight.
type caller struct {
	client *http.Client
	stream Stream
	number int
	sent   int
}

func (c *caller) loop(ctx, starting context.Context, record func(answer)) {
	for starting.Err() == nil {
		a := c.call(ctx)
		record(a)
		pause := c.stream.Pause
		if a.refused != "" {
			pause = max(pause, refusedPause)
		}
		timer := time.NewTimer(pause)
		select {
		case <-starting.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

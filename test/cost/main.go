// Command cost measures what a daemon adds to going straight to a target: time
// for a caller, processor time for a request, memory for an open stream.
//
//	go run ./test/cost             # all, some thirty seconds
//	go run ./test/cost --only load
//
// Straight and through the daemon alternate within one run, so that a busy
// machine slows both.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"
)

const (
	bearer    = "key-of-the-measurement"
	warmUp    = 200
	samples   = 2000
	slots     = 20000
	callers   = 64
	loadTime  = 4 * time.Second
	streams   = 2000
	tokens    = 16
	stepTime  = time.Millisecond
	longAfter = 1 << 20
)

// options are the flags of the command.
type options struct {
	Only string `long:"only" choice:"latency" choice:"load" choice:"memory" description:"measure one thing (default: all)"`
}

// measurement is one thing to measure on a fresh stage.
type measurement struct {
	name string
	run  func(*stage) error
}

var measurements = []measurement{
	{"latency", measureLatency},
	{"load", measureLoad},
	{"memory", measureMemory},
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	for _, m := range measurements {
		if o.Only != "" && o.Only != m.name {
			continue
		}
		if err := measure(m); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", m.name, err)
			os.Exit(1)
		}
	}
}

func measure(m measurement) error {
	s := &stage{}
	defer s.close()
	if err := s.start(); err != nil {
		return err
	}
	if err := m.run(s); err != nil {
		return err
	}
	return s.failure()
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

// compare alternates between both ways and reports what the daemon adds.
func (s *stage) compare(name string, once func(straight bool) time.Duration) {
	var times [2][]time.Duration
	for i := range warmUp + 2*samples {
		straight := i % 2
		d := once(straight == 1)
		if i >= warmUp {
			times[straight] = append(times[straight], d)
		}
	}
	slices.Sort(times[0])
	slices.Sort(times[1])
	for _, q := range []float64{0.5, 0.99} {
		through, straight := quantile(times[0], q), quantile(times[1], q)
		fmt.Printf("%s p%g: straight %v, through the daemon %v, added %v\n", name, 100*q, straight, through, through-straight)
	}
}

// measureLatency compares one small call, and the first token of a streamed
// answer, one at a time. The engine's step of 1 ms is in both ways.
func measureLatency(s *stage) error {
	s.compare("plain call", func(straight bool) time.Duration {
		_, total := s.call(http.MethodGet, s.plainURL(straight), nil)
		return total
	})
	s.compare("first token", func(straight bool) time.Duration {
		first, _ := s.call(http.MethodPost, s.modelURL(straight), modelBody(1))
		return first
	})
	return nil
}

// processorTime returns what the daemon has used so far.
func (s *stage) processorTime() (time.Duration, error) {
	const ticksPerSecond = 100
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// load keeps callers busy and returns how many calls they make a second.
func (s *stage) load(call func()) (calls int, rate float64) {
	var group sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	for range callers {
		group.Go(func() {
			n := 0
			for time.Since(began) < loadTime {
				call()
				n++
			}
			mu.Lock()
			defer mu.Unlock()
			calls += n
		})
	}
	group.Wait()
	return calls, float64(calls) / time.Since(began).Seconds()
}

// measureLoad takes the processor time of small calls and of streamed answers of
// 16 tokens, many at a time.
func measureLoad(s *stage) error {
	err := s.reportLoad("plain calls", func(straight bool) { s.call(http.MethodGet, s.plainURL(straight), nil) })
	if err != nil {
		return err
	}
	return s.reportLoad("streams of 16 tokens", func(straight bool) {
		s.call(http.MethodPost, s.modelURL(straight), modelBody(tokens))
	})
}

func (s *stage) reportLoad(name string, call func(straight bool)) error {
	before, err := s.processorTime()
	if err != nil {
		return err
	}
	calls, through := s.load(func() { call(false) })
	after, err := s.processorTime()
	if err != nil {
		return err
	}
	_, straight := s.load(func() { call(true) })
	fmt.Printf("%s, %d callers: %.0f/s through the daemon, %.0f/s straight; %.0f requests per second and core\n",
		name, callers, through, straight, float64(calls)/(after-before).Seconds())
	return nil
}

// resident returns the daemon's resident memory in bytes.
func (s *stage) resident() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.process.Pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	kilobytes, err := strconv.Atoi(strings.Fields(after)[0])
	return kilobytes << 10, err
}

// measureMemory takes what a daemon holds for each open stream, by the second
// half of the streams: the first one makes the heap grow by steps.
func measureMemory(s *stage) error {
	s.engineStandin.SetStepTime(200 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var held [2]int
	for i := range held {
		s.open(ctx, streams/2)
		var err error
		if held[i], err = s.resident(); err != nil {
			return err
		}
	}
	fmt.Printf("resident: %d KiB with %d streams, %d KiB with %d: %d bytes for each of the second half\n",
		held[0]>>10, streams/2, held[1]>>10, streams, (held[1]-held[0])/(streams/2))
	return nil
}

// open opens streams and waits until each has its second token.
func (s *stage) open(ctx context.Context, n int) {
	var opened sync.WaitGroup
	for range n {
		opened.Add(1)
		go func() {
			resp := s.do(ctx, http.MethodPost, s.modelURL(false), modelBody(longAfter))
			if resp == nil {
				opened.Done()
				return
			}
			defer func() { _ = resp.Body.Close() }()
			in := bufio.NewReaderSize(resp.Body, 1024)
			for range 6 {
				_, _ = in.ReadString('\n')
			}
			opened.Done()
			_, _ = io.Copy(io.Discard, in) // until ctx ends
		}()
	}
	opened.Wait()
}

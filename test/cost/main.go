// Command cost measures the overhead of a daemon compared with direct access to
// a target: latency for a caller, CPU time per request, and memory per open
// stream.
//
//	go run ./test/cost             # all benchmarks, about 30 seconds
//	go run ./test/cost --only load
//
// Calls through the daemon and direct calls run in turn within one run, so that
// load on the machine affects both.
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
	apiKey            = "key-of-the-measurement"
	warmupCalls       = 200
	samplesPerPath    = 2000
	targetSlots       = 20000
	concurrentCallers = 64
	loadDuration      = 4 * time.Second
	streamCount       = 2000
	streamTokens      = 16
	engineStep        = time.Millisecond
	longStreamTokens  = 1 << 20
)

// options are the flags of the command.
type options struct {
	Only string `long:"only" choice:"latency" choice:"load" choice:"memory" description:"measure one thing (default: all)"`
}

// benchmark is one measurement, which runs on a new testbed.
type benchmark struct {
	name string
	run  func(*testbed) error
}

var benchmarks = []benchmark{
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
	for _, b := range benchmarks {
		if o.Only != "" && o.Only != b.name {
			continue
		}
		if err := runBenchmark(b); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", b.name, err)
			os.Exit(1)
		}
	}
}

func runBenchmark(b benchmark) error {
	tb := &testbed{}
	defer tb.close()
	if err := tb.start(); err != nil {
		return err
	}
	if err := b.run(tb); err != nil {
		return err
	}
	return tb.firstError()
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

// compareLatency alternates between direct calls and calls through the daemon,
// and prints the latency that the daemon adds.
func (tb *testbed) compareLatency(name string, call func(direct bool) time.Duration) {
	var times [2][]time.Duration
	for i := range warmupCalls + 2*samplesPerPath {
		direct := i % 2
		d := call(direct == 1)
		if i >= warmupCalls {
			times[direct] = append(times[direct], d)
		}
	}
	slices.Sort(times[0])
	slices.Sort(times[1])
	for _, q := range []float64{0.5, 0.99} {
		viaDaemon, direct := quantile(times[0], q), quantile(times[1], q)
		fmt.Printf("%s p%g: straight %v, through the daemon %v, added %v\n", name, 100*q, direct, viaDaemon, viaDaemon-direct)
	}
}

// measureLatency compares the latency of a small call and of the first token of
// a streamed response, with one request at a time. Both paths include the
// engine's step of 1 ms.
func measureLatency(tb *testbed) error {
	tb.compareLatency("plain call", func(direct bool) time.Duration {
		_, total := tb.call(http.MethodGet, tb.plainURL(direct), nil)
		return total
	})
	tb.compareLatency("first token", func(direct bool) time.Duration {
		first, _ := tb.call(http.MethodPost, tb.modelURL(direct), modelBody(1))
		return first
	})
	return nil
}

// daemonCPUTime returns the CPU time that the daemon has used so far.
func (tb *testbed) daemonCPUTime() (time.Duration, error) {
	const ticksPerSecond = 100
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", tb.process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// runLoad keeps all callers busy for loadDuration and returns the number of
// calls and the calls per second.
func (tb *testbed) runLoad(call func()) (calls int, rate float64) {
	var group sync.WaitGroup
	var mu sync.Mutex
	start := time.Now()
	for range concurrentCallers {
		group.Go(func() {
			n := 0
			for time.Since(start) < loadDuration {
				call()
				n++
			}
			mu.Lock()
			defer mu.Unlock()
			calls += n
		})
	}
	group.Wait()
	return calls, float64(calls) / time.Since(start).Seconds()
}

// measureLoad measures the CPU time of small calls and of streamed responses of
// 16 tokens under concurrent load.
func measureLoad(tb *testbed) error {
	err := tb.compareLoad("plain calls", func(direct bool) { tb.call(http.MethodGet, tb.plainURL(direct), nil) })
	if err != nil {
		return err
	}
	return tb.compareLoad("streams of 16 tokens", func(direct bool) {
		tb.call(http.MethodPost, tb.modelURL(direct), modelBody(streamTokens))
	})
}

func (tb *testbed) compareLoad(name string, call func(direct bool)) error {
	before, err := tb.daemonCPUTime()
	if err != nil {
		return err
	}
	calls, viaDaemon := tb.runLoad(func() { call(false) })
	after, err := tb.daemonCPUTime()
	if err != nil {
		return err
	}
	_, direct := tb.runLoad(func() { call(true) })
	fmt.Printf("%s, %d callers: %.0f/s through the daemon, %.0f/s straight; %.0f requests per second and core\n",
		name, concurrentCallers, viaDaemon, direct, float64(calls)/(after-before).Seconds())
	return nil
}

// residentMemory returns the daemon's resident memory in bytes.
func (tb *testbed) residentMemory() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", tb.process.Pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	kilobytes, err := strconv.Atoi(strings.Fields(after)[0])
	return kilobytes << 10, err
}

// measureMemory measures the daemon's memory per open stream. Only the second
// half of the streams counts, because the heap grows in steps during the first
// half.
func measureMemory(tb *testbed) error {
	tb.engineStandin.SetStepTime(200 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var residentBytes [2]int
	for i := range residentBytes {
		tb.openStreams(ctx, streamCount/2)
		var err error
		if residentBytes[i], err = tb.residentMemory(); err != nil {
			return err
		}
	}
	fmt.Printf("resident: %d KiB with %d streams, %d KiB with %d: %d bytes for each of the second half\n",
		residentBytes[0]>>10, streamCount/2, residentBytes[1]>>10, streamCount, (residentBytes[1]-residentBytes[0])/(streamCount/2))
	return nil
}

// openStreams opens n streams and waits until each has received its second
// token.
func (tb *testbed) openStreams(ctx context.Context, n int) {
	var opened sync.WaitGroup
	for range n {
		opened.Add(1)
		go func() {
			resp := tb.send(ctx, http.MethodPost, tb.modelURL(false), modelBody(longStreamTokens))
			if resp == nil {
				opened.Done()
				return
			}
			defer func() { _ = resp.Body.Close() }()
			reader := bufio.NewReaderSize(resp.Body, 1024)
			for range 6 {
				_, _ = reader.ReadString('\n')
			}
			opened.Done()
			_, _ = io.Copy(io.Discard, reader) // until ctx is canceled
		}()
	}
	opened.Wait()
}

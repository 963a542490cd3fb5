// Package cost_test measures what a daemon adds to going straight to a target:
// time for a caller, processor time for a request, memory for an open stream.
//
//	go test -run xxx -bench . -benchtime 1x ./test/cost
//
// Straight and through the daemon alternate within one run, so that a busy
// machine slows both.
package cost_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/emulator"
	"github.com/savorystall/savorystall/internal/settings"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	"github.com/savorystall/savorystall/test/faultlink"
	"github.com/savorystall/savorystall/test/program"
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

// stage is one daemon before one engine and one plain service.
type stage struct {
	b                       *testing.B
	daemon, engine, service string
	process                 *os.Process
	client                  *http.Client
	engineStandin           *enginestandin.Engine
}

func newStage(b *testing.B) *stage {
	s := &stage{b: b, engine: faultlink.FreeAddress(b), service: faultlink.FreeAddress(b)}
	ws := []document.Workspace{{Name: "one", Weight: 1, Keys: []string{document.HashKey(bearer)}}}
	model := document.Document{
		Service: "pool", Kind: document.Model, Models: []string{"m"}, Workspaces: ws,
		Limits:  document.Limits{Queue: 2 * slots, Deadline: time.Hour, ProgressTimeout: time.Hour, FirstByteTimeout: time.Hour},
		Targets: []document.Target{{Name: "engine", Zone: "z", Address: s.engine, Slots: slots}},
	}
	plain := document.Document{
		Service: "portal", Kind: document.Plain, Workspaces: ws,
		Operations: []document.Operation{{Name: "read", Method: "GET", Path: "/**", Class: document.Interactive}},
		Targets:    []document.Target{{Name: "service", Zone: "z", Address: s.service, Slots: slots}},
	}
	e, err := emulator.Start(context.Background(), emulator.Config{
		Platform: "127.0.0.1:0", Documents: []string{toYAML(b, model), toYAML(b, plain)}, Step: stepTime,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(e.Close)
	s.engineStandin = e.Engines[emulator.Name{Service: "pool", Target: "engine"}]
	s.startDaemon(e.URL)
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	b.Cleanup(transport.CloseIdleConnections)
	s.client = &http.Client{Transport: transport}
	return s
}

func toYAML(b *testing.B, v any) string {
	text, err := yaml.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return string(text)
}

func (s *stage) startDaemon(platform string) {
	dir := s.b.TempDir()
	file := filepath.Join(dir, "settings.yaml")
	binary, err := program.Build(dir)
	if err != nil {
		s.b.Fatal(err)
	}
	cfg := settings.Defaults()
	cfg.Daemon, cfg.Zone = "one", "z"
	cfg.Callers.Listen, cfg.Operators.Listen, cfg.Fleet.Listen = "127.0.0.1:0", "127.0.0.1:0", faultlink.FreeAddress(s.b)
	cfg.Platform.URL = platform
	cfg.Stop.BalancerLag = 0
	if err := os.WriteFile(file, []byte(toYAML(s.b, cfg)), 0o600); err != nil {
		s.b.Fatal(err)
	}
	cmd := exec.Command(binary, "--settings", file)
	var log bytes.Buffer
	cmd.Stderr = &log
	out, err := cmd.StdoutPipe()
	if err != nil {
		s.b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		s.b.Fatal(err)
	}
	s.process = cmd.Process
	s.b.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		s.b.Fatalf("the daemon is not ready: %v\n%s", err, log.String())
	}
	s.daemon = strings.TrimPrefix(strings.TrimSpace(line), "ready http://")
}

// plainURL and modelURL lead through the daemon or straight to the target.
func (s *stage) plainURL(straight bool) string {
	if straight {
		return "http://" + s.service + "/x?mark=m"
	}
	return "http://" + s.daemon + "/services/portal/x?mark=m"
}

func (s *stage) modelURL(straight bool) string {
	if straight {
		return "http://" + s.engine + "/v1/completions"
	}
	return "http://" + s.daemon + "/v1/completions"
}

func (s *stage) do(ctx context.Context, method, url string, body []byte) *http.Response {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		s.b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+bearer)
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		s.b.Error(err)
		return nil
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		s.b.Errorf("%s: %d %s", url, resp.StatusCode, text)
	}
	return resp
}

// call returns the time to the first byte of the body and to its end.
func (s *stage) call(method, url string, body []byte) (first, total time.Duration) {
	began := time.Now()
	resp := s.do(context.Background(), method, url, body)
	if resp == nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	in := bufio.NewReader(resp.Body)
	_, _ = in.ReadByte()
	first = time.Since(began)
	_, _ = io.Copy(io.Discard, in)
	return first, time.Since(began)
}

func modelBody(n int) []byte {
	text, _ := json.Marshal(map[string]any{"model": "m", "prompt": "p", "max_tokens": n, "stream": true})
	return text
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
		s.b.Logf("%s p%g: straight %v, through the daemon %v, added %v", name, 100*q, straight, through, through-straight)
		s.b.ReportMetric(float64((through - straight).Microseconds()), fmt.Sprintf("added-p%g-µs", 100*q))
	}
}

// BenchmarkPlainCall is the time of one small call, one at a time.
func BenchmarkPlainCall(b *testing.B) {
	s := newStage(b)
	for b.Loop() {
		s.compare("plain call", func(straight bool) time.Duration {
			_, total := s.call(http.MethodGet, s.plainURL(straight), nil)
			return total
		})
	}
}

// BenchmarkFirstToken is the time to the first token of a streamed answer, one
// at a time. The engine's step of 1 ms is in both.
func BenchmarkFirstToken(b *testing.B) {
	s := newStage(b)
	for b.Loop() {
		s.compare("first token", func(straight bool) time.Duration {
			first, _ := s.call(http.MethodPost, s.modelURL(straight), modelBody(1))
			return first
		})
	}
}

// processorTime returns what the daemon has used so far.
func (s *stage) processorTime() time.Duration {
	const ticksPerSecond = 100
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.process.Pid))
	if err != nil {
		s.b.Fatal(err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// load keeps callers busy and returns the calls and the daemon's processor time.
func (s *stage) load(call func()) (calls int, used, elapsed time.Duration) {
	var group sync.WaitGroup
	var mu sync.Mutex
	began, before := time.Now(), s.processorTime()
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
	return calls, s.processorTime() - before, time.Since(began)
}

func (s *stage) reportLoad(name string, call func(straight bool)) {
	calls, used, elapsed := s.load(func() { call(false) })
	straight, _, straightElapsed := s.load(func() { call(true) })
	perCore := float64(calls) / used.Seconds()
	s.b.Logf("%s, %d callers: %.0f/s through the daemon, %.0f/s straight; the daemon used %.2f cores: %.0f requests per second and core",
		name, callers, float64(calls)/elapsed.Seconds(), float64(straight)/straightElapsed.Seconds(), used.Seconds()/elapsed.Seconds(), perCore)
	s.b.ReportMetric(perCore, "requests/core-s")
}

// BenchmarkPlainLoad is the processor time of small calls, many at a time.
func BenchmarkPlainLoad(b *testing.B) {
	s := newStage(b)
	for b.Loop() {
		s.reportLoad("plain calls", func(straight bool) { s.call(http.MethodGet, s.plainURL(straight), nil) })
	}
}

// BenchmarkStreamLoad is the processor time of streamed answers of 16 tokens.
func BenchmarkStreamLoad(b *testing.B) {
	s := newStage(b)
	for b.Loop() {
		s.reportLoad("streams of 16 tokens", func(straight bool) {
			s.call(http.MethodPost, s.modelURL(straight), modelBody(tokens))
		})
	}
}

// resident returns the daemon's resident memory in bytes.
func (s *stage) resident() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.process.Pid))
	if err != nil {
		s.b.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	kilobytes, _ := strconv.Atoi(strings.Fields(after)[0])
	return kilobytes << 10
}

// BenchmarkOpenStreams is the memory that a daemon holds for each open stream.
func BenchmarkOpenStreams(b *testing.B) {
	s := newStage(b)
	for b.Loop() {
		s.engineStandin.SetStep(200 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		before := s.resident()
		s.open(ctx, streams/2)
		half := s.resident()
		s.open(ctx, streams/2)
		after := s.resident()
		b.Logf("resident: %d KiB idle, %d KiB with %d streams, %d KiB with %d", before>>10, half>>10, streams/2, after>>10, streams)
		b.Logf("%d bytes for each open stream, by the second half", (after-half)/(streams/2))
		b.ReportMetric(float64(after-half)/(streams/2), "B/stream")
		cancel()
	}
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

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"

	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/emulator"
	"github.com/savorystall/savorystall/internal/settings"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	"github.com/savorystall/savorystall/test/program"
)

// testbed runs one daemon that routes to one engine and one plain service.
type testbed struct {
	daemonAddress, engineAddress, serviceAddress string
	process                                      *os.Process
	client                                       *http.Client
	engineStandin                                *enginestandin.Engine
	cleanups                                     []func()

	mu  sync.Mutex
	err error
}

// close runs the registered cleanup functions in reverse order.
func (tb *testbed) close() {
	for _, cleanup := range slices.Backward(tb.cleanups) {
		cleanup()
	}
}

func (tb *testbed) addCleanup(cleanup func()) { tb.cleanups = append(tb.cleanups, cleanup) }

// recordError keeps the first error. Any failed call invalidates the
// measurement.
func (tb *testbed) recordError(err error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.err == nil {
		tb.err = err
	}
}

func (tb *testbed) firstError() error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.err
}

func (tb *testbed) start() error {
	listeners := map[string]net.Listener{}
	for _, address := range []*string{&tb.engineAddress, &tb.serviceAddress} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*address = l.Addr().String()
		listeners[*address] = l
	}
	documents, err := tb.documents()
	if err != nil {
		return err
	}
	emu, err := emulator.Start(context.Background(), emulator.Config{
		PlatformAddress: "127.0.0.1:0", Documents: documents, Listeners: listeners, Step: engineStep,
	})
	if err != nil {
		return err
	}
	tb.addCleanup(emu.Close)
	tb.engineStandin = emu.Engines[emulator.TargetKey{Service: "pool", Target: "engine"}]
	transport := &http.Transport{MaxIdleConnsPerHost: concurrentCallers}
	tb.addCleanup(transport.CloseIdleConnections)
	tb.client = &http.Client{Transport: transport}
	return tb.startDaemon(emu.PlatformURL)
}

func (tb *testbed) documents() ([]string, error) {
	workspaces := []document.Workspace{{Name: "one", Weight: 1, Keys: []string{document.HashKey(apiKey)}}}
	var texts []string
	for _, d := range []document.Document{{
		Service: "pool", Kind: document.Model, Models: []string{"m"}, Workspaces: workspaces,
		Limits:  document.Limits{Queue: 2 * targetSlots, Deadline: time.Hour, ProgressTimeout: time.Hour, FirstByteTimeout: time.Hour},
		Targets: []document.Target{{Name: "engine", Zone: "z", Address: tb.engineAddress, Slots: targetSlots}},
	}, {
		Service: "portal", Kind: document.Plain, Workspaces: workspaces,
		Operations: []document.Operation{{Name: "read", Method: "GET", Path: "/**", Class: document.Interactive}},
		Targets:    []document.Target{{Name: "service", Zone: "z", Address: tb.serviceAddress, Slots: targetSlots}},
	}} {
		text, err := yaml.Marshal(d)
		if err != nil {
			return nil, err
		}
		texts = append(texts, string(text))
	}
	return texts, nil
}

func (tb *testbed) startDaemon(platform string) error {
	dir, err := os.MkdirTemp("", "savorystall-cost")
	if err != nil {
		return err
	}
	tb.addCleanup(func() { _ = os.RemoveAll(dir) })
	binary, err := program.Build(dir)
	if err != nil {
		return err
	}
	cfg := settings.Defaults()
	cfg.Daemon, cfg.Zone = "one", "z"
	cfg.Callers.Listen, cfg.Operators.Listen, cfg.Fleet.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	cfg.Platform.URL = platform
	cfg.Stop.BalancerLag = 0
	text, err := yaml.Marshal(cfg)
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(binary, "--settings", file)
	var log bytes.Buffer
	cmd.Stderr = &log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	tb.process = cmd.Process
	tb.addCleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return merry.Prependf(err, "the daemon is not ready: %s", log.String())
	}
	tb.daemonAddress = strings.TrimPrefix(strings.TrimSpace(line), "ready http://")
	return nil
}

// plainURL returns the URL of a plain call, either directly at the target or
// through the daemon.
func (tb *testbed) plainURL(direct bool) string {
	if direct {
		return "http://" + tb.serviceAddress + "/x?mark=m"
	}
	return "http://" + tb.daemonAddress + "/services/portal/x?mark=m"
}

// modelURL returns the URL of a completion, either directly at the target or
// through the daemon.
func (tb *testbed) modelURL(direct bool) string {
	if direct {
		return "http://" + tb.engineAddress + "/v1/completions"
	}
	return "http://" + tb.daemonAddress + "/v1/completions"
}

func (tb *testbed) send(ctx context.Context, method, url string, body []byte) *http.Response {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		tb.recordError(err)
		return nil
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := tb.client.Do(req)
	if err != nil {
		tb.recordError(err)
		return nil
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		tb.recordError(merry.Errorf("%s: %d %s", url, resp.StatusCode, text))
	}
	return resp
}

// call sends a request and returns the time to the first byte of the response
// body and the time to its end.
func (tb *testbed) call(method, url string, body []byte) (first, total time.Duration) {
	start := time.Now()
	resp := tb.send(context.Background(), method, url, body)
	if resp == nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	_, _ = reader.ReadByte()
	first = time.Since(start)
	_, _ = io.Copy(io.Discard, reader)
	return first, time.Since(start)
}

func modelBody(maxTokens int) []byte {
	text, _ := json.Marshal(map[string]any{"model": "m", "prompt": "p", "max_tokens": maxTokens, "stream": true})
	return text
}

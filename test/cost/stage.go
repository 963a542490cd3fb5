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

// stage is one daemon before one engine and one plain service.
type stage struct {
	daemon, engine, service string
	process                 *os.Process
	client                  *http.Client
	engineStandin           *enginestandin.Engine
	cleanups                []func()

	mu     sync.Mutex
	failed error
}

// close ends what start began, the latest first.
func (s *stage) close() {
	for _, end := range slices.Backward(s.cleanups) {
		end()
	}
}

func (s *stage) cleanup(end func()) { s.cleanups = append(s.cleanups, end) }

// fail notes the first call that failed: its time is no measurement.
func (s *stage) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = err
	}
}

func (s *stage) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

func (s *stage) start() error {
	listeners := map[string]net.Listener{}
	for _, address := range []*string{&s.engine, &s.service} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*address = l.Addr().String()
		listeners[*address] = l
	}
	documents, err := s.documents()
	if err != nil {
		return err
	}
	e, err := emulator.Start(context.Background(), emulator.Config{
		PlatformAddress: "127.0.0.1:0", Documents: documents, Listeners: listeners, Step: stepTime,
	})
	if err != nil {
		return err
	}
	s.cleanup(e.Close)
	s.engineStandin = e.Engines[emulator.TargetKey{Service: "pool", Target: "engine"}]
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	s.cleanup(transport.CloseIdleConnections)
	s.client = &http.Client{Transport: transport}
	return s.startDaemon(e.PlatformURL)
}

func (s *stage) documents() ([]string, error) {
	ws := []document.Workspace{{Name: "one", Weight: 1, Keys: []string{document.HashKey(bearer)}}}
	var texts []string
	for _, d := range []document.Document{{
		Service: "pool", Kind: document.Model, Models: []string{"m"}, Workspaces: ws,
		Limits:  document.Limits{Queue: 2 * slots, Deadline: time.Hour, ProgressTimeout: time.Hour, FirstByteTimeout: time.Hour},
		Targets: []document.Target{{Name: "engine", Zone: "z", Address: s.engine, Slots: slots}},
	}, {
		Service: "portal", Kind: document.Plain, Workspaces: ws,
		Operations: []document.Operation{{Name: "read", Method: "GET", Path: "/**", Class: document.Interactive}},
		Targets:    []document.Target{{Name: "service", Zone: "z", Address: s.service, Slots: slots}},
	}} {
		text, err := yaml.Marshal(d)
		if err != nil {
			return nil, err
		}
		texts = append(texts, string(text))
	}
	return texts, nil
}

func (s *stage) startDaemon(platform string) error {
	dir, err := os.MkdirTemp("", "savorystall-cost")
	if err != nil {
		return err
	}
	s.cleanup(func() { _ = os.RemoveAll(dir) })
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
	s.process = cmd.Process
	s.cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return merry.Prependf(err, "the daemon is not ready: %s", log.String())
	}
	s.daemon = strings.TrimPrefix(strings.TrimSpace(line), "ready http://")
	return nil
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
		s.fail(err)
		return nil
	}
	req.Header.Set("Authorization", "Bearer "+bearer)
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		s.fail(err)
		return nil
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		s.fail(merry.Errorf("%s: %d %s", url, resp.StatusCode, text))
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

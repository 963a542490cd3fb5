package configuration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/admin"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/platform/wire"
	"github.com/savorystall/savorystall/internal/settings"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
	"github.com/savorystall/savorystall/test/faultlink"
	"github.com/savorystall/savorystall/test/program"
)

const (
	daemonCount = 5
	// bound is how long a test waits for what must happen; it is no measure.
	bound = 60 * time.Second
	// statusTimeout bounds one question to a daemon, which may be paused.
	statusTimeout = 500 * time.Millisecond
	stopTimeout   = 20 * time.Second
)

// site is a platform with daemons and operators.
type site struct {
	t       *testing.T
	server  *platformstandin.Server
	address string
	daemons []*process
	client  *platform.Client
}

// process is one daemon, which may be killed and started again.
type process struct {
	name             ident.Daemon
	operators, fleet string
	// link leads to the platform.
	link *faultlink.Link
	file string
	cmd  *exec.Cmd
	log  bytes.Buffer
}

func newSite(t *testing.T) *site {
	t.Helper()
	program.DependOnSources(t)
	server := platformstandin.New(platformstandin.Config{})
	listener := httptest.NewServer(server)
	s := &site{t: t, server: server, address: strings.TrimPrefix(listener.URL, "http://")}
	s.client = platform.NewClient(platform.ClientConfig{URL: listener.URL, Logger: slog.New(slog.DiscardHandler)})
	t.Cleanup(func() {
		s.client.Close()
		listener.CloseClientConnections()
		listener.Close()
	})
	for i := range daemonCount {
		s.daemons = append(s.daemons, &process{
			name:      ident.Daemon(fmt.Sprintf("entry-%d", i+1)),
			operators: faultlink.FreeAddress(t), fleet: faultlink.FreeAddress(t),
			link: faultlink.New(t, s.address),
		})
	}
	var vms []wire.VM
	for _, p := range s.daemons {
		vms = append(vms, wire.VM{Name: string(p.name), Zone: "hall-a", Address: p.fleet, Role: platform.RoleDaemon, State: string(platform.VMLive)})
	}
	server.SetVMs(vms...)
	for _, p := range s.daemons {
		s.configure(p)
		s.start(p)
	}
	t.Cleanup(s.stop)
	return s
}

// configure writes the settings. The other daemons are seeds, because a daemon
// that starts while the platform is out has no list of VMs.
func (s *site) configure(p *process) {
	is := is.New(s.t)
	c := settings.Defaults()
	c.Daemon, c.Zone = p.name, "hall-a"
	c.Callers.Listen, c.Operators.Listen, c.Fleet.Listen = "127.0.0.1:0", p.operators, p.fleet
	c.Platform.URL = "http://" + p.link.Address
	c.Stop.BalancerLag = 0
	for _, peer := range s.daemons {
		if peer != p {
			c.Fleet.Seeds = append(c.Fleet.Seeds, settings.Seed{Daemon: peer.name, Address: peer.fleet})
		}
	}
	text, err := yaml.Marshal(c)
	is.NoErr(err)
	p.file = filepath.Join(s.t.TempDir(), string(p.name)+".yaml")
	is.NoErr(os.WriteFile(p.file, text, 0o600))
}

func (s *site) start(p *process) {
	s.t.Helper()
	p.cmd = exec.Command(binary, "--settings", p.file)
	p.cmd.Stderr = &p.log
	is.New(s.t).NoErr(p.cmd.Start())
}

// kill ends a daemon without warning.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func (p *process) pause() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

func (p *process) resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

func (s *site) stop() {
	for _, p := range s.daemons {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range s.daemons {
		timer := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
		err := p.cmd.Wait()
		timer.Stop()
		if err != nil {
			s.t.Errorf("%s ended with %v", p.name, err)
		}
		if s.t.Failed() {
			s.t.Logf("%s:\n%s", p.name, p.log.String())
		}
	}
}

func (s *site) editor(author string) *config.Editor {
	return &config.Editor{Table: s.client, Author: author}
}

// text is a document whose weight is given.
func text(service ident.Service, weight int) []byte {
	return fmt.Appendf(nil, `service: %s
kind: plain
workspaces:
  - {name: w, weight: %d, keys: [%q]}
operations: [{name: read, method: GET, path: "/**"}]
targets: [{name: t, zone: hall-a, address: "127.0.0.1:9", slots: 1}]
`, service, weight, document.HashKey("key"))
}

var statusClient = &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *process) status(ctx context.Context) (admin.Status, error) {
	var status admin.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.operators+admin.StatusPath, nil)
	if err != nil {
		return status, err
	}
	response, err := statusClient.Do(request)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// await waits until the daemons have at least the revisions in force.
func (s *site) await(want map[ident.Service]uint64, daemons ...*process) time.Duration {
	s.t.Helper()
	began := time.Now()
	for _, p := range daemons {
		for {
			status, err := p.status(s.t.Context())
			if err == nil && status.State == "ready" && covers(status.ActiveRevisions, want) {
				break
			}
			if time.Since(began) > bound {
				s.t.Fatalf("%s has %v in state %q (%v), want %v", p.name, status.ActiveRevisions, status.State, err, want)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}

func covers(has, want map[ident.Service]uint64) bool {
	for service, revision := range want {
		if has[service] < revision {
			return false
		}
	}
	return true
}

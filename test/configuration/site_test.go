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
	// waitTimeout is how long a test waits for an expected state before it fails.
	// It is not a latency requirement.
	waitTimeout = 60 * time.Second
	// statusTimeout limits one status request, because the daemon may be paused.
	statusTimeout = 500 * time.Millisecond
	stopTimeout   = 20 * time.Second
)

// testFleet is an emulated platform with daemon processes and a client for
// configuration changes.
type testFleet struct {
	t              *testing.T
	platformServer *platformstandin.Server
	platformAddr   string
	daemons        []*daemonProcess
	client         *platform.Client
}

// daemonProcess is a daemon process that can be killed and restarted.
type daemonProcess struct {
	name                     ident.Daemon
	operatorsAddr, fleetAddr string
	// platformLink is the fault-injecting proxy to the platform.
	platformLink *faultlink.Link
	settingsFile string
	cmd          *exec.Cmd
	stderr       bytes.Buffer
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	program.DependOnSources(t)
	server := platformstandin.New(platformstandin.Config{})
	listener := httptest.NewServer(server)
	fleet := &testFleet{t: t, platformServer: server, platformAddr: strings.TrimPrefix(listener.URL, "http://")}
	fleet.client = platform.NewClient(platform.ClientConfig{URL: listener.URL, Logger: slog.New(slog.DiscardHandler)})
	t.Cleanup(func() {
		fleet.client.Close()
		listener.CloseClientConnections()
		listener.Close()
	})
	for i := range daemonCount {
		fleet.daemons = append(fleet.daemons, &daemonProcess{
			name:          ident.Daemon(fmt.Sprintf("entry-%d", i+1)),
			operatorsAddr: faultlink.FreeAddress(t), fleetAddr: faultlink.FreeAddress(t),
			platformLink: faultlink.New(t, fleet.platformAddr),
		})
	}
	var vms []wire.VM
	for _, p := range fleet.daemons {
		vms = append(vms, wire.VM{Name: string(p.name), Zone: "hall-a", Address: p.fleetAddr, Role: platform.RoleDaemon, State: string(platform.VMLive)})
	}
	server.SetVMs(vms...)
	for _, p := range fleet.daemons {
		fleet.configure(p)
		fleet.start(p)
	}
	t.Cleanup(fleet.stop)
	return fleet
}

// configure writes the settings file of p. The other daemons are configured as
// seeds, because a daemon that starts while the platform is down has no VM list.
func (fleet *testFleet) configure(p *daemonProcess) {
	is := is.New(fleet.t)
	cfg := settings.Defaults()
	cfg.Daemon, cfg.Zone = p.name, "hall-a"
	cfg.Callers.Listen, cfg.Operators.Listen, cfg.Fleet.Listen = "127.0.0.1:0", p.operatorsAddr, p.fleetAddr
	cfg.Platform.URL = "http://" + p.platformLink.Address
	cfg.Stop.BalancerLag = 0
	for _, peer := range fleet.daemons {
		if peer != p {
			cfg.Fleet.Seeds = append(cfg.Fleet.Seeds, settings.Seed{Daemon: peer.name, Address: peer.fleetAddr})
		}
	}
	text, err := yaml.Marshal(cfg)
	is.NoErr(err)
	p.settingsFile = filepath.Join(fleet.t.TempDir(), string(p.name)+".yaml")
	is.NoErr(os.WriteFile(p.settingsFile, text, 0o600))
}

func (fleet *testFleet) start(p *daemonProcess) {
	fleet.t.Helper()
	p.cmd = exec.Command(binary, "--settings", p.settingsFile)
	p.cmd.Stderr = &p.stderr
	is.New(fleet.t).NoErr(p.cmd.Start())
}

// kill sends SIGKILL, so that the daemon cannot shut down gracefully.
func (p *daemonProcess) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func (p *daemonProcess) pause() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

func (p *daemonProcess) resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

func (fleet *testFleet) stop() {
	for _, p := range fleet.daemons {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range fleet.daemons {
		timer := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
		err := p.cmd.Wait()
		timer.Stop()
		if err != nil {
			fleet.t.Errorf("%s exited with %v", p.name, err)
		}
		if fleet.t.Failed() {
			fleet.t.Logf("%s:\n%s", p.name, p.stderr.String())
		}
	}
}

func (fleet *testFleet) newEditor(author string) *config.Editor {
	return &config.Editor{Table: fleet.client, Author: author}
}

// testDocument returns a document of service whose workspace has the given weight.
func testDocument(service ident.Service, weight int) []byte {
	return fmt.Appendf(nil, `service: %s
kind: plain
workspaces:
  - {name: w, weight: %d, keys: [%q]}
operations: [{name: read, method: GET, path: "/**"}]
targets: [{name: t, zone: hall-a, address: "127.0.0.1:9", slots: 1}]
`, service, weight, document.HashKey("key"))
}

var statusClient = &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *daemonProcess) status(ctx context.Context) (admin.Status, error) {
	var status admin.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.operatorsAddr+admin.StatusPath, nil)
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

// waitForRevisions waits until the daemons are ready and at least the given
// revisions are in effect on them. It returns the time that this took.
func (fleet *testFleet) waitForRevisions(want map[ident.Service]uint64, daemons ...*daemonProcess) time.Duration {
	fleet.t.Helper()
	start := time.Now()
	for _, p := range daemons {
		for {
			status, err := p.status(fleet.t.Context())
			if err == nil && status.State == "ready" && hasRevisions(status.ActiveRevisions, want) {
				break
			}
			if time.Since(start) > waitTimeout {
				fleet.t.Fatalf("%s has revisions %v in state %q (status error: %v), want %v", p.name, status.ActiveRevisions, status.State, err, want)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

func hasRevisions(has, want map[ident.Service]uint64) bool {
	for service, revision := range want {
		if has[service] < revision {
			return false
		}
	}
	return true
}

package integration_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/platform/wire"
	"github.com/savorystall/savorystall/internal/settings"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	plainstandin "github.com/savorystall/savorystall/internal/standin/plain"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
	"github.com/savorystall/savorystall/test/faultlink"
	"github.com/savorystall/savorystall/test/program"
)

// The test fleet has the size of the larger of the first two deployments.
const (
	daemonCount    = 7
	engineCount    = 12
	plainCount     = 4
	engineSlots    = 16
	plainSlots     = 32
	workspaceCount = 16
	modelName      = "recap-1"
	modelService   = ident.Service("lm-pool")
	plainService   = ident.Service("sync-api")
	engineStep     = 10 * time.Millisecond
	startTimeout   = 30 * time.Second
	stopTimeout    = 60 * time.Second
)

var zones = []ident.Zone{"hall-a", "hall-b", "hall-c", "hall-d"}

// fleet holds all components that run in one test.
type fleet struct {
	t             *testing.T
	platform      *platformstandin.Server
	platformURL   string
	engines       []*enginestandin.Engine
	plainServices []*plainstandin.Service
	// targetLinks are the links to the engines, followed by those to the plain
	// services.
	targetLinks []*faultlink.Link
	// peerLinks are the links to the fleet listeners of the daemons.
	peerLinks []*faultlink.Link
	daemons   []*daemonProcess
	vms       []wire.VM
	// platformProxies, if set, holds one proxy to the platform for each daemon.
	platformProxies []*platformProxy
	// adjustSettings changes the settings of every daemon before it starts.
	adjustSettings func(*settings.Settings)
	// firstWorkspaceLimits are the limits of the first workspace.
	firstWorkspaceLimits document.WorkspaceLimits
	// orders is the desired state of the engines; if it is nil, the daemons send
	// them no orders.
	orders *document.Orders
	// preemption enables preemption on the engines; meanCost is the assumed cost of
	// a request until costs were measured.
	preemption bool
	meanCost   float64

	mu sync.Mutex // guards daemons while one is restarted
}

func (f *fleet) daemon(i int) *daemonProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[i]
}

// daemonProcess is one running daemon.
type daemonProcess struct {
	name ident.Daemon
	url  string
	// fleetAddress is the address of the listener for peers, operatorsAddress that
	// of the listener for operators.
	fleetAddress, operatorsAddress string
	cmd                            *exec.Cmd
	stderr                         bytes.Buffer
	// exited holds the error returned by Wait once the process has exited.
	exited   chan error
	stopOnce sync.Once
	// killed is set if the test killed the process.
	killed bool
}

// startFleet starts the stand-ins and the daemons, and stops them at the end of
// the test.
func startFleet(t *testing.T, options ...func(*fleet)) *fleet {
	t.Helper()
	program.DependOnSources(t)
	f := &fleet{t: t, platform: platformstandin.New(platformstandin.Config{}), meanCost: 50, adjustSettings: func(*settings.Settings) {}}
	for _, option := range options {
		option(f)
	}
	f.platformURL = "http://" + f.serve(f.platform, func() {})
	f.startTargets()
	fleetListeners := make([]string, daemonCount)
	for i := range daemonCount {
		fleetListeners[i] = faultlink.FreeAddress(t)
		link := faultlink.New(t, fleetListeners[i])
		f.peerLinks = append(f.peerLinks, link)
		f.vms = append(f.vms, wire.VM{
			Name: daemonName(i), Zone: string(zoneOf(i)), Address: link.Address, Role: platform.RoleDaemon, State: string(platform.VMLive),
		})
	}
	f.platform.SetVMs(f.vms...)
	f.applyDocuments()
	if f.platformProxies != nil {
		f.startPlatformProxies(fleetListeners)
	}
	for i, listen := range fleetListeners {
		f.daemons = append(f.daemons, f.startDaemon(i, listen))
	}
	return f
}

func daemonName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func zoneOf(i int) ident.Zone { return zones[i%len(zones)] }

func (f *fleet) serve(handler http.Handler, stop func()) string {
	server := httptest.NewServer(handler)
	f.t.Cleanup(func() {
		stop()
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func (f *fleet) startTargets() {
	for range engineCount {
		e := enginestandin.New(enginestandin.Config{Step: engineStep, Slots: engineSlots, HeartbeatInterval: 500 * time.Millisecond})
		f.engines = append(f.engines, e)
		f.targetLinks = append(f.targetLinks, faultlink.New(f.t, f.serve(e, e.Close)))
	}
	for range plainCount {
		p := plainstandin.New(plainstandin.Config{})
		f.plainServices = append(f.plainServices, p)
		f.targetLinks = append(f.targetLinks, faultlink.New(f.t, f.serve(p, p.Close)))
	}
	for i, l := range f.targetLinks {
		f.vms = append(f.vms, wire.VM{
			Name: targetName(i), Zone: string(zoneOf(i)), Address: l.Address, Role: platform.RoleTarget, State: string(platform.VMLive),
		})
	}
}

// targetName returns the name of a target: engines come first, followed by the
// plain services.
func targetName(i int) string {
	if i < engineCount {
		return fmt.Sprintf("engine-%d", i+1)
	}
	return fmt.Sprintf("sync-%d", i-engineCount+1)
}

func (f *fleet) documentTargets(from, to, slots int) []document.Target {
	var list []document.Target
	for i := from; i < to; i++ {
		list = append(list, document.Target{Name: ident.Target(targetName(i)), Zone: zoneOf(i), Address: f.targetLinks[i].Address, Slots: slots})
	}
	return list
}

func workspaceName(i int) string { return fmt.Sprintf("club-%d", i+1) }

func workspaceKey(i int) string { return "key-of-" + workspaceName(i) }

func (f *fleet) applyDocuments() {
	is := is.New(f.t)
	var workspaces []document.Workspace
	for i := range workspaceCount {
		workspaces = append(workspaces, document.Workspace{Name: ident.Workspace(workspaceName(i)), Weight: 1, Keys: []string{document.HashKey(workspaceKey(i))}})
	}
	workspaces[0].Limits = f.firstWorkspaceLimits
	documents := []document.Document{{
		Service: modelService, Kind: document.Model, Models: []string{modelName}, Workspaces: workspaces,
		Operations: []document.Operation{
			{Name: "ask", Class: document.Interactive, Default: true},
			{Name: "tag", Class: document.Standard, Unrepeatable: true},
			{Name: "recap", Class: document.Batch},
		},
		Limits:  document.Limits{Deadline: time.Minute, MeanCost: f.meanCost},
		Targets: f.documentTargets(0, engineCount, engineSlots),
		Orders:  f.orders,

		Preemption: f.preemption,
	}, {
		Service: plainService, Kind: document.Plain, Workspaces: workspaces,
		Operations: []document.Operation{
			{Name: "read", Method: "GET", Path: "/**", Class: document.Interactive},
			{Name: "note", Method: "POST", Path: "/notes", Class: document.Standard},
			{Name: "file", Method: "POST", Path: "/claims", Class: document.Standard, Unrepeatable: true},
		},
		Limits: document.Limits{
			Deadline: time.Minute, FirstByteTimeout: 4 * time.Second, ProgressTimeout: 2 * time.Second, MeanCost: 10,
		},
		Targets: f.documentTargets(engineCount, engineCount+plainCount, plainSlots),
	}}
	editor := &config.Editor{Table: platform.NewClient(platform.ClientConfig{URL: f.platformURL}), Author: "test"}
	for _, d := range documents {
		text, err := yaml.Marshal(d)
		is.NoErr(err)
		_, err = editor.Apply(f.t.Context(), text, 0, "test")
		is.NoErr(err)
	}
}

func (f *fleet) startDaemon(i int, fleetAddress string) *daemonProcess {
	f.t.Helper()
	is := is.New(f.t)
	s := settings.Defaults()
	s.Daemon, s.Zone = ident.Daemon(daemonName(i)), zoneOf(i)
	s.Callers.Listen, s.Operators.Listen = "127.0.0.1:0", faultlink.FreeAddress(f.t)
	s.Fleet.Listen, s.Fleet.Advertise = fleetAddress, f.peerLinks[i].Address
	s.Platform.URL = f.platformURL
	if f.platformProxies != nil {
		s.Platform.URL = f.platformProxies[i].url
	}
	s.Stop.BalancerLag = 200 * time.Millisecond
	f.adjustSettings(&s)
	text, err := yaml.Marshal(s)
	is.NoErr(err)
	file := filepath.Join(f.t.TempDir(), daemonName(i)+".yaml")
	is.NoErr(os.WriteFile(file, text, 0o600))

	p := &daemonProcess{name: s.Daemon, fleetAddress: fleetAddress, operatorsAddress: s.Operators.Listen, cmd: exec.Command(daemonBinary, "--settings", file), exited: make(chan error, 1)}
	p.cmd.Stderr = &p.stderr
	out, err := p.cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(p.cmd.Start())
	f.t.Cleanup(func() { f.checkExit(p) })
	p.url = f.awaitReady(p, out)
	return p
}

// awaitReady returns the URL that a daemon prints once it serves callers.
func (f *fleet) awaitReady(p *daemonProcess, out interface{ Read([]byte) (int, error) }) string {
	f.t.Helper()
	ready := make(chan string, 1)
	go func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			if address, found := strings.CutPrefix(scanner.Text(), "ready "); found {
				ready <- address
			}
		}
		p.exited <- p.cmd.Wait()
	}()
	select {
	case address := <-ready:
		return address
	case err := <-p.exited:
		p.exited <- err
		f.t.Fatalf("%s exited before it was ready: %v\n%s", p.name, err, p.stderr.String())
	case <-time.After(startTimeout):
		f.t.Fatalf("%s did not become ready in time", p.name)
	}
	return ""
}

// stop sends SIGTERM, waits for the process and returns its exit error. A process
// that does not exit within stopTimeout is killed.
func (p *daemonProcess) stop() error {
	p.stopOnce.Do(func() { _ = p.cmd.Process.Signal(syscall.SIGTERM) })
	select {
	case err := <-p.exited:
		p.exited <- err
		return err
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		return context.DeadlineExceeded
	}
}

// kill kills the process and waits until it has exited.
func (p *daemonProcess) kill() {
	p.killed = true
	_ = p.cmd.Process.Kill()
	p.exited <- <-p.exited
}

// restartDaemon starts a new daemon without any state in place of a killed one.
func (f *fleet) restartDaemon(i int) {
	restarted := f.startDaemon(i, f.daemon(i).fleetAddress)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[i] = restarted
}

// checkExit requires a graceful shutdown with exit code 0 and no data race.
func (f *fleet) checkExit(p *daemonProcess) {
	if p.killed {
		return
	}
	if err := p.stop(); err != nil {
		f.t.Errorf("%s exited with %v\n%s", p.name, err, logExcerpt(p.stderr.String()))
	}
	if strings.Contains(p.stderr.String(), "DATA RACE") {
		f.t.Errorf("%s reported a data race\n%s", p.name, logExcerpt(p.stderr.String()))
	}
}

const logExcerptBytes = 6000

// logExcerpt returns the part of a log that shows why the process exited: from a
// data race, a fatal error or a panic on if there is one, else the end.
func logExcerpt(log string) string {
	for _, marker := range []string{"DATA RACE", "fatal error: ", "panic: "} {
		if i := strings.Index(log, marker); i >= 0 {
			return log[i:min(len(log), i+logExcerptBytes)]
		}
	}
	return log[max(0, len(log)-logExcerptBytes):]
}

// runCount returns how often a request ran on all targets together.
func (f *fleet) runCount(mark string) int {
	n := 0
	for _, e := range f.engines {
		n += e.RunCount(mark)
	}
	for _, p := range f.plainServices {
		n += p.RunCount(mark)
	}
	return n
}

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

// The fleet of the tests has the size of the larger of the first two users.
const (
	daemonCount   = 7
	engineCount   = 12
	plainCount    = 4
	engineSlots   = 16
	plainSlots    = 32
	workspaces    = 16
	modelName     = "recap-1"
	modelService  = ident.Service("lm-pool")
	plainService  = ident.Service("sync-api")
	engineStep    = 10 * time.Millisecond
	startDeadline = 30 * time.Second
	stopDeadline  = 60 * time.Second
)

var zones = []ident.Zone{"hall-a", "hall-b", "hall-c", "hall-d"}

// fleet is everything that runs in one test.
type fleet struct {
	t        *testing.T
	platform *platformstandin.Server
	url      string
	engines  []*enginestandin.Engine
	plains   []*plainstandin.Service
	// links lead to the engines, then to the plain services.
	links []*faultlink.Link
	// peers lead to the daemons' fleet listeners.
	peers   []*faultlink.Link
	daemons []*process
	vms     []wire.VM
	// fronts, where set, stand between each daemon and the platform.
	fronts []*front
	// adjust changes the settings of every daemon.
	adjust func(*settings.Settings)
	// limits are those of the first workspace.
	limits document.WorkspaceLimits
	// orders is the wanted state of the engines; nil leaves them alone.
	orders *document.Orders
	// preemption allows it on the engines; meanCost is what requests are taken to
	// cost at first.
	preemption bool
	meanCost   float64

	mu sync.Mutex // guards daemons while they are replaced
}

func (f *fleet) daemon(i int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[i]
}

// process is one running daemon.
type process struct {
	name    ident.Daemon
	address string
	// listen is the fleet listener, operators the operators' port.
	listen, operators string
	cmd               *exec.Cmd
	log               bytes.Buffer
	// ended holds the error of Wait once the process has ended.
	ended chan error
	once  sync.Once
	// killed tells that the test ended the process by force.
	killed bool
}

// startFleet starts the stand-ins and the daemons, and stops them with the test.
func startFleet(t *testing.T, options ...func(*fleet)) *fleet {
	t.Helper()
	program.DependOnSources(t)
	f := &fleet{t: t, platform: platformstandin.New(platformstandin.Config{}), meanCost: 50, adjust: func(*settings.Settings) {}}
	for _, option := range options {
		option(f)
	}
	f.url = "http://" + f.serve(f.platform, func() {})
	f.startTargets()
	fleetListeners := make([]string, daemonCount)
	for i := range daemonCount {
		fleetListeners[i] = faultlink.FreeAddress(t)
		link := faultlink.New(t, fleetListeners[i])
		f.peers = append(f.peers, link)
		f.vms = append(f.vms, wire.VM{
			Name: daemonName(i), Zone: string(zoneOf(i)), Address: link.Address, Role: platform.RoleDaemon, State: string(platform.VMLive),
		})
	}
	f.platform.SetVMs(f.vms...)
	f.applyDocuments()
	if f.fronts != nil {
		f.startFronts(fleetListeners)
	}
	for i, listen := range fleetListeners {
		f.daemons = append(f.daemons, f.startDaemon(i, listen))
	}
	return f
}

func daemonName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func zoneOf(i int) ident.Zone { return zones[i%len(zones)] }

func (f *fleet) serve(h http.Handler, stop func()) string {
	s := httptest.NewServer(h)
	f.t.Cleanup(func() {
		stop()
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func (f *fleet) startTargets() {
	for range engineCount {
		e := enginestandin.New(enginestandin.Config{Step: engineStep, Slots: engineSlots, HeartbeatInterval: 500 * time.Millisecond})
		f.engines = append(f.engines, e)
		f.links = append(f.links, faultlink.New(f.t, f.serve(e, e.Close)))
	}
	for range plainCount {
		p := plainstandin.New(plainstandin.Config{})
		f.plains = append(f.plains, p)
		f.links = append(f.links, faultlink.New(f.t, f.serve(p, p.Close)))
	}
	for i, l := range f.links {
		f.vms = append(f.vms, wire.VM{
			Name: targetName(i), Zone: string(zoneOf(i)), Address: l.Address, Role: platform.RoleTarget, State: string(platform.VMLive),
		})
	}
}

// targetName names engines and, after them, plain services.
func targetName(i int) string {
	if i < engineCount {
		return fmt.Sprintf("engine-%d", i+1)
	}
	return fmt.Sprintf("sync-%d", i-engineCount+1)
}

func (f *fleet) targets(from, to, slots int) []document.Target {
	var list []document.Target
	for i := from; i < to; i++ {
		list = append(list, document.Target{Name: ident.Target(targetName(i)), Zone: zoneOf(i), Address: f.links[i].Address, Slots: slots})
	}
	return list
}

func workspaceName(i int) string { return fmt.Sprintf("club-%d", i+1) }

func key(i int) string { return "key-of-" + workspaceName(i) }

func (f *fleet) applyDocuments() {
	is := is.New(f.t)
	var ws []document.Workspace
	for i := range workspaces {
		ws = append(ws, document.Workspace{Name: ident.Workspace(workspaceName(i)), Weight: 1, Keys: []string{document.HashKey(key(i))}})
	}
	ws[0].Limits = f.limits
	documents := []document.Document{{
		Service: modelService, Kind: document.Model, Models: []string{modelName}, Workspaces: ws,
		Operations: []document.Operation{
			{Name: "ask", Class: document.Interactive, Default: true},
			{Name: "tag", Class: document.Standard, Unrepeatable: true},
			{Name: "recap", Class: document.Batch},
		},
		Limits:  document.Limits{Deadline: time.Minute, MeanCost: f.meanCost},
		Targets: f.targets(0, engineCount, engineSlots),
		Orders:  f.orders,

		Preemption: f.preemption,
	}, {
		Service: plainService, Kind: document.Plain, Workspaces: ws,
		Operations: []document.Operation{
			{Name: "read", Method: "GET", Path: "/**", Class: document.Interactive},
			{Name: "note", Method: "POST", Path: "/notes", Class: document.Standard},
			{Name: "file", Method: "POST", Path: "/claims", Class: document.Standard, Unrepeatable: true},
		},
		Limits: document.Limits{
			Deadline: time.Minute, FirstByteTimeout: 4 * time.Second, ProgressTimeout: 2 * time.Second, MeanCost: 10,
		},
		Targets: f.targets(engineCount, engineCount+plainCount, plainSlots),
	}}
	editor := &config.Editor{Table: platform.NewClient(platform.ClientConfig{URL: f.url}), Author: "test"}
	for _, d := range documents {
		text, err := yaml.Marshal(d)
		is.NoErr(err)
		_, err = editor.Apply(f.t.Context(), text, 0, "test")
		is.NoErr(err)
	}
}

func (f *fleet) startDaemon(i int, fleetListen string) *process {
	f.t.Helper()
	is := is.New(f.t)
	s := settings.Defaults()
	s.Daemon, s.Zone = ident.Daemon(daemonName(i)), zoneOf(i)
	s.Callers.Listen, s.Operators.Listen = "127.0.0.1:0", faultlink.FreeAddress(f.t)
	s.Fleet.Listen, s.Fleet.Advertise = fleetListen, f.peers[i].Address
	s.Platform.URL = f.url
	if f.fronts != nil {
		s.Platform.URL = f.fronts[i].url
	}
	s.Stop.BalancerLag = 200 * time.Millisecond
	f.adjust(&s)
	text, err := yaml.Marshal(s)
	is.NoErr(err)
	file := filepath.Join(f.t.TempDir(), daemonName(i)+".yaml")
	is.NoErr(os.WriteFile(file, text, 0o600))

	p := &process{name: s.Daemon, listen: fleetListen, operators: s.Operators.Listen, cmd: exec.Command(binary, "--settings", file), ended: make(chan error, 1)}
	p.cmd.Stderr = &p.log
	out, err := p.cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(p.cmd.Start())
	f.t.Cleanup(func() { f.checkEnd(p) })
	p.address = f.awaitReady(p, out)
	return p
}

// awaitReady reads the address that a daemon prints once it serves callers.
func (f *fleet) awaitReady(p *process, out interface{ Read([]byte) (int, error) }) string {
	f.t.Helper()
	first := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if address, found := strings.CutPrefix(lines.Text(), "ready "); found {
				first <- address
			}
		}
		p.ended <- p.cmd.Wait()
	}()
	select {
	case address := <-first:
		return address
	case err := <-p.ended:
		p.ended <- err
		f.t.Fatalf("%s ended early: %v\n%s", p.name, err, p.log.String())
	case <-time.After(startDeadline):
		f.t.Fatalf("%s is not ready", p.name)
	}
	return ""
}

// stop sends SIGTERM and returns the error of the process.
func (p *process) stop() error {
	p.once.Do(func() { _ = p.cmd.Process.Signal(syscall.SIGTERM) })
	select {
	case err := <-p.ended:
		p.ended <- err
		return err
	case <-time.After(stopDeadline):
		_ = p.cmd.Process.Kill()
		return context.DeadlineExceeded
	}
}

// kill ends a process without notice.
func (p *process) kill() {
	p.killed = true
	_ = p.cmd.Process.Kill()
	p.ended <- <-p.ended
}

// replace starts a daemon anew, without any state, at the place of a killed one.
func (f *fleet) replace(i int) {
	fresh := f.startDaemon(i, f.daemon(i).listen)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[i] = fresh
}

// checkEnd requires a planned stop with exit code 0 and no data race.
func (f *fleet) checkEnd(p *process) {
	if p.killed {
		return
	}
	if err := p.stop(); err != nil {
		f.t.Errorf("%s ended with %v\n%s", p.name, err, tail(p.log.String()))
	}
	if strings.Contains(p.log.String(), "DATA RACE") {
		f.t.Errorf("%s has a data race\n%s", p.name, tail(p.log.String()))
	}
}

const shownBytes = 6000

// tail returns the part of a log that tells why its process ended.
func tail(log string) string {
	for _, sign := range []string{"DATA RACE", "fatal error: ", "panic: "} {
		if i := strings.Index(log, sign); i >= 0 {
			return log[i:min(len(log), i+shownBytes)]
		}
	}
	return log[max(0, len(log)-shownBytes):]
}

// ran returns how often a request ran on any target.
func (f *fleet) ran(mark string) int {
	n := 0
	for _, e := range f.engines {
		n += e.RunCount(mark)
	}
	for _, p := range f.plains {
		n += p.RunCount(mark)
	}
	return n
}

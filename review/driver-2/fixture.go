package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// fixture is the world of one case: a store, engines and daemons.
type fixture struct {
	root    string
	rec     *record
	temp    string
	store   *store
	engines []*engine
	daemons []*daemon
}

func newFixture(root string, rec *record) (*fixture, error) {
	absolute, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &fixture{root: absolute, rec: rec, temp: temp, store: s}, nil
}

// close ends the processes that the case has started, by their process IDs, and removes its files.
func (f *fixture) close() {
	for _, d := range f.daemons {
		d.kill()
	}
	for _, e := range f.engines {
		e.close()
	}
	f.store.close()
	_ = os.RemoveAll(f.temp)
}

// daemon is one process of the system.
type daemon struct {
	name             string
	callers, ready   string
	cmd              *exec.Cmd
	exited           chan struct{}
	settings, output string
}

// memoryMB is the memory of a machine of the small deployments.
const memoryMB = 284

// freePorts returns n free TCP ports of a loopback address.
func freePorts(n int) ([]int, error) {
	var ports []int
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

var placeholder = regexp.MustCompile(`\{\{([^{}]+)\}\}`)

// render fills a settings template like the platform does, as far as the template of the deploy file needs it.
func render(template string, fields map[string]string) string {
	return placeholder.ReplaceAllStringFunc(template, func(p string) string { return fields[strings.Trim(p, "{}")] })
}

// startDaemon starts a daemon with the command and the settings template of the deploy file.
func (f *fixture) startDaemon(name, zone string) (*daemon, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.yaml"))
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return "127.0.0.1:" + strconv.Itoa(ports[i]) }
	fields := map[string]string{
		"node_name": name, "zone": zone, "zones|json": `{"hall-a":"nne","hall-b":"nne"}`, "ip": "127.0.0.1",
		"listen.frontend": address(0), "listen.readiness": address(1),
		"port_range.0": strconv.Itoa(ports[2]), "port_range.1": strconv.Itoa(ports[3]),
		"provider.address":          f.store.address(),
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "52", "bounds.budget_window_s": "10", "bounds.contact_ms": "3000",
		"bounds.config_apply_ms": "2000", "bounds.grace_s": "8",
		"limits.max_fds": "4200", "limits.memory_mb": strconv.Itoa(memoryMB),
	}
	d := &daemon{name: name, callers: address(0), ready: address(1), exited: make(chan struct{})}
	d.settings = filepath.Join(f.temp, name+".yaml")
	if err := os.WriteFile(d.settings, []byte(render(string(template), fields)), 0o600); err != nil {
		return nil, err
	}
	d.output = filepath.Join(f.temp, name+".log")
	output, err := os.Create(d.output)
	if err != nil {
		return nil, err
	}
	d.cmd = exec.Command("target/savorystalld", "--settings", d.settings)
	d.cmd.Dir, d.cmd.Stdout, d.cmd.Stderr = f.root, output, output
	// The daemon ends with this process, however it ends.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = d.cmd.Wait() // the exit code does not matter
		_ = output.Close()
		close(d.exited)
	}()
	f.daemons = append(f.daemons, d)
	f.rec.line("daemon %s starts, process %d, callers at %s", name, d.cmd.Process.Pid, d.callers)
	return d, d.awaitReady()
}

func (d *daemon) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + d.ready + "/-/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	text, _ := os.ReadFile(d.output)
	return fmt.Errorf("daemon %s does not become ready: %s", d.name, text[max(0, len(text)-2000):])
}

// kill ends the process.
func (d *daemon) kill() {
	_ = d.cmd.Process.Kill() // fails if it has ended
	<-d.exited
}

// residentMB returns the memory that the process occupies.
func (d *daemon) residentMB() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10, err
		}
	}
	return 0, errors.New("the process has ended")
}

// Names in the configuration.
const (
	host      = "ficu95.example"
	key       = "asnmgkcuyj8pjbvk9m68"
	workspace = "hule930"
	service   = "huvo11a"
	prefix    = "/puxa403/"
)

// configure writes the operator's configuration with one tenant.
func (f *fixture) configure(route, service map[string]any) {
	f.configureTenants(7, route, service, map[string]any{"name": workspace, "api_keys": []string{key}, "priority": 1})
}

// configureTenants writes a version of the operator's configuration.
func (f *fixture) configureTenants(version int, route, service map[string]any, tenants ...any) {
	config := map[string]any{
		"version": version, "routes": []any{route}, "services": []any{service},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 470000},
		"tenants": tenants,
	}
	text, _ := json.Marshal(config) // maps of plain values
	f.rec.line("the operator writes %s", text)
	f.store.put(tableOperator, "config", config)
}

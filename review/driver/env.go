package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// env is the deployment that a case runs in.
type env struct {
	record  *record
	trouble bool
	store   *store
	engines []*engine
	daemons []*daemonProcess
	// serving are the daemons that traffic reaches; all if it is empty.
	serving []*daemonProcess
	dir     string
	server  *http.Server
	url     string
	// version is that of the last configuration.
	version int
	// coldOver and coldSlack are the bounds of these names, empty where a site has none.
	coldOver, coldSlack string
	// lateBodies is that of the engines that are added.
	lateBodies bool
	// storePaths holds, by daemon, the addresses at which daemons reach the store in place of its own.
	storePaths map[string]string
	// links, if set, are those through which the daemons reach each other.
	links   *links
	closing sync.Once
}

// daemonProcess is a daemon that runs as a process of its own.
type daemonProcess struct {
	name, callers, readiness string
	command                  *exec.Cmd
	exited                   chan struct{}
}

func newEnv(recordPath string, trouble bool) (*env, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &env{record: r, trouble: trouble, store: newStore(), dir: dir, url: "http://" + l.Addr().String()}
	e.server = &http.Server{Handler: e.store.handler(nil), ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	r.linef("trouble=%t", trouble)
	return e, nil
}

// close ends all processes that the case has started.
func (e *env) close() {
	e.closing.Do(func() {
		for _, d := range e.daemons {
			_ = d.command.Process.Signal(syscall.SIGKILL)
		}
		for _, d := range e.daemons {
			<-d.exited
		}
		_ = e.server.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(e.dir)
		}
		e.record.close()
	})
}

// addEngine starts an engine of a service.
func (e *env) addEngine(service, zone string, slots int, answer func(*exchange) bool) (*engine, error) {
	return e.addEngineOf("v1", service, zone, slots, answer)
}

// addEngineOf starts an engine of a version of the service's software.
func (e *env) addEngineOf(version, service, zone string, slots int, answer func(*exchange) bool) (*engine, error) {
	added := &engine{
		id: fmt.Sprintf("i-%02x%s", len(e.engines)+1, service), version: version, service: service, zone: zone, slots: slots,
		record: e.record, answer: answer, lateBodies: e.lateBodies,
	}
	e.engines = append(e.engines, added)
	return added, added.start(e.store)
}

// writeConfig writes the next version of the configuration; the answer of the store is the
// acknowledgement.
func (e *env) writeConfig(config map[string]any) {
	e.version += 3
	config["version"] = e.version
	config["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 470000}
	text, _ := json.Marshal(config)
	e.store.put("op", "config", text)
	e.record.linef("config   version %d acknowledged", e.version)
}

// The ports that are tried lie below those that the kernel gives to outgoing connections.
const minPort, maxPort = 20000, 30000

// freePorts returns n addresses that are free now.
func freePorts(n int) ([]string, error) {
	var out []string
	for range 100 * n {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+2*rand.IntN((maxPort-minPort)/2))
		l, err := net.Listen("tcp", address)
		if err != nil || slices.Contains(out, address) {
			continue
		}
		_ = l.Close()
		if out = append(out, address); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.New("no free ports")
}

// Files of the deployment, relative to the root of the repository.
const (
	daemonProgram    = "target/savorystalld"
	settingsTemplate = "deploy/settings.yaml"
)

// placeholders returns the values of the settings template for a machine of kcv-north.
func (e *env) placeholders(name, zone string, ports []string) map[string]string {
	port := func(address string) string { return address[strings.LastIndexByte(address, ':')+1:] }
	return map[string]string{
		"node_name": name, "zone": zone, "zones|json": `{"hall-a":"nne","hall-b":"nne","hall-c":"nne","hall-d":"nne"}`, "ip": "127.0.0.1",
		"listen.frontend": ports[0], "listen.readiness": ports[1], "port_range.0": port(ports[2]), "port_range.1": port(ports[3]),
		"provider.address": strings.TrimPrefix(e.url, "http://"), "bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "52",
		"bounds.budget_window_s": "10", "bounds.contact_ms": "3000", "bounds.config_apply_ms": "2000", "bounds.cold_over": e.coldOver, "bounds.cold_slack": e.coldSlack,
		"limits.max_fds": "4200", "limits.memory_mb": "284",
	}
}

// startTries is how often a daemon is started: another process may have taken one of its ports.
const startTries = 3

// startDaemon starts a daemon. One that ends at once is started again on other ports.
func (e *env) startDaemon(zone string) error {
	for range startTries {
		d, err := e.launchDaemon(zone)
		if err != nil {
			return err
		}
		select {
		case <-d.exited:
		case <-time.After(100 * time.Millisecond):
			e.daemons = append(e.daemons, d)
			return nil
		}
	}
	return errors.New("a daemon ends as soon as it is started")
}

// launchDaemon starts the process of a daemon with the command of the deploy file.
func (e *env) launchDaemon(zone string) (*daemonProcess, error) {
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	d := &daemonProcess{name: "edge-" + zone + "-" + strconv.Itoa(len(e.daemons)+1), callers: ports[0], readiness: ports[1], exited: make(chan struct{})}
	settings := string(template)
	values := e.placeholders(d.name, zone, ports)
	if path := e.storePaths[d.name]; path != "" {
		values["provider.address"] = path
	}
	if e.links != nil {
		if values["provider.address"], err = e.storeFor(d.name); err != nil {
			return nil, err
		}
		// A link's hello names this address; the daemons reach each other through links only.
		settings = strings.Replace(settings, "fleet:\n", "fleet:\n  advertise: \"127.0.0.1:1\"\n", 1)
	}
	for name, value := range values {
		settings = strings.ReplaceAll(settings, "{{"+name+"}}", value)
	}
	path := filepath.Join(e.dir, d.name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(e.dir, d.name+".log"))
	if err != nil {
		return nil, err
	}
	d.command = exec.Command(daemonProgram, "--settings", path)
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	d.command.Stdout, d.command.Stderr = log, log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = d.command.Wait()
		_ = log.Close()
		close(d.exited)
	}()
	e.record.linef("daemon   %s started", d.name)
	return d, nil
}

// startTimeout bounds the time until a daemon is ready.
const startTimeout = 15 * time.Second

// storeFor returns an address of the store for one daemon, which finds there the others' addresses
// as those of its links to them.
func (e *env) storeFor(name string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: e.store.handler(e.links.translate(name)), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// startDaemons starts a daemon in each of the zones and waits until all are ready.
func (e *env) startDaemons(zones ...string) error {
	for _, zone := range zones {
		if err := e.startDaemon(zone); err != nil {
			return err
		}
	}
	for _, d := range e.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // the daemons find each other, as before traffic starts
	return nil
}

func (d *daemonProcess) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for {
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.readiness+"/-/readyz", nil)
		if w, err := http.DefaultClient.Do(r); err == nil {
			_ = w.Body.Close()
			if w.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("daemon %s is not ready", d.name)
		case <-d.exited:
			return fmt.Errorf("daemon %s has ended", d.name)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// traffic sends requests with n clients for a time, each about every interval, and returns the results.
// Next returns the next request of a client.
func (e *env) traffic(n int, interval, length time.Duration, next func() request) []result {
	var mu sync.Mutex
	var all []result
	var clients sync.WaitGroup
	end := time.Now().Add(length)
	serving := e.serving
	if len(serving) == 0 {
		serving = e.daemons
	}
	for i := range n {
		clients.Go(func() {
			c := &client{record: e.record, address: serving[i%len(serving)].callers}
			defer c.close()
			time.Sleep(interval * time.Duration(i) / time.Duration(n))
			for time.Now().Before(end) {
				began := time.Now()
				r := c.send(next())
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				time.Sleep(time.Duration((0.5+rand.Float64())*float64(interval)) - time.Since(began))
			}
		})
	}
	clients.Wait()
	return all
}

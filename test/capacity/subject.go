package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/savorystall/savorystall/internal/certs"
	"github.com/savorystall/savorystall/internal/platform"
)

// linkTimeout bounds the wait for all links.
const linkTimeout = 60 * time.Second

// peerSpec is what the peers' process is told.
type peerSpec struct {
	Point   Point
	Subject platform.VM
	Certs   certs.Files
}

// runSubject measures one point and prints the sample.
func runSubject(text []byte) error {
	var p Point
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	spec := peerSpec{Point: p}
	if p.TLS {
		dir, err := os.MkdirTemp("", "capacity")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		if spec.Certs, err = writeCertificates(dir); err != nil {
			return err
		}
	}
	identity, err := spec.identity()
	if err != nil {
		return err
	}
	d, err := newDaemon(ctx, p, 0, identity)
	if err != nil {
		return err
	}
	spec.Subject = d.vm()
	peers, vms, err := startPeers(spec)
	if err != nil {
		return err
	}
	defer peers.stop()
	d.node.SetVMs(vms)
	if err := awaitLinks(d, p.Daemons-1); err != nil {
		return err
	}
	if err := peers.load(); err != nil {
		return err
	}
	d.load(ctx, p)
	return json.NewEncoder(os.Stdout).Encode(d.sample(p))
}

func (s peerSpec) identity() (*certs.Identity, error) {
	if !s.Point.TLS {
		return nil, nil
	}
	return certs.Load(s.Certs)
}

// peerProcess hosts the other daemons.
type peerProcess struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
}

// load starts the load of all peers at once.
func (p *peerProcess) load() error {
	_, err := p.stdin.Write([]byte{1})
	return err
}

// stop ends the process by the end of its input.
func (p *peerProcess) stop() {
	_ = p.stdin.Close()
	_ = p.cmd.Wait()
}

// startPeers starts the other daemons in one process and returns their list.
func startPeers(spec peerSpec) (p *peerProcess, vms []platform.VM, err error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return nil, nil, err
	}
	cmd := exec.Command(os.Args[0], "--role", rolePeers, "--point", string(text))
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	p = &peerProcess{cmd: cmd, stdin: stdin}
	if err := json.NewDecoder(bufio.NewReader(stdout)).Decode(&vms); err != nil {
		p.stop()
		return nil, nil, err
	}
	return p, vms, nil
}

func awaitLinks(d *daemon, want int) error {
	deadline := time.Now().Add(linkTimeout)
	for d.links.Load() < int64(want) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d links", d.links.Load(), want)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// sample measures one window.
func (d *daemon) sample(p Point) Sample {
	time.Sleep(p.Warm)
	traffic, cpu, finished, begun := d.node.Traffic(), processorTime(), d.finished.Load(), time.Now()
	time.Sleep(p.Window)
	after, cpuAfter, ended := d.node.Traffic(), processorTime(), d.finished.Load()
	seconds := time.Since(begun).Seconds()
	rate := func(from, to uint64) float64 { return float64(to-from) / seconds }
	s := Sample{
		Sent:     rate(traffic.EstimatedSent(), after.EstimatedSent()),
		Received: rate(traffic.EstimatedReceived(), after.EstimatedReceived()),
		Payload:  rate(traffic.PayloadSent, after.PayloadSent),
		CPU:      (cpuAfter - cpu).Seconds() / seconds,
		Requests: rate(finished, ended),
		Links:    int(d.links.Load()),
		RSS:      residentMB(),
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s.Heap = float64(m.HeapAlloc+m.StackInuse) / (1 << 20)
	return s
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentMB is the resident set of the process.
func residentMB() float64 {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for _, row := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(row, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

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

// linkTimeout limits the wait for all links to be established.
const linkTimeout = 60 * time.Second

// peerSpec is the configuration of the peer process, passed as JSON.
type peerSpec struct {
	Point   Point
	Subject platform.VM
	Certs   certs.Files
}

// runSubject measures one point and prints the sample as JSON.
func runSubject(pointJSON []byte) error {
	var p Point
	if err := json.Unmarshal(pointJSON, &p); err != nil {
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
	if err := waitForLinks(d, p.Daemons-1); err != nil {
		return err
	}
	if err := peers.startLoad(); err != nil {
		return err
	}
	d.startLoad(ctx, p)
	return json.NewEncoder(os.Stdout).Encode(d.sample(p))
}

func (s peerSpec) identity() (*certs.Identity, error) {
	if !s.Point.TLS {
		return nil, nil
	}
	return certs.Load(s.Certs)
}

// peerProcess is the process that runs all daemons except the subject.
type peerProcess struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
}

// startLoad starts the load at all peers.
func (p *peerProcess) startLoad() error {
	_, err := p.stdin.Write([]byte{1})
	return err
}

// stop closes standard input of the process, which makes it exit, and waits.
func (p *peerProcess) stop() {
	_ = p.stdin.Close()
	_ = p.cmd.Wait()
}

// startPeers starts the peer process and returns it with the VM list of the fleet.
func startPeers(spec peerSpec) (p *peerProcess, vms []platform.VM, err error) {
	specJSON, err := json.Marshal(spec)
	if err != nil {
		return nil, nil, err
	}
	cmd := exec.Command(os.Args[0], "--role", rolePeers, "--point", string(specJSON))
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

func waitForLinks(d *daemon, want int) error {
	deadline := time.Now().Add(linkTimeout)
	for d.linkCount.Load() < int64(want) {
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d links are established", d.linkCount.Load(), want)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// sample waits for the warm-up and measures one window.
func (d *daemon) sample(p Point) Sample {
	time.Sleep(p.Warm)
	trafficBefore, cpuBefore, finishedBefore, start := d.node.Traffic(), cpuTime(), d.finishedRequests.Load(), time.Now()
	time.Sleep(p.Window)
	trafficAfter, cpuAfter, finishedAfter := d.node.Traffic(), cpuTime(), d.finishedRequests.Load()
	seconds := time.Since(start).Seconds()
	rate := func(from, to uint64) float64 { return float64(to-from) / seconds }
	s := Sample{
		Sent:     rate(trafficBefore.EstimatedSent(), trafficAfter.EstimatedSent()),
		Received: rate(trafficBefore.EstimatedReceived(), trafficAfter.EstimatedReceived()),
		Payload:  rate(trafficBefore.PayloadSent, trafficAfter.PayloadSent),
		CPU:      (cpuAfter - cpuBefore).Seconds() / seconds,
		Requests: rate(finishedBefore, finishedAfter),
		Links:    int(d.linkCount.Load()),
		RSS:      rssMB(),
	}
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	s.Heap = float64(mem.HeapAlloc+mem.StackInuse) / (1 << 20)
	return s
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// rssMB returns the resident set size of the process in MB, or zero if it is
// unavailable.
func rssMB() float64 {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

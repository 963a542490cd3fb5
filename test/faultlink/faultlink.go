// Package faultlink provides a fault-injecting TCP proxy for tests (toxiproxy,
// running in the test process). In addition to the faults of toxiproxy, it can
// stall all open connections permanently while new connections work.
package faultlink

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/toxics"
	"github.com/sirupsen/logrus"
)

const toxicType = "faultlink"

func init() {
	logrus.SetOutput(io.Discard)
	toxics.Register(toxicType, new(toxic))
}

// Link is a proxy in front of one address.
type Link struct {
	// Address is the host:port on which the link listens.
	Address string

	proxy *toxiproxy.Proxy
	state *state
	mu    sync.Mutex
	open  bool
}

// state controls the toxics of one link.
type state struct {
	// epoch is incremented to stall the connections that are open at that time.
	epoch atomic.Int64
	delay atomic.Int64
	done  chan struct{}
}

var linkStates sync.Map

// Blocks of ports below the ephemeral port range of the system (32768 and up).
const (
	firstPort  = 10000
	blockSize  = 100
	blockCount = 200
)

// ports allocates ports from blocks that are reserved for this process.
//
// Tests of several packages, and of several users, run concurrently. A port that
// was found free has no listener until the daemon that gets it has started.
// Meanwhile another process could find it free as well, and one of the two daemons
// would fail to start. Therefore a process reserves a block by listening on its
// first port for as long as the process lives.
var ports struct {
	sync.Mutex
	// locks references the listeners, because garbage collection would close them.
	locks []net.Listener
	block int
	next  int
}

// FreeAddress returns a loopback address without a listener. Its port is outside
// the ephemeral port range, so that a listener that is closed temporarily, such as
// that of a cut link, can be opened again on the same address.
func FreeAddress(t testing.TB) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range blockSize * blockCount {
		if len(ports.locks) == 0 || ports.next == blockSize {
			reserveBlock(t)
		}
		address := loopbackAddress(ports.block, ports.next)
		ports.next++
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	t.Fatal("no free port")
	return ""
}

func loopbackAddress(block, port int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+block*blockSize+port)
}

// reserveBlock reserves a block that no process has reserved. The previous block
// stays reserved because its ports are in use.
func reserveBlock(t testing.TB) {
	t.Helper()
	start := ports.block + 1
	if len(ports.locks) == 0 {
		start = os.Getpid()
	}
	for i := range blockCount {
		block := (start + i) % blockCount
		l, err := net.Listen("tcp", loopbackAddress(block, 0))
		if err == nil {
			ports.locks = append(ports.locks, l)
			ports.block, ports.next = block, 1
			return
		}
	}
	t.Fatal("no free block of ports")
}

// New starts a link to the upstream address and closes it when the test ends.
func New(t testing.TB, upstream string) *Link {
	t.Helper()
	proxy := toxiproxy.NewProxy()
	proxy.Name = fmt.Sprintf("%s-%p", t.Name(), proxy)
	proxy.Listen = FreeAddress(t)
	proxy.Upstream = upstream
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	l := &Link{Address: proxy.Listen, proxy: proxy, state: &state{done: make(chan struct{})}, open: true}
	linkStates.Store(proxy.Name, l.state)
	for _, direction := range []string{"upstream", "downstream"} {
		spec := fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":{"key":%q}}`, toxicType, direction, proxy.Name)
		if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(spec)); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(l.close)
	return l
}

func (l *Link) close() {
	close(l.state.done)
	l.Cut()
	linkStates.Delete(l.proxy.Name)
}

// Cut closes the open connections and stops listening until Restore is called.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open {
		l.proxy.Stop()
		l.open = false
	}
}

// Restore accepts connections on the same address again.
func (l *Link) Restore() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open {
		return nil
	}
	if err := l.proxy.Start(); err != nil {
		return err
	}
	l.open = true
	return nil
}

// StallOpenConnections permanently stops forwarding data on the open connections
// without closing them, so that neither end notices. New connections work.
func (l *Link) StallOpenConnections() { l.state.epoch.Add(1) }

// SetDelay delays each chunk of data by d; zero disables the delay.
func (l *Link) SetDelay(d time.Duration) { l.state.delay.Store(int64(d)) }

// toxic applies the state of a link to one direction of one connection.
type toxic struct {
	Key string `json:"key"`
}

// Pipe implements toxics.Toxic.
func (t *toxic) Pipe(stub *toxics.ToxicStub) {
	found, ok := linkStates.Load(t.Key)
	if !ok {
		stub.Close()
		return
	}
	s := found.(*state)
	startEpoch := s.epoch.Load()
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			stalled := s.epoch.Load() != startEpoch
			if chunk == nil {
				s.closeOutput(stub, stalled)
				return
			}
			if !stalled {
				s.applyDelay()
				stub.Output <- chunk
			}
		}
	}
}

// closeOutput closes the other side of the connection. If the connection is
// stalled, it does so only when the link is closed.
func (s *state) closeOutput(stub *toxics.ToxicStub, stalled bool) {
	if stalled {
		<-s.done
	}
	stub.Close()
}

func (s *state) applyDelay() {
	d := time.Duration(s.delay.Load())
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.done:
	}
}

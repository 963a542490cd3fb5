// Package faultlink puts a fault-injecting proxy (toxiproxy, in this process)
// in front of an address, for tests. Beside what toxiproxy brings, it can make
// the open connections silent for good while new ones work.
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

// Link is a proxied way to one address.
type Link struct {
	// Address is host:port on which the link listens.
	Address string

	proxy *toxiproxy.Proxy
	state *state
	mu    sync.Mutex
	open  bool
}

// state steers the toxics of one link.
type state struct {
	// epoch grows each time the open connections go silent.
	epoch atomic.Int64
	delay atomic.Int64
	done  chan struct{}
}

var states sync.Map

// Ports below those that the system hands out to connections (32768 and up), in
// blocks.
const (
	firstPort  = 10000
	blockSize  = 100
	blockCount = 200
)

// ports hands out the ports of blocks that this process alone uses.
//
// Tests of several packages, and of several people, run side by side. A port that
// was just found free is closed until the daemon that is to have it has started;
// another process would find it free as well, and one of the two daemons would
// not start. The first port of a block is a listener that stays open as long as
// the process: who holds it has the block.
var ports struct {
	sync.Mutex
	// locks keeps the listeners from being collected, which closes them.
	locks []net.Listener
	block int
	next  int
}

// FreeAddress returns a loopback address that nothing listens on. Its port is
// not one that the system hands out, so that a listener which is closed for a
// while, such as that of a cut link, can be opened again at the same address.
func FreeAddress(t testing.TB) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range blockSize * blockCount {
		if len(ports.locks) == 0 || ports.next == blockSize {
			takeBlock(t)
		}
		address := loopback(ports.block, ports.next)
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

func loopback(block, port int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+block*blockSize+port)
}

// takeBlock takes a block that no process has. The one before is kept: its
// ports are in use.
func takeBlock(t testing.TB) {
	t.Helper()
	start := ports.block + 1
	if len(ports.locks) == 0 {
		start = os.Getpid()
	}
	for i := range blockCount {
		block := (start + i) % blockCount
		l, err := net.Listen("tcp", loopback(block, 0))
		if err == nil {
			ports.locks = append(ports.locks, l)
			ports.block, ports.next = block, 1
			return
		}
	}
	t.Fatal("no free block of ports")
}

// New starts a link to the upstream address; the test's end closes it.
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
	states.Store(proxy.Name, l.state)
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
	states.Delete(l.proxy.Name)
}

// Cut closes the open connections and refuses new ones until Restore.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open {
		l.proxy.Stop()
		l.open = false
	}
}

// Restore accepts connections again on the same address.
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

// SilenceOpen makes the open connections silent for good. Neither end learns
// of it; new connections work.
func (l *Link) SilenceOpen() { l.state.epoch.Add(1) }

// Slow holds every piece of data back by d; zero ends it.
func (l *Link) Slow(d time.Duration) { l.state.delay.Store(int64(d)) }

// toxic applies the state of a link to one direction of one connection.
type toxic struct {
	Key string `json:"key"`
}

// Pipe implements toxics.Toxic.
func (t *toxic) Pipe(stub *toxics.ToxicStub) {
	found, ok := states.Load(t.Key)
	if !ok {
		stub.Close()
		return
	}
	s := found.(*state)
	born := s.epoch.Load()
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			silent := s.epoch.Load() != born
			if chunk == nil {
				s.end(stub, silent)
				return
			}
			if !silent {
				s.hold()
				stub.Output <- chunk
			}
		}
	}
}

// end closes the connection's other side. A silent one learns nothing before
// the link itself ends.
func (s *state) end(stub *toxics.ToxicStub, silent bool) {
	if silent {
		<-s.done
	}
	stub.Close()
}

func (s *state) hold() {
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

package fleet_test

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/toxics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// middlebox is what the toxics of one test share. Toxiproxy makes its toxics
// from a registered type, so that they can find it in a variable only.
type middlebox struct {
	// losses counts the times that it lost track: connections that were opened
	// under an earlier count carry nothing more, not even an end.
	losses atomic.Int64
	// over is closed at the end of the test.
	over chan struct{}
}

var presentBox atomic.Pointer[middlebox]

func newMiddlebox(t *testing.T) *middlebox {
	box := &middlebox{over: make(chan struct{})}
	presentBox.Store(box)
	t.Cleanup(func() { close(box.over) })
	return box
}

// forgetfulToxic is a middlebox that loses track of old connections.
type forgetfulToxic struct{}

func (forgetfulToxic) Pipe(stub *toxics.ToxicStub) {
	box := presentBox.Load()
	born := box.losses.Load()
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if box.losses.Load() != born {
				if chunk != nil {
					continue
				}
				<-box.over
			}
			if chunk == nil {
				stub.Close()
				return
			}
			stub.Output <- chunk
		}
	}
}

func forgetfulProxy(t *testing.T, upstream string) *toxiproxy.Proxy {
	t.Helper()
	logrus.SetOutput(io.Discard)
	toxics.Register("forgetful", new(forgetfulToxic))
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = "middlebox", "127.0.0.1:0", upstream
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	for _, direction := range []string{"upstream", "downstream"} {
		toxic := `{"type":"forgetful","stream":"` + direction + `"}`
		if _, err := p.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(p.Stop)
	return p
}

// Requests at one daemon stop getting grants of another, though both are well:
// something between them has lost track of their connection, which stays open
// and silent. New connections work. Heartbeats must find it, and the link must
// come up on a new connection with a request for the full state.
func TestSilentLinkIsReplacedByANewConnection(t *testing.T) {
	is := is.New(t)
	a, ra := start(t, fleet.Config{Self: "a"})
	b, rb := start(t, fleet.Config{Self: "b"})
	box := newMiddlebox(t)
	toA, toB := forgetfulProxy(t, a.Address()), forgetfulProxy(t, b.Address())
	b.SetVMs([]platform.VM{vm("a", toA.Listen)}) // either end may dial the new link
	a.SetVMs([]platform.VM{vm("b", toB.Listen)})
	ra.eventually(t, "link to b", linked("b"))
	rb.eventually(t, "link to a", linked("a"))

	for range 2 { // twice in a row
		before := ra.count("b")
		other := rb.count("a")
		box.losses.Add(1)
		ra.eventually(t, "new link at a", func(r *recorder) bool { return r.ups["b"] > before && linked("b")(r) })
		rb.eventually(t, "new link at b", func(r *recorder) bool { return r.ups["a"] > other && linked("a")(r) })
		ra.locked(func() { ra.messages = nil })
		// b may still be about to replace its end: a grant counts once it arrives.
		ra.eventually(t, "grant over the new link", func(r *recorder) bool {
			b.Send("a", scheduler.Message{Grants: []scheduler.Grant{{ID: 1, Service: "s", Workspace: "w", Target: "t"}}})
			return len(r.messages) > 0
		})
	}
	ra.locked(func() { is.True(ra.losts["b"] >= 2) })
}

func (r *recorder) count(id ident.Daemon) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ups[id]
}

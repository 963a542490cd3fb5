package booking

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
)

// exchange is a fleet whose Cores tell each other sums over simulated time.
type exchange struct {
	now   time.Time
	ids   []ident.Daemon
	zones map[ident.Daemon]ident.Zone
	cores map[ident.Daemon]*Core
	// frames counts what was sent, between those that went to another zone.
	frames, between int
	// sent counts the frames of each daemon.
	sent map[ident.Daemon]int
	// lost are daemons that neither send nor receive.
	lost map[ident.Daemon]bool
}

const exchangeWay = 2 * time.Millisecond

func newExchange(zones, each int) *exchange {
	x := &exchange{now: time.Unix(1000, 0), zones: map[ident.Daemon]ident.Zone{}, cores: map[ident.Daemon]*Core{}, lost: map[ident.Daemon]bool{}, sent: map[ident.Daemon]int{}}
	for z := range zones {
		for i := range each {
			id := ident.Daemon(fmt.Sprintf("d%d-%02d", z, i))
			x.ids = append(x.ids, id)
			x.zones[id] = ident.Zone(fmt.Sprintf("z%d", z))
		}
	}
	for i, id := range x.ids {
		x.cores[id] = New(Config{Self: id, Incarnation: 1, Zone: x.zones[id]}, rand.New(rand.NewPCG(1, uint64(i))))
		x.cores[id].Configure(x.now, []Service{{Name: "pool", Model: true, Rate: 1e6, Workspaces: []Workspace{{Name: "w", Weight: 1}}}})
		// Daemons do not all tell at the same moment.
		x.cores[id].nextTell = x.now.Add(time.Duration(i*37%500) * time.Millisecond)
	}
	for _, id := range x.ids {
		x.know(id, x.ids)
	}
	return x
}

// know tells a daemon which others live.
func (x *exchange) know(id ident.Daemon, live []ident.Daemon) {
	var peers []Peer
	for _, other := range live {
		if other != id {
			peers = append(peers, Peer{ID: other, Incarnation: 1, Zone: x.zones[other]})
		}
	}
	x.cores[id].Peers(x.now, peers)
}

// run lets every daemon be asked for perSecond tokens for so long.
func (x *exchange) run(long time.Duration, perSecond float64) {
	const step = 10 * time.Millisecond
	for end := x.now.Add(long); x.now.Before(end); {
		x.now = x.now.Add(step)
		for _, id := range x.ids {
			x.cores[id].Wanted(x.now, "pool", "w", perSecond*step.Seconds())
			x.cores[id].Tick(x.now)
			for _, e := range x.cores[id].Take() {
				if s, ok := e.(Send); ok {
					x.pass(id, s)
				}
			}
		}
	}
}

func (x *exchange) pass(from ident.Daemon, s Send) {
	x.frames++
	x.sent[from]++
	if x.zones[from] != x.zones[s.To] {
		x.between++
	}
	if !x.lost[from] && !x.lost[s.To] {
		x.cores[s.To].Receive(x.now.Add(exchangeWay), from, s.Message)
	}
}

// asked is what a daemon believes the fleet was asked for.
func (x *exchange) asked(id ident.Daemon) float64 {
	s := &x.cores[id].services["pool"].shares
	s.levelAt = time.Time{}
	s.refresh(x.now, 1e6, 0)
	asked := s.accounts["w"].sums(x.now).asked
	return asked
}

// Twenty daemons of four zones are asked for the same each. All have to know what the
// fleet was asked for, though each tells one other only; told by all to all it took
// twenty times the frames.
func TestHubsTellWhatTheFleetWasAskedFor(t *testing.T) {
	is := is.New(t)
	x := newExchange(4, 5)
	x.run(10*time.Second, 1000)
	x.frames, x.between = 0, 0
	x.run(2*time.Second, 1000)
	want := 20 * 1000 * fade.Seconds()
	for _, id := range x.ids {
		got := x.asked(id)
		if got < 0.8*want || got > 1.1*want {
			t.Errorf("%s knows of %.0f, want %.0f", id, got, want)
		}
	}
	t.Logf("%d frames in 2 s, %d between zones", x.frames, x.between)
	is.True(x.frames <= 16*2*2+4*(4+3)*2*4+20) // members twice a second, hubs four times
	is.True(x.between <= 4*3*2*4+12)
}

// Guards against a burst that owners know of only when most of a second's grants are given.
func TestABurstIsToldAtOnce(t *testing.T) {
	x := newExchange(4, 17)
	x.run(10*time.Second, 100)
	x.frames = 0
	const long, perSecond = 400 * time.Millisecond, 100000
	x.run(long, perSecond)
	asked := float64(len(x.ids)) * perSecond * long.Seconds()
	for _, id := range x.ids {
		if got := x.asked(id); got < asked/5 {
			t.Errorf("%s knows of %.2f of a burst after %s", id, got/asked, long)
		}
	}
	if most := 6 * len(x.ids); x.frames > most {
		t.Errorf("%d frames in %s, want at most %d", x.frames, long, most)
	}
}

// A few daemons tell all others.
func TestAFewTellEachOther(t *testing.T) {
	x := newExchange(3, 2)
	x.run(10*time.Second, 1000)
	want := 6 * 1000 * fade.Seconds()
	for _, id := range x.ids {
		if got := x.asked(id); got < 0.85*want || got > 1.1*want {
			t.Errorf("%s knows of %.0f, want %.0f", id, got, want)
		}
	}
}

// A hub is killed or cut off. What its zone knew of the fleet fades, and the next hub
// takes over without counting anything twice.
func TestAnotherHubTakesOver(t *testing.T) {
	is := is.New(t)
	x := newExchange(4, 5)
	x.run(5*time.Second, 1000)
	hub := x.cores[x.ids[0]].circle.hub
	is.True(hub != "")
	x.lost[hub] = true
	x.run(time.Second, 1000)
	live := slices.DeleteFunc(slices.Clone(x.ids), func(id ident.Daemon) bool { return id == hub })
	for _, id := range live {
		x.know(id, live)
	}
	for range 10 {
		x.run(500*time.Millisecond, 1000)
		for _, id := range live {
			is.True(x.asked(id) < 1.2*20*1000*fade.Seconds())
		}
	}
	for _, id := range live {
		is.True(x.asked(id) > 0.8*19*1000*fade.Seconds())
	}
}

// Daemons know different members for a while, so that a zone has two hubs, or one that
// takes another one for a member. A sum of sums that was added up again as if it were one
// daemon's would grow without end, and no workspace would be within its share any more.
func TestNoSumGrowsWhereViewsDiffer(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		x := newExchange(2, 9)
		limit := 1.3 * 18 * 1000 * fade.Seconds()
		for range rapid.IntRange(1, 6).Draw(r, "rounds") {
			for _, id := range x.ids {
				if rapid.Bool().Draw(r, "changes") {
					live := slices.DeleteFunc(slices.Clone(x.ids), func(ident.Daemon) bool { return rapid.IntRange(0, 9).Draw(r, "missing") == 0 })
					x.know(id, live)
				}
			}
			x.run(time.Duration(rapid.IntRange(100, 3000).Draw(r, "ms"))*time.Millisecond, 1000)
			for _, id := range x.ids {
				if got := x.asked(id); got > limit {
					r.Fatalf("%s knows of %.0f, which is above %.0f", id, got, limit)
				}
			}
		}
	})
}

// BenchmarkTelling is what telling takes of a fleet at rest but for demand, in frames a
// second of an ordinary daemon and of a hub.
func BenchmarkTelling(b *testing.B) {
	for _, size := range []struct{ zones, each int }{{4, 2}, {4, 17}, {14, 26}} {
		b.Run(fmt.Sprintf("%d_daemons", size.zones*size.each), func(b *testing.B) {
			for b.Loop() {
				x := newExchange(size.zones, size.each)
				x.run(time.Second, 1000)
				x.sent = map[ident.Daemon]int{}
				const long = 4
				x.run(long*time.Second, 1000)
				most, all := 0, 0
				for _, n := range x.sent {
					most = max(most, n)
					all += n
				}
				hubs := len(x.ids) / size.each
				b.ReportMetric(float64(most)/long, "hub-frames/s")
				b.ReportMetric(float64(all-hubs*most)/float64(len(x.ids)-hubs)/long, "daemon-frames/s")
			}
		})
	}
}

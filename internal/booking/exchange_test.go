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

// exchange is a fleet whose Cores exchange sums in simulated time.
type exchange struct {
	now   time.Time
	ids   []ident.Daemon
	zones map[ident.Daemon]ident.Zone
	cores map[ident.Daemon]*Core
	// frames counts the frames sent, crossZone those sent to another zone.
	frames, crossZone int
	// sent counts the frames by sender.
	sent map[ident.Daemon]int
	// unreachable are daemons that neither send nor receive.
	unreachable map[ident.Daemon]bool
}

const exchangeDelay = 2 * time.Millisecond

func newExchange(zones, perZone int) *exchange {
	x := &exchange{now: time.Unix(1000, 0), zones: map[ident.Daemon]ident.Zone{}, cores: map[ident.Daemon]*Core{}, unreachable: map[ident.Daemon]bool{}, sent: map[ident.Daemon]int{}}
	for z := range zones {
		for i := range perZone {
			id := ident.Daemon(fmt.Sprintf("d%d-%02d", z, i))
			x.ids = append(x.ids, id)
			x.zones[id] = ident.Zone(fmt.Sprintf("z%d", z))
		}
	}
	for i, id := range x.ids {
		x.cores[id] = New(Config{Self: id, Incarnation: 1, Zone: x.zones[id]}, rand.New(rand.NewPCG(1, uint64(i))))
		x.cores[id].Configure(x.now, []Service{{Name: "pool", ServesModel: true, Rate: 1e6, Workspaces: []Workspace{{Name: "w", Weight: 1}}}})
		// Daemons do not all publish at the same time.
		x.cores[id].nextPublish = x.now.Add(time.Duration(i*37%500) * time.Millisecond)
	}
	for _, id := range x.ids {
		x.setLive(id, x.ids)
	}
	return x
}

// setLive sets the live daemons that a daemon knows.
func (x *exchange) setLive(id ident.Daemon, live []ident.Daemon) {
	var peers []Peer
	for _, other := range live {
		if other != id {
			peers = append(peers, Peer{ID: other, Incarnation: 1, Zone: x.zones[other]})
		}
	}
	x.cores[id].SetPeers(x.now, peers)
}

// run advances the simulation while every daemon is asked for perSecond tokens a second.
func (x *exchange) run(duration time.Duration, perSecond float64) {
	const step = 10 * time.Millisecond
	for end := x.now.Add(duration); x.now.Before(end); {
		x.now = x.now.Add(step)
		for _, id := range x.ids {
			x.cores[id].RecordShed(x.now, "pool", "w", perSecond*step.Seconds())
			x.cores[id].Tick(x.now)
			for _, e := range x.cores[id].TakeEffects() {
				if s, ok := e.(Send); ok {
					x.deliver(id, s)
				}
			}
		}
	}
}

func (x *exchange) deliver(from ident.Daemon, s Send) {
	x.frames++
	x.sent[from]++
	if x.zones[from] != x.zones[s.To] {
		x.crossZone++
	}
	if !x.unreachable[from] && !x.unreachable[s.To] {
		x.cores[s.To].Receive(x.now.Add(exchangeDelay), from, s.Message)
	}
}

// knownDemand is the demand of the fleet as a daemon knows it.
func (x *exchange) knownDemand(id ident.Daemon) float64 {
	s := &x.cores[id].services["pool"].shares
	s.levelAt = time.Time{}
	s.refresh(x.now, 1e6, 0)
	asked := s.accounts["w"].sums(x.now).asked
	return asked
}

// Guards against wrong fleet totals when hubs aggregate: twenty daemons of four zones get the
// same demand, each reports to one other only, and all have to know the demand of the fleet.
// Publishing to all others took twenty times the frames.
func TestHubsPublishFleetDemand(t *testing.T) {
	is := is.New(t)
	x := newExchange(4, 5)
	x.run(10*time.Second, 1000)
	x.frames, x.crossZone = 0, 0
	x.run(2*time.Second, 1000)
	want := 20 * 1000 * decayTime.Seconds()
	for _, id := range x.ids {
		got := x.knownDemand(id)
		if got < 0.8*want || got > 1.1*want {
			t.Errorf("%s knows a demand of %.0f, want %.0f", id, got, want)
		}
	}
	t.Logf("%d frames in 2 s, %d between zones", x.frames, x.crossZone)
	is.True(x.frames <= 16*2*2+4*(4+3)*2*4+20) // members twice a second, hubs four times
	is.True(x.crossZone <= 4*3*2*4+12)
}

// Guards against a burst that owners learn about only when most of a second's grants are given.
func TestBurstIsPublishedAtOnce(t *testing.T) {
	x := newExchange(4, 17)
	x.run(10*time.Second, 100)
	x.frames = 0
	const duration, perSecond = 400 * time.Millisecond, 100000
	x.run(duration, perSecond)
	asked := float64(len(x.ids)) * perSecond * duration.Seconds()
	for _, id := range x.ids {
		if got := x.knownDemand(id); got < asked/5 {
			t.Errorf("%s knows of %.2f of the burst after %s", id, got/asked, duration)
		}
	}
	if maxFrames := 6 * len(x.ids); x.frames > maxFrames {
		t.Errorf("%d frames in %s, want at most %d", x.frames, duration, maxFrames)
	}
}

// Below the hub threshold each daemon publishes to all others.
func TestSmallFleetPublishesToAllPeers(t *testing.T) {
	x := newExchange(3, 2)
	x.run(10*time.Second, 1000)
	want := 6 * 1000 * decayTime.Seconds()
	for _, id := range x.ids {
		if got := x.knownDemand(id); got < 0.85*want || got > 1.1*want {
			t.Errorf("%s knows a demand of %.0f, want %.0f", id, got, want)
		}
	}
}

// Guards against double counting after the loss of a hub: what its zone knew about the fleet
// decays, and the next hub takes over.
func TestNextHubTakesOver(t *testing.T) {
	is := is.New(t)
	x := newExchange(4, 5)
	x.run(5*time.Second, 1000)
	hub := x.cores[x.ids[0]].group.hub
	is.True(hub != "")
	x.unreachable[hub] = true
	x.run(time.Second, 1000)
	live := slices.DeleteFunc(slices.Clone(x.ids), func(id ident.Daemon) bool { return id == hub })
	for _, id := range live {
		x.setLive(id, live)
	}
	for range 10 {
		x.run(500*time.Millisecond, 1000)
		for _, id := range live {
			is.True(x.knownDemand(id) < 1.2*20*1000*decayTime.Seconds())
		}
	}
	for _, id := range live {
		is.True(x.knownDemand(id) > 0.8*19*1000*decayTime.Seconds())
	}
}

// Guards against totals that grow without bound when membership views differ, so that a zone
// has two hubs, or a hub takes another hub for a member. If a total were added up as the sums
// of one daemon, no workspace would be within its share any more.
func TestSumsStayBoundedWhenMembershipViewsDiffer(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		x := newExchange(2, 9)
		limit := 1.3 * 18 * 1000 * decayTime.Seconds()
		for range rapid.IntRange(1, 6).Draw(r, "rounds") {
			for _, id := range x.ids {
				if rapid.Bool().Draw(r, "changes") {
					live := slices.DeleteFunc(slices.Clone(x.ids), func(ident.Daemon) bool { return rapid.IntRange(0, 9).Draw(r, "missing") == 0 })
					x.setLive(id, live)
				}
			}
			x.run(time.Duration(rapid.IntRange(100, 3000).Draw(r, "ms"))*time.Millisecond, 1000)
			for _, id := range x.ids {
				if got := x.knownDemand(id); got > limit {
					r.Fatalf("%s knows a demand of %.0f, which is above %.0f", id, got, limit)
				}
			}
		}
	})
}

// BenchmarkTelling measures the cost of publishing in a fleet without load except for demand,
// in frames a second of an ordinary daemon and of a hub.
func BenchmarkTelling(b *testing.B) {
	for _, size := range []struct{ zones, perZone int }{{4, 2}, {4, 17}, {14, 26}} {
		b.Run(fmt.Sprintf("%d_daemons", size.zones*size.perZone), func(b *testing.B) {
			for b.Loop() {
				x := newExchange(size.zones, size.perZone)
				x.run(time.Second, 1000)
				x.sent = map[ident.Daemon]int{}
				const seconds = 4
				x.run(seconds*time.Second, 1000)
				hubFrames, allFrames := 0, 0
				for _, n := range x.sent {
					hubFrames = max(hubFrames, n)
					allFrames += n
				}
				hubs := len(x.ids) / size.perZone
				b.ReportMetric(float64(hubFrames)/seconds, "hub-frames/s")
				b.ReportMetric(float64(allFrames-hubs*hubFrames)/float64(len(x.ids)-hubs)/seconds, "daemon-frames/s")
			}
		})
	}
}

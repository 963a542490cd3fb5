package booking_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// BenchmarkPlacing measures the processor time of an ingress for a request whose owner replies,
// in a fleet of 67 daemons with 60 engines and 30 workspaces, while the given number of its
// requests run.
func BenchmarkPlacing(b *testing.B) {
	for _, running := range []int{0, 1000, 4000} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) { benchmarkPlacing(b, running) })
	}
}

func benchmarkPlacing(b *testing.B, running int) {
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "d00", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	var peers []booking.Peer
	for i := range 66 {
		peers = append(peers, booking.Peer{ID: ident.Daemon(fmt.Sprintf("d%02d", i+1)), Incarnation: 1, Zone: "z"})
	}
	service := booking.Service{Name: "pool", ServesModel: true, Rate: 2e6}
	for i := range 60 {
		service.Targets = append(service.Targets, booking.Target{Name: ident.Target(fmt.Sprintf("engine-%02d", i)), Zone: "z", Slots: 32, Memory: 444000})
	}
	for i := range 30 {
		service.Workspaces = append(service.Workspaces, booking.Workspace{Name: ident.Workspace(fmt.Sprintf("w%02d", i)), Weight: 1})
	}
	c.SetPeers(now, peers)
	c.Configure(now, []booking.Service{service})
	place := func(id int) ident.Request {
		r := booking.Request{
			ID: ident.Request(fmt.Sprintf("r%08d", id)), Service: "pool", Workspace: service.Workspaces[id%30].Name,
			Prompt: 2000, Output: 100, Deadline: now.Add(time.Second),
			Parts: []booking.PromptPart{{ID: uint64(id % 500), Tokens: 500}, {ID: uint64(id) << 32, Tokens: 1500}},
		}
		c.Submit(now, r)
		for _, e := range c.TakeEffects() {
			if s, ok := e.(booking.Send); ok {
				for _, res := range s.Message.Reservations {
					c.Receive(now, s.To, booking.Message{Incarnation: 1, Replies: []booking.Reply{{ID: res.ID, OK: true}}})
				}
			}
		}
		c.TakeEffects()
		return r.ID
	}
	for i := range running {
		place(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		id := place(running + i)
		c.Finish(now, id, booking.Result{Elapsed: time.Second})
		if i%10 == 0 {
			c.Tick(now)
		}
		c.TakeEffects()
	}
}

// BenchmarkMembershipChange measures the processor time of one daemon that leaves and joins in
// a fleet of 295 daemons with 169 engines.
func BenchmarkMembershipChange(b *testing.B) {
	now := time.Unix(1000, 0)
	zone := func(i int) ident.Zone { return ident.Zone(fmt.Sprintf("z%d", i%6)) }
	c := booking.New(booking.Config{Self: "d000", Incarnation: 1, Zone: "z0"}, rand.New(rand.NewPCG(1, 1)))
	var peers []booking.Peer
	for i := range 294 {
		peers = append(peers, booking.Peer{ID: ident.Daemon(fmt.Sprintf("d%03d", i+1)), Incarnation: 1, Zone: zone(i + 1)})
	}
	service := booking.Service{Name: "pool", ServesModel: true, Rate: 2e6}
	for i := range 169 {
		service.Targets = append(service.Targets, booking.Target{Name: ident.Target(fmt.Sprintf("engine-%03d", i)), Zone: zone(i), Slots: 12, Memory: 444000})
	}
	c.SetPeers(now, peers)
	c.Configure(now, []booking.Service{service})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		without := append(peers[:i%294:i%294], peers[i%294+1:]...)
		c.SetPeers(now, without)
		c.SetPeers(now, peers)
	}
}

// BenchmarkSpeeds measures the processor time of the weights of 3,100 targets with known speeds, and
// of the choice of homes with even and uneven weights.
func BenchmarkSpeeds(b *testing.B) {
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "d", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	service := booking.Service{Name: "pool", ServesModel: true, LearnSpeeds: true}
	for i := range 3100 {
		service.Targets = append(service.Targets, booking.Target{Name: ident.Target(fmt.Sprintf("engine-%04d", i)), Zone: "z", Slots: 12})
	}
	c.Configure(now, []booking.Service{service})
	setSpeeds := func(fast float64) {
		for i, t := range service.Targets {
			c.SetSpeed(now, "pool", t.Name, []float64{1, 1, fast}[i%3])
		}
	}
	b.Run("weights", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			now = now.Add(250 * time.Millisecond)
			if i%8 == 0 { // a level without observations is forgotten after 5 s
				b.StopTimer()
				setSpeeds(2.358)
				b.StartTimer()
			}
			c.Weight(now, "pool", "engine-0000")
		}
	})
	for _, fast := range []float64{1, 2.358} {
		now = now.Add(time.Second)
		setSpeeds(fast)
		c.Weight(now, "pool", "engine-0000")
		b.Run(fmt.Sprintf("home,fast=%.1f", fast), func(b *testing.B) {
			for i := uint64(0); b.Loop(); i++ {
				c.HomeOf("pool", i)
			}
		})
	}
}

// BenchmarkSpeedEstimate measures the processor time of one observation and one estimate.
func BenchmarkSpeedEstimate(b *testing.B) {
	now, e := time.Unix(1000, 0), booking.InUse()
	for i := 0; b.Loop(); i++ {
		now = now.Add(330 * time.Millisecond)
		e.Observe(now, float64(i%7)/10)
		e.Estimate(now)
	}
}

package booking_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// Parameters of a zone whose targets are cold when it returns.
const (
	coldEngines   = 20
	coldLimit     = 26
	coldReturn    = 2 * time.Second
	coldDuration  = 3 * time.Second
	coldPerSecond = 500 // requests, which is about what warm targets are sent
)

// shortRequests makes requests with short prompts and answers: the rate of an engine is then bounded
// by neither its slots nor its prefill.
func shortRequests(rng *rand.Rand) booking.Request {
	return booking.Request{Prompt: 100, Output: 3, Parts: []booking.PromptPart{{ID: uint64(rng.IntN(2000)), Tokens: 50}, {ID: rng.Uint64(), Tokens: 50}}}
}

// peakRates returns the most requests that any of the targets was sent in a second that began within
// the given times.
func peakRates(sent map[ident.Target][]time.Time, from, to time.Duration) (most int) {
	for _, times := range sent {
		for i, first := range times {
			if at := first.Sub(time.Unix(1000, 0)); at < from || at >= to {
				continue
			}
			n := 0
			for _, at := range times[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// newColdSim returns a fleet in four zones that sends more to each engine than a cold one tolerates.
func newColdSim(seed uint64, daemons int) (s *sim, sent map[ident.Target][]time.Time) {
	s = newZonedSim(seed, []ident.Zone{"a", "b", "c", "d"}, daemons, coldEngines, "w")
	s.service.ColdLimit = coldLimit
	sent = map[ident.Target][]time.Time{}
	s.onSent = func(target ident.Target) { sent[target] = append(sent[target], s.now) }
	s.updatePeers()
	s.offer(workload{workspace: "w", perSecond: 2 * coldPerSecond, end: coldReturn + coldDuration, objective: 300 * time.Millisecond, newRequest: shortRequests})
	return s, sent
}

// returnCold takes zone a back: its targets are cold from coldReturn on, which daemons learn at
// different times within a second before it.
func (s *sim) returnCold() {
	for i := range s.service.Targets {
		if t := &s.service.Targets[i]; t.Zone == "a" {
			t.Evacuated = true
		}
	}
	s.updatePeers()
	s.schedule(coldReturn, func() {
		for i := range s.service.Targets {
			if t := &s.service.Targets[i]; t.Zone == "a" {
				t.Evacuated, t.ColdUntil = false, s.now.Add(time.Second+coldDuration)
			}
		}
		for _, d := range s.daemons {
			service := s.service
			service.Targets = append([]booking.Target(nil), s.service.Targets...)
			s.schedule(time.Duration(s.rng.Int64N(int64(time.Second))), func() {
				d.core.Configure(s.now, []booking.Service{service})
				s.applyEffects(d)
			})
		}
	})
}

// Guards against targets that end because the whole fleet turns to a zone that has just been taken
// back, at fleets of any size, also while daemons come and go so that owners change.
func TestColdTargetsAreSentAtMostTheirLimit(t *testing.T) {
	for _, daemons := range []int{7, 59} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(daemons, " daemons, seed ", seed), func(t *testing.T) {
				s, sent := newColdSim(seed, daemons)
				s.returnCold()
				for i := range 3 { // owners end amid the return, each of them in zone a
					s.schedule(coldReturn+time.Duration(700+600*i)*time.Millisecond, func() {
						s.daemons[4*i%len(s.daemons)].dead = true
						s.schedule(500*time.Millisecond, s.updatePeers)
					})
				}
				s.run(coldReturn + coldDuration)
				inZone := map[ident.Target][]time.Time{}
				for _, target := range s.service.Targets {
					if target.Zone == "a" {
						inZone[target.Name] = sent[target.Name]
					}
				}
				most := peakRates(inZone, 0, coldReturn+coldDuration)
				if most > coldLimit {
					t.Errorf("%d requests in a second, %d are tolerated", most, coldLimit)
				}
				if most < coldLimit/4 {
					t.Errorf("only %d requests in any second: cold targets are hardly used", most)
				}
			})
		}
	}
}

// Guards against a target that turns cold without a restart, which its owner learns only later: what
// it is sent meanwhile is within the limit, too.
func TestTargetThatTurnsColdUnnoticedIsSentAtMostTheLimit(t *testing.T) {
	s, sent := newColdSim(1, 59)
	s.run(coldReturn + coldDuration)
	most := peakRates(sent, 0, coldReturn+coldDuration)
	if most > coldLimit {
		t.Errorf("%d requests in a second, %d are tolerated", most, coldLimit)
	}
	if most < coldLimit-6 {
		t.Errorf("the load is too low to show anything: %d requests in a second", most)
	}
}

// Guards against requests to an evacuated zone: booked before, at homes there, and by daemons that
// decide alone because owners are silent.
func TestEvacuatedTargetsAreSentNothing(t *testing.T) {
	is := is.New(t)
	s, sent := newColdSim(1, 12)
	s.schedule(time.Second, func() {
		for i := range s.service.Targets {
			if target := &s.service.Targets[i]; target.Zone == "a" {
				target.Evacuated = true
			}
		}
		s.updatePeers()
		s.partitioned = func(from, _ ident.Daemon) bool { return from == "d0" || from == "d4" }
	})
	s.run(coldReturn + coldDuration)
	before, after := 0, 0
	for _, target := range s.service.Targets {
		for _, at := range sent[target.Name] {
			switch {
			case target.Zone != "a":
			case at.After(time.Unix(1000, 0).Add(time.Second)):
				after++
			default:
				before++
			}
		}
	}
	is.True(before > 0)
	is.Equal(after, 0)
}

// Guards against a refusal that blames an end of targets when the operator has evacuated their zones or
// the workspace is limited to other regions.
func TestRefusalTellsWhyNoTargetMayBeUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	target := booking.Target{Name: "t", Zone: "z", Region: "north", Slots: 4, Memory: 100000}
	evacuated := target
	evacuated.Evacuated = true
	for _, c := range []struct {
		name    string
		targets []booking.Target
		regions []ident.Region
		code    string
	}{
		{"evacuated", []booking.Target{evacuated}, nil, "zones_evacuated"},
		{"other region", []booking.Target{target}, []ident.Region{"south"}, "region_not_allowed"},
		{"none", nil, nil, "no_target"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			core := booking.New(booking.Config{Self: "d", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
			core.Configure(now, []booking.Service{{Name: "pool", ServesModel: true, Targets: c.targets, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}}}})
			core.Submit(now, booking.Request{ID: "r", Service: "pool", Workspace: "w", Prompt: 100, Deadline: now.Add(time.Second), Regions: regionSet(c.regions)})
			effects := core.TakeEffects()
			is.Equal(len(effects), 1)
			refusal, refused := effects[0].(booking.Refuse)
			is.True(refused)
			is.Equal(refusal.Failure.Code.Name, c.code)
			is.True(refusal.Failure.RetryDelay() > 0)
		})
	}
}

// Guards against a target in another region than the route and the workspace allow, where the allowed
// one is full.
func TestRequestStaysInItsRegions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	core := booking.New(booking.Config{Self: "d", Incarnation: 1, Zone: "n"}, rand.New(rand.NewPCG(1, 1)))
	service := booking.Service{Name: "pool", ServesModel: true, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}}}
	for i, region := range []ident.Region{"north", "south", "south", ""} {
		service.Targets = append(service.Targets, booking.Target{Name: ident.Target(fmt.Sprint("t", i)), Zone: "n", Region: region, Slots: 4, Memory: 400000})
	}
	core.Configure(now, []booking.Service{service})
	sent := 0
	for i := range 20 {
		core.Submit(now, booking.Request{
			ID: ident.Request(fmt.Sprint("r", i)), Service: "pool", Workspace: "w", Prompt: 100, Output: 3, Deadline: now.Add(time.Second),
			Regions: regionSet([]ident.Region{"north"}), Parts: []booking.PromptPart{{ID: uint64(i), Tokens: 50}, {ID: uint64(i) << 32, Tokens: 50}},
		})
		for _, effect := range core.TakeEffects() {
			if d, ok := effect.(booking.Dispatch); ok {
				sent++
				is.Equal(d.Target, ident.Target("t0"))
			}
		}
	}
	is.True(sent > 0 && sent < 20)
}

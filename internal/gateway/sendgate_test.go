package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/evacuation"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/region"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/route"
)

// Guards against requests that were placed before a target left, its zone was evacuated or it turned cold,
// and that are sent afterwards.
func TestSendGateLooksAtWhatHasChangedSinceThePlacement(t *testing.T) {
	now := time.Now()
	evacuated := evacuation.NewState()
	evacuated.Begin(now, "hall-a")
	ready := registry.Entry{Identity: "t", Service: "app", Zone: "hall-a", Version: "v1"}
	draining, moved, cold := ready, ready, ready
	draining.Draining, moved.Service, cold.ColdUntil = true, "other", now.Add(time.Minute)
	request := func() *proxyRequest {
		return &proxyRequest{service: route.Service{Name: "app", ColdRate: 14}, placementStart: now}
	}
	old, elsewhere, pinned := request(), request(), request()
	old.placementStart = now.Add(-2 * booking.MaxColdSendDelay)
	elsewhere.regions = region.NewSet([]ident.Region{"south"})
	delayed := request()
	delayed.stats.basis.SendBy = now.Add(-time.Millisecond)
	pinned.origin = &origin.Origin{Service: "app", Version: "v2"}
	for _, c := range []struct {
		name    string
		targets []registry.Entry
		zones   evacuation.Zones
		request *proxyRequest
		code    string
	}{
		{"nothing has changed", []registry.Entry{ready}, evacuation.Zones{}, request(), ""},
		{"nothing has changed at a warm target for long", []registry.Entry{ready}, evacuation.Zones{}, old, ""},
		{"a cold target, placed just now", []registry.Entry{cold}, evacuation.Zones{}, request(), ""},
		{"a cold target, placed long ago", []registry.Entry{cold}, evacuation.Zones{}, old, "no_target"},
		{"a warm target that may have turned cold since its proof", []registry.Entry{ready}, evacuation.Zones{}, delayed, "no_target"},
		{"evacuated", []registry.Entry{ready}, evacuated.Zones(), request(), "zones_evacuated"},
		{"gone", nil, evacuation.Zones{}, request(), "no_target"},
		{"draining", []registry.Entry{draining}, evacuation.Zones{}, request(), "no_target"},
		{"another service at its name", []registry.Entry{moved}, evacuation.Zones{}, request(), "no_target"},
		{"another version than began the stream", []registry.Entry{ready}, evacuation.Zones{}, pinned, "no_target"},
		{"another region", []registry.Entry{ready}, evacuation.Zones{}, elsewhere, "region_not_allowed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(Deps{})
			targets := &Targets{ByIdentity: map[ident.Target]registry.Entry{}, Evacuated: c.zones, Regions: map[ident.Zone]ident.Region{"hall-a": "north"}}
			for _, e := range c.targets {
				targets.ByIdentity[e.Identity] = e
			}
			s.SetTargets(targets)
			failure := s.checkSend(c.request, "t")
			if c.code == "" {
				is.Equal(failure, nil)
				return
			}
			is.True(failure != nil)
			is.Equal(failure.Code.Name, c.code)
		})
	}
}

// Guards against a prompt that is copied from a target to which nothing may be sent.
func TestPrefixIsCopiedOnlyFromTargetsThatMayBeUsed(t *testing.T) {
	is := is.New(t)
	evacuated := evacuation.NewState()
	evacuated.Begin(time.Now(), "hall-a")
	s := New(Deps{})
	s.SetTargets(&Targets{Evacuated: evacuated.Zones(), Regions: map[ident.Zone]ident.Region{"hall-b": "north", "hall-c": "south"}})
	entry := func(service ident.Service, zone ident.Zone) registry.Entry {
		return registry.Entry{Service: service, Zone: zone}
	}
	pr := &proxyRequest{regions: region.NewSet([]ident.Region{"north"})}
	to := entry("pool", "hall-b")
	is.True(s.mayFetchFrom(pr, entry("pool", "hall-b"), to))
	is.True(!s.mayFetchFrom(pr, entry("pool", "hall-a"), to))
	is.True(!s.mayFetchFrom(pr, entry("pool", "hall-c"), to))
	is.True(!s.mayFetchFrom(pr, entry("other", "hall-b"), to))
}

package daemon

import (
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/evacuation"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/settings"
)

// defaultSlots is the least number of slots assumed for a target that specifies none.
const defaultSlots = 4

// routedServices extracts from routes and targets what the booking core needs.
func routedServices(v routingView, set settings.Settings) []booking.Service {
	table := v.table
	workspaces := []booking.Workspace{{Name: route.Anonymous, Weight: 1}}
	for _, w := range table.Workspaces {
		workspaces = append(workspaces, booking.Workspace{Name: w.Name, Weight: 1})
	}
	var services []booking.Service
	for _, spec := range table.Services {
		service := booking.Service{Name: spec.Name, ServesModel: spec.ServesModel, FetchPerToken: spec.FetchPerToken, Workspaces: workspaces, LearnSpeeds: set.Routing.TargetSpeeds}
		service.ColdLimit = coldLimit(spec, set.Routing)
		service.ChecksWarmth = set.Routing.WarmthChecks && service.ColdLimit > 0 && spec.HealthPath != ""
		if spec.ServesModel {
			service.Rate = table.Limits.TokensPerSecond
		}
		for _, e := range v.targets {
			if e.Service != spec.Name || e.Draining && !set.Routing.CopyFromDraining {
				continue
			}
			slots := e.Slots
			if slots <= 0 {
				slots = max(spec.Slots, defaultSlots)
			}
			service.Targets = append(service.Targets, booking.Target{
				Name: e.Identity, Zone: e.Zone, Slots: slots, Memory: spec.Memory, Generation: e.StartedAtMillis, Version: e.Version,
				Region: set.Regions[e.Zone], Evacuated: v.evacuated.Contains(e.Zone), ColdUntil: coldUntil(e, spec, v.evacuated), Draining: e.Draining,
			})
		}
		services = append(services, service)
	}
	return services
}

// coldLimit returns how many requests all daemons together may send to a cold target of a service in
// one second; zero means that there is no limit.
func coldLimit(spec route.Service, set settings.Routing) int {
	if spec.ColdRate <= 0 {
		return 0
	}
	return max(1, int(spec.ColdRate*max(1, set.ColdFactor)+set.ColdBurst))
}

// coldUntil returns when a target is warm at the latest. The targets of a zone may turn cold right
// before its evacuation ends, and their registrations report that only later.
func coldUntil(e registry.Entry, spec route.Service, evacuated evacuation.Zones) time.Time {
	if returned := evacuated.EndedAt(e.Zone); !returned.IsZero() {
		if until := returned.Add(spec.Warmup); until.After(e.ColdUntil) {
			return until
		}
	}
	return e.ColdUntil
}

package daemon

import (
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// schedulerServices extracts from a configuration snapshot what the scheduler needs.
func schedulerServices(snapshot *config.Snapshot) []scheduler.Service {
	var services []scheduler.Service
	for _, s := range snapshot.Services() {
		services = append(services, schedulerService(s))
	}
	return services
}

func schedulerService(s *config.Service) scheduler.Service {
	doc := s.Document
	service := scheduler.Service{
		Name: doc.Service, MeanCost: doc.Limits.MeanCost, Plain: doc.Kind == document.Plain, Preemption: doc.Preemption,
	}
	for _, ws := range doc.Workspaces {
		queue := ws.Limits.Queue
		if queue == 0 {
			queue = doc.Limits.Queue
		}
		service.Workspaces = append(service.Workspaces, scheduler.Workspace{
			Name:             ws.Name,
			Weight:           ws.Weight,
			QueueLimit:       queue,
			ConcurrencyLimit: ws.Limits.Concurrent,
			RateLimit:        ws.Limits.RequestsPerSecond,
			Targets:          ws.Targets,
		})
	}
	for _, t := range doc.Targets {
		service.Targets = append(service.Targets, scheduler.Target{Name: t.Name, Zone: t.Zone, Slots: t.Slots})
	}
	return service
}

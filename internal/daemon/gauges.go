package daemon

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// gaugeInterval is how often the gauges are updated. Scrapes are less frequent.
const gaugeInterval = 2 * time.Second

// gaugeReporter updates the gauges of the scheduler and of the links.
type gaugeReporter struct {
	deps dependencies
}

func (g *gaugeReporter) run(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.report()
		}
	}
}

func (g *gaugeReporter) report() {
	var services []telemetry.ServiceGauges
	g.deps.Loop.Inspect(func(c *scheduler.Core) {
		for _, load := range c.Loads() {
			services = append(services, telemetry.ServiceGauges{
				Service: load.Service, Waiting: load.Waiting, Running: load.Running,
				Slots: load.Slots, InUse: load.InUse, FairnessGap: load.FairnessGap,
			})
		}
	})
	for _, row := range services {
		g.deps.Metrics.Service(row)
	}
	traffic := g.deps.Node.Traffic()
	g.deps.Metrics.Fleet(traffic.EstimatedSent(), traffic.EstimatedReceived(), len(g.deps.Bridge.members())+1, g.deps.Store.Head())
}

package daemon

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// gaugeInterval is how often the gauges are set; scrapes are rarer.
const gaugeInterval = 2 * time.Second

// gaugeReporter sets the gauges of the scheduler and of the links.
type gaugeReporter struct {
	parts parts
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
	var rows []telemetry.ServiceGauges
	g.parts.Loop.Inspect(func(c *scheduler.Core) {
		for _, load := range c.Loads() {
			rows = append(rows, telemetry.ServiceGauges{
				Service: load.Service, Waiting: load.Waiting, Running: load.Running,
				Slots: load.Slots, InUse: load.InUse, Gap: load.FairnessGap,
			})
		}
	})
	for _, row := range rows {
		g.parts.Metrics.Service(row)
	}
	traffic := g.parts.Node.Traffic()
	g.parts.Metrics.Fleet(traffic.EstimatedSent(), traffic.EstimatedReceived(), len(g.parts.Bridge.members())+1, g.parts.Store.Head())
}

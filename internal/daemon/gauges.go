package daemon

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/fleet"
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
	p := g.parts
	reportGauges(p.Loop, p.Node, p.Metrics, len(p.Bridge.members())+1, p.Store.Head())
}

// reportGauges sets the gauges. Members counts the live daemons, this one
// included, and head is the version of the configuration in force.
func reportGauges(loop *control.Loop, node *fleet.Node, metrics *telemetry.Metrics, members int, head uint64) {
	var rows []telemetry.ServiceGauges
	loop.Inspect(func(c *scheduler.Core) {
		for _, load := range c.Loads() {
			rows = append(rows, telemetry.ServiceGauges{
				Service: load.Service, Waiting: load.Waiting, Running: load.Running,
				Slots: load.Slots, InUse: load.InUse, Gap: load.Gap,
			})
		}
	})
	for _, row := range rows {
		metrics.Service(row)
	}
	traffic := node.Traffic()
	metrics.Fleet(traffic.EstimatedSent(), traffic.EstimatedReceived(), members, head)
}

package booking

import (
	"math"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// SpeedReport describes the speeds of a service's targets, as this daemon sees them.
type SpeedReport struct {
	Service ident.Service
	// MinWeight and MaxWeight are the least and the greatest weight of a target.
	MinWeight, MaxWeight float64
	// Changed are the targets owned by this daemon whose weights have changed since the previous call.
	Changed []TargetWeight
}

// TargetWeight is the weight of a target.
type TargetWeight struct {
	Target ident.Target
	// Weight is the speed relative to the median of the service, Previous the weight at the previous
	// call.
	Weight, Previous float64
	// Speed is the estimate on the scale of Load.Speed; zero means unknown.
	Speed float64
}

// SpeedReports returns the services whose targets' speeds are learned. Changes are counted from the
// previous call on.
func (c *Core) SpeedReports(now time.Time) (list []SpeedReport) {
	for name, s := range c.services {
		if !s.weights.learn || len(s.sortedEngines) == 0 {
			continue
		}
		s.refreshWeights(now)
		r := SpeedReport{Service: name, MinWeight: math.Inf(1)}
		for _, e := range s.sortedEngines {
			r.MinWeight, r.MaxWeight = min(r.MinWeight, e.weight), max(r.MaxWeight, e.weight)
			if e.owned && e.weight != e.weightLogged {
				r.Changed = append(r.Changed, TargetWeight{Target: e.Name, Weight: roundHundredths(e.weight), Previous: roundHundredths(e.weightLogged), Speed: roundHundredths(e.reportedSpeed(now))})
			}
			e.weightLogged = e.weight
		}
		list = append(list, r)
	}
	return list
}

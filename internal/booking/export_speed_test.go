package booking

import (
	"math"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// SetSpeed replaces what the owner of a target knows about its speed; other daemons ignore it.
func (c *Core) SetSpeed(now time.Time, service ident.Service, target ident.Target, speed float64) {
	if e := c.engine(service, target); e != nil && e.owned {
		e.speed = targetSpeed{level: int(math.Round(math.Log(speed) / logSpeedStep)), known: true, inheritedAt: now}
	}
}

// Weight returns the weight of a target at this daemon, and whether this daemon owns the target.
func (c *Core) Weight(now time.Time, service ident.Service, target ident.Target) (weight float64, owned bool) {
	e := c.engine(service, target)
	c.services[service].refreshWeights(now)
	return e.weight, e.owned
}

// HomeOf returns the first home of a part at this daemon.
func (c *Core) HomeOf(service ident.Service, part uint64) ident.Target {
	s := c.services[service]
	if s.weights.uneven {
		return weightedHomes(part, s.sortedEngines, 1)[0].engine.Name
	}
	return homeCandidates(part, s.sortedEngines, 1)[0].engine.Name
}

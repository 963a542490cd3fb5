package fleet

import (
	"log/slog"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
)

const (
	// maxLinkLines is how many links that come up or go down are logged one by one in each
	// linkLogInterval. In a fleet of hundreds, each daemon opens hundreds of links at a
	// start.
	maxLinkLines    = 8
	linkLogInterval = time.Second
)

// linkLog logs links that come up and go down: a few of them one by one, the others
// together. It is not safe for concurrent use.
type linkLog struct {
	log           *slog.Logger
	intervalStart time.Time
	// lines is the number of lines of the current interval; up and down count the changes
	// without a line since the last summary.
	lines, up, down int
}

// linkUp logs a link that has come up. links is the number of links.
func (l *linkLog) linkUp(now time.Time, peer ident.Daemon, incarnation uint64, zone ident.Zone, links int) {
	l.summarize(now, links)
	if l.allow() {
		event.FleetLinkUp.Log(l.log, "peer", peer, "incarnation", incarnation, "zone", zone)
		return
	}
	l.up++
}

// linkDown logs a link that has gone down.
func (l *linkLog) linkDown(now time.Time, peer ident.Daemon, links int) {
	l.summarize(now, links)
	if l.allow() {
		event.FleetLinkDown.Log(l.log, "peer", peer)
		return
	}
	l.down++
}

// summarize begins a new interval if the current one is over, and logs the changes of the
// last one that have no line of their own.
func (l *linkLog) summarize(now time.Time, links int) {
	if now.Sub(l.intervalStart) < linkLogInterval {
		return
	}
	if l.up+l.down > 0 {
		event.FleetLinksSummary.Log(l.log, "up", l.up, "down", l.down, "links", links)
	}
	l.intervalStart, l.lines, l.up, l.down = now, 0, 0, 0
}

func (l *linkLog) allow() bool {
	if l.lines >= maxLinkLines {
		return false
	}
	l.lines++
	return true
}

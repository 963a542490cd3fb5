package limit

import (
	"math"

	"github.com/savorystall/savorystall/internal/ident"
)

// demand holds the demand at this daemon and at the others, in integers so that
// sums do not depend on the order of addition.
type demand struct {
	// reported holds the last two reported values, the newer one first.
	reported [2]uint32
	byPeer   map[ident.Daemon]uint32
	// peerTotal is the sum of byPeer.
	peerTotal uint64
}

// reportTolerance is the relative deviation from the last reported value below
// which a new value is not reported. Random arrivals give a different count in
// each interval, and each change would cost a row to every peer.
const reportTolerance = 1.0 / 8

// report records the value of this interval and returns the value to report.
func (d *demand) report(value uint32) uint32 {
	last := d.reported[0]
	unchanged := math.Abs(float64(value)-float64(last)) <= reportTolerance*float64(last)
	if unchanged && value > 0 {
		value = last
	}
	d.reported = [2]uint32{value, last}
	return value
}

// confirmed returns the demand on which this daemon may base its share: the
// smaller of the last two reported values, because the others may not have
// received the newer one yet.
func (d *demand) confirmed() float64 { return float64(min(d.reported[0], d.reported[1])) }

func (d *demand) setPeer(from ident.Daemon, value uint32) {
	d.peerTotal = d.peerTotal - uint64(d.byPeer[from]) + uint64(value)
	if value == 0 {
		delete(d.byPeer, from)
		return
	}
	if d.byPeer == nil {
		d.byPeer = map[ident.Daemon]uint32{}
	}
	d.byPeer[from] = value
}

func (d *demand) retainPeers(live map[ident.Daemon]bool) {
	for id := range d.byPeer {
		if !live[id] {
			d.setPeer(id, 0)
		}
	}
}

// allocate returns the share of a limit for a daemon with a demand of ownDemand
// while the other daemons have a demand of peerDemand. It decreases as
// peerDemand grows, and the shares of all daemons add up to the limit.
func allocate(limit, ownDemand, peerDemand float64, daemons int) float64 {
	if spare := limit - ownDemand - peerDemand; spare > 0 {
		return ownDemand + spare/float64(daemons)
	}
	return limit * ownDemand / (ownDemand + peerDemand)
}

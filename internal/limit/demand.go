package limit

import (
	"math"

	"github.com/savorystall/savorystall/internal/ident"
)

// demand is what is asked for at this daemon and at the others, in whole units,
// so that sums do not hang on their order.
type demand struct {
	// told are the last two values told, the newer one first.
	told  [2]uint32
	heard map[ident.Daemon]uint32
	// others is the sum of heard.
	others uint64
}

// nearTold is how far a value may be from the last one told, as a part of that,
// without being told: callers that come at random give another count in each
// interval, and each would cost a row to each peer.
const nearTold = 1.0 / 8

// tell records the value of this interval and returns what to tell.
func (d *demand) tell(value uint32) uint32 {
	last := d.told[0]
	near := math.Abs(float64(value)-float64(last)) <= nearTold*float64(last)
	if near && value > 0 {
		value = last
	}
	d.told = [2]uint32{value, last}
	return value
}

// own is what this daemon may count on: of the last two values told the smaller
// one, for the others may not yet have heard the newer.
func (d *demand) own() float64 { return float64(min(d.told[0], d.told[1])) }

func (d *demand) hear(from ident.Daemon, value uint32) {
	d.others = d.others - uint64(d.heard[from]) + uint64(value)
	if value == 0 {
		delete(d.heard, from)
		return
	}
	if d.heard == nil {
		d.heard = map[ident.Daemon]uint32{}
	}
	d.heard[from] = value
}

func (d *demand) keep(live map[ident.Daemon]bool) {
	for id := range d.heard {
		if !live[id] {
			d.hear(id, 0)
		}
	}
}

// part is the part of a limit for a daemon where own is asked for while others
// is asked for elsewhere. It falls as others grows, and over all daemons the
// parts add up to the limit.
func part(limit, own, others float64, daemons int) float64 {
	if spare := limit - own - others; spare > 0 {
		return own + spare/float64(daemons)
	}
	return limit * own / (own + others)
}

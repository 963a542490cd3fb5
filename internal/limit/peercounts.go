package limit

import "github.com/savorystall/savorystall/internal/ident"

// peerCounts holds how many requests the current incarnation of each other
// daemon has accepted.
type peerCounts map[ident.Daemon]uint64

// update records a total and returns how many of its requests are new. The
// first total of an incarnation counts as zero new requests, because it may
// cover hours.
func (c peerCounts) update(from ident.Daemon, total uint64) uint64 {
	last, known := c[from]
	c[from] = max(last, total)
	if !known || total <= last {
		return 0
	}
	return total - last
}

func (c peerCounts) retainPeers(live map[ident.Daemon]bool) {
	for id := range c {
		if !live[id] {
			delete(c, id)
		}
	}
}

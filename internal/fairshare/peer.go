package fairshare

import "github.com/savorystall/savorystall/internal/ident"

// peer is what the ledger has heard from one incarnation of another owner.
type peer struct {
	incarnation uint64
	parts       map[ident.Workspace]float64
	// fromZero tells that the incarnation has served nothing before this
	// ledger listened, so that a part not seen before counts in full.
	fromZero bool
}

// Merge takes in what an owner's incarnation has delivered to the workspace in
// total. Repeated, reordered within an incarnation to the newest, and lost
// messages do no harm, because the total replaces the one known before. What an
// earlier incarnation delivered stays counted; its late messages are dropped.
//
// A part of an incarnation older than this ledger is a baseline when it is
// first seen. Counting it would be wrong by what dead incarnations delivered
// besides, which this ledger never learns: after a restart without state it
// would favour whomever they had served.
func (l *Ledger) Merge(daemon ident.Daemon, incarnation uint64, ws ident.Workspace, served float64) {
	p := l.peer(daemon, incarnation)
	if p == nil {
		return
	}
	before, seen := p.parts[ws]
	p.parts[ws] = served
	if !seen && !p.fromZero {
		return
	}
	a := l.account(ws)
	a.virtual += (served - before) / a.weight
}

// peer returns the state of the incarnation, or nil for one that is over.
func (l *Ledger) peer(daemon ident.Daemon, incarnation uint64) *peer {
	p := l.peers[daemon]
	if p != nil && incarnation < p.incarnation {
		return nil
	}
	if p == nil || incarnation > p.incarnation {
		p = &peer{
			incarnation: incarnation,
			parts:       make(map[ident.Workspace]float64),
			fromZero:    incarnation >= l.config.Incarnation,
		}
		l.peers[daemon] = p
	}
	return p
}

// Forget frees the state of a dead owner. Its service stays counted. Should the
// same incarnation come back, its totals are taken as a new baseline.
func (l *Ledger) Forget(daemon ident.Daemon) {
	p := l.peers[daemon]
	if p == nil {
		return
	}
	clear(p.parts)
	p.fromZero = false
}

package fairshare

import "github.com/savorystall/savorystall/internal/ident"

// peer is what the ledger has heard from one incarnation of another owner.
type peer struct {
	incarnation uint64
	parts       map[ident.Workspace]part
	// fromZero tells that the incarnation has served nothing before this
	// ledger listened, so that a part not seen before counts in full.
	fromZero bool
}

// part is what an incarnation has delivered to one workspace: in total, and
// between its last two messages.
type part struct{ served, last float64 }

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
	if p := l.peer(daemon, incarnation); p != nil {
		l.merge(daemon, incarnation, ws, served, !p.fromZero)
	}
}

// merge counts what is new in a part and returns it. A part that is seen first
// is only remembered where it is a baseline.
func (l *Ledger) merge(daemon ident.Daemon, incarnation uint64, ws ident.Workspace, served float64, baseline bool) (added float64) {
	p := l.peer(daemon, incarnation)
	if p == nil {
		return 0
	}
	before, seen := p.parts[ws]
	added = served - before.served
	p.parts[ws] = part{served: served, last: added}
	if !seen && baseline {
		return 0
	}
	a := l.account(ws)
	a.virtual += added / a.weight
	return added
}

// peer returns the state of the incarnation, or nil for one that is over.
func (l *Ledger) peer(daemon ident.Daemon, incarnation uint64) *peer {
	p := l.peers[daemon]
	if p != nil && incarnation < p.incarnation {
		return nil
	}
	if p == nil || incarnation > p.incarnation {
		l.bury(p)
		p = &peer{
			incarnation: incarnation,
			parts:       make(map[ident.Workspace]part),
			fromZero:    incarnation >= l.config.Incarnation,
		}
		l.peers[daemon] = p
	}
	return p
}

// bury counts what a dead incarnation delivered after its last message, which
// nobody will ever report: half an exchange of it on the average.
func (l *Ledger) bury(p *peer) {
	if p == nil {
		return
	}
	for ws, old := range p.parts {
		a := l.account(ws)
		a.virtual += old.last / 2 / a.weight
	}
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

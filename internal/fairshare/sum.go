package fairshare

import "github.com/savorystall/savorystall/internal/ident"

// Sum adds up what a zone's daemons have delivered to one workspace, at the one
// daemon of the zone that adds up this workspace. It counts increments from its
// own start, so that a Sum means something only beside an earlier value of the
// same Sum. It does not hold the own service of the daemon that adds up, which
// the Ledger has. The zero value is empty.
type Sum struct {
	zone, beyond float64
	mates        map[ident.Daemon]float64
}

// AddMate counts service delivered by another daemon of the zone.
func (s *Sum) AddMate(d ident.Daemon, cost float64) {
	if s.mates == nil {
		s.mates = make(map[ident.Daemon]float64)
	}
	s.mates[d] += cost
	s.zone += cost
}

// ForgetMate frees what is kept of a daemon that is gone.
func (s *Sum) ForgetMate(d ident.Daemon) { delete(s.mates, d) }

// AddBeyond counts service delivered in another zone.
func (s *Sum) AddBeyond(cost float64) { s.beyond += cost }

// ForMate returns what everyone but the daemon d of the zone has delivered,
// where own is the service of the daemon that adds up. What d delivered itself
// is left out, because d counted it when it delivered it.
func (s *Sum) ForMate(d ident.Daemon, own float64) float64 {
	return own + s.zone - s.mates[d] + s.beyond
}

// ForZone returns what the zone has delivered, for another zone.
func (s *Sum) ForZone(own float64) float64 { return own + s.zone }

// Origin names who told a total: a daemon's incarnation. Zone is that whose
// service the total covers, or the own one for everything that the receiver
// does not count itself.
type Origin struct {
	Zone        ident.Zone
	Daemon      ident.Daemon
	Incarnation uint64
}

// told is the last total that was told for one workspace and zone.
type told struct {
	by          Origin
	total, last float64
}

// MergeSum takes in a sum that another daemon added up, and returns what was
// counted of it. Repeated and lost messages do no harm, because the total
// replaces the one before.
//
// A sum of another origin than the last one is a baseline: it began at another
// time and covers an unknown part of what was counted before. Of the service
// that the former origin did not report any more, half its last increment is
// counted, as for an owner that dies. A sum that is seen first is a baseline
// only where the caller says that it may cover former times.
func (l *Ledger) MergeSum(by Origin, ws ident.Workspace, total float64, baseline bool) (added float64) {
	rows := l.sums[ws]
	if rows == nil {
		rows = make(map[ident.Zone]told)
		l.sums[ws] = rows
	}
	before, seen := rows[by.Zone]
	switch {
	case seen && before.by == by:
		added = total - before.total
	case seen:
		added = before.last / 2
	case !baseline:
		added = total
	}
	rows[by.Zone] = told{by: by, total: total, last: added}
	a := l.account(ws)
	a.virtual += added / a.weight
	return added
}

// MergeMate is Merge for a daemon whose service this one adds up for its zone.
// It returns what was counted. A part that is seen first counts in full unless
// the caller says that it may cover service that was counted before, by way of
// the daemon that added up until then.
func (l *Ledger) MergeMate(daemon ident.Daemon, incarnation uint64, ws ident.Workspace, served float64, baseline bool) (added float64) {
	return l.merge(daemon, incarnation, ws, served, baseline)
}

// Rebase forgets what was told about a workspace, because others tell it from
// now on; the next totals can then be taken as baselines. Half of the last
// increment of each sum is counted for what its origin no longer reports.
func (l *Ledger) Rebase(ws ident.Workspace) {
	for _, p := range l.peers {
		delete(p.parts, ws)
	}
	a := l.account(ws)
	for _, t := range l.sums[ws] {
		a.virtual += t.last / 2 / a.weight
	}
	delete(l.sums, ws)
}

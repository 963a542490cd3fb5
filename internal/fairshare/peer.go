package fairshare

import "github.com/savorystall/savorystall/internal/ident"

// peer holds what one incarnation of another owner has reported.
type peer struct {
	incarnation uint64
	reports     map[ident.Workspace]peerReport
	// countFirstReport is set if the incarnation had delivered nothing before
	// this ledger started to receive reports, so that its first report for a
	// workspace counts in full.
	countFirstReport bool
}

// peerReport is the service that an incarnation has delivered to one workspace:
// the total, and the increment between its last two messages.
type peerReport struct{ served, lastIncrement float64 }

// Merge applies the total service that an owner's incarnation has delivered to
// the workspace. Messages that are duplicated, lost, or reordered within an
// incarnation do no lasting harm, because each total replaces the previous one.
// Service delivered by an earlier incarnation remains counted; late messages
// from it are ignored.
//
// The first report from an incarnation older than this ledger only sets a
// baseline. Counting it in full would be wrong, because this ledger never
// learns what incarnations that have ended delivered: after a restart without
// state it would favor the workspaces that those had served.
func (l *Ledger) Merge(daemon ident.Daemon, incarnation uint64, ws ident.Workspace, served float64) {
	if p := l.peer(daemon, incarnation); p != nil {
		l.merge(daemon, incarnation, ws, served, !p.countFirstReport)
	}
}

// merge adds the service that is new in a report and returns it. If baseline is
// set, the first report for a workspace is only recorded.
func (l *Ledger) merge(daemon ident.Daemon, incarnation uint64, ws ident.Workspace, served float64, baseline bool) (added float64) {
	p := l.peer(daemon, incarnation)
	if p == nil {
		return 0
	}
	previous, seen := p.reports[ws]
	added = served - previous.served
	if !seen && baseline {
		p.reports[ws] = peerReport{served: served}
		return 0
	}
	p.reports[ws] = peerReport{served: served, lastIncrement: added}
	a := l.account(ws)
	a.virtualTime += added / a.weight
	return added
}

// peer returns the state of the incarnation, or nil if a newer one has replaced
// it.
func (l *Ledger) peer(daemon ident.Daemon, incarnation uint64) *peer {
	p := l.peers[daemon]
	if p != nil && incarnation < p.incarnation {
		return nil
	}
	if p == nil || incarnation > p.incarnation {
		l.estimateUnreported(p, defaultLostFraction)
		p = &peer{
			incarnation:      incarnation,
			reports:          make(map[ident.Workspace]peerReport),
			countFirstReport: incarnation >= l.config.Incarnation,
		}
		l.peers[daemon] = p
	}
	return p
}

// defaultLostFraction is the assumed fraction of an exchange interval that a
// failed owner kept working after its last message if nothing is known about
// it: half on average.
const defaultLostFraction = 0.5

// EstimateLost estimates what an unreachable owner has delivered since its last
// message, as a fraction (0 to 1) of what it delivered between its last two
// messages. If the same incarnation returns, its totals replace the estimate.
func (l *Ledger) EstimateLost(daemon ident.Daemon, fraction float64) {
	l.estimateUnreported(l.peers[daemon], fraction)
}

func (l *Ledger) estimateUnreported(p *peer, fraction float64) {
	if p == nil {
		return
	}
	for ws, report := range p.reports {
		a := l.account(ws)
		added := report.lastIncrement * fraction
		a.virtualTime += added / a.weight
		p.reports[ws] = peerReport{served: report.served + added}
	}
}

// Forget releases the state of a failed owner. Its service remains counted. If
// the same incarnation returns, its totals set a new baseline.
func (l *Ledger) Forget(daemon ident.Daemon) {
	p := l.peers[daemon]
	if p == nil {
		return
	}
	clear(p.reports)
	p.countFirstReport = false
}

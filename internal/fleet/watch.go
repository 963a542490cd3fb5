package fleet

import (
	"time"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

const (
	// watchAfterSendHeartbeats is for how many heartbeats a peer is watched
	// after the last message was sent to it.
	watchAfterSendHeartbeats = 10
	// unwatchedHeartbeats is the interval, in heartbeats, at which an empty
	// frame is sent on an unwatched link, so that middleboxes do not drop the
	// connection as idle.
	unwatchedHeartbeats = 120
)

// heartbeatInterval returns how long the link may be idle before an empty frame
// is sent. A peer that has never sent a watch state, such as one of an earlier
// version, gets every heartbeat.
func (n *Node) heartbeatInterval(l *link) time.Duration {
	if l.unwatchedByPeer.Load() {
		return unwatchedHeartbeats * n.cfg.Heartbeat
	}
	return n.cfg.Heartbeat
}

// applyWatch updates whether the peer watches this daemon. The link's reader
// responds to it, not the control goroutine, so that a busy control goroutine
// is not mistaken for a dead daemon.
func (l *link) applyWatch(w fleetv1.Watch) {
	switch w {
	case fleetv1.Watch_WATCH_BEGINS:
		l.unwatchedByPeer.Store(false)
		l.outbox.requestFrame()
	case fleetv1.Watch_WATCH_ENDS:
		l.unwatchedByPeer.Store(true)
	}
}

// recordSends reports to the membership table to which peers messages were
// sent, so that they are watched. Otherwise demand and grants sent over an
// unwatched link that has failed silently would be lost unnoticed.
func (n *Node) recordSends(now time.Time) {
	for peer, l := range n.links.byPeer {
		if l.sentSinceTick.Swap(false) {
			n.table.MessageSent(now, peer)
		}
	}
}

// sendWatchChanges tells peers whether they are watched if that has changed.
func (n *Node) sendWatchChanges() {
	for peer, l := range n.links.byPeer {
		unwatched := !n.table.Watched(peer)
		if unwatched == l.peerUnwatched {
			continue
		}
		l.peerUnwatched = unwatched
		if unwatched {
			l.outbox.setWatch(fleetv1.Watch_WATCH_ENDS)
		} else {
			l.outbox.setWatch(fleetv1.Watch_WATCH_BEGINS)
		}
	}
}

// sendSilenceReports reports the daemons that this daemon watches but does not
// hear from to all peers.
func (n *Node) sendSilenceReports() {
	reports := n.table.TakeReports()
	if len(reports) == 0 {
		return
	}
	for _, l := range n.links.byPeer {
		l.outbox.addReports(reports)
	}
}

func encodeSilent(reports []membership.Report) *fleetv1.Silent {
	if len(reports) == 0 {
		return nil
	}
	s := &fleetv1.Silent{}
	for _, r := range reports {
		s.Daemon = append(s.Daemon, string(r.ID))
		s.Incarnation = append(s.Incarnation, r.Incarnation)
	}
	return s
}

// decodeSilent decodes the reports of a frame. If the columns differ in length,
// the excess rows are ignored.
func decodeSilent(s *fleetv1.Silent) []membership.Report {
	var reports []membership.Report
	for i, id := range s.GetDaemon() {
		if i < len(s.GetIncarnation()) {
			reports = append(reports, membership.Report{ID: ident.Daemon(id), Incarnation: s.GetIncarnation()[i]})
		}
	}
	return reports
}

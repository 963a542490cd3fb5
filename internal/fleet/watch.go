package fleet

import (
	"time"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

const (
	// useBeats is how many heartbeats a link is watched after the last message.
	useBeats = 10
	// restBeats is the interval, in heartbeats, at which a resting link sends an
	// empty frame, so that a middlebox does not take it for gone.
	restBeats = 120
)

// beat is how long the link may be idle before an empty frame is sent. A peer
// that never said that it watches few, such as one of an earlier version, gets
// each heartbeat.
func (n *Node) beat(l *link) time.Duration {
	if l.rests.Load() {
		return restBeats * n.cfg.Heartbeat
	}
	return n.cfg.Heartbeat
}

// takeWatch takes in whether the peer watches this daemon. It is answered by the
// link's reader, not by the control goroutine, so that a busy one is not taken
// for dead.
func (l *link) takeWatch(w fleetv1.Watch) {
	switch w {
	case fleetv1.Watch_WATCH_BEGINS:
		l.rests.Store(false)
		l.out.beat()
	case fleetv1.Watch_WATCH_ENDS:
		l.rests.Store(true)
	}
}

// noteUse tells the table which links were sent messages. Without it a link that
// went silent while it rested would swallow demand and grants unnoticed.
func (n *Node) noteUse(now time.Time) {
	for peer, l := range n.links.byPeer {
		if l.used.Swap(false) {
			n.table.MessageSent(now, peer)
		}
	}
}

// tellWatched tells the peers whether they are watched, where that changed.
func (n *Node) tellWatched() {
	for peer, l := range n.links.byPeer {
		unwatched := !n.table.Watched(peer)
		if unwatched == l.unwatched {
			continue
		}
		l.unwatched = unwatched
		if unwatched {
			l.out.setWatch(fleetv1.Watch_WATCH_ENDS)
		} else {
			l.out.setWatch(fleetv1.Watch_WATCH_BEGINS)
		}
	}
}

// tellReports tells all peers whom this daemon watches and does not hear.
func (n *Node) tellReports() {
	reports := n.table.TakeReports()
	if len(reports) == 0 {
		return
	}
	for _, l := range n.links.byPeer {
		l.out.addReports(reports)
	}
}

func silentFrame(reports []membership.Report) *fleetv1.Silent {
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

// reportsOf reads a frame's reports; of columns that differ in length the rest
// is left out.
func reportsOf(s *fleetv1.Silent) []membership.Report {
	var reports []membership.Report
	for i, id := range s.GetDaemon() {
		if i < len(s.GetIncarnation()) {
			reports = append(reports, membership.Report{ID: ident.Daemon(id), Incarnation: s.GetIncarnation()[i]})
		}
	}
	return reports
}

package fleet

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// controlEvent is something that the control goroutine has to take in.
type controlEvent interface{ apply(n *Node, now time.Time) }

// received is a frame of a link.
type received struct {
	link       *link
	message    scheduler.Message
	hasMessage bool
	head       uint64
	leaving    bool
	reports    []membership.Report
}

// apply drops frames of a link that was replaced: what they say may be older
// than what the new link has already brought.
func (r received) apply(n *Node, now time.Time) {
	l := r.link
	if n.links.byPeer[l.peer] != l || !n.table.FrameReceived(now, l.peer, l.incarnation) {
		return
	}
	if r.leaving {
		n.table.LeaveAnnounced(l.peer, l.incarnation)
		n.tellPeers()
	}
	for _, report := range r.reports {
		n.table.ReportReceived(now, report)
	}
	if len(r.reports) > 0 {
		n.tellWatched()
	}
	if r.hasMessage {
		n.handler.Receive(l.peer, r.message)
	}
	if r.head != 0 {
		l.head = r.head
		n.handler.Head(l.peer, r.head)
	}
}

// opened asks whether to keep a link; nil is yes.
type opened struct {
	link   *link
	answer chan error
}

func (o opened) apply(n *Node, now time.Time) { o.answer <- n.register(now, o.link) }

// closed tells that a link has ended.
type closed struct{ link *link }

func (c closed) apply(n *Node, now time.Time) { n.unregister(now, c.link) }

// dialed tells how a dial ended, once for each.
type dialed struct {
	peer ident.Daemon
	// err is nil where the link was kept.
	err error
}

func (d dialed) apply(n *Node, now time.Time) {
	n.dialing--
	if d.err != nil {
		n.table.DialFailed(now, d.peer)
	}
	n.startDials(now)
}

// vmList is a new list of VMs.
type vmList []membership.ListedVM

func (v vmList) apply(n *Node, now time.Time) {
	n.table.SetVMList(now, v)
	n.keepAddresses(v)
	n.startDials(now)
}

// post hands an event to the control goroutine; false when ctx or the node ends.
func (n *Node) post(ctx context.Context, e controlEvent) bool {
	select {
	case n.events <- e:
		return true
	case <-ctx.Done():
		return false
	case <-n.done:
		return false
	}
}

// open asks the control goroutine to register the link.
func (n *Node) open(ctx context.Context, l *link) error {
	o := opened{link: l, answer: make(chan error, 1)}
	if !n.post(ctx, o) {
		return errNotKept
	}
	select {
	case err := <-o.answer:
		return err
	case <-n.done:
		return errNotKept
	}
}

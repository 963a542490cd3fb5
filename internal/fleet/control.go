package fleet

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// controlEvent is an event to be processed by the control goroutine.
type controlEvent interface{ apply(n *Node, now time.Time) }

// frameReceived reports a frame received on a link.
type frameReceived struct {
	link       *link
	message    scheduler.Message
	hasMessage bool
	head       uint64
	leaving    bool
	reports    []membership.Report
}

// apply drops frames of a link that has been replaced: they may be older than
// what was already received over the new link.
func (r frameReceived) apply(n *Node, now time.Time) {
	l := r.link
	if n.links.byPeer[l.peer] != l || !n.table.FrameReceived(now, l.peer, l.incarnation) {
		return
	}
	if r.leaving {
		n.table.LeaveAnnounced(l.peer, l.incarnation)
		n.notifyPeers()
	}
	for _, report := range r.reports {
		n.table.ReportReceived(now, report)
	}
	if len(r.reports) > 0 {
		n.sendWatchChanges()
	}
	if r.hasMessage {
		n.handler.Receive(l.peer, r.message)
	}
	if r.head != 0 {
		l.head = r.head
		n.handler.Head(l.peer, r.head)
	}
}

// linkOpened asks to register a link; a nil result means that the link is kept.
type linkOpened struct {
	link   *link
	result chan error
}

func (o linkOpened) apply(n *Node, now time.Time) { o.result <- n.register(now, o.link) }

// linkClosed reports that a link has ended.
type linkClosed struct{ link *link }

func (c linkClosed) apply(n *Node, now time.Time) { n.unregister(now, c.link) }

// dialFinished reports the result of a dial, exactly once per dial.
type dialFinished struct {
	peer ident.Daemon
	// err is nil if the link was kept.
	err error
}

func (d dialFinished) apply(n *Node, now time.Time) {
	n.dialing--
	if d.err != nil {
		n.table.DialFailed(now, d.peer)
	}
	n.startDials(now)
}

// vmList is an update of the platform's VM list.
type vmList []membership.ListedVM

func (v vmList) apply(n *Node, now time.Time) {
	n.table.SetVMList(now, v)
	n.updateAddresses(v)
	n.notifyPeers()
	n.startDials(now)
}

// post sends an event to the control goroutine. It returns false if ctx or the
// node ends first.
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

// requestRegistration asks the control goroutine to register the link.
func (n *Node) requestRegistration(ctx context.Context, l *link) error {
	o := linkOpened{link: l, result: make(chan error, 1)}
	if !n.post(ctx, o) {
		return errDuplicateLink
	}
	select {
	case err := <-o.result:
		return err
	case <-n.done:
		return errDuplicateLink
	}
}

package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
)

// frameStream is the part of a stream that is common to the dialer and the
// listener.
type frameStream interface {
	Send(*fleetv1.Frame) error
	Recv() (*fleetv1.Frame, error)
}

// link is a stream to one incarnation of a peer.
type link struct {
	peer        ident.Daemon
	incarnation uint64
	zone        ident.Zone
	address     string
	// dialer is the name of the daemon that dialed, session the number of that
	// dial.
	dialer  ident.Daemon
	session uint64

	stream frameStream
	// cancel ends the stream and, at the dialer, its connection.
	cancel context.CancelFunc
	outbox *outbox
	// head is the peer's latest configuration revision. It is owned by the
	// control goroutine.
	head uint64
	// unwatchedByPeer is set while the peer does not watch this daemon.
	// sentSinceTick is set if a message was queued since the last tick.
	unwatchedByPeer, sentSinceTick atomic.Bool
	// peerUnwatched is set once the peer was told that this daemon does not
	// need its heartbeats. It is owned by the control goroutine.
	peerUnwatched bool
}

// supersedes reports whether a replaces b, where both connect the same two
// daemons. Both ends reach the same decision: the higher incarnation wins, then
// the link dialed by the daemon with the smaller name, then the later dial by
// the same dialer. Without an order common to both, two daemons that dial each
// other at the same time could each close the link that the other one kept,
// repeatedly.
func supersedes(a, b *link, self ident.Daemon) bool {
	if a.incarnation != b.incarnation {
		return a.incarnation > b.incarnation
	}
	if a.dialer != b.dialer {
		return a.dialer == min(self, a.peer)
	}
	return a.session > b.session
}

// writeFrames sends queued messages in batches, and heartbeats when idle. The
// first frame, if any, is sent immediately.
func (n *Node) writeFrames(ctx context.Context, l *link, first *fleetv1.Frame) {
	defer l.cancel()
	if first != nil && !n.sendFrame(l, first) {
		return
	}
	enc := newEncoder()
	idle := time.NewTimer(n.cfg.Heartbeat)
	defer idle.Stop()
	for {
		if !n.awaitFrameDue(ctx, l, idle) {
			return
		}
		f := &fleetv1.Frame{}
		if b, ok := l.outbox.take(); ok {
			f.Head, f.Leaving = b.head, b.leaving
			f.Watch, f.Silent = b.watch, encodeSilent(b.reports)
			enc.encode(f, &b.message)
		}
		if !n.sendFrame(l, f) || enc.tablesFull() {
			return
		}
		idle.Reset(n.heartbeatInterval(l))
	}
}

// awaitFrameDue waits until a frame is due. It returns false if the link ends.
func (n *Node) awaitFrameDue(ctx context.Context, l *link, idle *time.Timer) bool {
	select {
	case <-ctx.Done():
		return false
	case <-idle.C:
		return true
	case <-l.outbox.ready:
	}
	flush := time.NewTimer(n.cfg.FlushDelay)
	defer flush.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-l.outbox.urgent:
	case <-flush.C:
	}
	return true
}

func (n *Node) sendFrame(l *link, f *fleetv1.Frame) bool {
	if err := l.stream.Send(f); err != nil {
		return false
	}
	n.counters.framesSent.Add(1)
	n.counters.payloadSent.Add(uint64(proto.Size(f)))
	return true
}

// readFrames passes the peer's frames to the control goroutine until the link
// ends.
func (n *Node) readFrames(ctx context.Context, l *link) {
	defer l.cancel()
	dec := &decoder{}
	for {
		f, err := l.stream.Recv()
		if err != nil {
			return
		}
		n.counters.framesReceived.Add(1)
		n.counters.payloadReceived.Add(uint64(proto.Size(f)))
		m, hasMessage, err := dec.decode(f)
		if err != nil {
			event.FleetInvalidFrame.Log(n.cfg.Logger, "peer", l.peer, "error", err)
			return
		}
		m.Incarnation = l.incarnation
		l.applyWatch(f.GetWatch())
		if !n.post(ctx, frameReceived{l, m, hasMessage, f.GetHead(), f.GetLeaving(), decodeSilent(f.GetSilent())}) {
			return
		}
	}
}

// serveLink serves a registered link until it ends.
func (n *Node) serveLink(ctx context.Context, l *link, first *fleetv1.Frame) {
	n.tasks.Go(func() { n.writeFrames(ctx, l, first) })
	n.readFrames(ctx, l)
	n.post(context.Background(), linkClosed{l})
}

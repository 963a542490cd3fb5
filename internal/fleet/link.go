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

// frameStream is the end of a stream, the same at the dialler and the listener.
type frameStream interface {
	Send(*fleetv1.Frame) error
	Recv() (*fleetv1.Frame, error)
}

// link is one stream to one incarnation of a peer.
type link struct {
	peer        ident.Daemon
	incarnation uint64
	zone        ident.Zone
	address     string
	// dialler is the name of the daemon that dialled, session its count.
	dialler ident.Daemon
	session uint64

	stream frameStream
	// cancel ends the stream and, at the dialler, its connection.
	cancel context.CancelFunc
	out    *outbox
	// head is the peer's configuration head; the control goroutine owns it.
	head uint64
	// rests is set while the peer does not watch this daemon, used when a
	// message was queued since the last tick.
	rests, used atomic.Bool
	// unwatched is set once the peer was told that it need not send heartbeats;
	// the control goroutine owns it.
	unwatched bool
}

// newer tells whether a replaces b where both link the same two daemons. Both
// ends come to the same answer: a higher incarnation wins; then the link that
// the smaller name dialled; then the later dial of the same dialler. Without an
// order that both share, two daemons that dial each other at once could each
// close the link that the other one kept, over and over.
func newer(a, b *link, self ident.Daemon) bool {
	if a.incarnation != b.incarnation {
		return a.incarnation > b.incarnation
	}
	if a.dialler != b.dialler {
		return a.dialler == min(self, a.peer)
	}
	return a.session > b.session
}

// write sends what is queued, batched, and heartbeats when idle. The first
// frame, if any, is sent at once.
func (n *Node) write(ctx context.Context, l *link, first *fleetv1.Frame) {
	defer l.cancel()
	if first != nil && !n.sendFrame(l, first) {
		return
	}
	enc := newEncoder()
	idle := time.NewTimer(n.cfg.Heartbeat)
	defer idle.Stop()
	for {
		if !n.awaitWork(ctx, l, idle) {
			return
		}
		f := &fleetv1.Frame{}
		if b, ok := l.out.take(); ok {
			f.Head, f.Leaving = b.head, b.leaving
			f.Watch, f.Silent = b.watch, silentFrame(b.reports)
			enc.message(f, &b.message)
		}
		if !n.sendFrame(l, f) || enc.full() {
			return
		}
		idle.Reset(n.beat(l))
	}
}

// awaitWork returns when a frame is due; false when the link ends.
func (n *Node) awaitWork(ctx context.Context, l *link, idle *time.Timer) bool {
	select {
	case <-ctx.Done():
		return false
	case <-idle.C:
		return true
	case <-l.out.ready:
	}
	flush := time.NewTimer(n.cfg.FlushDelay)
	defer flush.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-l.out.urgent:
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

// read passes the peer's frames to the control goroutine until the link ends.
func (n *Node) read(ctx context.Context, l *link) {
	defer l.cancel()
	dec := &decoder{}
	for {
		f, err := l.stream.Recv()
		if err != nil {
			return
		}
		n.counters.framesReceived.Add(1)
		n.counters.payloadReceived.Add(uint64(proto.Size(f)))
		m, hasMessage, err := dec.message(f)
		if err != nil {
			event.FleetBadFrame.Log(n.cfg.Logger, "peer", l.peer, "error", err)
			return
		}
		m.Incarnation = l.incarnation
		l.takeWatch(f.GetWatch())
		if !n.post(ctx, received{l, m, hasMessage, f.GetHead(), f.GetLeaving(), reportsOf(f.GetSilent())}) {
			return
		}
	}
}

// run serves a registered link until it ends.
func (n *Node) run(ctx context.Context, l *link, first *fleetv1.Frame) {
	n.tasks.Go(func() { n.write(ctx, l, first) })
	n.read(ctx, l)
	n.post(context.Background(), closed{l})
}

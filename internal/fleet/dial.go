package fleet

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
)

const (
	protocolVersion = 1
	// handshakeTimeout bounds a dial up to the peer's first frame.
	handshakeTimeout = 3 * time.Second
	// connBuffer bounds the read and write buffers of a connection: frames are
	// small and a daemon of a large fleet has hundreds of connections, so that
	// grpc's 32 KiB each way would take more memory than all other state.
	connBuffer = 4 << 10
	// streamWindow is a fixed flow-control window; a fixed one also spares the
	// pings by which grpc measures the bandwidth.
	streamWindow = 64 << 10
	// pingAfter and pingTimeout find connections that went silent under calls.
	// Connections of links have none: pings each 10 s on hundreds of resting links
	// would take most of the budget that the rest saves.
	pingAfter   = 10 * time.Second
	pingTimeout = 3 * time.Second
	// serverPingAfter lets the listening end drop connections of callers that are
	// gone. It is above the heartbeat of a resting link.
	serverPingAfter = 5 * time.Minute
	// callIdle closes connections that were opened for calls.
	callIdle = time.Minute
	// maxMessage bounds a message in bytes; the documents of a whole fleet fit.
	maxMessage = 32 << 20
)

// connect prepares a connection of its own. grpc-go's retries are off: a call is
// repeated by whoever knows that it may be.
func (n *Node) connect(address string, more ...grpc.DialOption) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if n.cfg.Identity != nil {
		creds = n.logged(credentials.NewTLS(n.cfg.Identity.Client()))
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(n.counters.dial),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(connBuffer),
		grpc.WithWriteBufferSize(connBuffer),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(streamWindow),
		grpc.WithIdleTimeout(callIdle),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
	}
	return grpc.NewClient("passthrough:///"+address, append(options, more...)...)
}

// withPings is for connections of calls.
func withPings() grpc.DialOption {
	return grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout})
}

// dial opens a link on a new connection and serves it until it ends.
func (n *Node) dial(peer ident.Daemon, address string, session uint64) {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	conn, err := n.connect(address)
	if err != nil {
		n.post(n.ctx, dialed{peer, err})
		return
	}
	defer func() { _ = conn.Close() }()
	l, err := n.handshake(ctx, cancel, conn, peer, session)
	if err == nil {
		err = n.open(ctx, l)
	}
	n.noteOutdated(peer, err)
	n.post(n.ctx, dialed{peer, err})
	if err == nil {
		n.run(ctx, l, nil)
	}
}

var (
	// errNotKept ends a link to a peer to which a better one exists.
	errNotKept = merry.New("another link is kept")
	// errOutdated ends a link of an older incarnation than one already known.
	errOutdated = merry.New("a later incarnation of the daemon is known")
)

// noteOutdated tells the operator, once, that peers refuse this daemon for good:
// its incarnation comes from the VM's clock, and a daemon that was restarted
// under its name while the clock was behind would else stay alone in silence.
func (n *Node) noteOutdated(peer ident.Daemon, err error) {
	if status.Code(err) != codes.AlreadyExists || n.outdated.Swap(true) {
		return
	}
	event.FleetOutdated.Log(n.cfg.Logger, "peer", peer, "incarnation", n.cfg.Incarnation)
}

func (n *Node) handshake(ctx context.Context, cancel context.CancelFunc, conn *grpc.ClientConn, peer ident.Daemon, session uint64) (*link, error) {
	timeout := time.AfterFunc(handshakeTimeout, cancel)
	stream, err := fleetv1.NewFleetClient(conn).Link(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "open link")
	}
	if err := stream.Send(&fleetv1.Frame{Hello: n.hello(peer, session)}); err != nil {
		return nil, merry.Prepend(err, "send hello")
	}
	f, err := stream.Recv()
	if err != nil {
		return nil, merry.Prepend(err, "await hello")
	}
	if !timeout.Stop() {
		return nil, merry.New("await hello: timeout")
	}
	l, err := n.newLink(f.GetHello(), stream, cancel)
	if err != nil {
		return nil, err
	}
	if l.peer != peer {
		return nil, merry.Errorf("address belongs to daemon %q now", l.peer)
	}
	l.dialler, l.session = n.cfg.Self, session
	return l, nil
}

func (n *Node) hello(to ident.Daemon, session uint64) *fleetv1.Hello {
	return &fleetv1.Hello{
		Version: protocolVersion, From: string(n.cfg.Self), To: string(to),
		Incarnation: n.cfg.Incarnation, Zone: string(n.cfg.Zone),
		Address: n.cfg.Advertise, Session: session,
	}
}

// newLink checks the peer's hello.
func (n *Node) newLink(h *fleetv1.Hello, stream frameStream, cancel context.CancelFunc) (*link, error) {
	switch {
	case h.GetVersion() != protocolVersion:
		return nil, merry.Errorf("peer %q speaks version %d", h.GetFrom(), h.GetVersion())
	case h.GetFrom() == "" || h.GetIncarnation() == 0 || h.GetZone() == "":
		return nil, merry.New("hello is not complete")
	case h.GetFrom() == string(n.cfg.Self):
		return nil, merry.New("peer has the daemon's own name")
	case h.GetTo() != string(n.cfg.Self):
		return nil, merry.Errorf("peer looks for daemon %q", h.GetTo())
	}
	return &link{
		peer: ident.Daemon(h.GetFrom()), incarnation: h.GetIncarnation(),
		zone: ident.Zone(h.GetZone()), address: h.GetAddress(),
		stream: stream, cancel: cancel, out: newOutbox(n.cfg.QueueLimit),
	}, nil
}

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
	// handshakeTimeout bounds the time from the start of a dial to the peer's
	// first frame.
	handshakeTimeout = 3 * time.Second
	// connBufferSize is the size of the read and write buffers of a connection.
	// Frames are small, and a daemon of a large fleet has hundreds of
	// connections, so gRPC's default of 32 KiB per direction would take more
	// memory than all other state.
	connBufferSize = 4 << 10
	// streamWindowSize is a fixed flow-control window. A fixed window also
	// avoids the pings that gRPC sends to estimate the bandwidth.
	streamWindowSize = 64 << 10
	// keepaliveInterval and keepaliveTimeout detect connections that fail
	// silently during calls. Connections of links have no keepalive: a ping
	// every 10 s on hundreds of unwatched links would use most of the traffic
	// that is saved by not sending heartbeats on them.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	// serverKeepaliveInterval lets the server close connections of callers that
	// are gone. It is longer than the heartbeat interval of an unwatched link.
	serverKeepaliveInterval = 5 * time.Minute
	// callIdleTimeout closes idle connections that were opened for calls.
	callIdleTimeout = time.Minute
	// maxMessageSize bounds the size of a message in bytes; the documents of a
	// whole fleet fit.
	maxMessageSize = 32 << 20
)

// connect creates a separate client connection. The retries of grpc-go are
// disabled: only the caller knows whether a call may be repeated.
func (n *Node) connect(address string, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if n.cfg.Identity != nil {
		creds = n.withHandshakeLogging(credentials.NewTLS(n.cfg.Identity.Client()))
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(n.counters.dial),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(connBufferSize),
		grpc.WithWriteBufferSize(connBufferSize),
		grpc.WithStaticStreamWindowSize(streamWindowSize),
		grpc.WithStaticConnWindowSize(streamWindowSize),
		grpc.WithIdleTimeout(callIdleTimeout),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
	}
	return grpc.NewClient("passthrough:///"+address, append(options, extra...)...)
}

// withKeepalive enables keepalive pings, for connections used by calls.
func withKeepalive() grpc.DialOption {
	return grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout})
}

// dial establishes a link over a new connection and serves it until it ends.
func (n *Node) dial(peer ident.Daemon, address string, session uint64) {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	conn, err := n.connect(address)
	if err != nil {
		n.post(n.ctx, dialFinished{peer, err})
		return
	}
	defer func() { _ = conn.Close() }()
	l, err := n.handshake(ctx, cancel, conn, peer, session)
	if err == nil {
		err = n.requestRegistration(ctx, l)
	}
	n.logOutdated(peer, err)
	n.post(n.ctx, dialFinished{peer, err})
	if err == nil {
		n.serveLink(ctx, l, nil)
	}
}

var (
	// errDuplicateLink rejects a link to a peer for which a preferred link
	// exists.
	errDuplicateLink = merry.New("another link is kept")
	// errOldIncarnation rejects a link of an incarnation older than the latest
	// one known.
	errOldIncarnation = merry.New("a later incarnation of the daemon is known")
)

// logOutdated logs, once, that peers permanently refuse this daemon. The
// incarnation is derived from the VM's clock, so a daemon that was restarted
// under its name while the clock was behind would otherwise stay isolated
// without any indication.
func (n *Node) logOutdated(peer ident.Daemon, err error) {
	if status.Code(err) != codes.AlreadyExists || n.outdated.Swap(true) {
		return
	}
	event.FleetOldIncarnation.Log(n.cfg.Logger, "peer", peer, "incarnation", n.cfg.Incarnation)
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
		return nil, merry.Prepend(err, "receive hello")
	}
	if !timeout.Stop() {
		return nil, merry.New("receive hello: timeout")
	}
	l, err := n.newLink(f.GetHello(), stream, cancel)
	if err != nil {
		return nil, err
	}
	if l.peer != peer {
		return nil, merry.Errorf("address is now used by daemon %q", l.peer)
	}
	l.dialer, l.session = n.cfg.Self, session
	return l, nil
}

func (n *Node) hello(to ident.Daemon, session uint64) *fleetv1.Hello {
	return &fleetv1.Hello{
		Version: protocolVersion, From: string(n.cfg.Self), To: string(to),
		Incarnation: n.cfg.Incarnation, Zone: string(n.cfg.Zone),
		Address: n.cfg.Advertise, Session: session,
	}
}

// newLink validates the peer's hello and returns a link for the stream.
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
		stream: stream, cancel: cancel, outbox: newOutbox(n.cfg.QueueLimit),
	}, nil
}

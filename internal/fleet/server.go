package fleet

import (
	"context"
	"errors"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
)

// server implements the gRPC service of a node.
type server struct {
	fleetv1.UnimplementedFleetServer
	node *Node
}

func (n *Node) newServer() *grpc.Server {
	options := []grpc.ServerOption{
		grpc.ReadBufferSize(connBufferSize),
		grpc.WriteBufferSize(connBufferSize),
		grpc.StaticStreamWindowSize(streamWindowSize),
		grpc.StaticConnWindowSize(streamWindowSize),
		grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.WaitForHandlers(true),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverKeepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2}),
	}
	if n.cfg.Identity != nil {
		options = append(options, grpc.Creds(n.withHandshakeLogging(credentials.NewTLS(n.cfg.Identity.Server()))))
	}
	s := grpc.NewServer(options...)
	fleetv1.RegisterFleetServer(s, &server{node: n})
	return s
}

func (n *Node) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: l, counters: &n.counters}, nil
}

// Link serves a link dialed by a peer.
func (s *server) Link(stream grpc.BidiStreamingServer[fleetv1.Frame, fleetv1.Frame]) error {
	n := s.node
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	h, err := receiveHello(ctx, stream)
	if err != nil {
		return err
	}
	l, err := n.newLink(h, stream, cancel)
	if err != nil {
		event.FleetLinkRefused.Log(n.cfg.Logger, "peer", h.GetFrom(), "error", err)
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	l.dialer, l.session = l.peer, h.GetSession()
	if err := n.requestRegistration(ctx, l); err != nil {
		return status.Error(refusalCode(err), err.Error())
	}
	// The handler must return to end the stream, even while Recv blocks.
	served := make(chan struct{})
	n.tasks.Go(func() {
		defer close(served)
		n.serveLink(ctx, l, &fleetv1.Frame{Hello: n.hello(l.peer, l.session)})
	})
	select {
	case <-ctx.Done():
	case <-served:
	}
	return status.Error(codes.Aborted, "link ended")
}

// refusalCode returns a status code by which the dialer can distinguish the
// reasons for a refusal.
func refusalCode(err error) codes.Code {
	if errors.Is(err, errOldIncarnation) {
		return codes.AlreadyExists
	}
	return codes.Aborted
}

// receiveHello waits for the first frame for a limited time: a dialer that
// never sends one would otherwise hold the stream indefinitely.
func receiveHello(ctx context.Context, stream frameStream) (*fleetv1.Hello, error) {
	type result struct {
		frame *fleetv1.Frame
		err   error
	}
	received := make(chan result, 1)
	go func() {
		f, err := stream.Recv()
		received <- result{f, err}
	}()
	timeout := time.NewTimer(handshakeTimeout)
	defer timeout.Stop()
	select {
	case r := <-received:
		if r.err != nil {
			return nil, r.err
		}
		return r.frame.GetHello(), nil
	case <-timeout.C:
		return nil, status.Error(codes.DeadlineExceeded, "no hello")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Entries returns the configuration entries in force.
func (s *server) Entries(_ context.Context, r *fleetv1.EntriesRequest) (*fleetv1.EntriesReply, error) {
	reply := &fleetv1.EntriesReply{}
	for _, e := range s.node.handler.Entries(r.GetAfter()) {
		reply.Entries = append(reply.Entries, &fleetv1.Entry{
			Service: string(e.Service), Revision: e.Revision, Deleted: e.Deleted, Text: e.Text,
		})
	}
	return reply, nil
}

var claimCodes = map[ClaimState]fleetv1.ClaimState{
	ClaimUnknown:         fleetv1.ClaimState_CLAIM_STATE_UNKNOWN,
	ClaimFinished:        fleetv1.ClaimState_CLAIM_STATE_FINISHED,
	ClaimRunning:         fleetv1.ClaimState_CLAIM_STATE_RUNNING,
	ClaimNeverDispatched: fleetv1.ClaimState_CLAIM_STATE_NEVER,
}

// AskClaim answers a daemon that has encountered a claim held by this one.
func (s *server) AskClaim(_ context.Context, r *fleetv1.AskClaimRequest) (*fleetv1.AskClaimReply, error) {
	a := s.node.handler.Claim(ClaimQuery{
		Service: ident.Service(r.GetService()), Workspace: ident.Workspace(r.GetWorkspace()),
		Key: r.GetKey(), Attempt: ident.Attempt(r.GetAttempt()), Incarnation: r.GetIncarnation(),
	})
	return &fleetv1.AskClaimReply{State: claimCodes[a.State], Outcome: a.Outcome}, nil
}

package fleet

import (
	"context"
	"math"
	"sync"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/ident"
)

// ErrNoAddress is returned for a call to a daemon whose address is unknown.
var ErrNoAddress = merry.New("no address is known for the daemon")

// callConns holds the connections for unary calls, separate from those of
// links: calls are rare, and their connections close when idle.
type callConns struct {
	mu    sync.Mutex
	conns map[ident.Daemon]callConn
}

type callConn struct {
	address string
	conn    *grpc.ClientConn
}

func (n *Node) client(to ident.Daemon) (fleetv1.FleetClient, error) {
	address, ok := n.address(to)
	if !ok {
		return nil, ErrNoAddress
	}
	n.calls.mu.Lock()
	defer n.calls.mu.Unlock()
	if c, ok := n.calls.conns[to]; ok {
		if c.address == address {
			return fleetv1.NewFleetClient(c.conn), nil
		}
		_ = c.conn.Close()
	}
	conn, err := n.connect(address, withKeepalive())
	if err != nil {
		return nil, merry.Prepend(err, "create fleet client connection")
	}
	n.calls.conns[to] = callConn{address, conn}
	return fleetv1.NewFleetClient(conn), nil
}

func (c *callConns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.conns {
		_ = cc.conn.Close()
	}
	clear(c.conns)
}

// Entries fetches the configuration that a peer has in force.
func (n *Node) Entries(ctx context.Context, from ident.Daemon, after uint64) ([]Entry, error) {
	c, err := n.client(from)
	if err != nil {
		return nil, err
	}
	reply, err := c.Entries(ctx, &fleetv1.EntriesRequest{After: after})
	if err != nil {
		return nil, merry.Prependf(err, "get entries from %s", from)
	}
	entries := make([]Entry, 0, len(reply.GetEntries()))
	for _, e := range reply.GetEntries() {
		entries = append(entries, Entry{
			Service: ident.Service(e.GetService()), Revision: e.GetRevision(),
			Deleted: e.GetDeleted(), Text: e.GetText(),
		})
	}
	return entries, nil
}

// Ping makes the smallest possible call to a peer: one for the entries after the last possible revision,
// which every peer answers at once and without any.
func (n *Node) Ping(ctx context.Context, peer ident.Daemon) error {
	c, err := n.client(peer)
	if err != nil {
		return err
	}
	if _, err := c.Entries(ctx, &fleetv1.EntriesRequest{After: math.MaxInt64}); err != nil {
		return merry.Prependf(err, "ping %s", peer)
	}
	return nil
}

var claimStateByCode = map[fleetv1.ClaimState]ClaimState{
	fleetv1.ClaimState_CLAIM_STATE_FINISHED: ClaimFinished,
	fleetv1.ClaimState_CLAIM_STATE_RUNNING:  ClaimRunning,
	fleetv1.ClaimState_CLAIM_STATE_NEVER:    ClaimNeverDispatched,
}

// AskClaim queries the state of a claim from the daemon that holds it. Both an
// error and ClaimUnknown mean that the state is not known.
func (n *Node) AskClaim(ctx context.Context, holder ident.Daemon, query ClaimQuery) (ClaimAnswer, error) {
	c, err := n.client(holder)
	if err != nil {
		return ClaimAnswer{State: ClaimUnknown}, err
	}
	reply, err := c.AskClaim(ctx, &fleetv1.AskClaimRequest{
		Service: string(query.Service), Workspace: string(query.Workspace), Key: query.Key,
		Attempt: string(query.Attempt), Incarnation: query.Incarnation,
	})
	if err != nil {
		return ClaimAnswer{State: ClaimUnknown}, merry.Prependf(err, "query claim held by %s", holder)
	}
	state, ok := claimStateByCode[reply.GetState()]
	if !ok {
		state = ClaimUnknown
	}
	return ClaimAnswer{State: state, Outcome: reply.GetOutcome()}, nil
}

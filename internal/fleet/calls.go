package fleet

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/ident"
)

// ErrNoAddress is the error of a call to a daemon that the node doesn't know.
var ErrNoAddress = merry.New("no address is known for the daemon")

// callConns keeps the connections of calls, apart from those of links: calls
// are rare, and their connections close when idle.
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
	conn, err := n.connect(address, withPings())
	if err != nil {
		return nil, merry.Prepend(err, "fleet call")
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

// Entries asks a peer for the configuration it has in force.
func (n *Node) Entries(ctx context.Context, from ident.Daemon, after uint64) ([]Entry, error) {
	c, err := n.client(from)
	if err != nil {
		return nil, err
	}
	reply, err := c.Entries(ctx, &fleetv1.EntriesRequest{After: after})
	if err != nil {
		return nil, merry.Prependf(err, "entries of %s", from)
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

var claimStates = map[fleetv1.ClaimState]ClaimState{
	fleetv1.ClaimState_CLAIM_STATE_FINISHED: ClaimFinished,
	fleetv1.ClaimState_CLAIM_STATE_RUNNING:  ClaimRunning,
	fleetv1.ClaimState_CLAIM_STATE_NEVER:    ClaimNever,
}

// AskClaim asks the daemon that holds a claim. An error means that the state
// is not known; so does ClaimUnknown.
func (n *Node) AskClaim(ctx context.Context, holder ident.Daemon, q ClaimQuery) (ClaimAnswer, error) {
	c, err := n.client(holder)
	if err != nil {
		return ClaimAnswer{State: ClaimUnknown}, err
	}
	reply, err := c.AskClaim(ctx, &fleetv1.AskClaimRequest{
		Service: string(q.Service), Workspace: string(q.Workspace), Key: q.Key,
		Attempt: string(q.Attempt), Incarnation: q.Incarnation,
	})
	if err != nil {
		return ClaimAnswer{State: ClaimUnknown}, merry.Prependf(err, "claim held by %s", holder)
	}
	state, ok := claimStates[reply.GetState()]
	if !ok {
		state = ClaimUnknown
	}
	return ClaimAnswer{State: state, Outcome: reply.GetOutcome()}, nil
}

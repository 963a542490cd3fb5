package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/claim"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// bridge connects the fleet's links to the control loop, the configuration and the claims.
// It implements fleet.Handler, control.Actions and claim.Querier.
type bridge struct {
	store *config.Store
	// node, loop and claimer are set once, before the node starts.
	node       *fleet.Node
	loop       *control.Loop
	claimer    *claim.Claimer
	self       ident.Daemon
	log        *slog.Logger
	fetchGuard fetchGuard

	mu    sync.Mutex
	peers []scheduler.Peer
}

// fetchGuard allows only one fetch of a peer's configuration at a time. After an outage,
// many peers with a higher head then cost one response instead of one each.
type fetchGuard struct {
	mu     sync.Mutex
	active bool
	wg     sync.WaitGroup
}

// fetchTimeout bounds a fetch of a peer's configuration.
const fetchTimeout = 5 * time.Second

// Send implements control.Actions.
func (b *bridge) Send(to ident.Daemon, m scheduler.Message) { b.node.Send(to, m) }

// Peers implements fleet.Handler.
func (b *bridge) Peers(peers []scheduler.Peer) {
	b.mu.Lock()
	b.peers = peers
	b.mu.Unlock()
	b.loop.SetPeers(peers)
	b.claimer.SetWritesPerSecond(maxFleetClaimWrites / float64(len(peers)+1))
}

// maxFleetClaimWrites is the rate of writes a second that all claim writers of the fleet
// may use together. The table accepts several hundred a second; the rest is left to leases
// and configuration.
const maxFleetClaimWrites = 240

// members returns the other live daemons.
func (b *bridge) members() []scheduler.Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers
}

// Unreachable implements fleet.Handler. It does nothing: no service of a document limits what cold targets get.
func (b *bridge) Unreachable([]membership.Unreachable) {}

// LinkUp implements fleet.Handler.
func (b *bridge) LinkUp(peer ident.Daemon) { b.loop.ResyncPeer(peer) }

// LinkLost implements fleet.Handler.
func (b *bridge) LinkLost(peer ident.Daemon) { b.loop.ResyncPeer(peer) }

// Receive implements fleet.Handler.
func (b *bridge) Receive(from ident.Daemon, m scheduler.Message) { b.loop.Receive(from, m) }

// Head implements fleet.Handler. It fetches the configuration of a peer with a higher head.
// That way the configuration also reaches a daemon that cannot read the platform's table,
// or that restarted without state while the table is unavailable.
func (b *bridge) Head(from ident.Daemon, head uint64) {
	if head <= b.store.Head() || !b.fetchGuard.tryBegin() {
		return
	}
	go func() {
		defer b.fetchGuard.end()
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		b.fetch(ctx, from, head)
	}()
}

func (b *bridge) fetch(ctx context.Context, from ident.Daemon, head uint64) {
	received, err := b.node.Entries(ctx, from, b.store.Head())
	if err != nil {
		return // retried at the next heartbeat
	}
	entries := make([]config.Entry, len(received))
	for i, e := range received {
		entries[i] = config.Entry(e)
	}
	before := b.store.Revisions()
	if _, err := b.store.CatchUp(entries, head); err != nil {
		event.ConfigInvalid.Log(b.log, "peer", from, "error", err)
	}
	for service, revision := range b.store.Revisions() {
		if revision != before[service] {
			event.ConfigInForce.Log(b.log, "service", service, "revision", revision, "peer", from)
		}
	}
}

func (f *fetchGuard) tryBegin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active {
		return false
	}
	f.active = true
	f.wg.Add(1)
	return true
}

func (f *fetchGuard) end() {
	f.mu.Lock()
	f.active = false
	f.mu.Unlock()
	f.wg.Done()
}

// Entries implements fleet.Handler.
func (b *bridge) Entries(after uint64) []fleet.Entry {
	var entries []fleet.Entry
	for _, e := range b.store.Entries() {
		if e.Revision > after {
			entries = append(entries, fleet.Entry(e))
		}
	}
	return entries
}

// Follow implements fleet.Handler. It always fails: each daemon polls the table itself.
func (b *bridge) Follow(context.Context, platform.FeedQuery) (platform.FeedAnswer, error) {
	return platform.FeedAnswer{}, platform.ErrReaderNotCurrent
}

// Claim implements fleet.Handler.
func (b *bridge) Claim(q fleet.ClaimQuery) fleet.ClaimAnswer {
	key := claim.Key{Service: q.Service, Workspace: q.Workspace, IdempotencyKey: q.Key}
	answer := b.claimer.AnswerQuery(b.self, q.Incarnation, key, q.Attempt)
	reply := fleet.ClaimAnswer{State: fleet.ClaimUnknown}
	switch answer.Kind {
	case claim.StateRunning:
		reply.State = fleet.ClaimRunning
	case claim.StateRevoked:
		reply.State = fleet.ClaimNeverDispatched
	case claim.StateFinished:
		outcome, err := json.Marshal(answer.Outcome)
		if err != nil {
			return reply
		}
		reply.State, reply.Outcome = fleet.ClaimFinished, outcome
	}
	return reply
}

// QueryClaim implements claim.Querier.
func (b *bridge) QueryClaim(ctx context.Context, daemon ident.Daemon, incarnation uint64, key claim.Key, attempt ident.Attempt) (claim.Status, error) {
	reply, err := b.node.AskClaim(ctx, daemon, fleet.ClaimQuery{
		Service: key.Service, Workspace: key.Workspace, Key: key.IdempotencyKey,
		Attempt: attempt, Incarnation: incarnation,
	})
	if err != nil {
		return claim.Status{}, err
	}
	switch reply.State {
	case fleet.ClaimRunning:
		return claim.Status{Kind: claim.StateRunning}, nil
	case fleet.ClaimNeverDispatched:
		return claim.Status{Kind: claim.StateRevoked}, nil
	case fleet.ClaimFinished:
		answer := claim.Status{Kind: claim.StateFinished}
		return answer, json.Unmarshal(reply.Outcome, &answer.Outcome)
	}
	return claim.Status{Kind: claim.StateUnknown}, nil
}

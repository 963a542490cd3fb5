package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/origin"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/relay"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/platform"
)

// routedBridge connects the fleet's links to the control loop of a daemon that serves
// routes. Configuration and claims are not sent over links in this binding.
type routedBridge struct {
	// node, loop, gateway and relay are set once, before the node starts.
	node    *fleet.Node
	loop    *control.BookingLoop
	gateway *gateway.Server
	relay   *relay.Feed
	self    ident.Daemon
	zone    ident.Zone
	load    *loadMonitor
	// leads reports that this daemon writes what only one daemon of the fleet has to write.
	leads atomic.Bool
	// holds keeps the requests that are held back in the store.
	holds *holdKeeper
	// forwarder forwards connections to the neighbours in the availability zone.
	forwarder *connForwarder
}

var _ fleet.Handler = (*routedBridge)(nil)

func newRoutedBridge(id identity, load *loadMonitor, h *connForwarder) *routedBridge {
	b := &routedBridge{load: load, self: id.Daemon, zone: id.Zone, forwarder: h}
	b.leads.Store(true) // until others are known
	return b
}

// SendBookingMessage implements control.BookingActions.
func (b *routedBridge) SendBookingMessage(to ident.Daemon, m booking.Message) {
	b.node.Send(to, scheduler.Message{Bookings: m})
}

// CheckWarmth implements control.BookingActions.
func (b *routedBridge) CheckWarmth(check booking.CheckWarmth) {
	go func() { b.loop.RecordWarmth(check, b.gateway.CheckWarmth(context.Background(), check)) }()
}

// SendOriginMessage implements control.BookingActions.
func (b *routedBridge) SendOriginMessage(to ident.Daemon, m origin.Message) {
	b.node.Send(to, scheduler.Message{Origins: m})
}

// SendPoisonMessage implements control.BookingActions.
func (b *routedBridge) SendPoisonMessage(to ident.Daemon, m poison.Message) {
	b.node.Send(to, scheduler.Message{Poison: m})
}

// PoisonEffect implements control.BookingActions.
func (b *routedBridge) PoisonEffect(effect poison.Effect) { b.holds.apply(effect) }

// Peers implements fleet.Handler.
func (b *routedBridge) Peers(peers []scheduler.Peer) {
	bookingPeers := make([]booking.Peer, len(peers))
	members := make([]membership.Member, len(peers))
	var neighbours, others []ident.Daemon
	live := make(map[ident.Daemon]bool, len(peers))
	for i, p := range peers {
		live[p.ID] = true
		bookingPeers[i] = booking.Peer(p)
		members[i] = membership.Member{ID: p.ID, Zone: p.Zone, Incarnation: p.Incarnation, Leaving: p.Leaving}
		if p.Zone == b.zone && !p.Leaving {
			neighbours = append(neighbours, p.ID)
		} else if !p.Leaving {
			others = append(others, p.ID)
		}
	}
	b.loop.SetPeers(bookingPeers)
	b.leads.Store(leads(b.self, peers))
	b.relay.Elect(members)
	b.load.zoneDaemons.Store(int64(len(neighbours)) + 1)
	b.load.link.setPeers(neighbours, others)
	b.forwarder.setNeighbours(neighbours, live)
	b.gateway.SetDaemons(len(peers) + 1)
}

// Unreachable implements fleet.Handler.
func (b *routedBridge) Unreachable(daemons []membership.Unreachable) {
	list := make([]booking.Unreachable, len(daemons))
	for i, d := range daemons {
		list[i] = booking.Unreachable(d)
	}
	b.loop.SetUnreachable(list)
}

// LinkUp implements fleet.Handler.
func (b *routedBridge) LinkUp(peer ident.Daemon) { b.loop.LinkUp(peer) }

// LinkLost implements fleet.Handler.
func (b *routedBridge) LinkLost(peer ident.Daemon) { b.loop.LinkLost(peer) }

// Receive implements fleet.Handler.
func (b *routedBridge) Receive(from ident.Daemon, m scheduler.Message) {
	m.Bookings.Incarnation = m.Incarnation
	b.loop.Receive(from, m.Bookings)
	if !m.Origins.Empty() {
		b.loop.ReceiveOrigins(from, m.Origins)
	}
	if !m.Poison.Empty() {
		b.loop.ReceivePoison(from, m.Poison)
	}
}

// Head implements fleet.Handler. It does nothing: each daemon follows the store itself.
func (b *routedBridge) Head(ident.Daemon, uint64) {}

// Entries implements fleet.Handler. It returns none, since links carry no configuration.
func (b *routedBridge) Entries(uint64) []fleet.Entry { return nil }

// Follow implements fleet.Handler.
func (b *routedBridge) Follow(ctx context.Context, q store.FeedQuery) (store.FeedAnswer, error) {
	return b.relay.ServeQuery(ctx, q)
}

// feedPeers sends feed queries of the relay to peers.
type feedPeers struct{ bridge *routedBridge }

// Follow implements relay.Peers.
func (p feedPeers) Follow(ctx context.Context, reader ident.Daemon, q store.FeedQuery) (store.FeedAnswer, error) {
	return p.bridge.node.Follow(ctx, reader, q)
}

// Claim implements fleet.Handler. Requests are not claimed when routes are served.
func (b *routedBridge) Claim(fleet.ClaimQuery) fleet.ClaimAnswer {
	return fleet.ClaimAnswer{State: fleet.ClaimUnknown}
}

// daemonRow is the row in the store with which a daemon registers itself for the others.
type daemonRow struct {
	Zone ident.Zone `json:"zone"`
	// Address is the address of the fleet listener.
	Address string `json:"address"`
	// Handover is the address at which the daemon accepts connections forwarded by
	// neighbours; empty if it accepts none.
	Handover    string `json:"handover,omitempty"`
	Incarnation uint64 `json:"incarnation"`
}

// identityReadTimeout bounds the read of the previous incarnation at the start. A daemon
// that starts while the store is unreachable must not wait for it.
const identityReadTimeout = time.Second

// newRoutedIdentity chooses an incarnation higher than the last one that the store holds
// for this daemon.
//
// This guards against a clock that was set back. Incarnations are derived from the time of
// day, and peers refuse the links of a daemon that restarts with a lower incarnation than
// before, which would leave it isolated.
func newRoutedIdentity(s settings.Settings, calls *store.CallCounter, log *slog.Logger) identity {
	id := newIdentity(s)
	ctx, cancel := context.WithTimeout(context.Background(), identityReadTimeout)
	defer cancel()
	rows, _, err := calls.ReadTable(ctx, platform.TableDaemons)
	if err != nil {
		event.FeedUnreachable.Log(log, "table", platform.TableDaemons, "error", err)
		id.peersExpected = true
		return id
	}
	id.firstStart = len(rows) == 0
	for _, row := range rows {
		id.peersExpected = id.peersExpected || row.Key != string(id.Daemon)
		var previous daemonRow
		if row.Key == string(id.Daemon) && json.Unmarshal(row.Value, &previous) == nil {
			id.Incarnation = max(id.Incarnation, previous.Incarnation+1)
		}
	}
	return id
}

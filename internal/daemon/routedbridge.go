package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/relay"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/platform"
)

// routedBridge joins the fleet's links to the control loop where routes are
// served. Configuration and claims do not travel over links there.
type routedBridge struct {
	// node, loop, gateway and relay are set once, before the node starts.
	node    *fleet.Node
	loop    *control.BookingLoop
	gateway *gateway.Server
	relay   *relay.Feed
	zone    ident.Zone
	load    *loadMonitor
	// handovers passes connections on to the neighbours in the zone.
	handovers *connForwarder
}

var _ fleet.Handler = (*routedBridge)(nil)

func newRoutedBridge(id identity, load *loadMonitor, h *connForwarder) *routedBridge {
	return &routedBridge{load: load, zone: id.Zone, handovers: h}
}

// SendBookings implements control.BookingActions.
func (b *routedBridge) SendBookingMessage(to ident.Daemon, m booking.Message) {
	b.node.Send(to, scheduler.Message{Bookings: m})
}

// Peers implements fleet.Handler.
func (b *routedBridge) Peers(peers []scheduler.Peer) {
	list := make([]booking.Peer, len(peers))
	members := make([]membership.Member, len(peers))
	var neighbours []ident.Daemon
	live := make(map[ident.Daemon]bool, len(peers))
	for i, p := range peers {
		live[p.ID] = true
		list[i] = booking.Peer(p)
		members[i] = membership.Member{ID: p.ID, Zone: p.Zone, Incarnation: p.Incarnation, Leaving: p.Leaving}
		if p.Zone == b.zone && !p.Leaving {
			neighbours = append(neighbours, p.ID)
		}
	}
	b.loop.SetPeers(list)
	b.relay.Elect(members)
	b.load.zoneDaemons.Store(int64(len(neighbours)) + 1)
	b.handovers.setNeighbours(neighbours, live)
	b.gateway.SetDaemons(len(peers) + 1)
}

// LinkUp implements fleet.Handler.
func (b *routedBridge) LinkUp(peer ident.Daemon) { b.loop.LinkUp(peer) }

// LinkLost implements fleet.Handler.
func (b *routedBridge) LinkLost(peer ident.Daemon) { b.loop.LinkLost(peer) }

// Receive implements fleet.Handler.
func (b *routedBridge) Receive(from ident.Daemon, m scheduler.Message) {
	m.Bookings.Incarnation = m.Incarnation
	b.loop.Receive(from, m.Bookings)
}

// Head implements fleet.Handler. Each daemon follows the store by itself.
func (b *routedBridge) Head(ident.Daemon, uint64) {}

// Entries implements fleet.Handler.
func (b *routedBridge) Entries(uint64) []fleet.Entry { return nil }

// Follow implements fleet.Handler.
func (b *routedBridge) Follow(ctx context.Context, q store.FeedQuery) (store.FeedAnswer, error) {
	return b.relay.ServeQuery(ctx, q)
}

// followPeers lets the relay ask peers.
type followPeers struct{ bridge *routedBridge }

// Follow implements relay.Peers.
func (p followPeers) Follow(ctx context.Context, reader ident.Daemon, q store.FeedQuery) (store.FeedAnswer, error) {
	return p.bridge.node.Follow(ctx, reader, q)
}

// Claim implements fleet.Handler. No request is claimed where routes are served.
func (b *routedBridge) Claim(fleet.ClaimQuery) fleet.ClaimAnswer {
	return fleet.ClaimAnswer{State: fleet.ClaimUnknown}
}

// daemonRow is what a daemon writes of itself for the others.
type daemonRow struct {
	Zone ident.Zone `json:"zone"`
	// Address is that of the fleet listener.
	Address string `json:"address"`
	// Handover is where it takes connections over; empty: nowhere.
	Handover    string `json:"handover,omitempty"`
	Incarnation uint64 `json:"incarnation"`
}

// identityRead bounds the reading of the former incarnation at the start. A
// daemon that starts while the store is away must not wait for it.
const identityRead = time.Second

// newRoutedIdentity chooses an incarnation above the last one that the store
// knows of this daemon.
//
// It guards against a clock that was set back: incarnations come from the time of
// day, and peers would refuse the links of a daemon that was restarted with a
// lower one than before, so that it stayed alone.
func newRoutedIdentity(s settings.Settings, store *platform.Store, log *slog.Logger) identity {
	id := newIdentity(s)
	ctx, cancel := context.WithTimeout(context.Background(), identityRead)
	defer cancel()
	rows, _, err := store.ReadTable(ctx, platform.TableDaemons)
	if err != nil {
		event.FeedUnreachable.Log(log, "table", platform.TableDaemons, "error", err)
		return id
	}
	for _, row := range rows {
		var former daemonRow
		if row.Key == string(id.Daemon) && json.Unmarshal(row.Value, &former) == nil {
			id.Incarnation = max(id.Incarnation, former.Incarnation+1)
		}
	}
	return id
}

package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
)

const (
	// roleDaemon marks the daemons in the VM list.
	roleDaemon = "daemon"
	// eventQueue bounds the frames that wait for the control goroutine; beyond
	// it the links' readers wait, and flow control slows the senders.
	eventQueue = 1024
	// dialsAtOnce bounds the handshakes under way: a daemon that starts among
	// 360 others must not spend its first second on TLS alone.
	dialsAtOnce = 16
	// suspectBeats and deadBeats are silences in heartbeats; see membership.
	suspectBeats = 3
	deadBeats    = 6
	// ticksPerBeat is how often silences and due dials are looked at.
	ticksPerBeat = 5
)

// Node is a daemon's end of all its links. One goroutine owns the table of
// members and decides which links are kept; the others move frames.
type Node struct {
	cfg      Config
	handler  Handler
	counters counters
	calls    callConns

	listener net.Listener
	server   *grpc.Server
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	events   chan controlEvent
	// done is closed when the control goroutine takes no more events.
	done     chan struct{}
	stopOnce sync.Once

	// links is read by Send from any goroutine and written by the control one.
	links struct {
		sync.RWMutex
		byPeer    map[ident.Daemon]*link
		addresses map[ident.Daemon]string
	}
	head    atomic.Uint64
	leaving atomic.Bool
	// outdated is set once peers refused the node's incarnation.
	outdated atomic.Bool

	// The rest belongs to the control goroutine.
	table   *membership.Table
	told    uint64
	session uint64
	dialing int
	ticks   int

	// refused is the last incarnation of each name that was refused while a later
	// one had a link; the control goroutine owns it.
	refused map[ident.Daemon]uint64

	// handshakes spaces the lines about failed handshakes.
	handshakes rate.Sometimes
}

// New opens the listener and returns a node that is not yet started. Address
// tells where it listens.
func New(cfg Config, handler Handler) (*Node, error) {
	cfg, err := cfg.complete()
	if err != nil {
		return nil, err
	}
	table := membership.New(membership.Config{
		Self:          cfg.Self,
		Zone:          cfg.Zone,
		SuspectAfter:  suspectBeats * cfg.Heartbeat,
		DeadAfter:     deadBeats * cfg.Heartbeat,
		DialGrace:     2 * cfg.Heartbeat,
		WatchAllLimit: cfg.WatchAll,
		WatchAfterUse: useBeats * cfg.Heartbeat,
		ProbeAfter:    suspectBeats * restBeats * cfg.Heartbeat,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n := &Node{
		cfg: cfg, handler: handler, table: table,
		handshakes: rate.Sometimes{Interval: handshakeLog},
		events:     make(chan controlEvent, eventQueue), done: make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.refused = map[ident.Daemon]uint64{}
	n.calls.conns = map[ident.Daemon]callConn{}
	n.links.byPeer = map[ident.Daemon]*link{}
	n.links.addresses = map[ident.Daemon]string{}
	if n.listener, err = n.listen(); err != nil {
		return nil, merry.Prepend(err, "fleet listener")
	}
	if n.cfg.Advertise == "" {
		n.cfg.Advertise = n.listener.Addr().String()
	}
	return n, nil
}

// Address is the listener's own, host:port.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Start serves links and looks for peers until Stop. Ctx bounds nothing but
// the call itself.
func (n *Node) Start(context.Context) error {
	if n.cfg.Identity == nil {
		event.FleetInsecure.Log(n.cfg.Logger, "address", n.Address())
	}
	n.server = n.newServer()
	n.tasks.Go(func() { _ = n.server.Serve(n.listener) })
	n.tasks.Go(n.control)
	return nil
}

// Stop ends all links and calls. It returns when everything that the node
// started has ended, or with ctx's error.
func (n *Node) Stop(ctx context.Context) error {
	n.stopOnce.Do(func() {
		n.cancel()
		n.calls.close()
		_ = n.listener.Close()
		if n.server != nil {
			n.server.Stop()
		}
	})
	ended := make(chan struct{})
	go func() {
		n.tasks.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Send queues a message for a peer and never blocks. Without a link to the
// peer the message is dropped; LinkUp will ask for the full state. The node's
// own incarnation stands for the message's.
func (n *Node) Send(to ident.Daemon, m scheduler.Message) {
	n.links.RLock()
	l := n.links.byPeer[to]
	n.links.RUnlock()
	if l == nil {
		return
	}
	l.used.Store(true)
	if l.out.put(&m) {
		return
	}
	event.FleetSlowPeer.Log(n.cfg.Logger, "peer", to)
	l.cancel()
}

// SetVMs takes the platform's list in, at the start and on each change.
func (n *Node) SetVMs(vms []platform.VM) {
	list := make(vmList, 0, len(vms))
	for _, vm := range vms {
		if vm.Role != roleDaemon {
			continue
		}
		list = append(list, membership.ListedVM{
			ID: ident.Daemon(vm.Name), Zone: vm.Zone, Address: vm.Address,
			Leaving: vm.State == platform.VMLeaving,
		})
	}
	n.post(n.ctx, list)
}

// SetHead tells the peers which configuration revision is in force here.
func (n *Node) SetHead(head uint64) {
	n.head.Store(head)
	for _, l := range n.allLinks() {
		l.out.setHead(head)
	}
}

// Leaving announces a planned stop: peers take the node's targets over and go
// on serving what its own callers wait for.
func (n *Node) Leaving() {
	n.leaving.Store(true)
	for _, l := range n.allLinks() {
		l.out.setLeaving()
	}
}

// Traffic returns the control traffic since the start.
func (n *Node) Traffic() Traffic { return n.counters.traffic() }

func (n *Node) allLinks() []*link {
	n.links.RLock()
	defer n.links.RUnlock()
	all := make([]*link, 0, len(n.links.byPeer))
	for _, l := range n.links.byPeer {
		all = append(all, l)
	}
	return all
}

func (n *Node) address(of ident.Daemon) (string, bool) {
	n.links.RLock()
	defer n.links.RUnlock()
	a, ok := n.links.addresses[of]
	return a, ok
}

// control is the goroutine that owns the members and their links.
func (n *Node) control() {
	defer close(n.done)
	tick := time.NewTicker(n.cfg.Heartbeat / ticksPerBeat)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-tick.C:
			n.tick(time.Now()) // the tick itself may have waited
		case e := <-n.events:
			e.apply(n, time.Now())
		}
		n.tellPeers()
	}
}

// tick replaces silent links, lets silences pass judgement and dials.
func (n *Node) tick(now time.Time) {
	n.noteUse(now)
	n.table.Tick(now)
	for _, peer := range n.table.SilentLinks(now) {
		l := n.links.byPeer[peer]
		if l == nil {
			continue
		}
		event.FleetLinkSilent.Log(n.cfg.Logger, "peer", peer)
		n.unregister(now, l)
		l.cancel()
	}
	n.tellWatched()
	n.tellReports()
	n.startDials(now)
	if n.ticks++; n.ticks%ticksPerBeat == 0 {
		n.repeatHeads()
	}
}

// repeatHeads tells the peers' heads again: a peer sends its head just when it
// changes, and a handler that could not catch up then has to get another try.
func (n *Node) repeatHeads() {
	for peer, l := range n.links.byPeer {
		if l.head != 0 {
			n.handler.Head(peer, l.head)
		}
	}
}

func (n *Node) startDials(now time.Time) {
	for _, d := range n.table.StartDials(now, dialsAtOnce-n.dialing) {
		n.dialing++
		n.session++
		session := n.session
		n.tasks.Go(func() { n.dial(d.ID, d.Address, session) })
	}
}

// register decides whether to keep a new link. The error is errNotKept or
// errOutdated.
func (n *Node) register(now time.Time, l *link) error {
	old := n.links.byPeer[l.peer]
	if old != nil && l.incarnation >= old.incarnation && !newer(l, old, n.cfg.Self) {
		return errNotKept
	}
	sighting := membership.PeerInfo{
		ID: l.peer, Incarnation: l.incarnation, Zone: l.zone, Address: l.address,
	}
	if !n.table.LinkUp(now, sighting) {
		n.logRefused(l, old)
		return errOutdated
	}
	if old != nil {
		n.handler.LinkLost(l.peer)
		old.cancel()
	}
	n.links.Lock()
	n.links.byPeer[l.peer] = l
	if _, known := n.links.addresses[l.peer]; !known {
		n.links.addresses[l.peer] = l.address
	}
	n.links.Unlock()
	l.out.greet(n.head.Load(), n.leaving.Load())
	event.FleetLinkUp.Log(n.cfg.Logger, "peer", l.peer, "incarnation", l.incarnation, "zone", l.zone)
	n.tellPeers()
	n.handler.LinkUp(l.peer)
	return nil
}

// logRefused tells the operator of a link of an older incarnation. Where a later
// one has a link, two daemons run under one name, and the elder, which loses all
// links, grants the slots of all targets a second time; that is said once for
// each elder, which dials again and again.
func (n *Node) logRefused(l, old *link) {
	if old == nil || n.refused[l.peer] == l.incarnation {
		event.FleetLinkRefused.Log(n.cfg.Logger, "peer", l.peer, "error", errOutdated)
		return
	}
	n.refused[l.peer] = l.incarnation
	event.FleetTwoOfOne.Log(n.cfg.Logger, "peer", l.peer, "refused", l.address, "kept", old.address)
}

// unregister forgets a link unless another one has taken its place.
func (n *Node) unregister(now time.Time, l *link) {
	if n.links.byPeer[l.peer] != l {
		return
	}
	n.links.Lock()
	delete(n.links.byPeer, l.peer)
	n.links.Unlock()
	n.table.LinkLost(now, l.peer)
	event.FleetLinkDown.Log(n.cfg.Logger, "peer", l.peer)
	n.handler.LinkLost(l.peer)
}

// tellPeers passes the members on when they have changed.
func (n *Node) tellPeers() {
	if n.table.Version() == n.told {
		return
	}
	n.told = n.table.Version()
	members := n.table.Members()
	peers := make([]scheduler.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, scheduler.Peer{
			ID: m.ID, Incarnation: m.Incarnation, Zone: m.Zone, Leaving: m.Leaving,
		})
	}
	n.handler.Peers(peers)
}

// keepAddresses remembers where to call daemons: the list's word goes first.
func (n *Node) keepAddresses(list vmList) {
	n.links.Lock()
	defer n.links.Unlock()
	fresh := make(map[ident.Daemon]string, len(list))
	for id, l := range n.links.byPeer {
		fresh[id] = l.address
	}
	for _, vm := range list {
		fresh[vm.ID] = vm.Address
	}
	n.links.addresses = fresh
}

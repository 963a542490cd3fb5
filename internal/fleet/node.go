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
	// roleDaemon is the role of daemons in the VM list.
	roleDaemon = "daemon"
	// eventQueueSize bounds the events queued for the control goroutine. When
	// the queue is full, the readers of the links block, and flow control slows
	// the senders down.
	eventQueueSize = 1024
	// maxConcurrentDials bounds the handshakes in progress: a daemon that
	// starts in a fleet of 360 others must not spend its first second on TLS
	// handshakes only.
	maxConcurrentDials = 16
	// suspectHeartbeats and deadHeartbeats are the numbers of missed heartbeats
	// after which a member is suspect or dead; see package membership.
	suspectHeartbeats = 3
	deadHeartbeats    = 6
	// ticksPerHeartbeat is how many times per heartbeat interval silent links
	// and due dials are checked.
	ticksPerHeartbeat = 5
)

// SilentAfter returns the time without messages after which daemons with this heartbeat
// interval no longer rely on one another.
func SilentAfter(heartbeat time.Duration) time.Duration { return suspectHeartbeats * heartbeat }

// Node manages all links of a daemon. One goroutine owns the membership table
// and decides which links are kept; the others transfer frames.
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
	// done is closed when the control goroutine no longer accepts events.
	done     chan struct{}
	stopOnce sync.Once

	// links is read by Send from any goroutine and written by the control
	// goroutine.
	links struct {
		sync.RWMutex
		byPeer    map[ident.Daemon]*link
		addresses map[ident.Daemon]string
	}
	head    atomic.Uint64
	leaving atomic.Bool
	// outdated is set once a peer has refused the incarnation of the node.
	outdated atomic.Bool

	// The following fields are owned by the control goroutine.
	table           *membership.Table
	notifiedVersion uint64
	session         uint64
	dialing         int
	ticks           int
	linkLog         linkLog

	// refusedIncarnations holds, for each name, the last incarnation that was
	// refused while a later one had a link. It is owned by the control
	// goroutine.
	refusedIncarnations map[ident.Daemon]uint64

	// handshakeLogLimit limits the rate of log lines about failed handshakes.
	handshakeLogLimit rate.Sometimes
}

// New opens the listener and returns a node that is not started yet. Address
// returns the address of the listener.
func New(cfg Config, handler Handler) (*Node, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	table := membership.New(membership.Config{
		Self:          cfg.Self,
		Zone:          cfg.Zone,
		SuspectAfter:  SilentAfter(cfg.Heartbeat),
		DeadAfter:     deadHeartbeats * cfg.Heartbeat,
		DialGrace:     2 * cfg.Heartbeat,
		WatchAllLimit: cfg.WatchAll,
		WatchAfterUse: watchAfterSendHeartbeats * cfg.Heartbeat,
		ProbeAfter:    suspectHeartbeats * unwatchedHeartbeats * cfg.Heartbeat,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n := &Node{
		cfg: cfg, handler: handler, table: table,
		handshakeLogLimit: rate.Sometimes{Interval: handshakeLogInterval},
		events:            make(chan controlEvent, eventQueueSize), done: make(chan struct{}),
	}
	n.linkLog.log = cfg.Logger
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.refusedIncarnations = map[ident.Daemon]uint64{}
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

// Address returns the host:port of the listener.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Start serves links and dials peers until Stop is called. The context is not
// used.
func (n *Node) Start(context.Context) error {
	if n.cfg.Identity == nil {
		event.FleetInsecure.Log(n.cfg.Logger, "address", n.Address())
	}
	n.server = n.newServer()
	n.tasks.Go(func() { _ = n.server.Serve(n.listener) })
	n.tasks.Go(n.controlLoop)
	return nil
}

// Stop closes all links and calls. It returns when all goroutines of the node
// have ended, or with the error of ctx.
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

// Send queues a message for a peer without blocking. Without a link to the peer
// the message is dropped; LinkUp will later request the full state. The
// message's incarnation is ignored: the receiver uses the incarnation of the
// link.
func (n *Node) Send(to ident.Daemon, m scheduler.Message) {
	n.links.RLock()
	l := n.links.byPeer[to]
	n.links.RUnlock()
	if l == nil {
		return
	}
	l.sentSinceTick.Store(true)
	if l.outbox.enqueue(&m) {
		return
	}
	event.FleetSlowPeer.Log(n.cfg.Logger, "peer", to)
	l.cancel()
}

// SetVMs processes the platform's VM list, at startup and on each change.
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

// SetHead announces the configuration revision in force at this daemon to the
// peers.
func (n *Node) SetHead(head uint64) {
	n.head.Store(head)
	for _, l := range n.allLinks() {
		l.outbox.setHead(head)
	}
}

// AnnounceLeaving announces a graceful shutdown: the peers take over the node's
// targets and continue to grant slots to the requests that wait at this daemon.
func (n *Node) AnnounceLeaving() {
	n.leaving.Store(true)
	for _, l := range n.allLinks() {
		l.outbox.setLeaving()
	}
}

// Traffic returns the control traffic since startup.
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

// controlLoop runs in the goroutine that owns the membership table and the
// links.
func (n *Node) controlLoop() {
	defer close(n.done)
	tick := time.NewTicker(n.cfg.Heartbeat / ticksPerHeartbeat)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-tick.C:
			n.tick(time.Now()) // the current time: the tick may have been delayed in the channel
		case e := <-n.events:
			e.apply(n, time.Now())
		}
		n.notifyPeers()
	}
}

// tick updates the states of members, closes silent links so that they are
// replaced, and starts due dials.
func (n *Node) tick(now time.Time) {
	n.recordSends(now)
	n.linkLog.summarize(now, len(n.links.byPeer))
	n.table.Tick(now)
	for _, peer := range n.table.SilentLinks(now) {
		l := n.links.byPeer[peer]
		if l == nil {
			continue
		}
		event.FleetLinkUnresponsive.Log(n.cfg.Logger, "peer", peer)
		n.unregister(now, l)
		l.cancel()
	}
	n.sendWatchChanges()
	n.sendSilenceReports()
	n.startDials(now)
	if n.ticks++; n.ticks%ticksPerHeartbeat == 0 {
		n.repeatHeads()
	}
}

// repeatHeads reports the peers' configuration revisions to the handler again:
// a peer sends its revision only when it changes, and a handler that failed to
// fetch it then must be able to retry.
func (n *Node) repeatHeads() {
	for peer, l := range n.links.byPeer {
		if l.head != 0 {
			n.handler.Head(peer, l.head)
		}
	}
}

func (n *Node) startDials(now time.Time) {
	for _, d := range n.table.StartDials(now, maxConcurrentDials-n.dialing) {
		n.dialing++
		n.session++
		session := n.session
		n.tasks.Go(func() { n.dial(d.ID, d.Address, session) })
	}
}

// register decides whether to keep a new link. The error is errDuplicateLink or
// errOldIncarnation.
func (n *Node) register(now time.Time, l *link) error {
	old := n.links.byPeer[l.peer]
	if old != nil && l.incarnation >= old.incarnation && !supersedes(l, old, n.cfg.Self) {
		return errDuplicateLink
	}
	sighting := membership.PeerInfo{
		ID: l.peer, Incarnation: l.incarnation, Zone: l.zone, Address: l.address,
	}
	if !n.table.LinkUp(now, sighting) {
		n.logRefused(l, old)
		return errOldIncarnation
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
	l.outbox.queueInitialState(n.head.Load(), n.leaving.Load())
	n.linkLog.linkUp(now, l.peer, l.incarnation, l.zone, len(n.links.byPeer))
	n.notifyPeers()
	n.handler.LinkUp(l.peer)
	return nil
}

// logRefused logs a refused link of an older incarnation. If a later
// incarnation has a link, two daemons run under the same name, and the older
// one, which loses all its links, grants the slots of all targets a second
// time. This is logged once per older incarnation, because that daemon keeps
// dialing.
func (n *Node) logRefused(l, old *link) {
	if old == nil || n.refusedIncarnations[l.peer] == l.incarnation {
		event.FleetLinkRefused.Log(n.cfg.Logger, "peer", l.peer, "error", errOldIncarnation)
		return
	}
	n.refusedIncarnations[l.peer] = l.incarnation
	event.FleetDuplicateName.Log(n.cfg.Logger, "peer", l.peer, "refused", l.address, "kept", old.address)
}

// unregister removes a link unless it has been replaced already.
func (n *Node) unregister(now time.Time, l *link) {
	if n.links.byPeer[l.peer] != l {
		return
	}
	n.links.Lock()
	delete(n.links.byPeer, l.peer)
	n.links.Unlock()
	n.table.LinkLost(now, l.peer)
	n.linkLog.linkDown(now, l.peer, len(n.links.byPeer))
	n.handler.LinkLost(l.peer)
}

// notifyPeers passes the live members to the handler if they have changed.
func (n *Node) notifyPeers() {
	if n.table.Version() == n.notifiedVersion {
		return
	}
	n.notifiedVersion = n.table.Version()
	n.handler.Unreachable(n.table.Unreachable(time.Now()))
	members := n.table.Members()
	peers := make([]scheduler.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, scheduler.Peer{
			ID: m.ID, Incarnation: m.Incarnation, Zone: m.Zone, Leaving: m.Leaving,
		})
	}
	n.handler.Peers(peers)
}

// updateAddresses updates the addresses for calls. An address in the VM list
// takes precedence over the one that a peer announced.
func (n *Node) updateAddresses(list vmList) {
	n.links.Lock()
	defer n.links.Unlock()
	addresses := make(map[ident.Daemon]string, len(list))
	for id, l := range n.links.byPeer {
		addresses[id] = l.address
	}
	for _, vm := range list {
		addresses[vm.ID] = vm.Address
	}
	n.links.addresses = addresses
}

// Package fleet connects the daemons of a fleet by gRPC. It discovers peers
// from the platform's VM list and from incoming links, keeps one link to each
// peer, and carries the scheduler's messages over it.
//
// Each pair of daemons has one link, a bidirectional stream. The daemon with
// the smaller name dials it. The other one also dials if no link has been
// opened after a grace period, because the VM list may be delayed and the first
// one may not know it yet. If both dial, both ends keep the same link (see
// supersedes). Compared to one link per direction, one link per pair halves the
// number of connections, the heartbeats and the memory, and every received
// frame proves that the link works.
//
// In a large fleet most links carry no messages most of the time. Each daemon
// sends frequent heartbeats only to the peers that watch it (see package
// membership and watch.go).
package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/certs"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// Defaults of Config.
const (
	DefaultHeartbeat  = time.Second
	DefaultFlushDelay = 5 * time.Millisecond
	DefaultQueueLimit = 4096
)

// Config is the static configuration of a node.
type Config struct {
	// Self is the daemon's name.
	Self ident.Daemon
	// Incarnation increases with each start of the daemon; peers drop messages
	// of an older one. It must not be zero.
	Incarnation uint64
	// Zone is the daemon's availability zone.
	Zone ident.Zone
	// Listen is the address of the fleet listener, host:port.
	Listen string
	// Advertise is the address that peers dial. Default: the listener's own.
	Advertise string
	// Identity holds the certificates for mutual TLS. Default: none; links are
	// then not encrypted, and any process that can reach the listener is
	// trusted.
	Identity *certs.Identity
	// Heartbeat is how long a link that the peer watches may be idle before an
	// empty frame is sent. Default: 1 s.
	Heartbeat time.Duration
	// FlushDelay is how long a message waits for others to share its frame.
	// Grants are sent without delay. Default: 5 ms.
	FlushDelay time.Duration
	// QueueLimit bounds the grants and releases queued for one peer; if the
	// queue overflows, the link is reset. Default: 4096.
	QueueLimit int
	// WatchAll is the fleet size up to which the node watches all other
	// daemons. Default: membership.DefaultWatchAllLimit.
	WatchAll int
	// Logger receives log events. Default: slog.Default.
	Logger *slog.Logger
}

func (c Config) withDefaults() (Config, error) {
	if c.Self == "" || c.Zone == "" || c.Listen == "" || c.Incarnation == 0 {
		return c, merry.New("fleet: Self, Zone, Listen and Incarnation are required")
	}
	c.Heartbeat = cmp.Or(c.Heartbeat, DefaultHeartbeat)
	c.FlushDelay = cmp.Or(c.FlushDelay, DefaultFlushDelay)
	c.QueueLimit = cmp.Or(c.QueueLimit, DefaultQueueLimit)
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	return c, nil
}

// Handler is notified of events on a node. Receive, Peers, LinkUp, LinkLost and
// Head are called sequentially from the node's control goroutine, in the order
// of the events, and must not block. Entries, Follow and Claim may be called
// concurrently from any goroutine.
type Handler interface {
	// Peers is called with the live daemons, excluding the node itself, on each
	// change.
	Peers(peers []scheduler.Peer)
	// Unreachable is called before Peers, and whenever the VM list changes, with the daemons that
	// may be alive although the node does not hear them.
	Unreachable(daemons []membership.Unreachable)
	// LinkUp is called when a link has been established: the full state must be
	// sent once, because messages sent over an earlier link may not have
	// arrived.
	LinkUp(peer ident.Daemon)
	// LinkLost is called when a link has ended: messages queued or in transit
	// may be lost. The peer itself may still be live.
	LinkLost(peer ident.Daemon)
	// Receive handles a message from a peer, between LinkUp and LinkLost for
	// that peer.
	Receive(from ident.Daemon, m scheduler.Message)
	// Head is called with the highest configuration revision in force at a
	// peer, when it changes and again about once per heartbeat.
	Head(from ident.Daemon, head uint64)
	// Entries returns the configuration entries in force with a revision higher
	// than after, including deletions.
	Entries(after uint64) []Entry
	// Follow answers a peer that reads the platform's store through this
	// daemon.
	Follow(ctx context.Context, q platform.FeedQuery) (platform.FeedAnswer, error)
	// Claim answers a peer that has encountered a claim held by this daemon.
	Claim(q ClaimQuery) ClaimAnswer
}

// Entry is one revision of a service's document.
type Entry struct {
	Service  ident.Service
	Revision uint64
	Deleted  bool
	Text     []byte
}

// ClaimQuery identifies a claim and the incarnation of the daemon that holds
// it.
type ClaimQuery struct {
	Service     ident.Service
	Workspace   ident.Workspace
	Key         string
	Attempt     ident.Attempt
	Incarnation uint64
}

// ClaimState is the state of a claimed request as reported by the holder of the
// claim.
type ClaimState string

// States of a claimed request.
const (
	ClaimUnknown  ClaimState = "unknown"
	ClaimFinished ClaimState = "finished"
	ClaimRunning  ClaimState = "running"
	// ClaimNeverDispatched reports that the request was not dispatched and
	// guarantees that it never will be.
	ClaimNeverDispatched ClaimState = "never"
)

// ClaimAnswer is the answer to a ClaimQuery.
type ClaimAnswer struct {
	State ClaimState
	// Outcome is set if the request is finished.
	Outcome []byte
}

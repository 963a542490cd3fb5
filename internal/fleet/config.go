// Package fleet links the daemons of one fleet by gRPC: it finds its peers from
// the platform's VM list and their heartbeats, keeps one link to each, and
// carries the messages of the scheduler over it.
//
// Each pair of daemons has one link, a stream that goes both ways. The daemon
// with the smaller name dials it. The other one dials too when no link has come
// after a while, for the smaller one may not have heard of it yet: the VM list
// lags. Where two links meet, both ends keep the same one (see newer). One
// link a pair instead of one a direction halves connections, heartbeats and
// memory, and lets any frame that arrives prove that the link works.
//
// In a large fleet most links rest while nothing is sent on them: an end sends
// heartbeats only where the other one watches it (see membership and watch.go).
package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/certs"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// Defaults of Config.
const (
	DefaultHeartbeat  = time.Second
	DefaultFlushDelay = 5 * time.Millisecond
	DefaultQueueLimit = 4096
)

// Config is the fixed part of a node.
type Config struct {
	// Self is the daemon's name.
	Self ident.Daemon
	// Incarnation grows with each start of the daemon; peers drop what an older
	// one sends. Zero is not valid.
	Incarnation uint64
	// Zone is the daemon's availability zone.
	Zone ident.Zone
	// Listen is the address of the fleet listener, host:port.
	Listen string
	// Advertise is the address that peers dial. Default: the listener's own.
	Advertise string
	// Identity holds the certificates of mutual TLS. Default: none, links are
	// not encrypted and any process that reaches the listener is believed.
	Identity *certs.Identity
	// Heartbeat is how long a link that does not rest may be idle before an empty
	// frame is sent. Default: 1 s.
	Heartbeat time.Duration
	// FlushDelay is how long a message waits for others that share its frame.
	// Grants don't wait. Default: 5 ms.
	FlushDelay time.Duration
	// QueueLimit bounds the grants and releases that wait for one peer; a link
	// whose queue overflows is reset. Default: 4096.
	QueueLimit int
	// WatchAll is the size of the fleet up to which the node watches all others.
	// Default: membership.DefaultWatchAll.
	WatchAll int
	// Logger takes the events. Default: slog.Default.
	Logger *slog.Logger
}

func (c Config) complete() (Config, error) {
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

// Handler takes what a node learns. Receive, Peers, LinkUp, LinkLost and Head
// are called one at a time from the node's control goroutine, in the order in
// which things happened, and must not block. Entries, Follow and Claim are called from
// any goroutine.
type Handler interface {
	// Peers tells the live daemons but for the node itself, on each change.
	Peers(peers []scheduler.Peer)
	// LinkUp tells that a link is up: the full state is to be sent once.
	// Nothing that was sent before over another link is known to have arrived.
	LinkUp(peer ident.Daemon)
	// LinkLost tells that what was queued or on its way may be lost. The peer
	// itself may still be live.
	LinkLost(peer ident.Daemon)
	// Receive takes a message of a peer, between its LinkUp and LinkLost.
	Receive(from ident.Daemon, m scheduler.Message)
	// Head tells the highest configuration revision in force at a peer, when it
	// changes and again about once a heartbeat.
	Head(from ident.Daemon, head uint64)
	// Entries returns the configuration in force of a higher revision than
	// after, deletions included.
	Entries(after uint64) []Entry
	// Follow answers a peer that asks in the platform's store's stead.
	Follow(ctx context.Context, q platform.FeedQuery) (platform.FeedAnswer, error)
	// Claim answers a peer that met a claim of this daemon.
	Claim(q ClaimQuery) ClaimAnswer
}

// Entry is one revision of one service's document.
type Entry struct {
	Service  ident.Service
	Revision uint64
	Deleted  bool
	Text     []byte
}

// ClaimQuery names a claim and the incarnation of the daemon that holds it.
type ClaimQuery struct {
	Service     ident.Service
	Workspace   ident.Workspace
	Key         string
	Attempt     ident.Attempt
	Incarnation uint64
}

// ClaimState is what the holder of a claim says of its request.
type ClaimState string

// What the holder of a claim can say.
const (
	ClaimUnknown  ClaimState = "unknown"
	ClaimFinished ClaimState = "finished"
	ClaimRunning  ClaimState = "running"
	// ClaimNever tells that the request was not dispatched and promises that
	// it never will be.
	ClaimNever ClaimState = "never"
)

// ClaimAnswer is the answer to a ClaimQuery.
type ClaimAnswer struct {
	State ClaimState
	// Outcome is set where the request is finished.
	Outcome []byte
}

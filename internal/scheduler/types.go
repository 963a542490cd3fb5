// Package scheduler decides which waiting request runs next and on which target.
// It is a state machine that does no I/O: time and randomness are passed in as
// arguments, and the actions to take are returned as typed effects.
//
// Every daemon runs one Core, which has two roles. As ingress it queues the
// requests of its callers and tells the owners of targets how many requests wait
// (Demand). As owner of targets it assigns free slots, one Grant per request, to
// the workspace that is furthest below its fair share. The ingress binds a
// waiting request to the grant only when the grant arrives (late binding), and
// returns the grant at once if nothing waits any more.
package scheduler

import (
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/limit"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Class is the priority class of a request within its workspace; lower values
// are served first.
type Class uint8

// Priority classes of operations.
const (
	Interactive Class = iota
	Standard
	Batch
	classCount
)

// Request describes a request to the scheduler.
type Request struct {
	ID        ident.Request
	Service   ident.Service
	Workspace ident.Workspace
	Class     Class
	// Cost is the estimated cost in units of the service: tokens for a model,
	// milliseconds of slot time for a plain service.
	Cost float64
	// Deadline is when the caller gives up; zero means that there is no deadline.
	Deadline time.Time
	// Prefix identifies the start of the prompt; zero means no cache affinity.
	Prefix uint64
	// Avoid lists the targets that a retry must not use.
	Avoid []ident.Target
	// Preemptible reports whether the request can be stopped and resumed later.
	Preemptible bool
	// Preemptions counts how often the request was stopped, and PriorServed is the
	// cost already received by the stopped attempts. Cost covers the whole request.
	Preemptions int
	PriorServed float64
}

// Workspace holds the share and the limits of a workspace in one service.
type Workspace struct {
	Name   ident.Workspace
	Weight float64
	// QueueLimit bounds the number of requests that wait at one daemon.
	QueueLimit int
	// ConcurrencyLimit bounds the number of requests that wait or run in the whole
	// fleet; zero means no limit.
	ConcurrencyLimit int
	// RateLimit bounds the requests per second that the whole fleet accepts; zero
	// means no limit.
	RateLimit float64
	// Targets lists the targets that the workspace may use; empty means all.
	Targets []ident.Target
}

// Target is one backend of a service.
type Target struct {
	Name  ident.Target
	Zone  ident.Zone
	Slots int
}

// Service is the part of a service document that scheduling decisions need.
type Service struct {
	Name       ident.Service
	Workspaces []Workspace
	Targets    []Target
	// MeanCost is the assumed cost of a request until costs were measured.
	MeanCost float64
	// Plain marks a plain service, whose cost is slot time.
	Plain bool
	// Preemption allows streams to be stopped in favor of interactive requests of
	// other workspaces.
	Preemption bool
}

// Peer is another live daemon.
type Peer struct {
	ID          ident.Daemon
	Incarnation uint64
	Zone        ident.Zone
	// Leaving is set while the peer performs a graceful shutdown: it no longer owns
	// targets, but its waiting requests still receive grants.
	Leaving bool
}

// Result describes how an attempt ended.
type Result struct {
	// Served is the actual cost in units of the service.
	Served float64
	// Elapsed is the time from dispatch to the end, FirstByte the time from dispatch
	// to the first byte of the response (zero if there was none).
	Elapsed, FirstByte time.Duration
	// Failed is set if the target, or the connection to it, failed.
	Failed bool
	// NotRun is set if the request did not run and may be queued again.
	NotRun bool
	// Preempted is set if the attempt was stopped because of a Preempt effect.
	Preempted bool
}

// Health is an observed change in the health of a target.
type Health string

// Health observations.
const (
	HealthAnswered Health = "answered"
	HealthFailed   Health = "failed"
	HealthLeaving  Health = "leaving"
	HealthReturned Health = "returned"
)

// Demand reports how many requests of a workspace wait at the sender.
type Demand struct {
	Service   ident.Service
	Workspace ident.Workspace
	Waiting   uint32
	// Urgent counts the interactive requests among them.
	Urgent uint32
	// SeenGrant is the highest grant of the receiver that the sender has taken into
	// account. It lets the receiver subtract grants still in transit, which would
	// otherwise be counted as demand again.
	SeenGrant uint64
}

// Grant assigns one slot of a target to one request of a workspace.
type Grant struct {
	// ID increases with each grant of an incarnation of the owner.
	ID        uint64
	Service   ident.Service
	Workspace ident.Workspace
	Target    ident.Target
	// SpareCapacity is set if the owner has enough free slots for the ingress to
	// keep this one idle briefly for the next request of the workspace.
	SpareCapacity bool
	// CachedPrefixes holds fingerprints of the prompt prefixes in the target's
	// cache. It is set if the owner knows them and has not recently sent them to
	// this ingress.
	CachedPrefixes []uint16
}

// Release returns a slot to its owner.
type Release struct {
	Grant uint64
	// Unused is set if no request was dispatched.
	Unused bool
	// Result is set if a request was dispatched.
	Result Result
}

// ServedTotal is the cumulative service that one incarnation of a daemon has
// delivered to a workspace, in units of the service. It only grows, except when
// estimates are corrected. A later message replaces an earlier one.
type ServedTotal struct {
	Service   ident.Service
	Workspace ident.Workspace
	Served    float64
}

// LimitUsage reports how much the sender's callers use of the limits of a
// workspace. A later message replaces an earlier one.
type LimitUsage struct {
	Service   ident.Service
	Workspace ident.Workspace
	limit.Report
}

// TargetHealthUpdate propagates a daemon's observation about a target.
type TargetHealthUpdate struct {
	Service ident.Service
	Target  ident.Target
	Health  Health
}

// Message collects everything that one Core sends to another at one time.
// Incarnation is the sender's; messages of an older incarnation are dropped.
type Message struct {
	Incarnation  uint64
	Demand       []Demand
	Grants       []Grant
	Releases     []Release
	ServedTotals []ServedTotal
	// Aggregates are the totals that the sender has aggregated (see aggregation.go). A
	// daemon in the sender's zone receives the total of all other daemons, a daemon
	// in another zone the total of the sender's zone. Only the difference from the
	// previous value is counted.
	Aggregates    []ServedTotal
	Limits        []LimitUsage
	HealthUpdates []TargetHealthUpdate
	// HeldGrants lists the receiver's grants that the sender still holds. It is sent
	// periodically (HeldGrantsValid is then set), so that a slot whose release
	// message was lost becomes free.
	HeldGrants      []uint64
	HeldGrantsValid bool
	// HeldGrantsSeen is the highest grant that the list takes into account.
	HeldGrantsSeen uint64
	// PreemptGrants lists grants of the sender whose slots it wants back.
	PreemptGrants []uint64
	// Bookings carries the messages of package booking where bookings replace
	// grants.
	Bookings booking.Message
	// Origins carries the messages of package origin, which accompany bookings.
	Origins origin.Message
	// Poison carries the messages of package poison, which accompany bookings.
	Poison poison.Message
}

// Effect is an action that the caller of the Core has to perform.
type Effect interface{ effect() }

// Dispatch sends a request to a target.
type Dispatch struct {
	Request ident.Request
	Service ident.Service
	Target  ident.Target
}

// Refuse rejects a waiting request with its final response.
type Refuse struct {
	Request ident.Request
	Failure *resultcode.Failure
}

// Send transmits a message to another daemon. Messages to one daemon must arrive
// in order. Messages lost with a connection are repaired by the next full
// exchange.
type Send struct {
	To      ident.Daemon
	Message Message
}

func (Dispatch) effect() {}
func (Refuse) effect()   {}
func (Send) effect()     {}

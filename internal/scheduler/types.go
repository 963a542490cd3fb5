// Package scheduler decides which waiting request runs next, and where. It is a
// state machine without network: time and randomness are arguments, and what is
// to be done comes back as typed effects.
//
// Every daemon runs one Core in two parts. As ingress it queues the requests
// of its callers and shows the owners of targets how many wait (Demand). As
// owner of targets it hands out free slots, one Grant a request, to the
// workspace that is owed most. The ingress binds a waiting request to the
// grant when it arrives (late binding), and returns the grant at once where
// nothing waits any more.
package scheduler

import (
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/limit"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Class orders the requests of one workspace; a lower class goes first.
type Class uint8

// Classes of operations.
const (
	Interactive Class = iota
	Standard
	Batch
	classCount
)

// Request is what the scheduler knows of a request.
type Request struct {
	ID        ident.Request
	Service   ident.Service
	Workspace ident.Workspace
	Class     Class
	// Cost is the estimated cost in units of the service: tokens for a model,
	// milliseconds of a slot for a plain service.
	Cost float64
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
	// Prefix identifies the start of the prompt; zero means no affinity.
	Prefix uint64
	// Avoid lists targets that a retry must not use.
	Avoid []ident.Target
	// Preemptible tells that the request can be stopped and go on later.
	Preemptible bool
	// Stops counts how often that was done, and Earlier is the cost that the
	// stopped attempts have received. Cost is that of the whole request.
	Stops   int
	Earlier float64
}

// Workspace is a workspace's share of one service.
type Workspace struct {
	Name   ident.Workspace
	Weight float64
	// Queue bounds the requests that wait at one daemon.
	Queue int
	// Concurrent bounds the requests that wait or run in the fleet; zero means no
	// bound.
	Concurrent int
	// Rate bounds the requests that the fleet accepts a second; zero means no
	// bound.
	Rate float64
	// Targets are those that the workspace may use; empty means all.
	Targets []ident.Target
}

// Target is one back end of a service.
type Target struct {
	Name  ident.Target
	Zone  ident.Zone
	Slots int
}

// Service is the part of a document that decisions need.
type Service struct {
	Name       ident.Service
	Workspaces []Workspace
	Targets    []Target
	// MeanCost is the assumed cost of a request before any was measured.
	MeanCost float64
	// Plain marks a plain service, whose cost is time.
	Plain bool
	// Preemption allows to stop streams for questions of others.
	Preemption bool
}

// Peer is another live daemon.
type Peer struct {
	ID          ident.Daemon
	Incarnation uint64
	Zone        ident.Zone
	// Leaving tells that the peer is in a planned stop: it owns no targets any
	// more, but its waiting requests still get grants.
	Leaving bool
}

// Result tells how an attempt ended.
type Result struct {
	// Served is the true cost in units of the service.
	Served float64
	// Elapsed runs from dispatch to the end; First from dispatch to the first
	// byte of the answer (zero: there was none).
	Elapsed, First time.Duration
	// Failed tells that the target or the way to it failed.
	Failed bool
	// NotRun tells that the request did not run and may be queued again.
	NotRun bool
	// Preempted tells that the attempt was stopped because of a Preempt.
	Preempted bool
}

// Health is what has been learnt about a target.
type Health string

// What can be learnt about a target.
const (
	HealthAnswered Health = "answered"
	HealthFailed   Health = "failed"
	HealthLeaving  Health = "leaving"
	HealthReturned Health = "returned"
)

// Demand says how many requests of a workspace wait at the sender.
type Demand struct {
	Service   ident.Service
	Workspace ident.Workspace
	Waiting   uint32
	// Urgent counts those of them that are interactive.
	Urgent uint32
	// Seen is the highest grant of the receiver that the sender has taken into
	// account, so that grants on their way are not counted as demand again.
	Seen uint64
}

// Grant gives one slot of a target to one request of a workspace.
type Grant struct {
	// ID grows with each grant of an owner's incarnation.
	ID        uint64
	Service   ident.Service
	Workspace ident.Workspace
	Target    ident.Target
	// Spare tells that the owner has slots to spare: the ingress may keep this
	// one idle for a moment, for the workspace's next request.
	Spare bool
	// Cached are marks of the prompt prefixes that the target holds, where the
	// owner knows them and has not told this ingress of late.
	Cached []uint16
}

// Release gives a slot back to its owner.
type Release struct {
	Grant uint64
	// Unused tells that nothing was dispatched.
	Unused bool
	// Result is set where a request was dispatched.
	Result Result
}

// Part is the service that one daemon's incarnation has delivered to a
// workspace in total, in units of the service. It only grows but for the
// correction of estimates, and a later message replaces an earlier one.
type Part struct {
	Service   ident.Service
	Workspace ident.Workspace
	Served    float64
}

// Limit tells what the sender's callers ask of a workspace's own limits. A later
// message replaces an earlier one.
type Limit struct {
	Service   ident.Service
	Workspace ident.Workspace
	limit.News
}

// TargetNews spreads what one daemon learnt about a target.
type TargetNews struct {
	Service ident.Service
	Target  ident.Target
	Health  Health
}

// Message is everything that one Core tells another in one go. Incarnation is
// the sender's; a message of an older incarnation is dropped.
type Message struct {
	Incarnation uint64
	Demand      []Demand
	Grants      []Grant
	Releases    []Release
	Parts       []Part
	// Sums are what the sender has added up for its zone (see reduce.go): to a
	// daemon of the zone what all others have delivered, to one of another zone
	// what the sender's has. They count as differences to the last one.
	Sums   []Part
	Limits []Limit
	News   []TargetNews
	// Held lists the grants of the receiver that the sender still holds. It is
	// sent from time to time (HeldValid) so that a lost release frees its slot.
	Held      []uint64
	HeldValid bool
	// HeldSeen is the highest grant that the list takes into account.
	HeldSeen uint64
	// Preempts lists grants of the sender whose slots it asks back.
	Preempts []uint64
	// Bookings is what package booking tells, where that takes the place of
	// grants.
	Bookings booking.Message
}

// Effect is something that the caller of the Core has to do.
type Effect interface{ effect() }

// Dispatch sends a request to a target.
type Dispatch struct {
	Request ident.Request
	Service ident.Service
	Target  ident.Target
}

// Refuse gives a waiting request its final answer.
type Refuse struct {
	Request ident.Request
	Failure *resultcode.Failure
}

// Send passes a message to another daemon. Messages to one daemon must arrive
// in order; a lost link loses them and is repaired by the next full exchange.
type Send struct {
	To      ident.Daemon
	Message Message
}

func (Dispatch) effect() {}
func (Refuse) effect()   {}
func (Send) effect()     {}

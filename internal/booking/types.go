package booking

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/region"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// PromptPart is a part of a prompt that an engine may cache.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request holds what placement decisions need to know about a request.
type Request struct {
	ID        ident.Request
	Service   ident.Service
	Workspace ident.Workspace
	// Prompt and Output are numbers of tokens, zero for a plain service. Parts are the parts of
	// the prompt in order; the last one is not shared with any other request.
	Prompt, Output int
	Parts          []PromptPart
	// Deadline is when the first byte of the answer is due.
	Deadline time.Time
	// Late reports that the answer cannot meet its deadline any more, so that the request gets
	// spare capacity only.
	Late bool
	// Avoid lists targets that a further attempt must not use.
	Avoid []ident.Target
	// PreviouslyPlaced reports that an earlier attempt was placed: the request is already
	// counted in its workspace's share, and the work done for it is lost if it is refused now.
	PreviouslyPlaced bool
	// OwnerContacted reports that an owner has received this request before, in a placement
	// that failed because the target could not be reached.
	OwnerContacted bool
	// Regions are those whose targets may run the request.
	Regions region.Set
	// Paused lists targets to which this daemon may send nothing at present.
	Paused []Pause
	// Pinned reports that the request continues a stream, so that only targets of Version may be
	// used; none if Version is empty.
	Pinned  bool
	Version ident.Version
}

// Pause is the time until which a target has asked a daemon for no requests.
type Pause struct {
	Target ident.Target
	Until  time.Time
}

// Cost is what a request counts against its workspace's share: tokens, with a generated one
// counting twice; 1 for a plain service.
func (r *Request) Cost() float64 {
	if r.Prompt == 0 {
		return 1
	}
	return Tokens(r.Prompt, r.Output)
}

// Tokens returns what a prompt and an answer count against their workspace's share.
func Tokens(prompt, output int) float64 { return float64(prompt + outputWeight*output) }

// outputWeight is the cost of a generated token relative to a prompt token: about the inverse
// of the ratio of the rates at which an engine processes them.
const outputWeight = 2

// Workspace is a customer and its weight in the division of a service.
type Workspace struct {
	Name   ident.Workspace
	Weight float64
}

// Target is one backend of a service.
type Target struct {
	Name ident.Target
	Zone ident.Zone
	// Slots is how many requests the target runs concurrently.
	Slots int
	// Memory is how many tokens the target can hold; zero for a plain service.
	Memory int
	// Generation distinguishes a restarted target from its predecessor.
	Generation int64
	// Version is the version of its software; empty if it states none.
	Version ident.Version
	// Region is the region of Zone; empty if it is not known.
	Region ident.Region
	// Evacuated reports that nothing more may be sent to the target.
	Evacuated bool
	// ColdUntil is when the target is warm at the latest; zero if it is warm.
	ColdUntil time.Time
	// Draining reports that the target gets no requests. Other targets may still copy cached
	// prefixes from it.
	Draining bool
}

// Service holds what placement decisions need to know about a service.
type Service struct {
	Name ident.Service
	// ServesModel reports that the targets are inference engines, which prefill prompts.
	ServesModel bool
	Targets     []Target
	Workspaces  []Workspace
	// FetchPerToken is the time to copy one cached token from another target; zero means that
	// targets do not copy from each other.
	FetchPerToken time.Duration
	// ColdLimit is how many requests all daemons together may send to a cold target in one second;
	// zero means that there is no limit.
	ColdLimit int
	// ChecksWarmth reports that the owner of a target requests health checks of the target.
	ChecksWarmth bool
	// Rate is the total capacity of the targets, in units of Cost per second; zero means that
	// it is unknown and workspaces are not limited to shares.
	Rate float64
	// LearnSpeeds reports that the speeds of the targets are estimated, and that targets get
	// requests in proportion.
	LearnSpeeds bool
}

// Peer is another live daemon.
type Peer struct {
	ID          ident.Daemon
	Incarnation uint64
	Zone        ident.Zone
	Leaving     bool
}

// Reservation is sent to the owner of a target to have a request admitted.
type Reservation struct {
	// ID increases with each reservation of an ingress's incarnation.
	ID        uint64
	Service   ident.Service
	Target    ident.Target
	Workspace ident.Workspace
	Prompt    int
	Output    int
	Parts     []PromptPart
	// Remaining is the time until the deadline.
	Remaining time.Duration
	Late      bool
	// Running reports that the target already runs the request: the owner only records it.
	Running bool
	// PrefillDone reports that the first byte of a running request has arrived, so that its
	// prefill is complete.
	PrefillDone bool
	// PreviouslyPlaced reports that an earlier attempt was placed.
	PreviouslyPlaced bool
	// FirstContact reports that no other owner has received the request before. The owner that
	// gets this one counts the demand of the workspace and detects retries by the caller.
	FirstContact bool
	// CachedHint is how many tokens of the prompt's prefix the target has cached according to
	// what the ingress has sent there, for an owner that is new to the target.
	CachedHint int
	// CachedElsewhere is how many tokens of the prompt's prefix another target has cached, from
	// which they can be copied.
	CachedElsewhere int
	// MayWait is set if the owner may let the request wait for a slot or memory while there is none.
	MayWait bool
}

// Reply answers a reservation.
type Reply struct {
	ID uint64
	OK bool
	// Wait is the expected time to the first byte.
	Wait time.Duration
	// CallerRetry reports that the request was refused before and the caller has retried it, so
	// that its answer is already late.
	CallerRetry bool
	// CachedTokens is how many tokens of the prompt's prefix the target has cached.
	CachedTokens int
	// Limit is why the owner refused the request, and ShareUsed how much of its share the
	// workspace had used by then; 1 is all of it.
	Limit     Limit
	ShareUsed float64
	// UnloadedWait is set with LimitPrompt: the time to the first byte if the target had
	// nothing else to do.
	UnloadedWait time.Duration
	// Hold is the longest time to hold the request back while waiting for the owner's signal to
	// proceed; zero means to dispatch it at once.
	Hold time.Duration
	// SlotWait is set in a refusal for want of a slot or memory: the longest time for which the
	// request could wait there or, if its reservation has MayWait set, does wait; zero means that it
	// may not. In the latter case another reply follows.
	SlotWait time.Duration
	// ExpectedSpareWait is set in a refusal: the expected time until the target has spare capacity for the
	// workspace.
	ExpectedSpareWait time.Duration
}

// FirstByteNotice notifies the owner that the first byte of an answer has arrived.
type FirstByteNotice struct {
	ID uint64
	// Elapsed runs from dispatch to the first byte.
	Elapsed time.Duration
}

// Release notifies the owner that a request has left its target.
type Release struct {
	ID uint64
	// Elapsed runs from dispatch to the end; zero means that the request was not dispatched.
	Elapsed time.Duration
	// Failed reports that the target or the connection to it failed, NotRun that the target did
	// not run the request.
	Failed, NotRun bool
	// EventInterval is the mean time between the events of the answer; zero means unknown.
	EventInterval time.Duration
}

// unusedGrant reports that the target has not run the request, so that what was granted for it
// was not used.
func (r *Release) unusedGrant() bool { return r.Elapsed == 0 || r.NotRun }

// Usage is one workspace's recent demand, the part of it that daemons refused for lack of
// processor time, and what owners granted, for the callers of the sender or of all daemons for
// which it reports. The values are decaying sums (see sums.go).
type Usage struct {
	Service              ident.Service
	Workspace            ident.Workspace
	Asked, Shed, Granted float64
}

// Load is what the sender knows about a target that it owns.
type Load struct {
	Service ident.Service
	Target  ident.Target
	// Wait is the time until a new prompt would be started, SlotUtilization the fraction of the
	// slots in use, FailureRate the fraction of recent requests that failed.
	Wait                         time.Duration
	SlotUtilization, FailureRate float64
	// Utilization is the use of the target's most heavily used resource relative to its desired
	// use, which is 1.
	Utilization float64
	// Speed is the estimated speed of the target, where 1 is the speed that is assumed of a target
	// before any was measured; zero means unknown.
	Speed float64
}

// Message carries everything that one Core sends to another at a time. Incarnation is that of
// the sender; a message of an older incarnation is dropped.
type Message struct {
	Incarnation  uint64
	Reservations []Reservation
	Replies      []Reply
	FirstBytes   []FirstByteNotice
	Releases     []Release
	// Scope is the set of daemons that Usage covers.
	Scope Scope
	Usage []Usage
	Loads []Load
	// Ready lists requests of the receiver that need not be held back any longer, by the IDs of
	// their reservations.
	Ready []uint64
}

// Empty reports whether the message has no content.
func (m *Message) Empty() bool {
	return len(m.Reservations)+len(m.Replies)+len(m.FirstBytes)+len(m.Releases)+len(m.Usage)+len(m.Loads)+len(m.Ready) == 0
}

// Result describes how an attempt ended.
type Result struct {
	// Elapsed runs from dispatch to the end; zero means that the request was not dispatched.
	Elapsed        time.Duration
	Failed, NotRun bool
	// EventInterval is the mean time between the events of the answer; zero means unknown.
	EventInterval time.Duration
}

// Effect is an action that the caller of the Core has to carry out.
type Effect interface{ effect() }

// Dispatch sends a request to a target.
type Dispatch struct {
	Request ident.Request
	Target  ident.Target
	// Basis explains the decision, for the log.
	Basis Basis
}

// Basis is what a placement decision was based on.
type Basis struct {
	// SelectedBy is "home" with its number or "emptiest" where the owner admitted the request,
	// "blind" where no owner replied.
	SelectedBy string
	// Expected is the expected time to the first byte; zero means unknown.
	Expected time.Duration
	// OwnersAsked counts the owners that were asked.
	OwnersAsked int
	// Limit is why a refused request was not admitted by the owner of the target with the
	// shortest wait, and ShareUsed how much of its share the workspace had used; 1 is all of
	// it.
	Limit     Limit
	ShareUsed float64
	// UnloadedWait is set with LimitPrompt: the time to the first byte if the target had
	// nothing else to do.
	UnloadedWait time.Duration
	// CallerRetry reports that the request was refused before and the caller has retried it.
	CallerRetry bool
	// FetchSource is the target from which the prompt's prefix is copied; empty if there is
	// none.
	FetchSource ident.Target
	// SendBy is until when the request may be sent; zero if there is no limit.
	SendBy time.Time
	// Held reports that the request was held back until the target had completed the prefill of
	// the prefix that it shares with another request.
	Held bool
	// SlotWait is how long the request has waited at owners for a slot or memory.
	SlotWait time.Duration
}

// Refuse gives a request its final answer.
type Refuse struct {
	Request ident.Request
	Failure *resultcode.Failure
	// Basis explains the decision; its Expected is the shortest wait that an owner reported.
	Basis Basis
}

// Send passes a message to another daemon.
type Send struct {
	To      ident.Daemon
	Message Message
}

func (Dispatch) effect() {}
func (Refuse) effect()   {}
func (Send) effect()     {}

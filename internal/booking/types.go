package booking

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Part is a part of a prompt that an engine may keep.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what decisions need to know of a request.
type Request struct {
	ID        ident.Request
	Service   ident.Service
	Workspace ident.Workspace
	// Prompt and Output are tokens, zero for a plain service. Parts are those of
	// the prompt, the first one first; the last belongs to the request alone.
	Prompt, Output int
	Parts          []Part
	// Due is when the first byte of the answer has to be there.
	Due time.Time
	// Late tells that an answer can't be in time any more and gets what is spare.
	Late bool
	// Avoid lists targets that a further attempt must not use.
	Avoid []ident.Target
	// Begun tells that an earlier attempt was placed: the request has counted in
	// its workspace's share, and what was done for it is lost if it is refused now.
	Begun bool
	// Known tells that owners were asked for the request before: a place came to
	// nothing, since the target could not be reached.
	Known bool
}

// Cost is what a request counts against its workspace: tokens, of which a
// generated one counts twice; one for a plain service.
func (r *Request) Cost() float64 {
	if r.Prompt == 0 {
		return 1
	}
	return Tokens(r.Prompt, r.Output)
}

// Tokens is what a prompt and an answer count against their workspace.
func Tokens(prompt, output int) float64 { return float64(prompt + outputWeight*output) }

// outputWeight is what a generated token counts against one read: about the
// inverse of how many more of the latter an engine does in the same time.
const outputWeight = 2

// Workspace is a customer and its weight.
type Workspace struct {
	Name   ident.Workspace
	Weight float64
}

// Target is one back end of a service.
type Target struct {
	Name ident.Target
	Zone ident.Zone
	// Slots is how many requests it runs at once.
	Slots int
	// Memory is what it keeps, in tokens; zero for a plain service.
	Memory int
	// Born tells a target that was started again from its predecessor.
	Born int64
}

// Service is what decisions need to know of a service.
type Service struct {
	Name ident.Service
	// Model tells that the targets read prompts.
	Model      bool
	Targets    []Target
	Workspaces []Workspace
	// Fetch is the time to copy one kept token from another target; zero: targets do
	// not copy from each other.
	Fetch time.Duration
	// Rate is what all targets together give, in units of Cost a second; zero:
	// not known, and no workspace is held to a share.
	Rate float64
}

// Peer is another live daemon.
type Peer struct {
	ID          ident.Daemon
	Incarnation uint64
	Zone        ident.Zone
	Leaving     bool
}

// Ask asks the owner of a target for a place.
type Ask struct {
	// ID grows with each ask of an ingress's incarnation.
	ID        uint64
	Service   ident.Service
	Target    ident.Target
	Workspace ident.Workspace
	Prompt    int
	Output    int
	Parts     []Part
	// Left is the time to Due.
	Left time.Duration
	Late bool
	// Taken tells that the request runs there already: the owner only notes it.
	Taken bool
	// Read tells of a taken one that its first byte has come: its prompt has been read.
	Read bool
	// Begun tells that an earlier attempt was placed.
	Begun bool
	// First tells that no other owner was asked for the request before: this one
	// counts what its workspace asks for, and knows whether it comes back.
	First bool
	// Here is how many tokens of the prompt's beginning the target keeps by what the
	// ingress has sent there, for an owner that knows little of it yet.
	Here int
	// Elsewhere is how many tokens of the prompt's beginning another target keeps,
	// from which they can be copied.
	Elsewhere int
}

// Reply answers an ask.
type Reply struct {
	ID uint64
	OK bool
	// Wait is the expected time to the first byte.
	Wait time.Duration
	// Back tells that the request was refused before and comes back, so that its
	// answer is late already.
	Back bool
	// Kept is how many tokens of the prompt's beginning the target keeps.
	Kept int
	// Limit is what kept the owner from taking the request, and Used how much of its share
	// the workspace has had then; one is all of it.
	Limit Limit
	Used  float64
	// Alone is, with LimitPrompt, the time to the first byte of the prompt alone.
	Alone time.Duration
	// Hold is for how long at most the request is to be held back, until the owner tells
	// that it is to go on; zero: it is to go at once.
	Hold time.Duration
}

// Mark tells the owner that the first byte of an answer has come.
type Mark struct {
	ID uint64
	// First runs from dispatch to the first byte.
	First time.Duration
}

// End tells the owner that a request has left its target.
type End struct {
	ID uint64
	// Elapsed runs from dispatch to the end; zero: it was not dispatched.
	Elapsed time.Duration
	// Failed tells that the target or the way to it failed, NotRun that it did not
	// run the request.
	Failed, NotRun bool
	// Pause is the mean time between the events of the answer; zero: not known.
	Pause time.Duration
}

// unused tells that the target has not run the request: what was granted for it served nobody.
func (e *End) unused() bool { return e.Elapsed == 0 || e.NotRun }

// Usage is what the callers of the sender, or of all for whom it speaks, asked for of
// late, what of it was refused for want of a daemon's processor time, and what was granted
// by owners, for one workspace: sums that fade (see sums.go).
type Usage struct {
	Service              ident.Service
	Workspace            ident.Workspace
	Asked, Shed, Granted float64
}

// Load is what the sender knows of a target that it owns.
type Load struct {
	Service ident.Service
	Target  ident.Target
	// Wait is the time until a new prompt would be begun, Taken the part of the
	// slots in use, Failures the part of requests that failed of late.
	Wait            time.Duration
	Taken, Failures float64
	// Use is how near the target is to what it may be used for; one is as near as it
	// should be.
	Use float64
}

// Message is everything that one Core tells another in one go. Incarnation is the
// sender's; a message of an older incarnation is dropped.
type Message struct {
	Incarnation uint64
	Asks        []Ask
	Replies     []Reply
	Marks       []Mark
	Ends        []End
	// Scope is what Usage stands for.
	Scope Scope
	Usage []Usage
	Loads []Load
	// Ready are requests of the one that gets the message that need not be held back any
	// longer, by the numbers of their asks.
	Ready []uint64
}

// Empty tells that there is nothing in the message.
func (m *Message) Empty() bool {
	return len(m.Asks)+len(m.Replies)+len(m.Marks)+len(m.Ends)+len(m.Usage)+len(m.Loads)+len(m.Ready) == 0
}

// Result tells how an attempt ended.
type Result struct {
	// Elapsed runs from dispatch to the end; zero: it was not dispatched.
	Elapsed        time.Duration
	Failed, NotRun bool
	// Pause is the mean time between the events of the answer; zero: not known.
	Pause time.Duration
}

// Effect is something that the caller of the Core has to do.
type Effect interface{ effect() }

// Dispatch sends a request to a target.
type Dispatch struct {
	Request ident.Request
	Target  ident.Target
	// Basis tells on what the decision stands, for the log.
	Basis Basis
}

// Basis is what a placement was decided by.
type Basis struct {
	// By is "home" with its number or "emptiest" where the owner granted, "blind"
	// where no owner answered.
	By string
	// Expected is the expected time to the first byte; zero: not known.
	Expected time.Duration
	// Asks counts the owners asked.
	Asks int
	// Limit is what kept the owner of the target with the shortest wait from taking a refused
	// request, and Used how much of its share the workspace had had; one is all of it.
	Limit Limit
	Used  float64
	// Alone is, with LimitPrompt, the time to the first byte of the prompt alone.
	Alone time.Duration
	// Back tells that the request was refused before and has come back.
	Back bool
	// Source is the target from which the beginning of the prompt is to be copied;
	// empty: none.
	Source ident.Target
	// Held tells that it was held back until the target had read what it shares with
	// another one.
	Held bool
}

// Refuse gives a request its final answer.
type Refuse struct {
	Request ident.Request
	Failure *resultcode.Failure
	// Basis tells on what the decision stands: Expected is the shortest wait that was told.
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

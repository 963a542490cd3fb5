// Package fairshare decides which workspace of a service gets the next free
// slot of an owner, that is, a daemon that owns targets.
//
// The load pattern it addresses: many owners, each with some of the slots,
// serve the same backlogged workspaces and learn with a lag what the others
// have served. The true cost of a request becomes known only while it runs, so
// service that is charged as it is delivered lags behind every decision by the
// duration of a request. Owners that rely on such a counter alone all pick the
// same workspace until the counter has moved, and then all drop it: the gap
// between workspaces grows with the lag and with the duration of requests.
//
// The Ledger therefore uses two control loops. The fast loop needs no exchange
// between owners: an owner divides its slots among the backlogged workspaces by
// weight, because each request running on its targets counts against its
// workspace immediately. The slow loop uses weighted virtual time, summed over
// all owners: an owner shifts its slots so that the whole fleet repays a
// difference within a horizon, and the horizon grows with the lag, which keeps
// the loop stable. Estimates of a request's cost are not used, so a false
// estimate gains nothing. Only the daemon that delivered service reports it, so
// spreading requests over more daemons gains nothing either.
//
// The defaults are explained in docs/design/fair-share.md. A Ledger is not safe
// for concurrent use.
package fairshare

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Defaults of Config.
const (
	DefaultMeanCost      = 300
	DefaultRunningCharge = 10
	DefaultHorizon       = 500 * time.Millisecond
	DefaultLagFactor     = 1
	DefaultMinShare      = 0.25
	DefaultMaxLead       = 2 * time.Second
	DefaultMaxDeviation  = 10 * time.Second
)

// Config configures a Ledger. Zero fields take their defaults.
type Config struct {
	// Self is the name of this owner. Each owner breaks ties in a different
	// order.
	Self ident.Daemon
	// Incarnation is the incarnation of this owner. Incarnations increase with
	// the start time, so a peer with a higher one has served nothing that this
	// ledger could have missed.
	Incarnation uint64
	// MeanCost is the mean cost of a request in units of the service (default
	// 300). It is used until Tune is called with measured figures.
	MeanCost float64
	// RunningCharge is what one running request counts against its workspace,
	// as a multiple of MeanCost (default 10). It is used until Tune is called
	// with measured figures.
	RunningCharge float64
	// Horizon is the minimum time in which the fleet repays a difference
	// (default 0.5 s). Of the values from 0.5 to 16 s, the shortest gave the
	// smallest gaps at a lag of 0.5 s; see docs/design/fair-share.md.
	Horizon time.Duration
	// LagFactor is the minimum horizon as a multiple of the exchange lag
	// (default 1). Below one half, owners repay the same difference several
	// times before they observe the repayment, and the shares oscillate.
	LagFactor float64
	// MinShare is the fraction of its fair share of an owner's slots that the
	// most over-served workspace still gets (default 0.25), so that repayment
	// never starves it.
	MinShare float64
	// MaxLead is the maximum lead of a workspace over the least served one at
	// which it still gets a slot that both could use, expressed as the time in
	// which it receives that much service at its fair share (default 2 s). It
	// is raised to the exchange lag, which is the age of an owner's view, if
	// that is longer.
	MaxLead time.Duration
	// MaxDeviation bounds the remembered difference from the median, in the
	// same unit (default 10 s). It is never below twice the effective MaxLead.
	// Without it, a workspace that had a partitioned zone to itself would be
	// held back for as long as the partition lasted.
	MaxDeviation time.Duration
}

func (c Config) withDefaults() Config {
	c.MeanCost = cmp.Or(c.MeanCost, DefaultMeanCost)
	c.RunningCharge = cmp.Or(c.RunningCharge, DefaultRunningCharge)
	c.Horizon = cmp.Or(c.Horizon, DefaultHorizon)
	c.LagFactor = cmp.Or(c.LagFactor, DefaultLagFactor)
	c.MinShare = cmp.Or(c.MinShare, DefaultMinShare)
	c.MaxLead = cmp.Or(c.MaxLead, DefaultMaxLead)
	c.MaxDeviation = cmp.Or(c.MaxDeviation, DefaultMaxDeviation)
	return c
}

// Conditions holds the measurements that the slow loop is tuned to.
type Conditions struct {
	// Lag is the age at which an owner learns of service delivered by other
	// owners.
	Lag time.Duration
	// SlotRate is the cost charged per second for one running request.
	SlotRate float64
	// MeanCost is the mean cost of a request; zero selects the configured one.
	MeanCost float64
	// LocalSlots and FleetSlots are the usable slots of the service at this
	// owner and in the whole fleet, as far as they are known.
	LocalSlots, FleetSlots int
}

// account is the state of one workspace.
type account struct {
	weight float64
	group  *group
	// virtualTime is the service received divided by the weight, adjusted by
	// SetBacklogged, SetGroup and clamping.
	virtualTime  float64
	localService float64
	// changed is set if localService has changed since the last call of
	// Changed, changedBefore if it had changed at that call.
	changed, changedBefore bool
	tieBreak               uint64
}

// Ledger keeps the weighted virtual time of the workspaces of one service.
type Ledger struct {
	config   Config
	accounts map[ident.Workspace]*account
	// backlogged is the set of accounts whose workspaces have waiting requests.
	backlogged map[*account]struct{}
	peers      map[ident.Daemon]*peer
	// groups holds the groups by name. defaultGroup has the empty name and is
	// for workspaces that may use every target.
	groups       map[string]*group
	defaultGroup *group
	// aggregates holds the totals reported by daemons that aggregate for
	// others.
	aggregates map[ident.Workspace]map[ident.Zone]aggregateReport
	// runningCharge is what one running request adds to the score, in units of
	// the service.
	runningCharge float64
	conditions    Conditions
	// maxRunning is the highest number of requests that the candidates have had
	// running on this owner.
	maxRunning int
}

// New returns an empty ledger.
func New(c Config) *Ledger {
	c = c.withDefaults()
	defaultGroup := &group{}
	l := &Ledger{
		config:       c,
		accounts:     make(map[ident.Workspace]*account),
		backlogged:   make(map[*account]struct{}),
		peers:        make(map[ident.Daemon]*peer),
		groups:       map[string]*group{"": defaultGroup},
		defaultGroup: defaultGroup,
		aggregates:   make(map[ident.Workspace]map[ident.Zone]aggregateReport),
	}
	l.runningCharge = c.RunningCharge * c.MeanCost
	return l
}

// Tune adjusts the slow loop to measured conditions. Without a slot rate or
// local slots, the configured charge is used.
//
// The charge is horizon x slot rate x fleet slots / local slots: a difference
// of D units over weight then moves D / charge slots per weight at this owner
// and D / (horizon x slot rate) in the fleet, which delivers D within the
// horizon.
func (l *Ledger) Tune(c Conditions) {
	l.conditions = c
	if c.MeanCost <= 0 {
		c.MeanCost = l.config.MeanCost
	}
	if c.SlotRate <= 0 || c.LocalSlots <= 0 {
		l.runningCharge = l.config.RunningCharge * c.MeanCost
		return
	}
	fleet := max(c.FleetSlots, c.LocalSlots)
	l.runningCharge = l.horizon(c).Seconds() * c.SlotRate * float64(fleet) / float64(c.LocalSlots)
}

// horizon is the time in which the fleet repays a difference.
func (l *Ledger) horizon(c Conditions) time.Duration {
	return max(l.config.Horizon, time.Duration(l.config.LagFactor*float64(c.Lag)))
}

// SetWeight adds a workspace or changes its weight; w must be positive. Service
// already received is not reweighted.
func (l *Ledger) SetWeight(ws ident.Workspace, w float64) {
	l.account(ws).weight = w
}

// Remove removes a workspace that is no longer in the document.
func (l *Ledger) Remove(ws ident.Workspace) {
	if a := l.accounts[ws]; a != nil {
		delete(l.backlogged, a)
	}
	delete(l.accounts, ws)
	delete(l.aggregates, ws)
	for _, p := range l.peers {
		delete(p.reports, ws)
	}
}

func (l *Ledger) account(ws ident.Workspace) *account {
	a := l.accounts[ws]
	if a == nil {
		a = &account{weight: 1, group: l.defaultGroup, virtualTime: l.defaultGroup.floor, tieBreak: l.tieBreak(ws)}
		l.accounts[ws] = a
	}
	return a
}

// tieBreak orders workspaces with equal scores. The order differs between
// owners, because owners that broke the same tie alike would all serve the same
// workspace at once.
func (l *Ledger) tieBreak(ws ident.Workspace) uint64 {
	h := fnv.New64a()
	// Write never returns an error for a hash.
	_, _ = h.Write([]byte(l.config.Self))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(ws))
	return h.Sum64()
}

// Charge adds service delivered on this owner's targets. A negative cost
// corrects an earlier charge.
func (l *Ledger) Charge(ws ident.Workspace, cost float64) {
	if cost == 0 {
		return
	}
	a := l.account(ws)
	a.localService += cost
	a.changed = true
	a.virtualTime += cost / a.weight
}

// LocalService returns the service that this incarnation has delivered to the
// workspace.
func (l *Ledger) LocalService(ws ident.Workspace) float64 {
	if a := l.accounts[ws]; a != nil {
		return a.localService
	}
	return 0
}

// Changed returns, in sorted order, the workspaces whose local service has
// changed since the last call, and those for which it had changed at the last
// call but has not since: reporting an unchanged total once tells peers that
// service has stopped.
func (l *Ledger) Changed() []ident.Workspace {
	var out []ident.Workspace
	for ws, a := range l.accounts {
		if a.changed || a.changedBefore {
			out = append(out, ws)
		}
		a.changedBefore, a.changed = a.changed, false
	}
	slices.Sort(out)
	return out
}

// SetBacklogged sets whether requests of the workspace are waiting at any
// daemon. A workspace that becomes backlogged is raised to the median of the
// backlogged workspaces of its group, or of all groups if it is the first of
// its group. Time spent idle thus earns no credit, which would let the
// workspace take every slot on its return.
func (l *Ledger) SetBacklogged(ws ident.Workspace, backlogged bool) {
	a := l.account(ws)
	if _, current := l.backlogged[a]; current == backlogged {
		return
	}
	if !backlogged {
		delete(l.backlogged, a)
		return
	}
	if median, ok := l.backloggedMedian(a.group); ok {
		a.group.floor = max(a.group.floor, median)
	} else if median, ok := l.backloggedMedian(nil); ok {
		a.group.floor = max(a.group.floor, median)
	}
	l.backlogged[a] = struct{}{}
	a.virtualTime = max(a.virtualTime, a.group.floor)
}

// backloggedMedian is the median virtual time of the backlogged workspaces of
// g, or of all groups if g is nil. It returns false if none is backlogged.
func (l *Ledger) backloggedMedian(g *group) (float64, bool) {
	var list []scoredCandidate
	for a := range l.backlogged {
		if g == nil || a.group == g {
			list = append(list, scoredCandidate{account: a})
		}
	}
	if len(list) == 0 {
		return 0, false
	}
	return weightedMedian(list), true
}

// Lead returns how far the workspace's virtual time is above the median of the
// backlogged workspaces that may use the same targets, in units of the service
// over weight. It is zero if none of them is backlogged.
func (l *Ledger) Lead(ws ident.Workspace) float64 {
	a := l.accounts[ws]
	if a == nil {
		return 0
	}
	median, ok := l.backloggedMedian(a.group)
	if !ok {
		return 0
	}
	return a.virtualTime - median
}

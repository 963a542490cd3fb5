// Package fairshare decides which workspace of one service gets the next free
// slot of an owner of targets.
//
// The load pattern it answers: many owners, each with some of the slots, serve
// the same backlogged workspaces, and learn with a lag what the others served.
// A request shows its true cost only while it runs, so service charged as it
// is delivered trails every decision by the length of a request. Owners that
// follow such a counter alone all pick the same workspace until the counter
// has moved, and then all drop it: the gap between workspaces grows with the
// lag and the length of requests.
//
// The Ledger therefore has two loops. The fast one needs no exchange: the own
// slots are divided among the backlogged workspaces by weight, because each
// running request on the own targets counts against its workspace at once. The
// slow one is weighted virtual time, summed over all owners: an owner shifts
// its slots so that the whole fleet repays a difference within a horizon, and
// the horizon grows with the lag, which keeps the loop stable. Estimates of a
// request's cost are not used, so a false one gains nothing; only the daemon
// that delivered service reports it, so spreading requests over more routers
// gains nothing either.
//
// The default figures come from docs/design/fair-share.md. A Ledger is not safe
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
	DefaultKeep          = 0.25
	DefaultMaxLead       = 2 * time.Second
	DefaultMaxDebt       = 10 * time.Second
)

// Config sets up a Ledger. Zero fields take their defaults.
type Config struct {
	// Self names the owner; ties are broken differently by each owner.
	Self ident.Daemon
	// Incarnation is the owner's own. Incarnations grow with the time of the
	// start, so a peer with a higher one has served nothing that this ledger
	// could have missed.
	Incarnation uint64
	// MeanCost of a request in units of the service (default 300). It is used
	// until Tune has measured figures.
	MeanCost float64
	// RunningCharge is what one running request counts against its workspace,
	// as a multiple of MeanCost, until Tune has measured figures (default 10).
	RunningCharge float64
	// Horizon is the least time in which the fleet repays a difference
	// (default 0.5 s). Of 0.5 to 16 s, the shortest gave the smallest gaps at a
	// lag of 0.5 s; docs/design/fair-share.md has the figures.
	Horizon time.Duration
	// LagFactor is the least horizon as a multiple of the exchange lag
	// (default 1). Below one half, owners repay the same difference several
	// times before they see it repaid, and the shares swing.
	LagFactor float64
	// Keep is the part of its fair share of an owner's slots that the most
	// over-served workspace goes on getting (default 0.25), so that repaying
	// never starves it.
	Keep float64
	// MaxLead is the most by which a workspace may lead the least served one
	// and still get a slot that both could use, as the time in which it receives
	// that at its fair share (default 2 s, and never below the exchange lag,
	// which is the time that an owner's view is behind).
	MaxLead time.Duration
	// MaxDebt bounds the remembered difference to the median, in the same way
	// (default 10 s, and never below twice the greatest lead). Without it a workspace that had a cut-off zone to itself
	// would be held down for as long as the cut lasted.
	MaxDebt time.Duration
}

func (c Config) withDefaults() Config {
	c.MeanCost = cmp.Or(c.MeanCost, DefaultMeanCost)
	c.RunningCharge = cmp.Or(c.RunningCharge, DefaultRunningCharge)
	c.Horizon = cmp.Or(c.Horizon, DefaultHorizon)
	c.LagFactor = cmp.Or(c.LagFactor, DefaultLagFactor)
	c.Keep = cmp.Or(c.Keep, DefaultKeep)
	c.MaxLead = cmp.Or(c.MaxLead, DefaultMaxLead)
	c.MaxDebt = cmp.Or(c.MaxDebt, DefaultMaxDebt)
	return c
}

// Conditions are the measured figures that the slow loop is tuned to.
type Conditions struct {
	// Lag is the age at which an owner learns of service elsewhere.
	Lag time.Duration
	// SlotRate is the cost that one running request is charged a second.
	SlotRate float64
	// MeanCost of a request; zero leaves the configured one.
	MeanCost float64
	// OwnSlots and FleetSlots are the usable slots of the service here and in
	// all, as far as they are known.
	OwnSlots, FleetSlots int
}

// account is what the ledger keeps of one workspace.
type account struct {
	weight float64
	// virtual is the service received over the weight, with lifts and clamps.
	virtual float64
	own     float64
	// changed tells that the own part changed since Changed was called last,
	// recent that it had changed then.
	changed, recent bool
	tie             uint64
}

// Ledger keeps the weighted virtual time of the workspaces of one service.
type Ledger struct {
	config   Config
	accounts map[ident.Workspace]*account
	// backlogged is the set of those that are backlogged.
	backlogged map[*account]struct{}
	peers      map[ident.Daemon]*peer
	// sums are what daemons that add up for others have told.
	sums map[ident.Workspace]map[ident.Zone]told
	// floor is the highest value that the median of the backlogged has had. It
	// is where a workspace starts when no other is backlogged.
	floor float64
	// charge is what one running request adds to the score, in units of the
	// service.
	charge     float64
	conditions Conditions
	// slots is the most that the candidates have had running here.
	slots int
}

// New returns an empty ledger.
func New(c Config) *Ledger {
	c = c.withDefaults()
	l := &Ledger{
		config:     c,
		accounts:   make(map[ident.Workspace]*account),
		backlogged: make(map[*account]struct{}),
		peers:      make(map[ident.Daemon]*peer),
		sums:       make(map[ident.Workspace]map[ident.Zone]told),
	}
	l.charge = c.RunningCharge * c.MeanCost
	return l
}

// Tune sets the slow loop to measured conditions. Without a slot rate or slots
// the configured charge stays.
//
// The charge is horizon x slot rate x fleet slots / own slots: a difference of
// D units over weight then moves D / charge slots per weight here and D /
// (horizon x slot rate) in the fleet, which delivers D within the horizon.
func (l *Ledger) Tune(c Conditions) {
	l.conditions = c
	if c.MeanCost <= 0 {
		c.MeanCost = l.config.MeanCost
	}
	if c.SlotRate <= 0 || c.OwnSlots <= 0 {
		l.charge = l.config.RunningCharge * c.MeanCost
		return
	}
	fleet := max(c.FleetSlots, c.OwnSlots)
	l.charge = l.horizon(c).Seconds() * c.SlotRate * float64(fleet) / float64(c.OwnSlots)
}

// horizon is how long the fleet takes to repay a difference.
func (l *Ledger) horizon(c Conditions) time.Duration {
	return max(l.config.Horizon, time.Duration(l.config.LagFactor*float64(c.Lag)))
}

// SetWeight adds a workspace or changes its weight; w must be positive.
// Service already received keeps the weight it was received at.
func (l *Ledger) SetWeight(ws ident.Workspace, w float64) {
	l.account(ws).weight = w
}

// Remove drops a workspace that the document no longer names.
func (l *Ledger) Remove(ws ident.Workspace) {
	if a := l.accounts[ws]; a != nil {
		delete(l.backlogged, a)
	}
	delete(l.accounts, ws)
	delete(l.sums, ws)
	for _, p := range l.peers {
		delete(p.parts, ws)
	}
}

func (l *Ledger) account(ws ident.Workspace) *account {
	a := l.accounts[ws]
	if a == nil {
		a = &account{weight: 1, virtual: l.floor, tie: l.tie(ws)}
		l.accounts[ws] = a
	}
	return a
}

// tie orders equal workspaces. Each owner has another order, because owners
// that break the same tie alike would all serve the same workspace at once.
func (l *Ledger) tie(ws ident.Workspace) uint64 {
	h := fnv.New64a()
	// A hash never returns an error from Write.
	_, _ = h.Write([]byte(l.config.Self))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(ws))
	return h.Sum64()
}

// Charge adds service delivered on the own targets. A negative cost corrects an
// earlier charge.
func (l *Ledger) Charge(ws ident.Workspace, cost float64) {
	if cost == 0 {
		return
	}
	a := l.account(ws)
	a.own += cost
	a.changed = true
	a.virtual += cost / a.weight
}

// Own returns what this incarnation has delivered to the workspace.
func (l *Ledger) Own(ws ident.Workspace) float64 {
	if a := l.accounts[ws]; a != nil {
		return a.own
	}
	return 0
}

// Changed returns, sorted, the workspaces whose own part changed since the last
// call, and those for which it no longer does: a part that is reported unchanged
// once tells that service has stopped.
func (l *Ledger) Changed() []ident.Workspace {
	var out []ident.Workspace
	for ws, a := range l.accounts {
		if a.changed || a.recent {
			out = append(out, ws)
		}
		a.recent, a.changed = a.changed, false
	}
	slices.Sort(out)
	return out
}

// SetBacklogged tells whether requests of the workspace wait anywhere. One that
// becomes backlogged is lifted to the median of the backlogged: time spent idle
// earns no credit, else it could take all slots on its return.
func (l *Ledger) SetBacklogged(ws ident.Workspace, backlogged bool) {
	a := l.account(ws)
	if _, was := l.backlogged[a]; was == backlogged {
		return
	}
	if !backlogged {
		delete(l.backlogged, a)
		return
	}
	if middle, ok := l.middle(); ok {
		l.floor = max(l.floor, middle)
	}
	l.backlogged[a] = struct{}{}
	a.virtual = max(a.virtual, l.floor)
}

// middle is the median of the backlogged workspaces.
func (l *Ledger) middle() (float64, bool) {
	var list []scored
	for a := range l.backlogged {
		list = append(list, scored{account: a})
	}
	if len(list) == 0 {
		return 0, false
	}
	return median(list), true
}

// Lead returns the workspace's virtual time over the median of the backlogged,
// in units of the service over weight; zero where nothing is backlogged.
func (l *Ledger) Lead(ws ident.Workspace) float64 {
	a := l.accounts[ws]
	middle, ok := l.middle()
	if a == nil || !ok {
		return 0
	}
	return a.virtual - middle
}

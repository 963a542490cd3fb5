package fairshare

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
)

// TestMain fixes the seed of the property tests, so that CI gets the same
// result on every run. Use -rapid.seed and -rapid.checks to run more cases.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlagDefault("rapid.seed", "1")
	setFlagDefault("rapid.checks", "300")
	os.Exit(m.Run())
}

var start = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func setFlagDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

const (
	modelStep     = 100 * time.Millisecond
	modelSteps    = 900
	modelSlotRate = 30.0 // cost per second of one slot
)

// model is a fleet of owners that share slots through their ledgers. Every
// owner knows the demand of all workspaces; reports of service are exchanged
// with lag, loss and restarts.
type model struct {
	rng        *rand.Rand
	now        time.Time
	lag        time.Duration
	loss       float64
	maxCost    float64
	owners     []*modelOwner
	workspaces []*modelWorkspace
	// maxViewAge is the greatest age that an owner's view of another owner has
	// reached.
	maxViewAge time.Duration
	restarts   int
}

type modelOwner struct {
	id          ident.Daemon
	incarnation uint64
	ledger      *Ledger
	slots       []*modelJob // nil if free
	// lastHeard is when the reports of each other owner were last merged.
	lastHeard map[ident.Daemon]time.Time
}

type modelWorkspace struct {
	name   ident.Workspace
	weight float64
	// period is zero for a workspace that always has work. Others have work in
	// every second period.
	period time.Duration
	served float64
	// restrictedTo limits the workspace to the slots of the first n owners;
	// zero means no limit.
	restrictedTo int
}

type modelJob struct {
	workspace *modelWorkspace
	remaining float64
}

func drawModel(t *rapid.T) *model {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &model{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     start,
		lag:     time.Duration(rapid.IntRange(2, 100).Draw(t, "lag")) * modelStep,
		loss:    rapid.Float64Range(0, 0.5).Draw(t, "loss"),
		maxCost: rapid.Float64Range(20, 3000).Draw(t, "largest"),
	}
	for i := range rapid.IntRange(2, 6).Draw(t, "steady") {
		m.workspaces = append(m.workspaces, &modelWorkspace{
			name:   ident.Workspace(fmt.Sprintf("steady-%d", i)),
			weight: rapid.Float64Range(0.5, 4).Draw(t, "weight"),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "others") {
		m.workspaces = append(m.workspaces, &modelWorkspace{
			name:   ident.Workspace(fmt.Sprintf("other-%d", i)),
			weight: rapid.Float64Range(0.5, 4).Draw(t, "weight"),
			period: time.Duration(rapid.IntRange(10, 200).Draw(t, "period")) * modelStep,
		})
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "owners") {
		o := &modelOwner{id: ident.Daemon(fmt.Sprintf("d%d", i))}
		o.slots = make([]*modelJob, rapid.IntRange(1, 8).Draw(t, "slots"))
		m.owners = append(m.owners, o)
	}
	if rapid.Bool().Draw(t, "ties") {
		ownerCount := rapid.IntRange(1, len(m.owners)).Draw(t, "first")
		for _, s := range m.workspaces[1:] {
			s.restrictedTo = ownerCount * rapid.IntRange(0, 1).Draw(t, "tied")
		}
	}
	for _, o := range m.owners {
		m.startOwner(o)
	}
	return m
}

// hasWorkFor reports whether the workspace has work that the owner's slots can
// run.
func (m *model) hasWorkFor(o *modelOwner, s *modelWorkspace) bool {
	return m.hasWork(s) && (s.restrictedTo == 0 || slices.Contains(m.owners[:s.restrictedTo], o))
}

// startOwner gives the owner a new ledger without state. MaxDeviation is set
// too high to be reached, because differences that the ledger discards are not
// covered by the bound.
func (m *model) startOwner(o *modelOwner) {
	o.incarnation++
	o.lastHeard = map[ident.Daemon]time.Time{}
	for _, p := range m.owners {
		o.lastHeard[p.id] = m.now
	}
	o.ledger = New(Config{Self: o.id, Incarnation: o.incarnation, MaxDeviation: 1e6 * time.Second})
	for _, s := range m.workspaces {
		o.ledger.SetWeight(s.name, s.weight)
		if s.restrictedTo > 0 {
			o.ledger.SetGroup(s.name, "tied")
		}
	}
	o.ledger.Tune(Conditions{
		Lag: m.lag, SlotRate: modelSlotRate, MeanCost: m.maxCost / 2, LocalSlots: len(o.slots), FleetSlots: m.slots(),
	})
}

func (m *model) slots() int {
	n := 0
	for _, o := range m.owners {
		n += len(o.slots)
	}
	return n
}

func (m *model) hasWork(s *modelWorkspace) bool {
	return s.period == 0 || m.now.Sub(start)/s.period%2 == 0
}

func (m *model) step() {
	m.now = m.now.Add(modelStep)
	for _, o := range m.owners {
		o.runStep()
		m.fillSlots(o)
	}
	if m.now.Sub(start)%m.lag == 0 {
		m.exchange()
	}
}

// runStep runs the owner's jobs for one step.
func (o *modelOwner) runStep() {
	for i, j := range o.slots {
		if j == nil {
			continue
		}
		o.charge(j, min(j.remaining, modelSlotRate*modelStep.Seconds()))
		if j.remaining <= 0 {
			o.slots[i] = nil
		}
	}
}

func (o *modelOwner) charge(j *modelJob, cost float64) {
	j.remaining -= cost
	j.workspace.served += cost
	o.ledger.Charge(j.workspace.name, cost)
}

// fillSlots assigns the free slots. Part of each job's cost is charged
// immediately, like the cost of a prompt.
func (m *model) fillSlots(o *modelOwner) {
	for i := range o.slots {
		if o.slots[i] != nil {
			continue
		}
		var candidates []Candidate
		for _, s := range m.workspaces {
			hasWork := m.hasWorkFor(o, s)
			o.ledger.SetBacklogged(s.name, hasWork)
			if hasWork {
				candidates = append(candidates, Candidate{
					Workspace: s.name, Running: o.running(s), Unreported: m.rng.IntN(5),
				})
			}
		}
		name, _ := o.ledger.Pick(candidates)
		for _, s := range m.workspaces {
			if s.name == name {
				cost := m.maxCost * math.Pow(m.rng.Float64(), 3)
				o.slots[i] = &modelJob{workspace: s, remaining: cost}
				o.charge(o.slots[i], cost*m.rng.Float64()*0.3)
			}
		}
	}
}

func (o *modelOwner) running(s *modelWorkspace) int {
	n := 0
	for _, j := range o.slots {
		if j != nil && j.workspace == s {
			n++
		}
	}
	return n
}

func (m *model) exchange() {
	for _, from := range m.owners {
		for _, to := range m.owners {
			if from == to {
				continue
			}
			m.maxViewAge = max(m.maxViewAge, m.now.Sub(to.lastHeard[from.id]))
			if m.rng.Float64() < m.loss {
				continue
			}
			to.lastHeard[from.id] = m.now
			for _, s := range m.workspaces {
				to.ledger.Merge(from.id, from.incarnation, s.name, from.ledger.LocalService(s.name))
			}
		}
	}
}

// bound is the maximum gap proved in docs/design/fair-share.md.
func (m *model) bound() float64 {
	minOwnerWeight, minWeight := math.Inf(1), math.Inf(1)
	for _, o := range m.owners {
		ownerWeight := 0.0
		for _, s := range m.workspaces {
			if s.period == 0 && m.hasWorkFor(o, s) {
				ownerWeight += s.weight
				minWeight = min(minWeight, s.weight)
			}
		}
		minOwnerWeight = min(minOwnerWeight, ownerWeight)
	}
	slots := float64(m.slots())
	maxLead := max(DefaultMaxLead, m.lag).Seconds() * modelSlotRate * slots / minOwnerWeight
	unreported := (m.maxViewAge + m.lag).Seconds() * slots * modelSlotRate
	return 2 * (maxLead + (unreported+2*slots*m.maxCost)/minWeight)
}

// Some workspaces are always backlogged and may use the same slots. Others have
// work intermittently or are restricted to other slots, request costs vary
// widely, the exchange is delayed and loses messages, and owners restart
// without state. In all these cases no always-backlogged workspace may get
// ahead of another by more than the bound over any time span; otherwise the one
// behind could wait indefinitely.
func TestGapStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		restarts := rapid.IntRange(0, 3).Draw(t, "restarts")
		restartAt := map[int]bool{}
		for range restarts {
			restartAt[rapid.IntRange(100, modelSteps-1).Draw(t, "at")] = true
		}
		minLead := map[[2]int]float64{}
		for step := range modelSteps {
			if restartAt[step] {
				m.restarts++
				m.startOwner(m.owners[m.rng.IntN(len(m.owners))])
			}
			m.step()
			limit := m.bound() * float64(1+m.restarts)
			for i, a := range m.workspaces {
				for k, b := range m.workspaces {
					if a.period > 0 || b.period > 0 || a == b || a.restrictedTo != b.restrictedTo {
						continue
					}
					lead := a.served/a.weight - b.served/b.weight
					pair := [2]int{i, k}
					minLead[pair] = min(minLead[pair], lead)
					if gap := lead - minLead[pair]; gap > limit {
						t.Fatalf("step %d: %s leads %s by %.0f, want at most %.0f", step, a.name, b.name, gap, limit)
					}
				}
			}
		}
	})
}

// Regardless of the other workspaces, a workspace that always has work must be
// served within a minute and a half, and no slot may be free while any
// workspace has waiting work.
func TestNoStarvationAndNoIdleSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		m.maxCost = min(m.maxCost, 600)
		for range modelSteps {
			m.step()
			for _, o := range m.owners {
				for _, j := range o.slots {
					if j == nil {
						t.Fatal("a slot is idle although work is waiting")
					}
				}
			}
		}
		for _, s := range m.workspaces {
			if s.period == 0 && s.served == 0 {
				t.Fatalf("%s got nothing", s.name)
			}
		}
	})
}

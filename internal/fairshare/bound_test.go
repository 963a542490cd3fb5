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

// TestMain fixes the seed of the property tests, so that CI gives the same
// verdict on every run. -rapid.seed and -rapid.checks ask for more.
func TestMain(m *testing.M) {
	flag.Parse()
	setUnlessGiven("rapid.seed", "1")
	setUnlessGiven("rapid.checks", "300")
	os.Exit(m.Run())
}

var start = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func setUnlessGiven(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

const (
	modelStep  = 100 * time.Millisecond
	modelSteps = 900
	modelRate  = 30.0 // cost a second of one slot
)

// model is a fleet of owners that share slots by their ledgers. Every owner sees
// all demand; service is exchanged with lag, loss and restarts.
type model struct {
	rng     *rand.Rand
	now     time.Time
	lag     time.Duration
	loss    float64
	largest float64
	owners  []*modelOwner
	spaces  []*modelSpace
	// age is the greatest age that an owner's view of another has had.
	age      time.Duration
	restarts int
}

type modelOwner struct {
	id          ident.Daemon
	incarnation uint64
	ledger      *Ledger
	slots       []*modelJob // nil: free
	// heard is when each other owner's parts were last taken in.
	heard map[ident.Daemon]time.Time
}

type modelSpace struct {
	name   ident.Workspace
	weight float64
	// steady workspaces always have work; others have it every second period.
	period time.Duration
	served float64
	// tied workspaces may use the slots of the first owners only; zero means all.
	tied int
}

type modelJob struct {
	space *modelSpace
	left  float64
}

func drawModel(t *rapid.T) *model {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &model{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     start,
		lag:     time.Duration(rapid.IntRange(2, 100).Draw(t, "lag")) * modelStep,
		loss:    rapid.Float64Range(0, 0.5).Draw(t, "loss"),
		largest: rapid.Float64Range(20, 3000).Draw(t, "largest"),
	}
	for i := range rapid.IntRange(2, 6).Draw(t, "steady") {
		m.spaces = append(m.spaces, &modelSpace{
			name:   ident.Workspace(fmt.Sprintf("steady-%d", i)),
			weight: rapid.Float64Range(0.5, 4).Draw(t, "weight"),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "others") {
		m.spaces = append(m.spaces, &modelSpace{
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
		first := rapid.IntRange(1, len(m.owners)).Draw(t, "first")
		for _, s := range m.spaces[1:] {
			s.tied = first * rapid.IntRange(0, 1).Draw(t, "tied")
		}
	}
	for _, o := range m.owners {
		m.boot(o)
	}
	return m
}

// wantsFrom tells whether the workspace has work that the owner's slots can do.
func (m *model) wantsFrom(o *modelOwner, s *modelSpace) bool {
	return m.wants(s) && (s.tied == 0 || slices.Contains(m.owners[:s.tied], o))
}

// boot gives the owner a ledger without state. Its clamp is out of reach: what
// it forgets is not part of the bound.
func (m *model) boot(o *modelOwner) {
	o.incarnation++
	o.heard = map[ident.Daemon]time.Time{}
	for _, p := range m.owners {
		o.heard[p.id] = m.now
	}
	o.ledger = New(Config{Self: o.id, Incarnation: o.incarnation, MaxDebt: 1e6 * time.Second})
	for _, s := range m.spaces {
		o.ledger.SetWeight(s.name, s.weight)
		if s.tied > 0 {
			o.ledger.SetGroup(s.name, "tied")
		}
	}
	o.ledger.Tune(Conditions{
		Lag: m.lag, SlotRate: modelRate, MeanCost: m.largest / 2, OwnSlots: len(o.slots), FleetSlots: m.slots(),
	})
}

func (m *model) slots() int {
	n := 0
	for _, o := range m.owners {
		n += len(o.slots)
	}
	return n
}

func (m *model) wants(s *modelSpace) bool {
	return s.period == 0 || m.now.Sub(start)/s.period%2 == 0
}

func (m *model) step() {
	m.now = m.now.Add(modelStep)
	for _, o := range m.owners {
		o.work()
		m.fill(o)
	}
	if m.now.Sub(start)%m.lag == 0 {
		m.exchange()
	}
}

// work serves the jobs of the owner for one step.
func (o *modelOwner) work() {
	for i, j := range o.slots {
		if j == nil {
			continue
		}
		o.charge(j, min(j.left, modelRate*modelStep.Seconds()))
		if j.left <= 0 {
			o.slots[i] = nil
		}
	}
}

func (o *modelOwner) charge(j *modelJob, cost float64) {
	j.left -= cost
	j.space.served += cost
	o.ledger.Charge(j.space.name, cost)
}

// fill gives away the free slots. A part of each job's cost is charged at once,
// as that of a prompt is.
func (m *model) fill(o *modelOwner) {
	for i := range o.slots {
		if o.slots[i] != nil {
			continue
		}
		var candidates []Candidate
		for _, s := range m.spaces {
			wants := m.wantsFrom(o, s)
			o.ledger.SetBacklogged(s.name, wants)
			if wants {
				candidates = append(candidates, Candidate{
					Workspace: s.name, Running: o.running(s), Unreported: m.rng.IntN(5),
				})
			}
		}
		name, _ := o.ledger.Pick(candidates)
		for _, s := range m.spaces {
			if s.name == name {
				cost := m.largest * math.Pow(m.rng.Float64(), 3)
				o.slots[i] = &modelJob{space: s, left: cost}
				o.charge(o.slots[i], cost*m.rng.Float64()*0.3)
			}
		}
	}
}

func (o *modelOwner) running(s *modelSpace) int {
	n := 0
	for _, j := range o.slots {
		if j != nil && j.space == s {
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
			m.age = max(m.age, m.now.Sub(to.heard[from.id]))
			if m.rng.Float64() < m.loss {
				continue
			}
			to.heard[from.id] = m.now
			for _, s := range m.spaces {
				to.ledger.Merge(from.id, from.incarnation, s.name, from.ledger.Own(s.name))
			}
		}
	}
}

// bound is the greatest gap that docs/design/fair-share.md proves.
func (m *model) bound() float64 {
	weights, light := math.Inf(1), math.Inf(1)
	for _, o := range m.owners {
		here := 0.0
		for _, s := range m.spaces {
			if s.period == 0 && m.wantsFrom(o, s) {
				here += s.weight
				light = min(light, s.weight)
			}
		}
		weights = min(weights, here)
	}
	slots := float64(m.slots())
	lead := max(DefaultMaxLead, m.lag).Seconds() * modelRate * slots / weights
	unseen := (m.age + m.lag).Seconds() * slots * modelRate
	return 2 * (lead + (unseen+2*slots*m.largest)/light)
}

// Two workspaces are backlogged all the time, and may use the same slots; others
// come and go or are tied to other slots, requests cost anything, the exchange is late and loses messages, and owners restart without
// state. Whatever happens, neither may get ahead of the other by more than the
// bound, over any span of time: else the one behind waits without limit.
func TestGapStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		restarts := rapid.IntRange(0, 3).Draw(t, "restarts")
		restartAt := map[int]bool{}
		for range restarts {
			restartAt[rapid.IntRange(100, modelSteps-1).Draw(t, "at")] = true
		}
		least := map[[2]int]float64{}
		for step := range modelSteps {
			if restartAt[step] {
				m.restarts++
				m.boot(m.owners[m.rng.IntN(len(m.owners))])
			}
			m.step()
			limit := m.bound() * float64(1+m.restarts)
			for i, a := range m.spaces {
				for k, b := range m.spaces {
					if a.period > 0 || b.period > 0 || a == b || a.tied != b.tied {
						continue
					}
					lead := a.served/a.weight - b.served/b.weight
					pair := [2]int{i, k}
					least[pair] = min(least[pair], lead)
					if gap := lead - least[pair]; gap > limit {
						t.Fatalf("step %d: %s leads %s by %.0f, above %.0f", step, a.name, b.name, gap, limit)
					}
				}
			}
		}
	})
}

// Whatever its neighbours are, a workspace with work gets some of it done in a
// minute and a half, and no slot is left free while anyone waits.
func TestNobodyStarvesAndNoSlotIdles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		m.largest = min(m.largest, 600)
		for range modelSteps {
			m.step()
			for _, o := range m.owners {
				for _, j := range o.slots {
					if j == nil {
						t.Fatal("a slot is free")
					}
				}
			}
		}
		for _, s := range m.spaces {
			if s.period == 0 && s.served == 0 {
				t.Fatalf("%s got nothing", s.name)
			}
		}
	})
}

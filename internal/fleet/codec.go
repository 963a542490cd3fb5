package fleet

import (
	"errors"
	"math"
	"slices"
	"time"
	"unique"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

const (
	// servedUnit is the resolution of served cost on a link: sixteenths of a
	// unit. Totals are sent, not differences, so rounding does not add up.
	servedUnit = 16
	// timeUnit is the resolution of durations on a link.
	timeUnit = 100 * time.Microsecond
	// maxNames bounds the tables of one direction of a link. 6,200 workspaces of
	// 18 services and 3,100 targets need some 100,000 pairs at the most.
	maxNames = 1 << 18
	// maxNameLength bounds one name in bytes.
	maxNameLength = 256

	releaseUnused    = 1
	releaseFailed    = 2
	releaseNotRun    = 4
	releasePreempted = 8
)

var (
	errColumns = errors.New("columns of a frame differ in length")
	errIndex   = errors.New("frame names an index that was never defined")
	errTable   = errors.New("table of names is too large")
)

var healthCodes = map[scheduler.Health]fleetv1.Health{
	scheduler.HealthAnswered: fleetv1.Health_HEALTH_ANSWERED,
	scheduler.HealthFailed:   fleetv1.Health_HEALTH_FAILED,
	scheduler.HealthLeaving:  fleetv1.Health_HEALTH_LEAVING,
	scheduler.HealthReturned: fleetv1.Health_HEALTH_RETURNED,
}

var healths = func() map[fleetv1.Health]scheduler.Health {
	byCode := make(map[fleetv1.Health]scheduler.Health, len(healthCodes))
	for h, code := range healthCodes {
		byCode[code] = h
	}
	return byCode
}()

// pair is a service with one of its workspaces or targets.
type pair struct {
	service ident.Service
	name    string
}

// encoder turns messages into frames. It holds the sender's end of the tables
// of one direction of one link.
type encoder struct {
	names map[string]uint32
	pairs map[pair]uint32
}

func newEncoder() *encoder {
	return &encoder{names: map[string]uint32{}, pairs: map[pair]uint32{}}
}

// full tells that the tables reached their bound; the link is then replaced.
func (e *encoder) full() bool {
	return len(e.names) >= maxNames || len(e.pairs) >= maxNames
}

func (e *encoder) name(f *fleetv1.Frame, name string) uint32 {
	if i, ok := e.names[name]; ok {
		return i
	}
	i := uint32(len(e.names))
	e.names[name] = i
	f.Names = append(f.Names, name)
	return i
}

func (e *encoder) pair(f *fleetv1.Frame, service ident.Service, name string) uint32 {
	p := pair{service, name}
	if i, ok := e.pairs[p]; ok {
		return i
	}
	s, n := e.name(f, string(service)), e.name(f, name)
	i := uint32(len(e.pairs))
	e.pairs[p] = i
	if f.Pairs == nil {
		f.Pairs = &fleetv1.Pairs{}
	}
	f.Pairs.Service = append(f.Pairs.Service, s)
	f.Pairs.Name = append(f.Pairs.Name, n)
	return i
}

// message adds a message to the frame.
func (e *encoder) message(f *fleetv1.Frame, m *scheduler.Message) {
	e.demand(f, m.Demand)
	e.grants(f, m.Grants)
	e.releases(f, m.Releases)
	f.Parts = e.parts(f, m.ServedTotals)
	f.Sums = e.parts(f, m.Aggregates)
	e.limits(f, m.Limits)
	e.news(f, m.HealthUpdates)
	if m.HeldGrantsValid {
		f.Held = &fleetv1.Held{GrantStep: steps(m.HeldGrants), Seen: m.HeldGrantsSeen}
	}
	if len(m.PreemptGrants) > 0 {
		f.PreemptStep = steps(m.PreemptGrants)
	}
	f.Bookings = e.bookings(f, &m.Bookings)
}

func (e *encoder) demand(f *fleetv1.Frame, rows []scheduler.Demand) {
	if len(rows) == 0 {
		return
	}
	f.Demands = &fleetv1.Demands{}
	var step stepper
	for _, d := range rows {
		f.Demands.Pair = append(f.Demands.Pair, e.pair(f, d.Service, string(d.Workspace)))
		f.Demands.Waiting = append(f.Demands.Waiting, d.Waiting)
		f.Demands.SeenStep = append(f.Demands.SeenStep, step.down(d.SeenGrant))
		f.Demands.Urgent = append(f.Demands.Urgent, d.Urgent)
	}
	if !slices.ContainsFunc(rows, func(d scheduler.Demand) bool { return d.Urgent > 0 }) {
		f.Demands.Urgent = nil
	}
}

func (e *encoder) grants(f *fleetv1.Frame, rows []scheduler.Grant) {
	if len(rows) == 0 {
		return
	}
	f.Grants = &fleetv1.Grants{}
	var step stepper
	for _, g := range rows {
		f.Grants.IdStep = append(f.Grants.IdStep, step.down(g.ID))
		f.Grants.Pair = append(f.Grants.Pair, e.pair(f, g.Service, string(g.Workspace)))
		f.Grants.Target = append(f.Grants.Target, e.name(f, string(g.Target)))
		f.Grants.Spare = append(f.Grants.Spare, g.SpareCapacity)
	}
	f.Grants.Cached = cached(rows)
}

func (e *encoder) releases(f *fleetv1.Frame, rows []scheduler.Release) {
	if len(rows) == 0 {
		return
	}
	out := &fleetv1.Releases{}
	var step stepper
	for _, r := range rows {
		out.GrantStep = append(out.GrantStep, step.down(r.Grant))
		out.Flags = append(out.Flags, releaseFlags(r))
		out.Served = append(out.Served, toServed(r.Result.Served))
		out.Elapsed = append(out.Elapsed, toTime(r.Result.Elapsed))
		out.First = append(out.First, toTime(r.Result.FirstByte))
	}
	f.Releases = out
}

func (e *encoder) parts(f *fleetv1.Frame, rows []scheduler.ServedTotal) *fleetv1.Parts {
	if len(rows) == 0 {
		return nil
	}
	out := &fleetv1.Parts{}
	for _, p := range rows {
		out.Pair = append(out.Pair, e.pair(f, p.Service, string(p.Workspace)))
		out.Served = append(out.Served, toServed(p.Served))
	}
	return out
}

func (e *encoder) news(f *fleetv1.Frame, rows []scheduler.TargetHealthUpdate) {
	if len(rows) == 0 {
		return
	}
	f.News = &fleetv1.News{}
	for _, n := range rows {
		f.News.Pair = append(f.News.Pair, e.pair(f, n.Service, string(n.Target)))
		f.News.Health = append(f.News.Health, healthCodes[n.Health])
	}
}

func releaseFlags(r scheduler.Release) uint32 {
	var flags uint32
	if r.Unused {
		flags |= releaseUnused
	}
	if r.Result.Failed {
		flags |= releaseFailed
	}
	if r.Result.NotRun {
		flags |= releaseNotRun
	}
	if r.Result.Preempted {
		flags |= releasePreempted
	}
	return flags
}

func toServed(units float64) int64 { return int64(math.Round(units * servedUnit)) }

func toTime(d time.Duration) uint64 {
	if d <= 0 {
		return 0
	}
	// Rounded up, for zero means that there was none.
	return uint64((d + timeUnit - 1) / timeUnit)
}

// decoder turns frames into messages. It holds the receiver's end of the
// tables of one direction of one link.
type decoder struct {
	names []string
	pairs []pair
}

// message reads the frame's message; ok is false where it holds none. An error
// means that the two ends no longer agree, and the link must be replaced.
func (d *decoder) message(f *fleetv1.Frame) (m scheduler.Message, ok bool, err error) {
	if err := d.define(f); err != nil {
		return m, false, err
	}
	for _, read := range []func(*fleetv1.Frame, *scheduler.Message) error{
		d.demand, d.grants, d.releases, d.parts, d.limits, d.news, d.bookings,
	} {
		if err := read(f, &m); err != nil {
			return m, false, err
		}
	}
	if h := f.GetHeld(); h != nil {
		m.HeldGrantsValid, m.HeldGrantsSeen = true, h.GetSeen()
		m.HeldGrants = values(h.GetGrantStep())
	}
	m.PreemptGrants = values(f.GetPreemptStep())
	ok = m.HeldGrantsValid || !m.Bookings.Empty() || len(m.Demand)+len(m.Grants)+len(m.Releases)+len(m.ServedTotals)+len(m.Aggregates)+len(m.Limits)+len(m.HealthUpdates)+len(m.PreemptGrants) > 0
	return m, ok, nil
}

func (d *decoder) define(f *fleetv1.Frame) error {
	for _, n := range f.GetNames() {
		if len(n) > maxNameLength || len(d.names) >= maxNames {
			return errTable
		}
		// One copy of a name serves the tables of all links.
		d.names = append(d.names, unique.Make(n).Value())
	}
	p := f.GetPairs()
	if len(p.GetService()) != len(p.GetName()) {
		return errColumns
	}
	for i, s := range p.GetService() {
		n := p.GetName()[i]
		if int(s) >= len(d.names) || int(n) >= len(d.names) {
			return errIndex
		}
		if len(d.pairs) >= maxNames {
			return errTable
		}
		d.pairs = append(d.pairs, pair{ident.Service(d.names[s]), d.names[n]})
	}
	return nil
}

func (d *decoder) pair(i uint32) (pair, error) {
	if int(i) >= len(d.pairs) {
		return pair{}, errIndex
	}
	return d.pairs[i], nil
}

func (d *decoder) demand(f *fleetv1.Frame, m *scheduler.Message) error {
	in := f.GetDemands()
	if len(in.GetWaiting()) != len(in.GetPair()) || len(in.GetSeenStep()) != len(in.GetPair()) {
		return errColumns
	}
	if n := len(in.GetUrgent()); n != 0 && n != len(in.GetPair()) {
		return errColumns
	}
	var step stepper
	for i, index := range in.GetPair() {
		p, err := d.pair(index)
		if err != nil {
			return err
		}
		row := scheduler.Demand{
			Service: p.service, Workspace: ident.Workspace(p.name),
			Waiting: in.Waiting[i], SeenGrant: step.up(in.SeenStep[i]),
		}
		if len(in.GetUrgent()) > 0 {
			row.Urgent = in.Urgent[i]
		}
		m.Demand = append(m.Demand, row)
	}
	return nil
}

func (d *decoder) grants(f *fleetv1.Frame, m *scheduler.Message) error {
	in := f.GetGrants()
	n := len(in.GetIdStep())
	if len(in.GetPair()) != n || len(in.GetTarget()) != n || len(in.GetSpare()) != n {
		return errColumns
	}
	if len(in.GetCached()) != 0 && len(in.GetCached()) != n {
		return errColumns
	}
	var step stepper
	for i, s := range in.GetIdStep() {
		p, err := d.pair(in.Pair[i])
		if err != nil {
			return err
		}
		if int(in.Target[i]) >= len(d.names) {
			return errIndex
		}
		m.Grants = append(m.Grants, scheduler.Grant{
			ID: step.up(s), Service: p.service, Workspace: ident.Workspace(p.name),
			Target: ident.Target(d.names[in.Target[i]]), SpareCapacity: in.Spare[i],
		})
		if len(in.GetCached()) > 0 {
			m.Grants[len(m.Grants)-1].CachedPrefixes = readMarks(in.Cached[i])
		}
	}
	return nil
}

func (d *decoder) releases(f *fleetv1.Frame, m *scheduler.Message) error {
	in := f.GetReleases()
	n := len(in.GetGrantStep())
	if len(in.GetFlags()) != n || len(in.GetServed()) != n || len(in.GetElapsed()) != n || len(in.GetFirst()) != n {
		return errColumns
	}
	var step stepper
	for i, s := range in.GetGrantStep() {
		m.Releases = append(m.Releases, scheduler.Release{
			Grant: step.up(s), Unused: in.Flags[i]&releaseUnused != 0,
			Result: scheduler.Result{
				Served:    float64(in.Served[i]) / servedUnit,
				Elapsed:   time.Duration(in.Elapsed[i]) * timeUnit,
				FirstByte: time.Duration(in.First[i]) * timeUnit,
				Failed:    in.Flags[i]&releaseFailed != 0,
				NotRun:    in.Flags[i]&releaseNotRun != 0,
				Preempted: in.Flags[i]&releasePreempted != 0,
			},
		})
	}
	return nil
}

func (d *decoder) parts(f *fleetv1.Frame, m *scheduler.Message) (err error) {
	if m.ServedTotals, err = d.readParts(f.GetParts()); err != nil {
		return err
	}
	m.Aggregates, err = d.readParts(f.GetSums())
	return err
}

func (d *decoder) readParts(in *fleetv1.Parts) (rows []scheduler.ServedTotal, err error) {
	if len(in.GetServed()) != len(in.GetPair()) {
		return nil, errColumns
	}
	for i, index := range in.GetPair() {
		p, err := d.pair(index)
		if err != nil {
			return nil, err
		}
		rows = append(rows, scheduler.ServedTotal{
			Service: p.service, Workspace: ident.Workspace(p.name),
			Served: float64(in.Served[i]) / servedUnit,
		})
	}
	return rows, nil
}

func (d *decoder) news(f *fleetv1.Frame, m *scheduler.Message) error {
	in := f.GetNews()
	if len(in.GetHealth()) != len(in.GetPair()) {
		return errColumns
	}
	for i, index := range in.GetPair() {
		p, err := d.pair(index)
		if err != nil {
			return err
		}
		h, known := healths[in.Health[i]]
		if !known {
			continue // a newer daemon may know more kinds
		}
		m.HealthUpdates = append(m.HealthUpdates, scheduler.TargetHealthUpdate{
			Service: p.service, Target: ident.Target(p.name), Health: h,
		})
	}
	return nil
}

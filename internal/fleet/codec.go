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
	// servedScale is the resolution of served cost on a link: sixteenths of a
	// unit. Totals are sent instead of differences, so rounding errors do not
	// accumulate.
	servedScale = 16
	// durationUnit is the resolution of durations on a link.
	durationUnit = 100 * time.Microsecond
	// maxTableSize bounds the tables of one direction of a link. 6,200
	// workspaces of 18 services and 3,100 targets need at most about 100,000
	// pairs.
	maxTableSize = 1 << 18
	// maxNameLength bounds the length of a name in bytes.
	maxNameLength = 256

	releaseUnused    = 1
	releaseFailed    = 2
	releaseNotRun    = 4
	releasePreempted = 8
)

var (
	errColumnLength   = errors.New("columns of a frame differ in length")
	errUndefinedIndex = errors.New("frame refers to an undefined table index")
	errTableTooLarge  = errors.New("name or table of names exceeds its size limit")
)

var healthCodes = map[scheduler.Health]fleetv1.Health{
	scheduler.HealthAnswered: fleetv1.Health_HEALTH_ANSWERED,
	scheduler.HealthFailed:   fleetv1.Health_HEALTH_FAILED,
	scheduler.HealthLeaving:  fleetv1.Health_HEALTH_LEAVING,
	scheduler.HealthReturned: fleetv1.Health_HEALTH_RETURNED,
}

var healthByCode = func() map[fleetv1.Health]scheduler.Health {
	byCode := make(map[fleetv1.Health]scheduler.Health, len(healthCodes))
	for h, code := range healthCodes {
		byCode[code] = h
	}
	return byCode
}()

// pair is a service combined with one of its workspaces, targets or versions.
type pair struct {
	service ident.Service
	name    string
}

// encoder converts messages to frames. It holds the sender's copy of the name
// tables of one direction of a link.
type encoder struct {
	names map[string]uint32
	pairs map[pair]uint32
}

func newEncoder() *encoder {
	return &encoder{names: map[string]uint32{}, pairs: map[pair]uint32{}}
}

// tablesFull reports that a table has reached its size limit; the link must
// then be replaced.
func (e *encoder) tablesFull() bool {
	return len(e.names) >= maxTableSize || len(e.pairs) >= maxTableSize
}

func (e *encoder) nameIndex(f *fleetv1.Frame, name string) uint32 {
	if i, ok := e.names[name]; ok {
		return i
	}
	i := uint32(len(e.names))
	e.names[name] = i
	f.Names = append(f.Names, name)
	return i
}

func (e *encoder) pairIndex(f *fleetv1.Frame, service ident.Service, name string) uint32 {
	p := pair{service, name}
	if i, ok := e.pairs[p]; ok {
		return i
	}
	s, n := e.nameIndex(f, string(service)), e.nameIndex(f, name)
	i := uint32(len(e.pairs))
	e.pairs[p] = i
	if f.Pairs == nil {
		f.Pairs = &fleetv1.Pairs{}
	}
	f.Pairs.Service = append(f.Pairs.Service, s)
	f.Pairs.Name = append(f.Pairs.Name, n)
	return i
}

// encode adds a message to the frame.
func (e *encoder) encode(f *fleetv1.Frame, m *scheduler.Message) {
	e.demand(f, m.Demand)
	e.grants(f, m.Grants)
	e.releases(f, m.Releases)
	f.Parts = e.servedTotals(f, m.ServedTotals)
	f.Sums = e.servedTotals(f, m.Aggregates)
	e.limits(f, m.Limits)
	e.healthUpdates(f, m.HealthUpdates)
	if m.HeldGrantsValid {
		f.Held = &fleetv1.Held{GrantStep: encodeDeltas(m.HeldGrants), Seen: m.HeldGrantsSeen}
	}
	if len(m.PreemptGrants) > 0 {
		f.PreemptStep = encodeDeltas(m.PreemptGrants)
	}
	f.Bookings = e.bookings(f, &m.Bookings)
	f.Origins = e.origins(f, &m.Origins)
	f.Poison = encodePoison(&m.Poison)
}

func (e *encoder) demand(f *fleetv1.Frame, rows []scheduler.Demand) {
	if len(rows) == 0 {
		return
	}
	f.Demands = &fleetv1.Demands{}
	var delta deltaCoder
	for _, d := range rows {
		f.Demands.Pair = append(f.Demands.Pair, e.pairIndex(f, d.Service, string(d.Workspace)))
		f.Demands.Waiting = append(f.Demands.Waiting, d.Waiting)
		f.Demands.SeenStep = append(f.Demands.SeenStep, delta.encode(d.SeenGrant))
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
	var delta deltaCoder
	for _, g := range rows {
		f.Grants.IdStep = append(f.Grants.IdStep, delta.encode(g.ID))
		f.Grants.Pair = append(f.Grants.Pair, e.pairIndex(f, g.Service, string(g.Workspace)))
		f.Grants.Target = append(f.Grants.Target, e.nameIndex(f, string(g.Target)))
		f.Grants.Spare = append(f.Grants.Spare, g.SpareCapacity)
	}
	f.Grants.Cached = cachedPrefixColumn(rows)
}

func (e *encoder) releases(f *fleetv1.Frame, rows []scheduler.Release) {
	if len(rows) == 0 {
		return
	}
	out := &fleetv1.Releases{}
	var delta deltaCoder
	for _, r := range rows {
		out.GrantStep = append(out.GrantStep, delta.encode(r.Grant))
		out.Flags = append(out.Flags, releaseFlags(r))
		out.Served = append(out.Served, encodeServed(r.Result.Served))
		out.Elapsed = append(out.Elapsed, encodeDuration(r.Result.Elapsed))
		out.First = append(out.First, encodeDuration(r.Result.FirstByte))
	}
	f.Releases = out
}

func (e *encoder) servedTotals(f *fleetv1.Frame, rows []scheduler.ServedTotal) *fleetv1.Parts {
	if len(rows) == 0 {
		return nil
	}
	out := &fleetv1.Parts{}
	for _, p := range rows {
		out.Pair = append(out.Pair, e.pairIndex(f, p.Service, string(p.Workspace)))
		out.Served = append(out.Served, encodeServed(p.Served))
	}
	return out
}

func (e *encoder) healthUpdates(f *fleetv1.Frame, rows []scheduler.TargetHealthUpdate) {
	if len(rows) == 0 {
		return
	}
	f.News = &fleetv1.News{}
	for _, n := range rows {
		f.News.Pair = append(f.News.Pair, e.pairIndex(f, n.Service, string(n.Target)))
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

func encodeServed(units float64) int64 { return int64(math.Round(units * servedScale)) }

func encodeDuration(d time.Duration) uint64 {
	if d <= 0 {
		return 0
	}
	// Rounded up, because zero means that the value is absent.
	return uint64((d + durationUnit - 1) / durationUnit)
}

// decoder converts frames to messages. It holds the receiver's copy of the name
// tables of one direction of a link.
type decoder struct {
	names []string
	pairs []pair
}

// decode returns the message in a frame; ok is false if there is none. An error
// means that the tables of sender and receiver no longer agree and the link
// must be replaced.
func (d *decoder) decode(f *fleetv1.Frame) (m scheduler.Message, ok bool, err error) {
	if err := d.extendTables(f); err != nil {
		return m, false, err
	}
	for _, decodeRows := range []func(*fleetv1.Frame, *scheduler.Message) error{
		d.demand, d.grants, d.releases, d.servedTotals, d.limits, d.healthUpdates, d.bookings, d.origins, decodePoison,
	} {
		if err := decodeRows(f, &m); err != nil {
			return m, false, err
		}
	}
	if h := f.GetHeld(); h != nil {
		m.HeldGrantsValid, m.HeldGrantsSeen = true, h.GetSeen()
		m.HeldGrants = decodeDeltas(h.GetGrantStep())
	}
	m.PreemptGrants = decodeDeltas(f.GetPreemptStep())
	ok = m.HeldGrantsValid || !m.Bookings.Empty() || !m.Origins.Empty() || !m.Poison.Empty() || len(m.Demand)+len(m.Grants)+len(m.Releases)+len(m.ServedTotals)+len(m.Aggregates)+len(m.Limits)+len(m.HealthUpdates)+len(m.PreemptGrants) > 0
	return m, ok, nil
}

func (d *decoder) extendTables(f *fleetv1.Frame) error {
	for _, n := range f.GetNames() {
		if len(n) > maxNameLength || len(d.names) >= maxTableSize {
			return errTableTooLarge
		}
		// Interning shares one copy of a name between the tables of all links.
		d.names = append(d.names, unique.Make(n).Value())
	}
	pairs := f.GetPairs()
	if len(pairs.GetService()) != len(pairs.GetName()) {
		return errColumnLength
	}
	for i, s := range pairs.GetService() {
		n := pairs.GetName()[i]
		if int(s) >= len(d.names) || int(n) >= len(d.names) {
			return errUndefinedIndex
		}
		if len(d.pairs) >= maxTableSize {
			return errTableTooLarge
		}
		d.pairs = append(d.pairs, pair{ident.Service(d.names[s]), d.names[n]})
	}
	return nil
}

func (d *decoder) pairAt(i uint32) (pair, error) {
	if int(i) >= len(d.pairs) {
		return pair{}, errUndefinedIndex
	}
	return d.pairs[i], nil
}

func (d *decoder) demand(f *fleetv1.Frame, m *scheduler.Message) error {
	in := f.GetDemands()
	if len(in.GetWaiting()) != len(in.GetPair()) || len(in.GetSeenStep()) != len(in.GetPair()) {
		return errColumnLength
	}
	if n := len(in.GetUrgent()); n != 0 && n != len(in.GetPair()) {
		return errColumnLength
	}
	var delta deltaCoder
	for i, index := range in.GetPair() {
		p, err := d.pairAt(index)
		if err != nil {
			return err
		}
		row := scheduler.Demand{
			Service: p.service, Workspace: ident.Workspace(p.name),
			Waiting: in.Waiting[i], SeenGrant: delta.decode(in.SeenStep[i]),
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
		return errColumnLength
	}
	if len(in.GetCached()) != 0 && len(in.GetCached()) != n {
		return errColumnLength
	}
	var delta deltaCoder
	for i, s := range in.GetIdStep() {
		p, err := d.pairAt(in.Pair[i])
		if err != nil {
			return err
		}
		if int(in.Target[i]) >= len(d.names) {
			return errUndefinedIndex
		}
		m.Grants = append(m.Grants, scheduler.Grant{
			ID: delta.decode(s), Service: p.service, Workspace: ident.Workspace(p.name),
			Target: ident.Target(d.names[in.Target[i]]), SpareCapacity: in.Spare[i],
		})
		if len(in.GetCached()) > 0 {
			m.Grants[len(m.Grants)-1].CachedPrefixes = decodeFingerprints(in.Cached[i])
		}
	}
	return nil
}

func (d *decoder) releases(f *fleetv1.Frame, m *scheduler.Message) error {
	in := f.GetReleases()
	n := len(in.GetGrantStep())
	if len(in.GetFlags()) != n || len(in.GetServed()) != n || len(in.GetElapsed()) != n || len(in.GetFirst()) != n {
		return errColumnLength
	}
	var delta deltaCoder
	for i, s := range in.GetGrantStep() {
		m.Releases = append(m.Releases, scheduler.Release{
			Grant: delta.decode(s), Unused: in.Flags[i]&releaseUnused != 0,
			Result: scheduler.Result{
				Served:    float64(in.Served[i]) / servedScale,
				Elapsed:   time.Duration(in.Elapsed[i]) * durationUnit,
				FirstByte: time.Duration(in.First[i]) * durationUnit,
				Failed:    in.Flags[i]&releaseFailed != 0,
				NotRun:    in.Flags[i]&releaseNotRun != 0,
				Preempted: in.Flags[i]&releasePreempted != 0,
			},
		})
	}
	return nil
}

func (d *decoder) servedTotals(f *fleetv1.Frame, m *scheduler.Message) (err error) {
	if m.ServedTotals, err = d.decodeServedTotals(f.GetParts()); err != nil {
		return err
	}
	m.Aggregates, err = d.decodeServedTotals(f.GetSums())
	return err
}

func (d *decoder) decodeServedTotals(in *fleetv1.Parts) (rows []scheduler.ServedTotal, err error) {
	if len(in.GetServed()) != len(in.GetPair()) {
		return nil, errColumnLength
	}
	for i, index := range in.GetPair() {
		p, err := d.pairAt(index)
		if err != nil {
			return nil, err
		}
		rows = append(rows, scheduler.ServedTotal{
			Service: p.service, Workspace: ident.Workspace(p.name),
			Served: float64(in.Served[i]) / servedScale,
		})
	}
	return rows, nil
}

func (d *decoder) healthUpdates(f *fleetv1.Frame, m *scheduler.Message) error {
	in := f.GetNews()
	if len(in.GetHealth()) != len(in.GetPair()) {
		return errColumnLength
	}
	for i, index := range in.GetPair() {
		p, err := d.pairAt(index)
		if err != nil {
			return err
		}
		h, known := healthByCode[in.Health[i]]
		if !known {
			continue // value added in a newer protocol version
		}
		m.HealthUpdates = append(m.HealthUpdates, scheduler.TargetHealthUpdate{
			Service: p.service, Target: ident.Target(p.name), Health: h,
		})
	}
	return nil
}

package fleet

import (
	"math"
	"time"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// shareScale is the resolution of shares on a link: thousandths.
const shareScale = 1000

// maxShareUsed bounds the reported share; a larger value would carry no more
// information.
const maxShareUsed = 1000

// mergeBookings queues bookings. A newer usage or load row replaces the queued
// one for the same workspace or target; all other rows are kept.
func (o *outbox) mergeBookings(m *booking.Message) {
	q := &o.queued.Bookings
	q.Reservations = append(q.Reservations, m.Reservations...)
	q.Replies = append(q.Replies, m.Replies...)
	q.FirstBytes = append(q.FirstBytes, m.FirstBytes...)
	q.Releases = append(q.Releases, m.Releases...)
	q.Ready = append(q.Ready, m.Ready...)
	if len(m.Usage)+len(m.Loads) > 0 {
		q.Scope = m.Scope
	}
	for _, u := range m.Usage {
		q.Usage = upsert(q.Usage, o.usageIndex, pair{u.Service, string(u.Workspace)}, u)
	}
	for _, l := range m.Loads {
		q.Loads = upsert(q.Loads, o.loadIndex, pair{l.Service, string(l.Target)}, l)
	}
}

func (e *encoder) bookings(f *fleetv1.Frame, m *booking.Message) *fleetv1.Bookings {
	if m.Empty() {
		return nil
	}
	out := &fleetv1.Bookings{Scope: uint32(m.Scope), Ready: m.Ready}
	for _, a := range m.Reservations {
		out.Asks = append(out.Asks, e.reservation(f, a))
	}
	for _, r := range m.Replies {
		out.Replies = append(out.Replies, &fleetv1.BookingReply{Id: r.ID, Ok: r.OK, Wait: encodeDuration(r.Wait), Back: r.CallerRetry, Kept: uint32(r.CachedTokens), Hold: encodeDuration(r.Hold), Limit: uint32(r.Limit), Used: uint32(math.Round(shareScale * min(r.ShareUsed, maxShareUsed))), Alone: encodeDuration(r.UnloadedWait), SlotWait: encodeDuration(r.SlotWait), FreeIn: encodeDuration(r.ExpectedSpareWait)})
	}
	for _, k := range m.FirstBytes {
		out.Marks = append(out.Marks, &fleetv1.BookingMark{Id: k.ID, First: encodeDuration(k.Elapsed)})
	}
	for _, d := range m.Releases {
		out.Ends = append(out.Ends, &fleetv1.BookingEnd{Id: d.ID, Elapsed: encodeDuration(d.Elapsed), Failed: d.Failed, NotRun: d.NotRun, Pause: encodeDuration(d.EventInterval)})
	}
	for _, u := range m.Usage {
		out.Usage = append(out.Usage, &fleetv1.BookingUsage{
			Workspace: e.pairIndex(f, u.Service, string(u.Workspace)),
			Asked:     encodeUnits(u.Asked), Shed: encodeUnits(u.Shed), Granted: encodeUnits(u.Granted),
		})
	}
	for _, l := range m.Loads {
		out.Loads = append(out.Loads, &fleetv1.BookingLoad{
			Target: e.pairIndex(f, l.Service, string(l.Target)), Wait: encodeDuration(l.Wait),
			Taken: uint32(math.Round(shareScale * l.SlotUtilization)), Failures: uint32(math.Round(shareScale * l.FailureRate)),
			Use: uint32(math.Round(shareScale * l.Utilization)), Speed: uint32(math.Round(shareScale * l.Speed)),
		})
	}
	return out
}

// encodeUnits rounds a sum to whole units of the service.
func encodeUnits(sum float64) uint64 { return uint64(math.Round(max(0, sum))) }

func (e *encoder) reservation(f *fleetv1.Frame, a booking.Reservation) *fleetv1.BookingAsk {
	out := &fleetv1.BookingAsk{
		Id: a.ID, Target: e.pairIndex(f, a.Service, string(a.Target)), Workspace: e.nameIndex(f, string(a.Workspace)),
		Prompt: uint32(a.Prompt), Output: uint32(a.Output),
		Left: int64(a.Remaining / durationUnit), Late: a.Late, Taken: a.Running, Begun: a.PreviouslyPlaced, Read: a.PrefillDone, First: a.FirstContact, Here: uint32(a.CachedHint), Elsewhere: uint32(a.CachedElsewhere),
		MayWait: a.MayWait,
	}
	for _, p := range a.Parts {
		out.Parts = append(out.Parts, p.ID)
		out.PartTokens = append(out.PartTokens, uint32(p.Tokens))
	}
	return out
}

func (d *decoder) bookings(f *fleetv1.Frame, m *scheduler.Message) error {
	in := f.GetBookings()
	if in == nil {
		return nil
	}
	out := &m.Bookings
	out.Scope = booking.Scope(min(in.GetScope(), uint32(booking.ScopeFleet)))
	out.Ready = in.GetReady()
	for _, a := range in.GetAsks() {
		reservation, err := d.reservation(a)
		if err != nil {
			return err
		}
		out.Reservations = append(out.Reservations, reservation)
	}
	for _, r := range in.GetReplies() {
		out.Replies = append(out.Replies, booking.Reply{ID: r.GetId(), OK: r.GetOk(), Wait: decodeDuration(r.GetWait()), CallerRetry: r.GetBack(), CachedTokens: int(r.GetKept()), Hold: decodeDuration(r.GetHold()), Limit: booking.Limit(min(r.GetLimit(), math.MaxUint8)), ShareUsed: float64(r.GetUsed()) / shareScale, UnloadedWait: decodeDuration(r.GetAlone()), SlotWait: decodeDuration(r.GetSlotWait()), ExpectedSpareWait: decodeDuration(r.GetFreeIn())})
	}
	for _, k := range in.GetMarks() {
		out.FirstBytes = append(out.FirstBytes, booking.FirstByteNotice{ID: k.GetId(), Elapsed: decodeDuration(k.GetFirst())})
	}
	for _, e := range in.GetEnds() {
		out.Releases = append(out.Releases, booking.Release{
			ID: e.GetId(), Elapsed: decodeDuration(e.GetElapsed()), Failed: e.GetFailed(), NotRun: e.GetNotRun(), EventInterval: decodeDuration(e.GetPause()),
		})
	}
	return d.usageAndLoads(in, out)
}

func (d *decoder) usageAndLoads(in *fleetv1.Bookings, out *booking.Message) error {
	for _, u := range in.GetUsage() {
		p, err := d.pairAt(u.GetWorkspace())
		if err != nil {
			return err
		}
		out.Usage = append(out.Usage, booking.Usage{
			Service: p.service, Workspace: ident.Workspace(p.name),
			Asked: float64(u.GetAsked()), Shed: float64(u.GetShed()), Granted: float64(u.GetGranted()),
		})
	}
	for _, l := range in.GetLoads() {
		p, err := d.pairAt(l.GetTarget())
		if err != nil {
			return err
		}
		out.Loads = append(out.Loads, booking.Load{
			Service: p.service, Target: ident.Target(p.name), Wait: decodeDuration(l.GetWait()),
			SlotUtilization: float64(l.GetTaken()) / shareScale, FailureRate: float64(l.GetFailures()) / shareScale,
			Utilization: float64(l.GetUse()) / shareScale, Speed: float64(l.GetSpeed()) / shareScale,
		})
	}
	return nil
}

func (d *decoder) reservation(a *fleetv1.BookingAsk) (booking.Reservation, error) {
	p, err := d.pairAt(a.GetTarget())
	if err != nil {
		return booking.Reservation{}, err
	}
	if int(a.GetWorkspace()) >= len(d.names) {
		return booking.Reservation{}, errUndefinedIndex
	}
	if len(a.GetParts()) != len(a.GetPartTokens()) {
		return booking.Reservation{}, errColumnLength
	}
	out := booking.Reservation{
		ID: a.GetId(), Service: p.service, Target: ident.Target(p.name),
		Workspace: ident.Workspace(d.names[a.GetWorkspace()]),
		Prompt:    int(a.GetPrompt()), Output: int(a.GetOutput()),
		Remaining: time.Duration(a.GetLeft()) * durationUnit, Late: a.GetLate(), Running: a.GetTaken(), PreviouslyPlaced: a.GetBegun(), PrefillDone: a.GetRead(), FirstContact: a.GetFirst(),
		CachedHint: int(a.GetHere()), CachedElsewhere: int(a.GetElsewhere()), MayWait: a.GetMayWait(),
	}
	for i, id := range a.GetParts() {
		out.Parts = append(out.Parts, booking.PromptPart{ID: id, Tokens: int(a.GetPartTokens()[i])})
	}
	return out, nil
}

// decodeDuration converts a duration from the wire and clamps values that would
// overflow.
func decodeDuration(units uint64) time.Duration {
	return time.Duration(min(units, math.MaxInt64/uint64(durationUnit))) * durationUnit
}

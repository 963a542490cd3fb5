package fleet

import (
	"slices"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/limit"
	"github.com/savorystall/savorystall/internal/scheduler"
)

func (e *encoder) limits(f *fleetv1.Frame, rows []scheduler.LimitUsage) {
	if len(rows) == 0 {
		return
	}
	out := &fleetv1.Limits{}
	for _, l := range rows {
		out.Pair = append(out.Pair, e.pairIndex(f, l.Service, string(l.Workspace)))
		out.Arrivals = append(out.Arrivals, l.Arrivals)
		out.Accepted = append(out.Accepted, l.Accepted)
		out.Wanted = append(out.Wanted, l.Wanted)
		out.InFlight = append(out.InFlight, l.InFlight)
	}
	out.Arrivals, out.Accepted = omitZeros(out.Arrivals), omitZeros(out.Accepted)
	out.Wanted, out.InFlight = omitZeros(out.Wanted), omitZeros(out.InFlight)
	f.Limits = out
}

// omitZeros drops a column that contains only zeros: a workspace seldom has
// both kinds of limit.
func omitZeros[T uint32 | uint64](column []T) []T {
	if slices.ContainsFunc(column, func(v T) bool { return v != 0 }) {
		return column
	}
	return nil
}

func (d *decoder) limits(f *fleetv1.Frame, m *scheduler.Message) error {
	in := f.GetLimits()
	for _, n := range []int{len(in.GetArrivals()), len(in.GetAccepted()), len(in.GetWanted()), len(in.GetInFlight())} {
		if n != 0 && n != len(in.GetPair()) {
			return errColumnLength
		}
	}
	for i, index := range in.GetPair() {
		p, err := d.pairAt(index)
		if err != nil {
			return err
		}
		m.Limits = append(m.Limits, scheduler.LimitUsage{
			Service: p.service, Workspace: ident.Workspace(p.name),
			Report: limit.Report{
				Arrivals: valueAt(in.Arrivals, i), Accepted: valueAt(in.Accepted, i),
				Wanted: valueAt(in.Wanted, i), InFlight: valueAt(in.InFlight, i),
			},
		})
	}
	return nil
}

// valueAt reads a column that may be omitted.
func valueAt[T any](column []T, i int) (v T) {
	if len(column) > 0 {
		v = column[i]
	}
	return v
}

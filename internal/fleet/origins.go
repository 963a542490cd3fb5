package fleet

import (
	"math"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// mergeOrigins queues messages about the origins of streams. Those beyond the limit are dropped:
// their streams may then have to begin anew, while the reset of a link would bring all records of
// the peer again.
func (o *outbox) mergeOrigins(m *origin.Message) {
	q := &o.queued.Origins
	q.Records = appendUpTo(q.Records, m.Records, o.limit)
	q.Questions = appendUpTo(q.Questions, m.Questions, o.limit)
	q.Answers = appendUpTo(q.Answers, m.Answers, o.limit)
}

func appendUpTo[T any](rows, more []T, limit int) []T {
	return append(rows, more[:min(len(more), max(0, limit-len(rows)))]...)
}

func (e *encoder) origins(f *fleetv1.Frame, m *origin.Message) *fleetv1.Origins {
	if m.Empty() {
		return nil
	}
	out := &fleetv1.Origins{}
	for _, r := range m.Records {
		out.RecordKey = append(out.RecordKey, uint64(r.Key))
		out.RecordOrigin = append(out.RecordOrigin, e.originIndex(f, r.Origin))
	}
	for _, q := range m.Questions {
		route := q.Route
		if len(route) > maxNameLength {
			route = "" // the receiver then knows nothing about it
		}
		out.Questions = append(out.Questions, &fleetv1.OriginQuestion{Id: q.ID, Key: uint64(q.Key), Route: e.nameIndex(f, route)})
	}
	for _, a := range m.Answers {
		answer := &fleetv1.OriginAnswer{Id: a.ID, Status: uint32(a.Status)}
		if tellsOrigin(a.Status) {
			answer.Origin = e.originIndex(f, a.Origin)
		}
		out.Answers = append(out.Answers, answer)
	}
	return out
}

func (e *encoder) originIndex(f *fleetv1.Frame, o origin.Origin) uint32 {
	return e.pairIndex(f, o.Service, string(o.Version))
}

func tellsOrigin(s origin.Status) bool { return s == origin.Recorded || s == origin.Sole }

func (d *decoder) origins(f *fleetv1.Frame, m *scheduler.Message) error {
	in := f.GetOrigins()
	if len(in.GetRecordKey()) != len(in.GetRecordOrigin()) {
		return errColumnLength
	}
	for i, key := range in.GetRecordKey() {
		o, err := d.originAt(in.RecordOrigin[i])
		if err != nil {
			return err
		}
		m.Origins.Records = append(m.Origins.Records, origin.Record{Key: origin.Key(key), Origin: o})
	}
	for _, q := range in.GetQuestions() {
		if int(q.GetRoute()) >= len(d.names) {
			return errUndefinedIndex
		}
		m.Origins.Questions = append(m.Origins.Questions, origin.Question{ID: q.GetId(), Key: origin.Key(q.GetKey()), Route: d.names[q.GetRoute()]})
	}
	for _, a := range in.GetAnswers() {
		answer := origin.Answer{ID: a.GetId(), Status: origin.Status(min(a.GetStatus(), math.MaxUint8))}
		if tellsOrigin(answer.Status) {
			var err error
			if answer.Origin, err = d.originAt(a.GetOrigin()); err != nil {
				return err
			}
		}
		m.Origins.Answers = append(m.Origins.Answers, answer)
	}
	return nil
}

func (d *decoder) originAt(i uint32) (origin.Origin, error) {
	p, err := d.pairAt(i)
	return origin.Origin{Service: p.service, Version: ident.Version(p.name)}, err
}

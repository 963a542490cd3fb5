package fleet

import (
	"errors"
	"time"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/scheduler"
)

var errFingerprintLength = errors.New("a fingerprint has another length than 16 bytes")

// mergePoison queues messages about requests that end targets. Those beyond the limit are dropped:
// further crashes, and the next link, bring them again.
func (o *outbox) mergePoison(m *poison.Message) {
	q := &o.queued.Poison
	q.Crashes = appendUpTo(q.Crashes, m.Crashes, o.limit)
	q.Completed = appendUpTo(q.Completed, m.Completed, o.limit)
	q.Watched = appendUpTo(q.Watched, m.Watched, o.limit)
	q.Held = appendUpTo(q.Held, m.Held, o.limit)
	q.Released = appendUpTo(q.Released, m.Released, o.limit)
}

func encodePoison(m *poison.Message) *fleetv1.Poison {
	if m.Empty() {
		return nil
	}
	out := &fleetv1.Poison{Completed: encodePoisonKeys(m.Completed), Released: encodePoisonKeys(m.Released)}
	for _, c := range m.Crashes {
		out.Crashes = append(out.Crashes, &fleetv1.PoisonCrash{
			Subject: encodeSubject(c.Subject), Target: string(c.Process.Target), StartedAtMs: c.Process.StartedAtMillis, Early: c.Early, AgoMs: encodeAge(c.Ago),
			RequestFilter: uint64(c.Request), Beside: c.Beside,
		})
	}
	for _, s := range m.Watched {
		out.Watched = append(out.Watched, encodeSubject(s))
	}
	for _, h := range m.Held {
		hold := &fleetv1.PoisonHold{Subject: encodeSubject(h.Subject), Beside: h.Beside}
		for _, p := range h.Ended {
			hold.Targets = append(hold.Targets, string(p.Target))
			hold.StartedAtMs = append(hold.StartedAtMs, p.StartedAtMillis)
		}
		out.Held = append(out.Held, hold)
	}
	return out
}

func encodePoisonKeys(fingerprints []poison.Fingerprint) (out [][]byte) {
	for _, f := range fingerprints {
		out = append(out, f[:])
	}
	return out
}

func encodeSubject(s poison.Subject) *fleetv1.PoisonSubject {
	return &fleetv1.PoisonSubject{
		Fingerprint: s.Fingerprint[:], Filter: uint64(s.Filter), Workspace: string(s.Workspace), Route: truncate(s.Route),
		PartService: string(s.Part.Service), PartId: s.Part.ID,
	}
}

// truncate shortens a name to the length that a receiver accepts.
func truncate(name string) string { return name[:min(len(name), maxNameLength)] }

func decodePoison(f *fleetv1.Frame, m *scheduler.Message) (err error) {
	in, out := f.GetPoison(), &m.Poison
	if out.Completed, err = decodePoisonKeys(in.GetCompleted()); err != nil {
		return err
	}
	if out.Released, err = decodePoisonKeys(in.GetReleased()); err != nil {
		return err
	}
	for _, c := range in.GetCrashes() {
		subject, err := decodeSubject(c.GetSubject())
		if err != nil {
			return err
		}
		out.Crashes = append(out.Crashes, poison.Crash{
			Subject: subject, Process: poison.Process{Target: ident.Target(c.GetTarget()), StartedAtMillis: c.GetStartedAtMs()}, Early: c.GetEarly(), Ago: time.Duration(c.GetAgoMs()) * time.Millisecond,
			Request: poison.Filter(c.GetRequestFilter()), Beside: poison.NewPartSet(c.GetBeside()...),
		})
	}
	for _, s := range in.GetWatched() {
		subject, err := decodeSubject(s)
		if err != nil {
			return err
		}
		out.Watched = append(out.Watched, subject)
	}
	for _, h := range in.GetHeld() {
		subject, err := decodeSubject(h.GetSubject())
		if err != nil {
			return err
		}
		hold := poison.Hold{Subject: subject, Beside: poison.NewPartSet(h.GetBeside()...)}
		for i, target := range h.GetTargets() {
			p := poison.Process{Target: ident.Target(target)}
			if i < len(h.GetStartedAtMs()) { // earlier releases send none
				p.StartedAtMillis = h.GetStartedAtMs()[i]
			}
			hold.Ended = append(hold.Ended, p)
		}
		out.Held = append(out.Held, hold)
	}
	return nil
}

func decodePoisonKeys(in [][]byte) (out []poison.Fingerprint, err error) {
	for _, raw := range in {
		if len(raw) != len(poison.Fingerprint{}) {
			return nil, errFingerprintLength
		}
		out = append(out, poison.Fingerprint(raw))
	}
	return out, nil
}

func decodeSubject(in *fleetv1.PoisonSubject) (poison.Subject, error) {
	if len(in.GetFingerprint()) != len(poison.Fingerprint{}) {
		return poison.Subject{}, errFingerprintLength
	}
	if in.GetPartService() != "" {
		part := poison.Part{Service: ident.Service(in.GetPartService()), ID: in.GetPartId()}
		return poison.NewPartSubject(ident.Workspace(in.GetWorkspace()), in.GetRoute(), part), nil
	}
	return poison.Subject{
		Fingerprint: poison.Fingerprint(in.GetFingerprint()), Filter: poison.Filter(in.GetFilter()),
		Workspace: ident.Workspace(in.GetWorkspace()), Route: in.GetRoute(),
	}, nil
}

package fleet

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "github.com/savorystall/savorystall/test/fixedseed" // reproducible property tests

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/limit"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/scheduler"
	_ "github.com/savorystall/savorystall/test/fixedseed" // reproducible property tests
)

func drawMessage(t *rapid.T) scheduler.Message {
	service := rapid.SampledFrom([]ident.Service{"lm-pool", "sync-api"})
	workspace := rapid.SampledFrom([]ident.Workspace{"w1", "w2", "lm-pool"})
	target := rapid.SampledFrom([]ident.Target{"e1", "e2", "w1"})
	grant := rapid.Uint64Range(1, 1<<62)
	units := rapid.Custom(func(t *rapid.T) float64 {
		return float64(rapid.IntRange(-1<<40, 1<<40).Draw(t, "sixteenths")) / servedScale
	})
	wait := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "wait")) * durationUnit
	})
	health := rapid.SampledFrom([]scheduler.Health{
		scheduler.HealthAnswered, scheduler.HealthFailed, scheduler.HealthLeaving, scheduler.HealthReturned,
	})
	var m scheduler.Message
	for range rapid.IntRange(0, 3).Draw(t, "rows") {
		m.Demand = append(m.Demand, scheduler.Demand{
			Service: service.Draw(t, "s"), Workspace: workspace.Draw(t, "w"),
			Waiting: rapid.Uint32().Draw(t, "waiting"), SeenGrant: grant.Draw(t, "seen"),
		})
		m.Grants = append(m.Grants, scheduler.Grant{
			ID: grant.Draw(t, "id"), Service: service.Draw(t, "s"),
			Workspace: workspace.Draw(t, "w"), Target: target.Draw(t, "t"),
			CachedPrefixes: rapid.SampledFrom([][]uint16{nil, {7}, {1, 65535}}).Draw(t, "cached"),
		})
		m.Releases = append(m.Releases, scheduler.Release{
			Grant: grant.Draw(t, "grant"), Unused: rapid.Bool().Draw(t, "unused"),
			Result: scheduler.Result{
				Served: units.Draw(t, "served"), Elapsed: wait.Draw(t, "elapsed"), FirstByte: wait.Draw(t, "first"),
				Failed: rapid.Bool().Draw(t, "failed"), NotRun: rapid.Bool().Draw(t, "not run"),
				Preempted: rapid.Bool().Draw(t, "preempted"),
			},
		})
		m.ServedTotals = append(m.ServedTotals, scheduler.ServedTotal{Service: service.Draw(t, "s"), Workspace: workspace.Draw(t, "w"), Served: units.Draw(t, "served")})
		m.Aggregates = append(m.Aggregates, scheduler.ServedTotal{Service: service.Draw(t, "s"), Workspace: workspace.Draw(t, "w"), Served: units.Draw(t, "sum")})
		m.Limits = append(m.Limits, scheduler.LimitUsage{
			Service: service.Draw(t, "s"), Workspace: workspace.Draw(t, "w"),
			Report: limit.Report{
				Arrivals: rapid.Uint32().Draw(t, "arrivals"), Accepted: rapid.Uint64().Draw(t, "accepted"),
				Wanted: rapid.Uint32Range(0, 1).Draw(t, "wanted"), InFlight: rapid.Uint32Range(0, 1).Draw(t, "in flight"),
			},
		})
		m.HealthUpdates = append(m.HealthUpdates, scheduler.TargetHealthUpdate{Service: service.Draw(t, "s"), Target: target.Draw(t, "t"), Health: health.Draw(t, "health")})
		o := origin.Origin{Service: service.Draw(t, "s"), Version: rapid.SampledFrom([]ident.Version{"", "v1", "lm-pool"}).Draw(t, "version")}
		m.Origins.Records = append(m.Origins.Records, origin.Record{Key: origin.Key(rapid.Uint64().Draw(t, "key")), Origin: o})
		m.Origins.Questions = append(m.Origins.Questions, origin.Question{ID: grant.Draw(t, "id"), Key: origin.Key(rapid.Uint64().Draw(t, "key")), Route: rapid.SampledFrom([]string{"", "r1"}).Draw(t, "route")})
		m.Origins.Answers = append(m.Origins.Answers, origin.Answer{ID: grant.Draw(t, "id"), Status: origin.Recorded, Origin: o}, origin.Answer{ID: grant.Draw(t, "id"), Status: origin.Several})
		fingerprint := poison.NewFingerprint("club", "POST", "h", "/x", rapid.SliceOf(rapid.Byte()).Draw(t, "body"))
		subject := poison.Subject{Fingerprint: fingerprint, Filter: poison.Filter(rapid.Uint64().Draw(t, "filter")), Workspace: "club", Route: "r1"}
		m.Poison = poison.Message{
			Crashes:   []poison.Crash{{Subject: subject, Process: poison.Process{Target: "t1", StartedAtMillis: 7}, Early: rapid.Bool().Draw(t, "early"), Ago: 20 * time.Millisecond}},
			Completed: []poison.Fingerprint{fingerprint}, Released: []poison.Fingerprint{fingerprint},
			Watched: []poison.Subject{subject}, Held: []poison.Hold{{Subject: subject, Ended: []poison.Process{{Target: "t1", StartedAtMillis: 3}, {Target: "t2"}}}},
		}
		part := poison.NewPartSubject("club", "r1", poison.Part{Service: "pool", ID: rapid.Uint64().Draw(t, "part")})
		beside := poison.NewPartSet(rapid.SliceOfN(rapid.Uint64(), 0, 3).Draw(t, "beside")...)
		m.Poison.Crashes = append(m.Poison.Crashes, poison.Crash{Subject: part, Process: poison.Process{Target: "t1"}, Request: 7, Beside: beside})
		m.Poison.Watched = append(m.Poison.Watched, part)
		m.Poison.Held = append(m.Poison.Held, poison.Hold{Subject: part, Beside: beside, Ended: []poison.Process{{Target: "t1"}}})
		m.HeldGrants = append(m.HeldGrants, grant.Draw(t, "held"))
		m.PreemptGrants = append(m.PreemptGrants, grant.Draw(t, "preempt"))
	}
	m.HeldGrantsValid = len(m.HeldGrants) > 0
	if m.HeldGrantsValid {
		m.HeldGrantsSeen = grant.Draw(t, "seen")
	}
	return m
}

func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		enc, dec := newEncoder(), &decoder{}
		for range rapid.IntRange(1, 4).Draw(t, "frames") {
			sent := drawMessage(t)
			f := &fleetv1.Frame{}
			enc.encode(f, &sent)
			wire, err := proto.Marshal(f)
			is.NoErr(err)
			var decoded fleetv1.Frame
			is.NoErr(proto.Unmarshal(wire, &decoded))
			got, _, err := dec.decode(&decoded)
			is.NoErr(err)
			is.Equal(got, sent)
		}
	})
}

func TestInvalidFramesAreRejected(t *testing.T) {
	long := string(make([]byte, maxNameLength+1))
	cases := map[string]struct {
		frame *fleetv1.Frame
		want  error
	}{
		"unknown pair":  {&fleetv1.Frame{Parts: &fleetv1.Parts{Pair: []uint32{3}, Served: []int64{1}}}, errUndefinedIndex},
		"unknown name":  {&fleetv1.Frame{Pairs: &fleetv1.Pairs{Service: []uint32{0}, Name: []uint32{0}}}, errUndefinedIndex},
		"uneven demand": {&fleetv1.Frame{Demands: &fleetv1.Demands{Pair: []uint32{0}}}, errColumnLength},
		"uneven grants": {&fleetv1.Frame{Grants: &fleetv1.Grants{IdStep: []int64{1}}}, errColumnLength},
		"uneven cached prefixes": {&fleetv1.Frame{Grants: &fleetv1.Grants{
			IdStep: []int64{1, 1}, Pair: []uint32{0, 0}, Target: []uint32{0, 0}, Spare: []bool{true, true}, Cached: [][]byte{{1, 2}},
		}}, errColumnLength},
		"uneven releases":       {&fleetv1.Frame{Releases: &fleetv1.Releases{GrantStep: []int64{1}}}, errColumnLength},
		"uneven limits":         {&fleetv1.Frame{Limits: &fleetv1.Limits{Accepted: []uint64{1}}}, errColumnLength},
		"uneven health updates": {&fleetv1.Frame{News: &fleetv1.News{Pair: []uint32{0}}}, errColumnLength},
		"short fingerprint":     {&fleetv1.Frame{Poison: &fleetv1.Poison{Held: []*fleetv1.PoisonHold{{Subject: &fleetv1.PoisonSubject{Fingerprint: []byte{1}}}}}}, errFingerprintLength},
		"name of 257 bytes":     {&fleetv1.Frame{Names: []string{long}}, errTableTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, _, err := (&decoder{}).decode(c.frame)
			is.New(t).True(errors.Is(err, c.want))
		})
	}
}

// A target is reported as leaving and immediately afterwards as failed. If only
// the newer update were kept, the target would be considered usable again after
// its next successful answer.
func TestOutboxKeepsHealthUpdatesAndGrants(t *testing.T) {
	is := is.New(t)
	o := newOutbox(3)
	update := func(h scheduler.Health) scheduler.Message {
		return scheduler.Message{HealthUpdates: []scheduler.TargetHealthUpdate{{Service: "s", Target: "t", Health: h}}}
	}
	for _, h := range []scheduler.Health{scheduler.HealthLeaving, scheduler.HealthFailed, scheduler.HealthFailed} {
		m := update(h)
		is.True(o.enqueue(&m))
	}
	b, ok := o.take()
	is.True(ok)
	is.Equal(len(b.message.HealthUpdates), 2)
	_, ok = o.take()
	is.True(!ok)
	atLimit := scheduler.Message{Grants: make([]scheduler.Grant, 3)}
	is.True(o.enqueue(&atLimit))
	is.True(!o.enqueue(&scheduler.Message{Releases: make([]scheduler.Release, 1)})) // the caller then resets the link
}

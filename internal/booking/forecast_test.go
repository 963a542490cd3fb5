package booking_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// Guards against a forecast that takes part in decisions: it must not use up a random number or send
// anything.
func TestForecastsChangeNoDecision(t *testing.T) {
	dispatched := func(ask bool) (targets []ident.Target, forecasts int) {
		s := newZonedSim(3, []ident.Zone{"a", "b"}, 4, 6, "w", "v")
		s.service.Rate, s.service.ColdLimit = 20000, 40
		s.updatePeers()
		s.onDispatch = func(j *job) { targets = append(targets, ident.Target(j.ID)) }
		s.onSent = func(target ident.Target) { targets = append(targets, target) }
		s.engines["engine-01"].down = true
		s.offer(workload{workspace: "w", perSecond: 150, end: 4 * time.Second, objective: 400 * time.Millisecond, newRequest: shortRequests})
		s.offer(workload{workspace: "v", perSecond: 50, end: 4 * time.Second, objective: 400 * time.Millisecond, newRequest: shortRequests})
		for i := range 800 {
			s.schedule(time.Duration(i)*5*time.Millisecond, func() {
				for _, d := range s.daemons {
					if !ask {
						continue
					}
					f := d.core.Forecast(s.now, booking.Request{Service: "pool", Workspace: "w", Prompt: 100, Output: 3, Deadline: s.now.Add(time.Second)})
					forecasts += len(f.Targets)
					if effects := d.core.TakeEffects(); len(effects) > 0 {
						t.Fatalf("a forecast has the effect %v", effects[0])
					}
				}
			})
		}
		s.run(4 * time.Second)
		return targets, forecasts
	}
	is := is.New(t)
	without, _ := dispatched(false)
	with, forecasts := dispatched(true)
	is.True(forecasts > 0)
	is.True(len(without) > 200)
	is.Equal(with, without)
}

// Guards against a forecast that names other targets or another limit than the decision that follows.
func TestForecastIsWhatIsThenDecided(t *testing.T) {
	is := is.New(t)
	core, offer := coreOf(checkedService())
	now := time.Unix(1000, 0).Add(warmStart)
	request := booking.Request{Service: "app", Workspace: "w", Deadline: now.Add(time.Second)}
	f := core.Forecast(now, request)
	is.Equal(len(f.Targets), 1)
	is.True(f.Targets[0].Owned && f.Targets[0].Admits)
	offer(now, 40, booking.Request{})
	f = core.Forecast(now, request)
	is.True(!f.Targets[0].Admits)
	is.Equal(f.Targets[0].Limit, booking.LimitCold)
	is.Equal(f.Targets[0].Load.SlotUtilization, float64(warmMax)/200)
	request.Workspace = "unknown"
	is.Equal(core.Forecast(now, request).Refusal, "no_target")
}

// Guards against a forecast that uses up the only request by which a failing target is tried again.
func TestForecastUsesUpNoProbe(t *testing.T) {
	is := is.New(t)
	s := checkedService()
	s.ColdLimit = 0
	core, offer := coreOf(s)
	now := time.Unix(1000, 0).Add(warmStart)
	admitted, _ := offer(now, 20, booking.Request{})
	is.Equal(admitted, 20)
	for i := range 20 {
		core.Finish(now, ident.Request(fmt.Sprint(now, i)), booking.Result{Elapsed: time.Millisecond, Failed: true})
	}
	now = now.Add(3100 * time.Millisecond) // the target is blocked for at most 3 s
	for range 3 {
		f := core.Forecast(now, booking.Request{Service: "app", Workspace: "w", Deadline: now.Add(time.Second)})
		is.True(f.Targets[0].Admits)
	}
	admitted, _ = offer(now, 2, booking.Request{})
	is.Equal(admitted, 1)
}

package booking_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// drain makes two targets drain at a time, or removes them if keep is not set, each pair for three
// seconds.
func (s *sim) drain(keep bool) {
	all := slices.Clone(s.service.Targets)
	for i := 0; i+1 < 6; i += 2 {
		s.schedule(time.Duration(3+3*i/2)*time.Second, func() {
			s.service.Targets = s.service.Targets[:0:0]
			for j, t := range all {
				t.Draining = j == i || j == i+1
				if !t.Draining || keep {
					s.service.Targets = append(s.service.Targets, t)
				}
			}
			s.updatePeers()
		})
	}
}

// Guards against prefixes that are computed again when the target that has them cached begins to
// drain: it still serves copies, but nobody asked it.
func TestPrefixesOfDrainingTargetsAreCopied(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		run := func(keep bool) (recomputed int, sentToDraining bool) {
			s := newSim(seed, 4, 12, "a")
			s.service.FetchPerToken = 4700 * time.Nanosecond
			s.updatePeers()
			s.drain(keep)
			s.onSent = func(target ident.Target) {
				for _, spec := range s.service.Targets {
					sentToDraining = sentToDraining || spec.Name == target && spec.Draining
				}
			}
			s.offer(workload{workspace: "a", perSecond: 60, end: 12 * time.Second, objective: 800 * time.Millisecond, newRequest: sessionRequests(1, 120, 6000, 2000, 40)})
			s.run(18 * time.Second)
			s.logTallies(t)
			return s.recomputed, sentToDraining
		}
		without, _ := run(false)
		with, sentToDraining := run(true)
		is.True(!sentToDraining)
		is.True(2*with < without)
	}
}

// Guards against a request that is sent to a draining target because no owner replies.
func TestDrainingTargetGetsNothingWithoutReplies(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ingress, _, _ := newIngressAndOwner(now)
	ingress.Configure(now, []booking.Service{{
		Name: "pool", ServesModel: true, FetchPerToken: time.Microsecond, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "z", Slots: 8, Memory: 100000, Draining: true}},
	}})
	ingress.Submit(now, booking.Request{
		ID: "r", Service: "pool", Workspace: "w", Prompt: 2000, Output: 10, Deadline: now.Add(time.Second),
		Parts: []booking.PromptPart{{ID: 1, Tokens: 1000}, {ID: 2, Tokens: 1000}},
	})
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		ingress.Tick(now)
	}
	refused := false
	for _, e := range ingress.TakeEffects() {
		_, sent := e.(booking.Dispatch)
		is.True(!sent)
		if _, ok := e.(booking.Refuse); ok {
			refused = true
		}
	}
	is.True(refused)
}

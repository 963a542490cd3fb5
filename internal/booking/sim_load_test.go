package booking_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// load sends requests of one shape at a rate, from all daemons in turn.
type load struct {
	workspace ident.Workspace
	perSecond float64
	from, to  time.Duration
	objective time.Duration
	// make returns one request.
	make func(rng *rand.Rand) booking.Request
}

func (s *sim) offer(l load) {
	var next func()
	next = func() {
		if s.now.Sub(time.Unix(1000, 0)) >= l.to {
			return
		}
		r := l.make(s.rng)
		r.Workspace = l.workspace
		s.submit(s.daemons[s.rng.IntN(len(s.daemons))], r, l.objective)
		s.after(time.Duration(s.rng.ExpFloat64()/l.perSecond*float64(time.Second)), next)
	}
	s.after(l.from, next)
}

// session returns requests with a shared part of one of so many sessions.
func session(first uint64, sessions, shared, own, output int) func(*rand.Rand) booking.Request {
	return func(rng *rand.Rand) booking.Request {
		id := first + uint64(rng.IntN(sessions))
		tokens := 1 + int(float64(own)*(0.5+rng.Float64()))
		return booking.Request{
			Prompt: shared + tokens, Output: output,
			Parts: []booking.PromptPart{{ID: id, Tokens: shared}, {ID: rng.Uint64(), Tokens: tokens}},
		}
	}
}

// returnLater brings a refused request back through any daemon under a new id, as if
// it were new.
func (s *sim) returnLater(j *job) {
	if s.comesBack == nil || j.again {
		return
	}
	again := &job{Request: j.Request, again: true}
	patience := j.Deadline.Sub(j.arrived)
	s.after(s.comesBack(), func() {
		s.serial++
		again.ID = ident.Request(fmt.Sprintf("r%07d", s.serial))
		again.arrived, again.Deadline = s.now, s.now.Add(patience)
		d := s.daemons[s.rng.IntN(len(s.daemons))]
		d.jobs[again.ID] = again
		d.core.Submit(s.now, again.Request)
		s.carryOut(d)
	})
}

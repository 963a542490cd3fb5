package booking_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// workload submits requests of one kind at a constant mean rate, to randomly chosen daemons.
type workload struct {
	workspace  ident.Workspace
	perSecond  float64
	start, end time.Duration
	objective  time.Duration
	// newRequest returns one request.
	newRequest func(rng *rand.Rand) booking.Request
	// amplitude and period describe a wave of the rate, as a fraction of its mean; zero means none.
	amplitude float64
	period    time.Duration
}

// rateAt returns the rate at a time.
func (l *workload) rateAt(now time.Time) float64 {
	if l.period == 0 {
		return l.perSecond
	}
	at := now.Sub(time.Unix(1000, 0))
	return l.perSecond * (1 + l.amplitude*math.Sin(2*math.Pi*at.Seconds()/l.period.Seconds()))
}

func (s *sim) offer(l workload) {
	var next func()
	next = func() {
		if s.now.Sub(time.Unix(1000, 0)) >= l.end {
			return
		}
		r := l.newRequest(s.rng)
		r.Workspace = l.workspace
		s.submit(s.daemons[s.rng.IntN(len(s.daemons))], r, l.objective)
		s.schedule(time.Duration(s.rng.ExpFloat64()/l.rateAt(s.now)*float64(time.Second)), next)
	}
	s.schedule(l.start, next)
}

// sessionRequests makes requests with the shared prefix of a random one of the sessions.
func sessionRequests(first uint64, sessions, shared, own, output int) func(*rand.Rand) booking.Request {
	return func(rng *rand.Rand) booking.Request {
		id := first + uint64(rng.IntN(sessions))
		tokens := 1 + int(float64(own)*(0.5+rng.Float64()))
		return booking.Request{
			Prompt: shared + tokens, Output: output,
			Parts: []booking.PromptPart{{ID: id, Tokens: shared}, {ID: rng.Uint64(), Tokens: tokens}},
		}
	}
}

// scheduleRetry submits a refused request again, to a random daemon and under a new ID, as if
// it were new.
func (s *sim) scheduleRetry(j *job, retryAfter time.Duration) {
	if s.retryDelay == nil && s.honored == nil || j.retry {
		return
	}
	delay := retryAfter
	if s.honored != nil {
		delay = s.honored(j, retryAfter)
	} else {
		delay = s.retryDelay()
	}
	retry := &job{Request: j.Request, retry: true}
	patience := j.Deadline.Sub(j.arrivedAt)
	s.schedule(delay, func() {
		s.serial++
		retry.ID = ident.Request(fmt.Sprintf("r%07d", s.serial))
		retry.arrivedAt, retry.Deadline = s.now, s.now.Add(patience)
		d := s.daemons[s.rng.IntN(len(s.daemons))]
		if s.retryDaemon != nil {
			d = s.retryDaemon(retry)
		}
		d.jobs[retry.ID] = retry
		s.post(d, func() { d.core.Submit(s.now, retry.Request) })
	})
}

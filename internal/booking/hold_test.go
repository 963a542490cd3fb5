package booking_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// burstyRequests makes requests of sessions that arrive three at a time, within a fraction of a
// second.
func burstyRequests(shared, own int) func(*rand.Rand) booking.Request {
	var id uint64
	remaining := 0
	return func(rng *rand.Rand) booking.Request {
		if remaining == 0 {
			id, remaining = id+1, 3
		}
		remaining--
		return booking.Request{
			Prompt: shared + own, Output: 30,
			Parts: []booking.PromptPart{{ID: id, Tokens: shared}, {ID: rng.Uint64(), Tokens: own}},
		}
	}
}

// Guards against concurrent prefill of one prefix. Three requests of a session with a prefix of
// 13,000 tokens arrive within a fifth of a second. The engine caches the prefix when the
// prefill of the first request is complete; the other two, sent there before, repeated it for a
// quarter of a second each, and the requests behind them were late.
func TestPrefixBeingPrefilledIsNotRecomputed(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 6, "a")
		for _, e := range s.engines {
			e.rate = 50
		}
		s.cacheAfterPrefill = true
		s.offer(workload{workspace: "a", perSecond: 15, end: 12 * time.Second, objective: 900 * time.Millisecond, newRequest: burstyRequests(13000, 2000)})
		s.run(18 * time.Second)
		s.logTallies(t)
		got := s.tallies["a"]
		is.True(s.recomputed*20 < got.submitted*13000) // less than one of twenty
		is.True(got.inTimeShare() > 0.9)
	}
}

// burstFixture is one daemon's two requests of one session at a target of another daemon.
type burstFixture struct {
	is                 *is.I
	now                time.Time
	ingress, owner     *booking.Core
	ownerID, ingressID ident.Daemon
}

func newBurstFixture(t *testing.T) *burstFixture {
	b := &burstFixture{is: is.New(t), now: time.Unix(1000, 0)}
	b.ingress, b.owner, b.ownerID = newIngressAndOwner(b.now)
	b.ingressID = map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[b.ownerID]
	b.is.Equal(len(b.submit("first")), 1)
	b.now = b.now.Add(10 * time.Millisecond)
	b.is.Equal(len(b.submit("second")), 0) // held: the prefix is being computed for the first request
	return b
}

// submit submits a request and returns the targets to which requests were sent at once.
func (b *burstFixture) submit(id ident.Request) []ident.Target {
	parts := []booking.PromptPart{{ID: 7, Tokens: 13000}, {ID: uint64(len(id)), Tokens: 500}}
	b.ingress.Submit(b.now, booking.Request{
		ID: id, Service: "pool", Workspace: "w", Prompt: 13500, Output: 10, Parts: parts, Deadline: b.now.Add(2 * time.Second),
	})
	return b.exchange()
}

// exchange passes messages in both directions and returns the targets of the requests that were
// sent.
func (b *burstFixture) exchange() []ident.Target {
	placed := deliver(b.now, b.ingress, b.owner, b.ingressID)
	deliver(b.now, b.owner, b.ingress, b.ownerID)
	return append(placed, deliver(b.now, b.ingress, b.owner, b.ingressID)...)
}

// The first byte of the first answer indicates that the prefix is cached.
func TestHeldRequestIsSentAfterPrefill(t *testing.T) {
	b := newBurstFixture(t)
	b.now = b.now.Add(200 * time.Millisecond)
	b.ingress.FirstByte(b.now, "first", 210*time.Millisecond)
	b.is.Equal(len(b.exchange()), 1)
	b.now = b.now.Add(time.Second)
	b.ingress.Tick(b.now)
	b.is.Equal(len(b.exchange()), 0) // and is not sent twice
}

// The first request fails before its first byte, so its prefill will not complete.
func TestHeldRequestIsSentWhenPredecessorFails(t *testing.T) {
	b := newBurstFixture(t)
	b.ingress.Finish(b.now, "first", booking.Result{Elapsed: 20 * time.Millisecond, Failed: true})
	b.is.Equal(len(b.exchange()), 1)
}

// The owner fails or its notification is lost: the held request must be sent before its caller
// times out.
func TestHeldRequestIsSentOnTimeout(t *testing.T) {
	b := newBurstFixture(t)
	b.now = b.now.Add(200 * time.Millisecond)
	b.ingress.Tick(b.now)
	b.is.Equal(len(b.exchange()), 0)
	b.now = b.now.Add(600 * time.Millisecond)
	b.is.True(b.ingress.NextTick(b.now) <= 5*time.Millisecond)
	b.ingress.Tick(b.now)
	b.is.Equal(len(b.exchange()), 1)
}

// The caller leaves while its request is held: its slot is released, and the request is never
// sent.
func TestHeldRequestOfDepartedCallerIsNotSent(t *testing.T) {
	b := newBurstFixture(t)
	b.ingress.Finish(b.now, "second", booking.Result{})
	b.exchange()
	b.is.Equal(slotUtilization(t, b.now, b.owner), 1.0/8)
	b.now = b.now.Add(200 * time.Millisecond)
	b.ingress.FirstByte(b.now, "first", 210*time.Millisecond)
	b.is.Equal(len(b.exchange()), 0)
	b.now = b.now.Add(2 * time.Second)
	b.ingress.Tick(b.now)
	b.is.Equal(len(b.exchange()), 0)
}

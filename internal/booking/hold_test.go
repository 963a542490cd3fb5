package booking_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// bursts makes requests of sessions that come three at a time: a file is opened, and three
// desks ask about it within a fraction of a second.
func bursts(shared, own int) func(*rand.Rand) booking.Request {
	var id uint64
	left := 0
	return func(rng *rand.Rand) booking.Request {
		if left == 0 {
			id, left = id+1, 3
		}
		left--
		return booking.Request{
			Prompt: shared + own, Output: 30,
			Parts: []booking.PromptPart{{ID: id, Tokens: shared}, {ID: rng.Uint64(), Tokens: own}},
		}
	}
}

// Three advisers open the same file of 13,000 tokens within a fifth of a second. The engine
// reads it for the first of them, and keeps it when it has read it; the others, sent there
// meanwhile, had it read once more each, for a quarter of a second, and the callers behind
// them were late.
func TestWhatIsBeingReadIsNotReadAgain(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 6, "a")
		for _, e := range s.engines {
			e.rate = 50
		}
		s.keepsLate = true
		s.offer(load{workspace: "a", perSecond: 15, to: 12 * time.Second, objective: 900 * time.Millisecond, make: bursts(13000, 2000)})
		s.run(18 * time.Second)
		s.log(t)
		got := s.got["a"]
		is.True(s.reread*20 < got.asked*13000) // one of twenty
		is.True(got.share() > 0.9)
	}
}

// burst is one daemon's two requests of one session at a target of another daemon.
type burst struct {
	is             *is.I
	now            time.Time
	ingress, owner *booking.Core
	name, other    ident.Daemon
}

func newBurst(t *testing.T) *burst {
	b := &burst{is: is.New(t), now: time.Unix(1000, 0)}
	b.ingress, b.owner, b.name = newIngressAndOwner(b.now)
	b.other = map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[b.name]
	b.is.Equal(len(b.submit("first")), 1)
	b.now = b.now.Add(10 * time.Millisecond)
	b.is.Equal(len(b.submit("second")), 0) // held back: the file is being read for the first
	return b
}

// submit places a request and returns the targets it was sent to at once.
func (b *burst) submit(id ident.Request) []ident.Target {
	parts := []booking.PromptPart{{ID: 7, Tokens: 13000}, {ID: uint64(len(id)), Tokens: 500}}
	b.ingress.Submit(b.now, booking.Request{
		ID: id, Service: "pool", Workspace: "w", Prompt: 13500, Output: 10, Parts: parts, Deadline: b.now.Add(2 * time.Second),
	})
	return b.exchange()
}

// exchange carries messages there and back and returns the targets of what was sent.
func (b *burst) exchange() []ident.Target {
	placed := deliver(b.now, b.ingress, b.owner, b.other)
	deliver(b.now, b.owner, b.ingress, b.name)
	return append(placed, deliver(b.now, b.ingress, b.owner, b.other)...)
}

// The first byte of the first answer tells that the file has been read.
func TestAHeldRequestGoesWhenItsPartHasBeenRead(t *testing.T) {
	b := newBurst(t)
	b.now = b.now.Add(200 * time.Millisecond)
	b.ingress.FirstByte(b.now, "first", 210*time.Millisecond)
	b.is.Equal(len(b.exchange()), 1)
	b.now = b.now.Add(time.Second)
	b.ingress.Tick(b.now)
	b.is.Equal(len(b.exchange()), 0) // and not once more
}

// The first request fails before its first byte: nothing will be read for it.
func TestAHeldRequestGoesWhenTheOneBeforeFails(t *testing.T) {
	b := newBurst(t)
	b.ingress.Finish(b.now, "first", booking.Result{Elapsed: 20 * time.Millisecond, Failed: true})
	b.is.Equal(len(b.exchange()), 1)
}

// The owner dies, or its word is lost: the request must not wait for it until its caller
// has left.
func TestAHeldRequestGoesWithoutAWord(t *testing.T) {
	b := newBurst(t)
	b.now = b.now.Add(200 * time.Millisecond)
	b.ingress.Tick(b.now)
	b.is.Equal(len(b.exchange()), 0)
	b.now = b.now.Add(600 * time.Millisecond)
	b.is.True(b.ingress.NextTick(b.now) <= 5*time.Millisecond)
	b.ingress.Tick(b.now)
	b.is.Equal(len(b.exchange()), 1)
}

// The caller leaves while its request is held back: its place is free again, and it is
// never sent.
func TestAHeldRequestWhoseCallerLeavesIsNotSent(t *testing.T) {
	b := newBurst(t)
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

package booking

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Ten requests of one session of 13,000 tokens run on an engine that holds 100,000. Its
// owner counted the session for each of them, took the engine for full and sent callers
// away, and took what the engine keeps for gone.
func TestASharedPartFillsMemoryOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := &service{servesModel: true}
	e := newEngine(s, Target{Name: "e", Slots: 64, Memory: 100000})
	ask := Reservation{Prompt: 15000, Output: 500, Parts: []PromptPart{{ID: 1, Tokens: 13000}, {ID: 2, Tokens: 2000}}}
	var runs []*run
	for range 10 {
		r := &run{}
		r.shared, r.memory = memoryNeeds(&ask)
		is.True(e.fits(r))
		e.add(now, r)
		runs = append(runs, r)
	}
	is.Equal(e.filled(), 13000+10*2500)
	is.Equal(e.kept.hit(ask.Parts), 13000)
	for _, r := range runs {
		e.remove(now, r, time.Second)
	}
	is.Equal(e.filled(), 0)
	is.Equal(e.kept.hit(ask.Parts), 13000) // it stays until others need the room
}

// A session was last asked for while an engine of 100,000 tokens read two hundred thousand
// that nobody asks for again. The engine dropped the session for them; its owner took it for
// kept, and sent the next request of it there, which was late for reading all of it.
func TestEndsOfPromptsDriveSessionsOut(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := newEngine(&service{servesModel: true, pace: assumedPace()}, Target{Name: "e", Slots: 64, Memory: 100000})
	session := PromptPart{ID: 1, Tokens: 5000}
	serve := func(shared []PromptPart, own uint64) {
		now = now.Add(20 * time.Millisecond)
		r := &run{shared: shared, memory: 4000, ownPart: PromptPart{ID: own, Tokens: 4000}}
		e.add(now, r)
		e.first(now, r, 10*time.Millisecond)
		e.remove(now, r, 20*time.Millisecond)
	}
	serve([]PromptPart{session}, 100)
	for i := range 10 {
		serve(nil, uint64(200+i))
	}
	is.Equal(e.kept.hit([]PromptPart{session}), 5000) // there is room for all that
	for i := range 20 {
		serve(nil, uint64(300+i))
	}
	is.Equal(e.kept.hit([]PromptPart{session}), 0)
	is.True(e.kept.total <= 100000)
}

// Parts of requests that run can't yield, whatever else comes.
func TestPartsInUseAreNotEvicted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	k := newKept()
	k.use(now, []PromptPart{{ID: 1, Tokens: 60}}, nil, 100)
	k.use(now.Add(time.Second), []PromptPart{{ID: 2, Tokens: 60}}, nil, 100)
	is.Equal(k.total, 120)
	k.release(now, []PromptPart{{ID: 1, Tokens: 60}})
	k.use(now.Add(2*time.Second), []PromptPart{{ID: 3, Tokens: 30}}, nil, 100)
	is.Equal(k.hit([]PromptPart{{ID: 1, Tokens: 60}}), 0)
	is.Equal(k.hit([]PromptPart{{ID: 2, Tokens: 60}}), 60)
	is.Equal(k.inUse, 90)
}

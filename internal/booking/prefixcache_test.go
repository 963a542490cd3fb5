package booking

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against counting a shared prefix once per request. Ten requests of one session of
// 13,000 tokens run on an engine with memory for 100,000. Its owner counted the session for
// each of them, considered the engine full, refused requests, and assumed that cached parts had
// been evicted.
func TestSharedPrefixIsCountedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := &service{servesModel: true}
	e := newEngine(s, Target{Name: "e", Slots: 64, Memory: 100000})
	res := Reservation{Prompt: 15000, Output: 500, Parts: []PromptPart{{ID: 1, Tokens: 13000}, {ID: 2, Tokens: 2000}}}
	var runs []*run
	for range 10 {
		r := &run{}
		r.shared, r.memory = memoryNeeds(&res)
		is.True(e.fitsMemory(r, 0))
		e.addRun(now, r)
		runs = append(runs, r)
	}
	is.Equal(e.usedMemory(), 13000+10*2500)
	is.Equal(e.cache.hitTokens(res.Parts), 13000)
	for _, r := range runs {
		e.removeRun(now, r, time.Second)
	}
	is.Equal(e.usedMemory(), 0)
	is.Equal(e.cache.hitTokens(res.Parts), 13000) // it stays cached until it is evicted
}

// Guards against ignoring the unshared suffixes of prompts in the cache model. After a
// session's last request an engine with a cache of 100,000 tokens processed two hundred
// thousand tokens of other prompts and evicted the session. Its owner considered the session
// cached, and the session's next request was sent there and was late because the whole prefix
// had to be recomputed.
func TestUnsharedSuffixesEvictSessions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := newEngine(&service{servesModel: true, pace: newPrefillPace()}, Target{Name: "e", Slots: 64, Memory: 100000})
	session := PromptPart{ID: 1, Tokens: 5000}
	serve := func(shared []PromptPart, own uint64) {
		now = now.Add(20 * time.Millisecond)
		r := &run{shared: shared, memory: 4000, ownPart: PromptPart{ID: own, Tokens: 4000}}
		e.addRun(now, r)
		e.recordFirstByte(now, r, 10*time.Millisecond)
		e.removeRun(now, r, 20*time.Millisecond)
	}
	serve([]PromptPart{session}, 100)
	for i := range 10 {
		serve(nil, uint64(200+i))
	}
	is.Equal(e.cache.hitTokens([]PromptPart{session}), 5000) // everything fits
	for i := range 20 {
		serve(nil, uint64(300+i))
	}
	is.Equal(e.cache.hitTokens([]PromptPart{session}), 0)
	is.True(e.cache.totalTokens <= 100000)
}

// Parts of running requests are not evicted, even if the cache exceeds its limit.
func TestPartsInUseAreNotEvicted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	cache := newPrefixCache()
	cache.acquire(now, []PromptPart{{ID: 1, Tokens: 60}}, nil, 100)
	cache.acquire(now.Add(time.Second), []PromptPart{{ID: 2, Tokens: 60}}, nil, 100)
	is.Equal(cache.totalTokens, 120)
	cache.release(now, []PromptPart{{ID: 1, Tokens: 60}})
	cache.acquire(now.Add(2*time.Second), []PromptPart{{ID: 3, Tokens: 30}}, nil, 100)
	is.Equal(cache.hitTokens([]PromptPart{{ID: 1, Tokens: 60}}), 0)
	is.Equal(cache.hitTokens([]PromptPart{{ID: 2, Tokens: 60}}), 60)
	is.Equal(cache.tokensInUse, 90)
}

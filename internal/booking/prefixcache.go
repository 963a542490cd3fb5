package booking

import "time"

// prefixCache models the prefix cache of an engine: the shared prefixes most recently sent to
// it and the unshared suffixes of prompts that it has processed, up to a limit of tokens. Parts
// of running requests are not evicted, and a part that several of them share is counted once.
//
// The unshared suffix of a prompt is never used again, but an engine cannot know that: it
// evicts the least recently used part, whatever it is. An engine that processes 50,000 tokens a
// second has filled 200,000 tokens of cache with suffixes in 4 s. If they were not counted, a
// session last used 5 s ago would seem to be cached, and its requests would be sent to an
// engine that has to recompute it.
//
// Load pattern: ten requests of one session of 13,000 tokens run on an engine of 540,000. If
// the session were counted for each of them, it would seem to fill a quarter of the memory:
// other requests would be refused for lack of memory, and parts that are still cached would be
// assumed evicted and recomputed elsewhere.
type prefixCache struct {
	parts map[uint64]*cachedPart
	// totalTokens counts the tokens of all parts, tokensInUse those of parts that running
	// requests use.
	totalTokens, tokensInUse int
}

type cachedPart struct {
	tokens   int
	lastUsed time.Time
	// refs counts the running requests that use the part.
	refs int
	// prefillRun is the request whose prefill computes the part; nil once it has been computed.
	prefillRun *run
}

func newPrefixCache() prefixCache { return prefixCache{parts: map[uint64]*cachedPart{}} }

// hitTokens returns how many tokens of a prompt's prefix are cached. A part counts only if all
// parts before it are cached.
func (pc *prefixCache) hitTokens(parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if pc.parts[p.ID] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// addedTokens returns by how many tokens these parts would increase the tokens in use.
func (pc *prefixCache) addedTokens(parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if cached := pc.parts[p.ID]; cached == nil || cached.refs == 0 {
			tokens += p.Tokens
		}
	}
	return tokens
}

// acquire records a running request with these shared parts. Parts that are not cached yet are
// computed by prefillRun if it is not nil. The least recently used parts are evicted when the
// limit is exceeded; a limit of 0 or less retains only the parts in use.
func (pc *prefixCache) acquire(now time.Time, parts []PromptPart, prefillRun *run, limit int) {
	for _, p := range parts {
		_, exists := pc.parts[p.ID]
		cached := pc.getOrAdd(p)
		if !exists {
			cached.prefillRun = prefillRun
		}
		if cached.refs == 0 {
			pc.tokensInUse += cached.tokens
		}
		cached.refs++
		cached.lastUsed = now
	}
	pc.shrinkTo(limit)
}

// addOwn records that a request has ended after its prefill: its unshared suffix stays cached
// until it is evicted.
func (pc *prefixCache) addOwn(now time.Time, own PromptPart, limit int) {
	if own.Tokens <= 0 {
		return
	}
	pc.getOrAdd(own).lastUsed = now
	pc.shrinkTo(limit)
}

// recordSent records parts sent to an engine whose runs are tracked by another daemon.
func (pc *prefixCache) recordSent(now time.Time, parts []PromptPart, limit int) {
	for _, p := range parts {
		pc.getOrAdd(p).lastUsed = now
	}
	pc.shrinkTo(limit)
}

func (pc *prefixCache) getOrAdd(p PromptPart) *cachedPart {
	cached := pc.parts[p.ID]
	if cached == nil {
		cached = &cachedPart{tokens: p.Tokens}
		pc.parts[p.ID] = cached
		pc.totalTokens += p.Tokens
	}
	return cached
}

func (pc *prefixCache) shrinkTo(limit int) {
	for pc.totalTokens > limit && pc.evict() {
	}
}

// release records that a request with these shared parts has ended.
func (pc *prefixCache) release(now time.Time, parts []PromptPart) {
	for _, p := range parts {
		cached := pc.parts[p.ID]
		if cached == nil || cached.refs == 0 {
			continue // the cache was reset in the meantime
		}
		cached.refs--
		cached.lastUsed = now
		if cached.refs == 0 {
			pc.tokensInUse -= cached.tokens
		}
	}
}

// prefillDone records that the prefill of a request is complete.
func (pc *prefixCache) prefillDone(r *run) {
	for _, p := range r.shared {
		if cached := pc.parts[p.ID]; cached != nil && cached.prefillRun == r {
			cached.prefillRun = nil
		}
	}
}

// prefillAborted records that a request left before its prefill was complete. Parts that no
// other request uses are removed.
func (pc *prefixCache) prefillAborted(r *run) {
	for _, p := range r.shared {
		cached := pc.parts[p.ID]
		if cached == nil || cached.prefillRun != r {
			continue
		}
		cached.prefillRun = nil
		if cached.refs == 0 {
			pc.drop(p.ID)
		}
	}
}

// pendingPrefill returns the request whose prefill still computes a part of a prompt's prefix,
// and how many tokens of the prefix are being computed. If there are several such requests it
// returns the last one.
func (pc *prefixCache) pendingPrefill(parts []PromptPart) (prefillRun *run, tokens int) {
	for _, p := range parts {
		cached := pc.parts[p.ID]
		if cached == nil {
			break
		}
		if cached.prefillRun != nil {
			prefillRun = cached.prefillRun
			tokens += p.Tokens
		}
	}
	return prefillRun, tokens
}

// releaseAll drops all references of running requests.
func (pc *prefixCache) releaseAll() {
	for _, p := range pc.parts {
		p.refs, p.prefillRun = 0, nil
	}
	pc.tokensInUse = 0
}

// evict removes the least recently used part that no running request uses.
func (pc *prefixCache) evict() bool {
	oldest, at := uint64(0), time.Time{}
	for id, p := range pc.parts {
		if p.refs > 0 {
			continue
		}
		if at.IsZero() || p.lastUsed.Before(at) || p.lastUsed.Equal(at) && id < oldest {
			oldest, at = id, p.lastUsed
		}
	}
	if at.IsZero() {
		return false
	}
	pc.drop(oldest)
	return true
}

func (pc *prefixCache) drop(id uint64) {
	pc.totalTokens -= pc.parts[id].tokens
	delete(pc.parts, id)
}

package booking

import "time"

// kept is what an engine is thought to keep of prompts: the shared parts that were sent
// to it last, and the ends of those that it has read, up to a bound of tokens. Parts of
// requests that run stay, and a part that several of them share is there once.
//
// The ends of prompts come once and never again, but an engine cannot know: it drops what was
// used longest ago, whichever that is. An engine that reads 50,000 tokens a second has filled
// 200,000 with them in 4 s. Counted without, a session that was last asked for 5 s ago seemed
// to be kept, and requests of it were sent where it had to be read again.
//
// Load pattern: ten requests of one session of 13,000 tokens run on an engine of 540,000.
// Counted for each of them, the session would seem to fill a quarter of the memory: other
// requests would be refused for want of it, and parts that the engine keeps would be taken
// for gone and sent to be read elsewhere.
type kept struct {
	parts map[uint64]*keptPart
	// total counts the tokens of all parts, inUse those of parts that running requests
	// use.
	total, inUse int
}

type keptPart struct {
	tokens int
	used   time.Time
	// users counts the running requests that use it.
	users int
	// reader is the request with which the engine reads it first; nil: it has been read.
	reader *run
}

func newKept() kept { return kept{parts: map[uint64]*keptPart{}} }

// hit returns how many tokens of a prompt's beginning are kept. A part counts only
// where all before it are kept.
func (k *kept) hit(parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if k.parts[p.ID] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// added returns how many tokens more would be in use with these parts.
func (k *kept) added(parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if known := k.parts[p.ID]; known == nil || known.users == 0 {
			tokens += p.Tokens
		}
	}
	return tokens
}

// use notes that a request with these shared parts runs, and that the engine reads with the
// reader, where there is one, those that it does not keep yet. What was used longest ago
// gives way where the engine would keep more than the bound; a bound of zero or less keeps
// what is in use.
func (k *kept) use(now time.Time, parts []PromptPart, reader *run, bound int) {
	for _, p := range parts {
		_, there := k.parts[p.ID]
		known := k.part(p)
		if !there {
			known.reader = reader
		}
		if known.users == 0 {
			k.inUse += known.tokens
		}
		known.users++
		known.used = now
	}
	k.shrink(bound)
}

// leave notes that a request has ended whose prompt the engine has read: what it had of its
// own stays until others need the room.
func (k *kept) leave(now time.Time, own PromptPart, bound int) {
	if own.Tokens <= 0 {
		return
	}
	k.part(own).used = now
	k.shrink(bound)
}

// see notes that the parts were sent to an engine of which another daemon keeps the runs.
func (k *kept) see(now time.Time, parts []PromptPart, bound int) {
	for _, p := range parts {
		k.part(p).used = now
	}
	k.shrink(bound)
}

func (k *kept) part(p PromptPart) *keptPart {
	known := k.parts[p.ID]
	if known == nil {
		known = &keptPart{tokens: p.Tokens}
		k.parts[p.ID] = known
		k.total += p.Tokens
	}
	return known
}

func (k *kept) shrink(bound int) {
	for k.total > bound && k.evict() {
	}
}

// release notes that a request with these shared parts runs no more.
func (k *kept) release(now time.Time, parts []PromptPart) {
	for _, p := range parts {
		known := k.parts[p.ID]
		if known == nil || known.users == 0 {
			continue // what ran was forgotten meanwhile
		}
		known.users--
		known.used = now
		if known.users == 0 {
			k.inUse -= known.tokens
		}
	}
}

// readBy notes that what the engine read with a request has been read.
func (k *kept) readBy(r *run) {
	for _, p := range r.shared {
		if known := k.parts[p.ID]; known != nil && known.reader == r {
			known.reader = nil
		}
	}
}

// unreadBy notes that a request has left before what the engine read with it had been read:
// unless another one reads it, it is not there.
func (k *kept) unreadBy(r *run) {
	for _, p := range r.shared {
		known := k.parts[p.ID]
		if known == nil || known.reader != r {
			continue
		}
		known.reader = nil
		if known.users == 0 {
			k.drop(p.ID)
		}
	}
}

// reading returns the request with which an engine still reads a part of a prompt's
// beginning, and how many tokens of it are being read; the last such request where there
// are several.
func (k *kept) reading(parts []PromptPart) (reader *run, tokens int) {
	for _, p := range parts {
		known := k.parts[p.ID]
		if known == nil {
			break
		}
		if known.reader != nil {
			reader = known.reader
			tokens += p.Tokens
		}
	}
	return reader, tokens
}

// releaseAll notes that nothing is known to run any more.
func (k *kept) releaseAll() {
	for _, p := range k.parts {
		p.users, p.reader = 0, nil
	}
	k.inUse = 0
}

// evict drops the part that was used longest ago by a request that runs no more.
func (k *kept) evict() bool {
	oldest, at := uint64(0), time.Time{}
	for id, p := range k.parts {
		if p.users > 0 {
			continue
		}
		if at.IsZero() || p.used.Before(at) || p.used.Equal(at) && id < oldest {
			oldest, at = id, p.used
		}
	}
	if at.IsZero() {
		return false
	}
	k.drop(oldest)
	return true
}

func (k *kept) drop(id uint64) {
	k.total -= k.parts[id].tokens
	delete(k.parts, id)
}

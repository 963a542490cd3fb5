package booking

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// A shared part that one engine keeps can be copied to another instead of being read
// there once more.
//
// Load pattern: sessions whose shared parts are long (a file of thousands of tokens)
// come in bursts, the engines that keep a part are busy, and a request goes to another
// one, or is refused although other engines idle. To read 13,000 tokens again takes an
// engine of 50 tokens a ms 268 ms, in which it serves nobody else; to copy them takes
// 62 ms of a link, in which it goes on reading.
//
// Owners tell with each answer how much of a prompt their target keeps, so that an
// ingress that asks the next one knows what can be copied from where, and the owner
// that is asked counts the copy and not the reading. No message more is sent for it.

const (
	// leastFetch is the number of tokens from which on a part is copied. A copy of so
	// few takes as long as reading them, but a link and not the engine.
	leastFetch = 128
	// fetchStart is the time that a copy takes beyond its tokens: both ends set it up.
	fetchStart = 4 * time.Millisecond
)

// reading returns the work that a prompt costs a target that keeps so many tokens of
// its beginning, and the time of a copy where another one keeps more.
func (s *service) reading(prompt, kept, elsewhere int) (work float64, fetch time.Duration) {
	if s.fetchPerToken <= 0 || elsewhere-kept < leastFetch {
		return workOf(prompt, kept), 0
	}
	return workOf(prompt, elsewhere), fetchStart + time.Duration(elsewhere-kept)*s.fetchPerToken
}

// newOwner is how long an owner takes what ingresses know of a target beside what it has
// seen itself: until most sessions have come once. Daemons are replaced in turn at each
// planned stop, and a new owner that took all parts for gone sent sessions away from
// engines that keep them, to be read again.
const newOwner = 10 * time.Second

// keeps returns how many tokens of a prompt's beginning a target keeps.
func (e *engine) keeps(now time.Time, a *Reservation) int {
	known := e.kept.hit(a.Parts)
	if now.Sub(e.since) < newOwner {
		known = max(known, min(a.CachedHint, a.Prompt))
	}
	return known
}

// lookForSource looks among the homes of a prompt that were not asked yet for one that
// keeps more of it by what this daemon has sent there: the home that is asked may have
// just been started. One that fails or whose owner is silent may be out of the other's
// reach as well, and a request that waits for its copy would hang.
func (c *Core) lookForSource(now time.Time, r *request) {
	for _, home := range r.candidates {
		if home.engine.suspended(now) || c.ownerSilent(now, home.engine) {
			continue
		}
		if kept := home.engine.kept.hit(r.Parts); kept > r.sourceTokens {
			r.fetchSource, r.sourceTokens = home.engine.Name, kept
		}
	}
}

// sourceOf returns the target from which the one that takes a request copies the
// beginning of its prompt; empty: none.
func (c *Core) sourceOf(r *request) ident.Target {
	s := c.services[r.Service]
	if s == nil || s.fetchPerToken <= 0 || r.sourceTokens-r.targetTokens < leastFetch || r.fetchSource == r.current.engine.Name {
		return ""
	}
	return r.fetchSource
}

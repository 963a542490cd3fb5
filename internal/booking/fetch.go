package booking

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// A shared prefix that one engine has cached can be copied to another engine instead of being
// recomputed there.
//
// Load pattern: sessions with long shared prefixes (a file of thousands of tokens) arrive in
// bursts, the engines that have a prefix cached are busy, and a request goes to another one, or
// is refused although other engines are idle. Recomputing 13,000 tokens takes an engine of 50
// tokens/ms 268 ms, in which it serves no other request; copying them takes 62 ms of link time,
// in which the engine continues with other prefill work.
//
// Each reply of an owner states how much of a prompt its target has cached. The ingress passes
// this on to the next owner that it tries, which then counts the copy instead of the prefill. This
// needs no additional messages.

const (
	// minFetchTokens is the minimum number of tokens that is copied. Copying so few takes as
	// long as prefill, but uses a link and not the engine.
	minFetchTokens = 128
	// fetchSetupTime is the fixed cost of a copy: both ends have to set it up.
	fetchSetupTime = 4 * time.Millisecond
)

// prefillCost returns the prefill work of a prompt on a target that has cached the given number
// of tokens of its prefix, and the copy time if another target has more of it cached.
func (s *service) prefillCost(prompt, cached, cachedElsewhere int) (work float64, fetch time.Duration) {
	if s.fetchPerToken <= 0 || cachedElsewhere-cached < minFetchTokens {
		return prefillWork(prompt, cached), 0
	}
	return prefillWork(prompt, cachedElsewhere), fetchSetupTime + time.Duration(cachedElsewhere-cached)*s.fetchPerToken
}

// ownerWarmup is how long a new owner also relies on what ingresses know of a target's cache,
// until most sessions have sent a request. In a rolling restart daemons are replaced in turn,
// and a new owner that assumed empty caches sent sessions away from the engines that had them
// cached, and their prefixes were recomputed elsewhere.
const ownerWarmup = 10 * time.Second

// cachedTokens returns how many tokens of a prompt's prefix the target has cached.
func (e *engine) cachedTokens(now time.Time, res *Reservation) int {
	cached := e.cache.hitTokens(res.Parts)
	if now.Sub(e.ownedSince) < ownerWarmup {
		cached = max(cached, min(res.CachedHint, res.Prompt))
	}
	return cached
}

// findFetchSource searches the home targets that were not asked yet for one that has more of
// the prompt cached, by what this daemon has sent there: the home that is asked may have just
// started. Targets that fail or whose owner is silent are skipped. They may be unreachable for
// the other target as well, and a request that waits for the copy would hang.
func (c *Core) findFetchSource(now time.Time, r *request) {
	for _, home := range r.candidates {
		if home.engine.suspended(now) || c.ownerSilent(now, home.engine) {
			continue
		}
		if cached := home.engine.cache.hitTokens(r.Parts); cached > r.sourceTokens {
			r.fetchSource, r.sourceTokens = home.engine.Name, cached
		}
	}
}

// fetchSource returns the target from which the selected target copies the prompt's prefix, or
// an empty name if nothing is copied.
func (c *Core) fetchSource(r *request) ident.Target {
	s := c.services[r.Service]
	if s == nil || s.fetchPerToken <= 0 || r.sourceTokens-r.targetTokens < minFetchTokens || r.fetchSource == r.current.engine.Name {
		return ""
	}
	return r.fetchSource
}

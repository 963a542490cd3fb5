package booking

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxOwnersAsked bounds the owners that are queried for one request. Each query costs one
	// message in each direction.
	maxOwnersAsked = 4
	// homesPerPrefix is the number of home targets of a shared prefix.
	// spareHomesPerPrefix is how many of them are considered for a request that may only use
	// spare capacity.
	homesPerPrefix      = 3
	spareHomesPerPrefix = 2
	// longPrefixTokens is the shared prefix length, in tokens, from which on a request is sent
	// to its home targets only. Recomputing such a prefix on another target takes longer than
	// most requests are worth, and delays requests there that would otherwise meet their
	// objectives.
	longPrefixTokens = 400
	// longPrefixShare is the minimum fraction of the prompt that the shared prefix must make up
	// for that rule. A prompt that is long without its shared prefix needs an engine without
	// other prefill work, and is worth some recomputation.
	longPrefixShare = 0.25
)

// candidates lists the targets to try first, in order: the home targets of the shared prefix,
// or the least loaded targets if there is none. Targets that are to be avoided are used only if
// no others are left.
func (c *Core) candidates(now time.Time, s *service, r *request) []candidate {
	s.refreshWeights(now)
	usable := c.usableTargets(now, s, r)
	prefix, shared := sharedPrefix(r.Parts)
	if shared == 0 {
		return c.leastLoaded(now, usable, maxOwnersAsked)
	}
	spareOnly := r.Late || !s.shares.withinShare(now, r.Workspace, r.Cost(), s.currentRates(now))
	n := homesPerPrefix
	if spareOnly && !r.PreviouslyPlaced {
		n = spareHomesPerPrefix
	}
	r.tryLeastLoaded = !spareOnly && (shared < longPrefixTokens || float64(shared) < longPrefixShare*float64(r.Prompt))
	homesOf := homeCandidates
	if s.weights.uneven {
		homesOf = weightedHomes
	}
	homes := homesOf(prefix, usable, n)
	if source := c.drainingHome(now, s, r, prefix, homes); source != nil {
		return append([]candidate{{source, "draining home"}}, homes...)
	}
	return homes
}

// drainingHome returns the draining target that was the home of a prefix before it began to drain;
// nil if there is none from which the prefix may be copied.
//
// Load pattern: the targets of a service are replaced one after the other while sessions go on. A
// draining target gets no requests, but keeps its cache for seconds. Its owner is asked first, so that
// the new home copies the prefix instead of computing it again.
func (c *Core) drainingHome(now time.Time, s *service, r *request, prefix uint64, homes []candidate) (home *engine) {
	if s.fetchPerToken <= 0 || len(homes) == 0 {
		return nil
	}
	highest, _ := homeScore(prefix, homes[0].engine, 0)
	for _, e := range s.drainingEngines {
		score, ok := homeScore(prefix, e, highest)
		if ok && score > highest && r.maySuit(e) && !e.suspended(now) && !c.ownerSilent(now, e) {
			home, highest = e, score
		}
	}
	return home
}

// homeCandidates returns the n home targets of a prefix by rendezvous hashing.
func homeCandidates(prefix uint64, usable []*engine, n int) []candidate {
	var homes topHomes[uint64]
	for _, e := range usable {
		homes.add(e, rendezvousWeight(prefix, e.Name), n)
	}
	return homes.candidates(n)
}

// topHomes holds the targets with the highest scores for a prefix, the highest first. Of equal scores the
// first one added is kept.
type topHomes[Score cmp.Ordered] struct {
	engines [homesPerPrefix]*engine
	scores  [homesPerPrefix]Score
}

// add adds a target if it is among the n with the highest scores.
func (h *topHomes[Score]) add(e *engine, score Score, n int) {
	for i := range n {
		if h.engines[i] == nil || score > h.scores[i] {
			copy(h.engines[i+1:n], h.engines[i:n-1])
			copy(h.scores[i+1:n], h.scores[i:n-1])
			h.engines[i], h.scores[i] = e, score
			return
		}
	}
}

// candidates returns the first n targets, or all if there are fewer.
func (h *topHomes[Score]) candidates(n int) []candidate {
	list := make([]candidate, 0, n)
	for i, e := range h.engines[:n] {
		if e != nil {
			list = append(list, candidate{e, homeNames[i]})
		}
	}
	return list
}

var homeNames = [homesPerPrefix]string{"home 1", "home 2", "home 3"}

// leastLoaded returns the n targets with the lowest estimated load. The list starts at a random
// target so that ties are broken evenly.
func (c *Core) leastLoaded(now time.Time, usable []*engine, n int) []candidate {
	type scored struct {
		*engine
		score float64
	}
	list := make([]scored, 0, len(usable))
	start := c.rng.IntN(max(1, len(usable)))
	for i := range usable {
		e := usable[(start+i)%len(usable)]
		list = append(list, scored{e, c.loadScore(now, e)})
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	out := make([]candidate, 0, n)
	for _, l := range list[:min(n, len(list))] {
		out = append(out, candidate{l.engine, "emptiest"})
	}
	return out
}

// addFallbacks adds the least loaded targets once all home targets were asked.
func (c *Core) addFallbacks(now time.Time, r *request) {
	if len(r.candidates) > 0 || !r.tryLeastLoaded {
		return
	}
	r.tryLeastLoaded = false
	s := c.services[r.Service]
	if s == nil {
		return
	}
	for _, e := range c.leastLoaded(now, c.usableTargets(now, s, r), maxOwnersAsked) {
		if r.ownersAsked+len(r.candidates) < maxOwnersAsked && !slices.Contains(r.askedEngines, e.engine) {
			r.candidates = append(r.candidates, e)
		}
	}
}

// usableTargets lists the targets that may take the request. If only targets that should be
// avoided are left, it returns those.
func (c *Core) usableTargets(now time.Time, s *service, r *request) []*engine {
	var available, avoided []*engine
	for _, e := range s.sortedEngines {
		switch {
		case !r.mayUse(e):
		case slices.Contains(r.Avoid, e.Name):
			avoided = append(avoided, e)
		case e.suspended(now):
			avoided = append(avoided, e)
		default:
			available = append(available, e)
		}
	}
	if len(available) == 0 {
		return avoided
	}
	return available
}

// mayUse reports whether a request may be sent to a target now.
func (r *request) mayUse(e *engine) bool {
	return r.maySuit(e) && !e.Draining && !slices.ContainsFunc(r.Paused, func(p Pause) bool { return p.Target == e.Name })
}

// maySuit reports whether a request may be sent to a target at all: it is not evacuated, and has the
// region and version that the request needs.
func (r *request) maySuit(e *engine) bool {
	if e.Evacuated || !r.Regions.Allows(e.Region) {
		return false
	}
	return !r.Pinned || r.Version != "" && e.Version == r.Version
}

// sharedPrefix returns the ID of the last part that a prompt shares with others, which selects
// its home targets, and the number of tokens up to the end of that part.
func sharedPrefix(parts []PromptPart) (id uint64, tokens int) {
	if len(parts) < 2 {
		return 0, 0
	}
	for _, p := range parts[:len(parts)-1] {
		id = p.ID
		tokens += p.Tokens
	}
	return id, tokens
}

// maxLoadAge is the age beyond which an owner's load report is ignored.
const maxLoadAge = 2 * time.Second

// loadScore orders targets by their known load: the fraction of slots in use plus the prefill
// backlog in seconds; if targets have uneven speeds, by the rate that they have left.
func (c *Core) loadScore(now time.Time, e *engine) float64 {
	if e.owned {
		return e.loadScore(e.occupancy() + e.backlog(now).Seconds())
	}
	if now.Sub(e.reportedAt) > maxLoadAge {
		return e.loadScore(0)
	}
	return e.loadScore(e.reported.SlotUtilization + e.reported.Wait.Seconds())
}

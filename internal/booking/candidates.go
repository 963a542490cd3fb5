package booking

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxAsks bounds the owners that are asked for one request. Each costs a
	// message there and back.
	maxAsks = 4
	// homes is how many targets are homes of a shared part, and spareHomes how many
	// of them a request is shown to that gets what is spare.
	homes      = 3
	spareHomes = 2
	// longPart is the number of shared tokens from which on a request goes to none
	// but its homes: to read them once more on another target takes longer than most
	// requests are worth, and away from those that would be served in that time.
	longPart = 400
	// longShare is the part of a prompt that its shared part must be for that. A
	// prompt that is long by itself needs an engine that has nothing else to read, and
	// is worth reading a little more.
	longShare = 0.25
)

// candidates lists the targets to ask first, in order: the homes of the shared part,
// or where there is none those thought emptiest. A target that failed an earlier
// attempt comes last.
func (c *Core) candidates(now time.Time, s *service, r *request) []candidate {
	usable := c.usable(now, s, r)
	part, shared := sharedPart(r.Parts)
	if shared == 0 {
		return c.emptiest(now, usable, maxAsks)
	}
	spare := r.Late || !s.shares.withinShare(now, r.Workspace, r.Cost(), s.rateOf(now))
	n := homes
	if spare && !r.PreviouslyPlaced {
		n = spareHomes
	}
	r.tryEmptiest = !spare && (shared < longPart || float64(shared) < longShare*float64(r.Prompt))
	return homesOf(part, usable, n)
}

// homesOf returns the n homes of a part among targets.
func homesOf(part uint64, usable []*engine, n int) []candidate {
	var best [homes]*engine
	var weights [homes]uint64
	for _, e := range usable {
		w := rendezvousWeight(part, e.Name)
		for i := range n {
			if best[i] == nil || w > weights[i] {
				copy(best[i+1:n], best[i:n-1])
				copy(weights[i+1:n], weights[i:n-1])
				best[i], weights[i] = e, w
				break
			}
		}
	}
	list := make([]candidate, 0, n)
	for i, e := range best[:n] {
		if e != nil {
			list = append(list, candidate{e, homeNames[i]})
		}
	}
	return list
}

var homeNames = [homes]string{"home 1", "home 2", "home 3"}

// emptiest returns the n targets thought emptiest. They are counted from another one
// each time, so that equal ones take turns.
func (c *Core) emptiest(now time.Time, usable []*engine, n int) []candidate {
	type loaded struct {
		*engine
		load float64
	}
	list := make([]loaded, 0, len(usable))
	start := c.rng.IntN(max(1, len(usable)))
	for i := range usable {
		e := usable[(start+i)%len(usable)]
		list = append(list, loaded{e, c.load(now, e)})
	}
	slices.SortStableFunc(list, func(a, b loaded) int { return cmp.Compare(a.load, b.load) })
	out := make([]candidate, 0, n)
	for _, l := range list[:min(n, len(list))] {
		out = append(out, candidate{l.engine, "emptiest"})
	}
	return out
}

// further adds the emptiest targets once all homes were asked.
func (c *Core) further(now time.Time, r *request) {
	if len(r.candidates) > 0 || !r.tryEmptiest {
		return
	}
	r.tryEmptiest = false
	s := c.services[r.Service]
	if s == nil {
		return
	}
	for _, e := range c.emptiest(now, c.usable(now, s, r), maxAsks) {
		if r.ownersAsked+len(r.candidates) < maxAsks && !slices.Contains(r.askedEngines, e.engine) {
			r.candidates = append(r.candidates, e)
		}
	}
}

// usable lists the targets that may take the request. Where only such are left
// that it should avoid, those are better than none.
func (c *Core) usable(now time.Time, s *service, r *request) []*engine {
	var open, avoided []*engine
	for _, e := range s.sortedEngines {
		switch {
		case slices.Contains(r.Avoid, e.Name):
			avoided = append(avoided, e)
		case e.suspended(now):
			avoided = append(avoided, e)
		default:
			open = append(open, e)
		}
	}
	if len(open) == 0 {
		return avoided
	}
	return open
}

// sharedPart names the part of a prompt by which its homes are chosen, the last one
// that it shares with others, and counts the tokens up to its end.
func sharedPart(parts []PromptPart) (id uint64, tokens int) {
	if len(parts) < 2 {
		return 0, 0
	}
	for _, p := range parts[:len(parts)-1] {
		id = p.ID
		tokens += p.Tokens
	}
	return id, tokens
}

// stale is how old an owner's word about a load may be to say anything.
const stale = 2 * time.Second

// load orders targets by what is known of them: the part of the slots in use, and
// the time that a prompt waits in seconds.
func (c *Core) load(now time.Time, e *engine) float64 {
	if e.owned {
		return e.taken() + e.backlog(now).Seconds()
	}
	if now.Sub(e.heard) > stale {
		return 0
	}
	return e.told.SlotUtilization + e.told.Wait.Seconds()
}

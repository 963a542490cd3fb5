package booking

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// run is a request on a target, as its owner knows it.
type run struct {
	ingress ident.Daemon
	id      uint64
	target  *engine
	// prefillWork is the prefill cost of the prompt, in tokens at the pace of an empty context.
	prefillWork float64
	// fetchTime is the time to copy the cached prefix from another target, before the prefill
	// of the rest.
	fetchTime time.Duration
	// memory is the number of tokens that the request occupies beyond its shared parts when it
	// ends.
	memory int
	shared []PromptPart
	// ownPart is the last part of its prompt, with the memory that stays occupied after its
	// end.
	ownPart PromptPart
	addedAt time.Time
	// excess is how many requests more than slots the target had with this one; it may be negative.
	excess int
	// expected is when the first byte should arrive.
	expected    time.Time
	prefillDone bool
	// firstByteAt is when the first byte arrived, prefillBefore the target's total prefill time
	// until then.
	firstByteAt   time.Time
	prefillBefore time.Duration
	// heldBehind is the run that the request is held back for; nil if there is none.
	heldBehind *run
	// expiresAt is when the run is dropped unless a further message about it arrives.
	expiresAt time.Time
	// workspace was granted grantedCost for the request by this owner; zero if nothing was
	// granted.
	workspace   ident.Workspace
	grantedCost float64
}

// memoryNeeds returns the shared parts of a request, and the number of tokens that it occupies
// beyond them.
func memoryNeeds(res *Reservation) (shared []PromptPart, own int) {
	own = res.Prompt + res.Output
	if len(res.Parts) < 2 {
		return nil, own
	}
	shared = res.Parts[:len(res.Parts)-1]
	for _, p := range shared {
		own -= p.Tokens
	}
	return shared, max(0, own)
}

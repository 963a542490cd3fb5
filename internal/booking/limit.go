package booking

// Limit is the reason why the owner of a target did not admit a request.
type Limit uint8

// Limits.
const (
	// LimitNone: the request was admitted, or no owner was asked.
	LimitNone Limit = iota
	// LimitFailing: the failure rate of the target is too high.
	LimitFailing
	// LimitMemory: the running requests fill the target's memory.
	LimitMemory
	// LimitSlots: all slots of the target are in use.
	LimitSlots
	// LimitSpare: the workspace is above its share, or the request is late, and the target has
	// no spare capacity.
	LimitSpare
	// LimitShare: the target has spare capacity, but the workspace is too far ahead of an
	// underserved one.
	LimitShare
	// LimitTime: the answer would miss its latency objective.
	LimitTime
	// LimitPrompt: the prompt alone takes the target longer than the latency objective.
	LimitPrompt
	// LimitEvacuated: nothing more may be sent to the target.
	LimitEvacuated
	// LimitCold: a cold target would get more requests in a second than it tolerates, or one that
	// may turn cold unnoticed would.
	LimitCold
	// LimitDraining: the target gets no requests, and was only asked what it has cached.
	LimitDraining
)

var limitNames = [...]string{"", "failing", "memory", "slots", "spare", "share", "time", "prompt", "evacuated", "cold", "draining"}

// String returns the name of the limit in logs.
func (l Limit) String() string {
	if int(l) < len(limitNames) {
		return limitNames[l]
	}
	return "unknown"
}

package booking

// Limit says what kept a target's owner from taking a request.
type Limit uint8

// Limits.
const (
	// LimitNone: the request was taken, or nobody was asked.
	LimitNone Limit = iota
	// LimitFailing: the target fails too many requests.
	LimitFailing
	// LimitMemory: what runs on the target fills its memory.
	LimitMemory
	// LimitSlots: all its slots are in use.
	LimitSlots
	// LimitSpare: a workspace above its share, or a late request, gets what is spare, and
	// the target has none.
	LimitSpare
	// LimitShare: the target has something to spare, but the workspace is too far ahead of
	// one that lacks.
	LimitShare
	// LimitTime: the answer would come after its objective.
	LimitTime
	// LimitPrompt: the prompt alone takes the target longer than its objective.
	LimitPrompt
)

var limitNames = [...]string{"", "failing", "memory", "slots", "spare", "share", "time", "prompt"}

// String names the limit as logs do.
func (l Limit) String() string {
	if int(l) < len(limitNames) {
		return limitNames[l]
	}
	return "unknown"
}

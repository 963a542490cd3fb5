package booking

import "time"

// callerRetries records recent requests, so that a refused request that the caller retries is
// distinguished from a new one.
//
// Load pattern: callers that a full fleet has refused retry within a second or two, through any
// daemon and under a new ID; they are a third of the requests of a busy hour. Their answers are
// late in any case, and worth a tenth to a third of one in time. Taken for new requests they
// would count twice in their workspace's demand, and take the places of requests that can still
// meet their deadlines.
//
// The last part of a prompt is unique to the request, and the home of the part before it is the
// same whichever daemon the caller reaches, so that the owner that is asked first sees both
// tries. The size of the prompt is compared as well: the next request of a session may have the
// same last part, but it is longer.
type callerRetries map[promptKey]time.Time

// promptKey identifies a request by its prompt.
type promptKey struct {
	last   uint64
	prompt int
}

// callerRetryWindow is how long after a request a retry by the caller is recognized: the
// longest time that callers of present services wait for an answer. An entry takes some 50
// bytes, and a daemon that gets 70 requests a second keeps 700.
const callerRetryWindow = 10 * time.Second

// record records a request and reports whether it was seen before.
func (r callerRetries) record(now time.Time, parts []PromptPart, prompt int) bool {
	if len(parts) == 0 {
		return false // a plain service has no prompt parts
	}
	key := promptKey{parts[len(parts)-1].ID, prompt}
	at, known := r[key]
	r[key] = now
	return known && now.Sub(at) < callerRetryWindow
}

// expire drops the requests that are too old to be retried.
func (r callerRetries) expire(now time.Time) {
	for key, at := range r {
		if now.Sub(at) >= callerRetryWindow {
			delete(r, key)
		}
	}
}

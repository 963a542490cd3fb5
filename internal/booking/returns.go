package booking

import "time"

// returns knows the requests that were asked for of late, so that one that was refused
// and comes back is told from a new one.
//
// Load pattern: callers of a full fleet are refused and come back within a second or
// two, a third of what a busy hour brings, through any daemon and under a new id. Their
// answers are late whatever is done, and worth a tenth to a third of one in time. Taken
// for new ones they would count twice in what their workspace asks for, and take the
// places of requests that can still be in time.
//
// The last part of a prompt belongs to the request alone, and the home of the part
// before it is the same whichever daemon the caller reaches, so that the owner who is
// asked first sees both. The size of the prompt is compared too: the next request of a
// session may have the same last part, but it is longer.
type returns map[asking]time.Time

// asking names a request by its prompt.
type asking struct {
	last   uint64
	prompt int
}

// returnsWithin is how long a caller may take to come back: the longest time that
// callers of today's services wait for an answer. An entry takes some 50 bytes, and a
// daemon that is asked for 70 requests a second keeps 700.
const returnsWithin = 10 * time.Second

// meet notes a request and tells whether it was met before.
func (r returns) meet(now time.Time, parts []Part, prompt int) bool {
	if len(parts) == 0 {
		return false // a plain service states none
	}
	key := asking{parts[len(parts)-1].ID, prompt}
	at, known := r[key]
	r[key] = now
	return known && now.Sub(at) < returnsWithin
}

// forget drops the requests that will not come back.
func (r returns) forget(now time.Time) {
	for key, at := range r {
		if now.Sub(at) >= returnsWithin {
			delete(r, key)
		}
	}
}

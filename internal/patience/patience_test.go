package patience_test

import (
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/patience"
)

func TestDecide(t *testing.T) {
	arrived := time.Unix(1000, 0)
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		request patience.Request
		due     time.Duration
		late    bool
	}{
		{"a first attempt is due by its objective", patience.Request{Remaining: 10 * time.Second, MaxWait: 10 * time.Second, Objective: 600 * ms}, 595 * ms, false},
		{"a retry after a refusal is late", patience.Request{Remaining: 7300 * ms, MaxWait: 10 * time.Second, Objective: 600 * ms}, 7300 * ms, true},
		// Callers whose own timeout was up to 15% below the operator's limit were all
		// classified as late, so no workspace was held to its share.
		{"a caller that waits slightly less than the limit", patience.Request{Remaining: 8500 * ms, MaxWait: 10 * time.Second, Objective: 600 * ms}, 595 * ms, false},
		{"network transit does not count as an earlier attempt", patience.Request{Remaining: 9990 * ms, MaxWait: 10 * time.Second, Objective: 600 * ms}, 595 * ms, false},
		{"a resumed stream is due in its caller's remaining time", patience.Request{Remaining: 10 * time.Second, MaxWait: 10 * time.Second, Objective: 600 * ms, Resumed: true}, 10 * time.Second, false},
		{"time that passed in a stream is not a retry", patience.Request{Remaining: 4 * time.Second, MaxWait: 10 * time.Second, Objective: 600 * ms, Resumed: true}, 4 * time.Second, false},
		{"without an objective the caller's remaining time applies", patience.Request{Remaining: 2 * time.Second, MaxWait: 10 * time.Second}, 2 * time.Second, false},
		{"a caller that waits less than the objective", patience.Request{Remaining: 200 * ms, MaxWait: 200 * ms, Objective: 600 * ms}, 200 * ms, false},
		{"a remaining time capped at the operator's limit", patience.Request{Remaining: 3 * time.Second, MaxWait: 3 * time.Second, Objective: 100 * ms}, 95 * ms, false},
	} {
		c.request.Arrived = arrived
		plan := patience.Decide(c.request)
		if got := plan.Due.Sub(arrived); got != c.due || plan.Late != c.late {
			t.Errorf("%s: due in %s, late %v; want %s, %v", c.name, got, plan.Late, c.due, c.late)
		}
	}
}

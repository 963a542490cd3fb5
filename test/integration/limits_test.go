package integration_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/limit"
	"github.com/savorystall/savorystall/internal/resultcode"
)

const (
	limitedRate  = 10 // requests a second
	limitedSpan  = 5 * time.Second
	limitedPause = 5 * time.Millisecond
)

// A team may send ten requests a second and sends hundreds, through all daemons.
// Each daemon let it have ten by itself, so that the targets got seventy. Now the
// fleet accepts what docs/design/admission.md says at most, and whoever is refused
// is told that it is the team's own limit, and when to come again.
func TestLimitHoldsForTheFleet(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, func(f *fleet) { f.limits.RequestsPerSecond = limitedRate })
	client := newClient()
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var requests []*request
	var callers sync.WaitGroup
	began := time.Now()
	for i := range daemonCount {
		callers.Go(func() {
			for n := 0; time.Since(began) < limitedSpan; n++ {
				r := &request{kind: plainRead, mark: fmt.Sprintf("limited-%d-%d", i, n)}
				r.send(t.Context(), client, f.daemons[i].address, key(0))
				mu.Lock()
				requests = append(requests, r)
				mu.Unlock()
				time.Sleep(limitedPause)
			}
		})
	}
	callers.Wait()
	span := time.Since(began)
	counts := check(t, f, requests)
	most := limit.Config{}.MaxAccepted(limitedRate, span, daemonCount)
	t.Logf("%d accepted in %v, at most %.0f", counts[complete], span.Round(time.Millisecond), most)
	is.True(float64(counts[complete]) <= most)
	is.True(counts[complete] >= limitedRate) // callers are served
	is.Equal(counts[complete]+counts[refused], len(requests))
	for _, r := range requests {
		if r.verdict == refused {
			is.Equal(r.code, resultcode.RateLimited.Number)
		}
	}
}

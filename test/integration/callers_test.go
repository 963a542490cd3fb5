package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/resultcode"
)

// steady keeps callers sending for as long as a schedule of faults runs. A
// caller whose daemon gives no answer, or says that the request was not run,
// asks another daemon with the same mark and key.
type steady struct {
	f      *fleet
	client *http.Client
	end    context.CancelFunc
	group  sync.WaitGroup

	mu       sync.Mutex
	requests []*repeated
}

// repeated is one request with all its tries.
type repeated struct {
	kind  kind
	mark  string
	tries []*request
}

const (
	steadyCallers = 64
	mostTries     = 6
	callTimeout   = 30 * time.Second
)

func startSteady(t *testing.T, f *fleet, name string, seed uint64) *steady {
	ctx, cancel := context.WithCancel(t.Context())
	s := &steady{f: f, client: newClient(), end: cancel}
	for n := range steadyCallers {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		s.group.Go(func() { s.caller(ctx, rng, fmt.Sprintf("%s-%d", name, n)) })
	}
	return s
}

func (s *steady) caller(ctx context.Context, rng *rand.Rand, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		r := &repeated{kind: drawKind(rng), mark: fmt.Sprintf("%s-%d", name, i)}
		s.ask(ctx, rng, r)
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.mu.Unlock()
	}
}

// drawKind draws every second request among those that must not run twice: they
// are what a schedule of failures can go wrong with.
func drawKind(rng *rand.Rand) kind {
	if rng.IntN(2) == 0 {
		return []kind{taggedCompletion, plainClaim}[rng.IntN(2)]
	}
	return kind(rng.IntN(int(kinds)))
}

// ask tries until there is an answer or a word that forbids another try.
func (s *steady) ask(ctx context.Context, rng *rand.Rand, r *repeated) {
	tokens, bearer := 10+rng.IntN(40), key(rng.IntN(workspaces))
	for len(r.tries) < mostTries {
		try := &request{kind: r.kind, mark: r.mark, tokens: tokens}
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		try.send(call, s.client, s.f.daemon(rng.IntN(daemonCount)).address, bearer)
		cancel()
		r.tries = append(r.tries, try)
		again := try.verdict == unreached || try.verdict == refused && try.run == resultcode.NotRun
		if !again || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	}
}

// stop lets the callers finish what they ask, and returns all requests.
func (s *steady) stop() []*repeated {
	s.end()
	s.group.Wait()
	s.client.CloseIdleConnections()
	return s.requests
}

// checkRepeated holds every try against what the targets ran.
func checkRepeated(t *testing.T, f *fleet, requests []*repeated) {
	t.Helper()
	answered, tries := 0, 0
	for _, r := range requests {
		runs := f.ran(r.mark)
		if r.kind.unrepeatable() && runs > 1 {
			t.Errorf("%s: unrepeatable, and ran %d times", r.mark, runs)
		}
		allNotRun := true
		for _, try := range r.tries {
			tries++
			if try.verdict == complete {
				answered++
			}
			if try.wrong != "" {
				t.Errorf("%s: wrong answer: %s", r.mark, try.wrong)
			}
			allNotRun = allNotRun && try.verdict == refused && try.run == resultcode.NotRun
		}
		if allNotRun && runs > 0 {
			t.Errorf("%s: every try was told that it was not run, and it ran %d times; first code %d", r.mark, runs, r.tries[0].code)
		}
	}
	t.Logf("%d requests in %d tries, %d answered", len(requests), tries, answered)
	if answered == 0 {
		t.Error("nothing was answered")
	}
}

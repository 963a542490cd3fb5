package integration_test

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
)

const (
	draftTokens   = 500
	questionCount = 40
)

// A club's weekend of footage fills every slot with drafts of many seconds. Then
// people of the other clubs ask, while connections to the engines break. Drafts
// are stopped for the questions and go on on other engines. Each draft, streamed
// or in one piece, holds every token once; each question is answered; and the
// engines count the tokens that they read again.
func TestDraftsThatAreStoppedAreExact(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, func(f *fleet) { f.preemption, f.meanCost = true, draftTokens })
	// Before that, owners grant slots that others have granted already, and
	// questions wait in the engines.
	f.awaitMembers()
	client := newClient()
	defer client.CloseIdleConnections()
	var all []*request
	var group sync.WaitGroup
	start := func(r *request, daemon, workspace int) {
		all = append(all, r)
		group.Go(func() { r.send(t.Context(), client, f.daemons[daemon].address, key(workspace)) })
	}
	for i := range 9 * engineCount * engineSlots / 8 {
		r := &request{kind: kind(i % int(taggedCompletion)), mark: fmt.Sprintf("draft-%d", i), tokens: draftTokens, operation: "recap"}
		start(r, i%daemonCount, 0)
	}
	count := func(of func(enginestandin.Counts) int) (n int) {
		for _, e := range f.engines {
			n += of(e.Counts())
		}
		return n
	}
	await(t, startDeadline, "a fifth of the drafts", func() bool {
		return count(func(c enginestandin.Counts) int { return c.Tokens }) >= engineCount*engineSlots*draftTokens/5
	})
	for i, e := range f.engines {
		e.Inject(enginestandin.Fault{Kind: enginestandin.FaultDisconnect, AfterTokens: draftTokens/5 + 10*i, Times: 5})
	}
	for i := range questionCount {
		r := &request{kind: kind(i % int(taggedCompletion)), mark: fmt.Sprintf("question-%d", i), tokens: 10, operation: "ask"}
		start(r, i%daemonCount, 1+i%(workspaces-1))
		time.Sleep(50 * time.Millisecond) // people, not a burst
	}
	group.Wait()
	counts := check(t, f, all)
	continued := count(func(c enginestandin.Counts) int { return c.Continued })
	reread := count(func(c enginestandin.Counts) int { return c.RecomputedTokens })
	t.Logf("%d drafts went on after a stop, %d tokens were read again", continued, reread)
	questions := slices.SortedFunc(slices.Values(all[len(all)-questionCount:]), func(a, b *request) int { return cmp.Compare(a.elapsed, b.elapsed) })
	t.Logf("questions took %v in the middle and %v at most", questions[questionCount/2].elapsed, questions[questionCount-1].elapsed)
	is.True(continued > 0)
	is.True(reread > continued)
	is.Equal(counts[complete], len(all))
}

// awaitMembers waits until each daemon knows all others.
func (f *fleet) awaitMembers() {
	for _, p := range f.daemons {
		await(f.t, startDeadline, "all members at "+string(p.name), func() bool {
			status, err := readStatus(f.t.Context(), http.DefaultClient, p.operators)
			return err == nil && len(status.Members) == daemonCount
		})
	}
}

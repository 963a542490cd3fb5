package attempt_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/resultcode"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	"github.com/savorystall/savorystall/test/faultlink"
)

// A firewall between daemon and engine loses the state of the open connections:
// no data passes on them and no error occurs, while new ones work. This happens
// in the middle of forty answers. Each silent stream must be detected and
// resumed on a new connection without lost or repeated tokens.
func TestStreamsResumeAfterConnectionsGoSilent(t *testing.T) {
	const users = 40
	e, upstream := newEngine(t, enginestandin.Config{Step: 5 * time.Millisecond})
	link := faultlink.New(t, upstream)
	r := newRunner(t, shortTimeouts())
	var streamsStarted, streamsEnded sync.WaitGroup
	for i := range users {
		streamsStarted.Add(1)
		streamsEnded.Go(func() {
			prompt := fmt.Sprint("user ", i)
			sink := &collectingSink{}
			sink.onChunk = func(n uint64) error {
				if n == 3 {
					streamsStarted.Done()
				}
				return nil
			}
			got := r.Model(t.Context(), modelRequest(link.Address, prompt, answerTokens), sink)
			checkCompleteAnswer(t, e, prompt, sink, got)
			is.NewRelaxed(t).True(got.ResumeCount > 0)
		})
	}
	streamsStarted.Wait()
	link.StallOpenConnections()
	streamsEnded.Wait()
}

// Pooled connections go silent while they are idle, and the next request is
// written to one of them and lost. Its outcome must not be "not run", its stream is
// resumed or given up, and later requests must use new connections.
func TestSilentIdleConnectionsAreDropped(t *testing.T) {
	is := is.New(t)
	e, upstream := newEngine(t, enginestandin.Config{})
	link := faultlink.New(t, upstream)
	r := newRunner(t, shortTimeouts())
	run := func(prompt string) (*collectingSink, attempt.Result) {
		sink := &collectingSink{}
		return sink, r.Model(t.Context(), modelRequest(link.Address, prompt, answerTokens), sink)
	}
	sink, got := run("before")
	checkCompleteAnswer(t, e, "before", sink, got)
	link.StallOpenConnections()
	_, got = run("lost")
	is.Equal(got.Outcome, resultcode.MayHaveRun)
	is.True(got.TargetFailed)
	sink, got = run("after")
	checkCompleteAnswer(t, e, "after", sink, got)
}

// As above, with a request that cannot be retried. It must not be sent on an idle
// connection, which may have gone silent, because its outcome would then be "may
// have run".
func TestUnrepeatableRequestsUseNoIdleConnection(t *testing.T) {
	e, upstream := newEngine(t, enginestandin.Config{})
	link := faultlink.New(t, upstream)
	r := newRunner(t, shortTimeouts())
	run := func(prompt string, unrepeatable bool) {
		req := modelRequest(link.Address, prompt, answerTokens)
		req.Unrepeatable = unrepeatable
		sink := &collectingSink{}
		got := r.Model(t.Context(), req, sink)
		checkCompleteAnswer(t, e, prompt, sink, got)
	}
	run("question", false) // leaves an idle connection in the pool
	link.StallOpenConnections()
	run("claim", true)
}

// The link to an engine is cut in the middle of an answer and then restored with
// a higher latency. The answer must still be complete.
func TestStreamResumesAfterLinkIsRestored(t *testing.T) {
	e, upstream := newEngine(t, enginestandin.Config{Step: 5 * time.Millisecond})
	link := faultlink.New(t, upstream)
	r := newRunner(t, shortTimeouts())
	sink := &collectingSink{}
	sink.onChunk = func(n uint64) error {
		if n == 3 {
			link.Cut()
			link.SetDelay(20 * time.Millisecond)
			return link.Restore()
		}
		return nil
	}
	got := r.Model(t.Context(), modelRequest(link.Address, "cut", answerTokens), sink)
	checkCompleteAnswer(t, e, "cut", sink, got)
}

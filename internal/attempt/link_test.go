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

// A firewall between daemon and engine forgets the open connections: nothing
// passes on them and no error comes, while new ones work. Forty users wait in
// the middle of their answers. Each stream must be found silent, and go on
// on a new connection without a lost or doubled word.
func TestSilentLinkIsReplaced(t *testing.T) {
	const users = 40
	e, upstream := newEngine(t, enginestandin.Config{Step: 5 * time.Millisecond})
	link := faultlink.New(t, upstream)
	r := newRunner(t, quick())
	var streaming, ended sync.WaitGroup
	for i := range users {
		streaming.Add(1)
		ended.Go(func() {
			prompt := fmt.Sprint("user ", i)
			sink := &text{}
			sink.onChunk = func(n uint64) error {
				if n == 3 {
					streaming.Done()
				}
				return nil
			}
			got := r.Model(t.Context(), modelRequest(link.Address, prompt, answerTokens), sink)
			checkWhole(t, e, prompt, sink, got)
			is.NewRelaxed(t).True(got.Resumed > 0)
		})
	}
	streaming.Wait()
	link.SilenceOpen()
	ended.Wait()
}

// Connections that were used before lie idle when the link forgets them. The
// next request is written into the void. It may not be called "not run", and
// its stream is found or given up; those after it must use new connections.
func TestIdleConnectionsThatWentSilentAreDropped(t *testing.T) {
	is := is.New(t)
	e, upstream := newEngine(t, enginestandin.Config{})
	link := faultlink.New(t, upstream)
	r := newRunner(t, quick())
	run := func(prompt string) (*text, attempt.Result) {
		sink := &text{}
		return sink, r.Model(t.Context(), modelRequest(link.Address, prompt, answerTokens), sink)
	}
	sink, got := run("before")
	checkWhole(t, e, "before", sink, got)
	link.SilenceOpen()
	_, got = run("lost")
	is.Equal(got.Outcome, resultcode.MayHaveRun)
	is.True(got.TargetFailed)
	sink, got = run("after")
	checkWhole(t, e, "after", sink, got)
}

// The same with a claim, which cannot be tried again. It must not go out on a
// connection that may be silent, or its caller would be told "may have run".
func TestUnrepeatableRequestsUseNoIdleConnection(t *testing.T) {
	e, upstream := newEngine(t, enginestandin.Config{})
	link := faultlink.New(t, upstream)
	r := newRunner(t, quick())
	run := func(prompt string, unrepeatable bool) {
		req := modelRequest(link.Address, prompt, answerTokens)
		req.Unrepeatable = unrepeatable
		sink := &text{}
		got := r.Model(t.Context(), req, sink)
		checkWhole(t, e, prompt, sink, got)
	}
	run("question", false) // leaves an idle connection
	link.SilenceOpen()
	run("claim", true)
}

// The link to an engine is cut in the middle of answers, refuses connections
// for a while and then works again, slowly. Each answer must still be whole.
func TestCutLinkIsResumedWhenItIsBack(t *testing.T) {
	e, upstream := newEngine(t, enginestandin.Config{Step: 5 * time.Millisecond})
	link := faultlink.New(t, upstream)
	r := newRunner(t, quick())
	sink := &text{}
	sink.onChunk = func(n uint64) error {
		if n == 3 {
			link.Cut()
			link.Slow(20 * time.Millisecond)
			return link.Restore()
		}
		return nil
	}
	got := r.Model(t.Context(), modelRequest(link.Address, "cut", answerTokens), sink)
	checkWhole(t, e, "cut", sink, got)
}

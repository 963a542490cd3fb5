package claim

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/resultcode"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
	"github.com/savorystall/savorystall/test/process"
)

// partClaimant is a daemon that claims the key, waits for the test, starts,
// waits again and finishes. Its term is short, so that a stop can outlast it.
func partClaimant(l *process.Lines, args []string) {
	cfg := quick("claimant")
	cfg.Term, _ = time.ParseDuration(args[1])
	client := platform.NewClient(platform.ClientConfig{URL: args[0], Logger: slog.New(slog.DiscardHandler)})
	c := New(cfg, client, nil, slog.New(slog.DiscardHandler))
	go c.Run(context.Background())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := ident.Attempt(r.URL.Query().Get("attempt"))
		_ = json.NewEncoder(w).Encode(c.Answer("claimant", 1, key, attempt))
	}))
	d, _ := c.Claim(context.Background(), key, digest, "x")
	l.Say("held %s", server.URL)
	l.Hear()
	h := d.(Proceed).Hold
	l.Say("started %v", h.Start(time.Now()) == nil)
	l.Hear()
	_ = h.Finish(context.Background(), Outcome{Result: resultcode.Ran})
	l.Say("finished")
	select {} // until the test ends
}

// remote asks the claimant over HTTP.
type remote struct{ url string }

func (r remote) Ask(ctx context.Context, _ ident.Daemon, _ uint64, _ Key, a ident.Attempt) (Answer, error) {
	var answer Answer
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url+"?attempt="+string(a), nil)
	if err != nil {
		return answer, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer, err
	}
	defer res.Body.Close()
	return answer, json.NewDecoder(res.Body).Decode(&answer)
}

// stoppedClaimant returns a process that is stopped between claim and first
// byte, and another daemon, which can ask it.
func stoppedClaimant(t *testing.T, term time.Duration) (*process.Child, *Claimer) {
	platformServer := httptest.NewServer(platformstandin.New(platformstandin.Config{}))
	t.Cleanup(platformServer.Close)
	child := process.Start(t, "claimant", platformServer.URL, term.String())
	url := child.Expect("held")
	child.Stop()
	client := platform.NewClient(platform.ClientConfig{URL: platformServer.URL, Logger: slog.New(slog.DiscardHandler)})
	c := New(quick("other"), client, remote{url}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		client.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return child, c
}

func TestClaimantProcessIsStoppedBeforeFirstByte(t *testing.T) {
	// A daemon claims and is stopped (SIGSTOP) before the first byte. The caller
	// repeats through another daemon, is told that the request may have run, and
	// tries again. The first daemon goes on and runs the request: once.
	is := is.New(t)
	child, other := stoppedClaimant(t, time.Hour)
	other.cfg.AskTimeout = 200 * time.Millisecond // it is not answered
	is.Equal(refusal(t, other), resultcode.OutcomeUnknown)
	other.cfg.AskTimeout = 20 * time.Second // it is answered, also by a busy machine
	child.Continue()
	is.Equal(refusal(t, other), resultcode.InProgress)
	child.Tell("start")
	is.Equal(child.Expect("started"), "true")
	is.Equal(refusal(t, other), resultcode.InProgress)
	child.Tell("finish")
	child.Expect("finished")
	is.Equal(refusal(t, other), resultcode.AlreadyRan)
}

func TestClaimantProcessIsStoppedBeyondItsTerm(t *testing.T) {
	// As above, but the stop outlasts the term. Once it goes on, the first daemon
	// is asked before it would start: it promises not to, and the repeat runs in
	// its place. Were it to start all the same, the request would run twice.
	is := is.New(t)
	const term = 300 * time.Millisecond
	child, other := stoppedClaimant(t, term)
	time.Sleep(2 * term) // the pause itself; the verdict does not hang on its length
	child.Continue()
	other.cfg.AskTimeout = 20 * time.Second
	h := hold(t, other)
	is.NoErr(h.Start(time.Now()))
	child.Tell("start")
	is.Equal(child.Expect("started"), "false")
}

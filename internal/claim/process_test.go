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

// runClaimant is the main function of a process that claims the key, waits for the
// test, starts, waits again and finishes. Its StartTimeout is an argument, so that
// a test can stop the process for longer.
func runClaimant(lines *process.ParentPipe, args []string) {
	cfg := testConfig("claimant")
	cfg.StartTimeout, _ = time.ParseDuration(args[1])
	client := platform.NewClient(platform.ClientConfig{URL: args[0], Logger: slog.New(slog.DiscardHandler)})
	c := New(cfg, client, nil, slog.New(slog.DiscardHandler))
	go c.Run(context.Background())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := ident.Attempt(r.URL.Query().Get("attempt"))
		_ = json.NewEncoder(w).Encode(c.AnswerQuery("claimant", 1, testKey, attempt))
	}))
	d, _ := c.Claim(context.Background(), testKey, testDigest, "x")
	lines.Send("held %s", server.URL)
	lines.Receive()
	h := d.(Proceed).Hold
	lines.Send("started %v", h.Start(time.Now()) == nil)
	lines.Receive()
	_ = h.Finish(context.Background(), Outcome{Result: resultcode.Ran})
	lines.Send("finished")
	select {} // until the test ends
}

// httpQuerier queries the claimant over HTTP.
type httpQuerier struct{ url string }

func (r httpQuerier) QueryClaim(ctx context.Context, _ ident.Daemon, _ uint64, _ Key, token ident.Attempt) (Status, error) {
	var status Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url+"?attempt="+string(token), nil)
	if err != nil {
		return status, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return status, err
	}
	defer res.Body.Close()
	return status, json.NewDecoder(res.Body).Decode(&status)
}

// stoppedClaimant returns a process that is stopped between its claim and the first
// byte, and the claimer of another daemon that can query it.
func stoppedClaimant(t *testing.T, term time.Duration) (*process.Child, *Claimer) {
	platformServer := httptest.NewServer(platformstandin.New(platformstandin.Config{}))
	t.Cleanup(platformServer.Close)
	child := process.Start(t, "claimant", platformServer.URL, term.String())
	url := child.Expect("held")
	child.Suspend()
	client := platform.NewClient(platform.ClientConfig{URL: platformServer.URL, Logger: slog.New(slog.DiscardHandler)})
	c := New(testConfig("other"), client, httpQuerier{url}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		client.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return child, c
}

func TestClaimantProcessIsStoppedBeforeFirstByte(t *testing.T) {
	// A daemon claims and is stopped (SIGSTOP) before the first byte. The caller
	// retries through another daemon, is told that the request may have run, and
	// retries again. The first daemon resumes and runs the request, which must run
	// only once.
	is := is.New(t)
	child, other := stoppedClaimant(t, time.Hour)
	other.cfg.QueryTimeout = 200 * time.Millisecond // the stopped process does not reply
	is.Equal(mustBeRefused(t, other), resultcode.OutcomeUnknown)
	other.cfg.QueryTimeout = 20 * time.Second // long enough for a reply on a busy machine
	child.Resume()
	is.Equal(mustBeRefused(t, other), resultcode.InProgress)
	child.Send("start")
	is.Equal(child.Expect("started"), "true")
	is.Equal(mustBeRefused(t, other), resultcode.InProgress)
	child.Send("finish")
	child.Expect("finished")
	is.Equal(mustBeRefused(t, other), resultcode.AlreadyRan)
}

func TestClaimantProcessIsStoppedBeyondStartTimeout(t *testing.T) {
	// As in TestClaimantProcessIsStoppedBeforeFirstByte, but for longer than
	// StartTimeout. After it resumes, the first daemon is queried before it starts:
	// it promises never to, and the retry runs instead. If the first daemon started
	// nevertheless, the request would run twice.
	is := is.New(t)
	const term = 300 * time.Millisecond
	child, other := stoppedClaimant(t, term)
	time.Sleep(2 * term) // the pause under test; the result does not depend on its exact length
	child.Resume()
	other.cfg.QueryTimeout = 20 * time.Second
	h := mustHold(t, other)
	is.NoErr(h.Start(time.Now()))
	child.Send("start")
	is.Equal(child.Expect("started"), "false")
}

package claim

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Claimer makes the claims of one daemon. It is safe for concurrent use; Run
// must be running for claims to be written.
type Claimer struct {
	cfg       Config
	asker     Asker
	log       *slog.Logger
	committer *committer
	// refusals and silences keep the log from a line for each request while the
	// table or a claimant is out of reach.
	refusals, silences rate.Sometimes

	mu     sync.Mutex
	ledger *ledger
	// unrecorded counts final records on their way; idle is closed and renewed
	// each time that it comes to zero.
	unrecorded int
	idle       chan struct{}
}

// logInterval is the least time between two lines of the same event.
const logInterval = time.Second

// New returns a Claimer. Asker may be nil: then every open claim of another
// daemon is of unknown outcome.
func New(cfg Config, table platform.Table, asker Asker, log *slog.Logger) *Claimer {
	cfg = cfg.withDefaults()
	c := &Claimer{
		cfg: cfg, asker: asker, log: log,
		refusals: rate.Sometimes{Interval: logInterval},
		silences: rate.Sometimes{Interval: logInterval},
		ledger:   newLedger(cfg.Term),
		idle:     make(chan struct{}),
	}
	c.committer = newCommitter(cfg, table, func(err error) { event.ClaimStoreFailed.Log(log, "error", err) })
	return c
}

func (cfg Config) withDefaults() Config {
	cfg.Wait = cmp.Or(cfg.Wait, 5*time.Second)
	cfg.AskTimeout = cmp.Or(cfg.AskTimeout, time.Second)
	cfg.Term = cmp.Or(cfg.Term, time.Hour)
	cfg.RecordTTL = cmp.Or(cfg.RecordTTL, 24*time.Hour)
	cfg.KeepBytes = cmp.Or(cfg.KeepBytes, DefaultKeepBytes)
	cfg.BatchRows = cmp.Or(cfg.BatchRows, 200)
	cfg.BatchBytes = cmp.Or(cfg.BatchBytes, 512<<10)
	cfg.Linger = cmp.Or(cfg.Linger, 2*time.Millisecond)
	cfg.CommitTimeout = cmp.Or(cfg.CommitTimeout, 10*time.Second)
	cfg.WritesPerSecond = cmp.Or(cfg.WritesPerSecond, 40)
	cfg.Backoff = cmp.Or(cfg.Backoff, 50*time.Millisecond)
	cfg.BackoffMax = cmp.Or(cfg.BackoffMax, 2*time.Second)
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return cfg
}

// Run writes to the table until ctx ends. Call Flush before ending it.
func (c *Claimer) Run(ctx context.Context) { c.committer.run(ctx) }

// SetWritesPerSecond changes this daemon's share of the table's budget, in
// transactions a second. The number of live daemons decides it.
func (c *Claimer) SetWritesPerSecond(n float64) { c.committer.setPace(n) }

// Claim claims the key for one run. Digest identifies the request, so that the
// key cannot be used for another one. The attempt is noted in the record for
// people. The returned error is ctx's; every other end is a Decision.
//
// After Proceed the caller must end the hold by Finish or Abandon.
func (c *Claimer) Claim(ctx context.Context, key Key, digest []byte, attempt ident.Attempt) (Decision, error) {
	token := ident.NewAttempt()
	if key.Idempotency == "" {
		return Proceed{c.localHold(key, token)}, nil
	}
	if d := c.begin(key, token, digest); d != nil {
		return d, nil
	}
	hold := &Hold{claimer: c, key: key, token: token}
	hold.record = Record{
		Digest: digest, Daemon: c.cfg.Daemon, Incarnation: c.cfg.Incarnation,
		Token: token, Attempt: attempt,
	}
	return c.settle(ctx, hold)
}

// localPrefix starts the ledger's key of a request without a caller's key. A
// header's value cannot hold a zero byte.
const localPrefix = "\x00"

func (c *Claimer) localHold(key Key, token ident.Attempt) *Hold {
	key.Idempotency = localPrefix + string(token)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.beginLocal(key, token)
	return &Hold{claimer: c, key: key, token: token, local: true}
}

// settle writes the claim and decides about each row that is in the way.
func (c *Claimer) settle(ctx context.Context, hold *Hold) (Decision, error) {
	wait, cancel := context.WithTimeout(ctx, c.cfg.Wait)
	defer cancel()
	for {
		result, err := c.write(wait, hold)
		if err != nil {
			c.drop(hold)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			c.refusals.Do(func() {
				event.ClaimRefused.Log(c.log, "service", hold.key.Service, "workspace", hold.key.Workspace)
			})
			return Refuse{resultcode.Fail(resultcode.StoreUnavailable, "").Because(err)}, nil
		}
		if result.conflict == nil {
			return c.proceed(hold, result.revision), nil
		}
		v, d := c.judge(wait, hold, *result.conflict)
		switch v {
		case verdictHeld:
			return c.proceed(hold, hold.revision), nil
		case verdictFinal:
			c.drop(hold)
			return d, nil
		}
	}
}

// write submits the claim and waits for its result. A claim that is given up
// leaves a record that it did not run, where its write may yet take effect.
func (c *Claimer) write(ctx context.Context, hold *Hold) (writeResult, error) {
	done := make(chan writeResult, 1)
	w := &write{
		key: rowKey(hold.key), revision: hold.revision, value: hold.record.encode(),
		done: func(r writeResult) { done <- r },
	}
	c.committer.submit(w)
	select {
	case r := <-done:
		return r, nil
	case <-ctx.Done():
	}
	if c.committer.cancel(w) {
		c.recordLater(hold, Outcome{Result: resultcode.NotRun}, nil)
	}
	return writeResult{}, context.Cause(ctx)
}

// judge decides about a row in the way, asking its claimant where needed. It
// sets the revision that the next write requires.
func (c *Claimer) judge(ctx context.Context, hold *Hold, row platform.Row) (verdict, Decision) {
	o, err := decodeRow(row)
	if err != nil {
		event.ClaimRowBad.Log(c.log, "row", row.Key, "error", err)
		return verdictFinal, unknownOutcome("its record cannot be read")
	}
	v, d := judge(o, hold.record)
	if v == verdictAsk {
		v, d = judgeAnswer(c.ask(ctx, hold.key, o))
	}
	hold.revision = o.Revision
	return v, d
}

func (c *Claimer) ask(ctx context.Context, key Key, o observed) (Answer, error) {
	if o.Daemon == c.cfg.Daemon || c.asker == nil {
		return c.Answer(o.Daemon, o.Incarnation, key, o.Token), nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AskTimeout)
	defer cancel()
	a, err := c.asker.Ask(ctx, o.Daemon, o.Incarnation, key, o.Token)
	if err != nil {
		c.silences.Do(func() { event.ClaimantSilent.Log(c.log, "claimant", o.Daemon, "error", err) })
	}
	return a, err
}

// Answer answers the question of another daemon about a claim of this one.
// AnswerNever is binding from the moment that Answer returns.
func (c *Claimer) Answer(daemon ident.Daemon, incarnation uint64, key Key, attempt ident.Attempt) Answer {
	if daemon != c.cfg.Daemon || incarnation != c.cfg.Incarnation {
		return Answer{Kind: AnswerUnknown}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.answer(key, attempt, c.cfg.Now())
}

// Flush waits until every final record is in the table, or until ctx ends.
func (c *Claimer) Flush(ctx context.Context) error {
	for {
		c.mu.Lock()
		left, idle := c.unrecorded, c.idle
		c.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle:
		}
	}
}

func (c *Claimer) begin(key Key, token ident.Attempt, digest []byte) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.begin(key, token, digest, c.cfg.Now())
}

func (c *Claimer) held(key Key, token ident.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.held(key, token)
}

func (c *Claimer) drop(hold *Hold) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.drop(hold.key, hold.token)
}

func (c *Claimer) forget(hold *Hold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.forget(hold.key, hold.token)
}

func (c *Claimer) proceed(hold *Hold, revision uint64) Decision {
	hold.revision = revision
	if !c.held(hold.key, hold.token) {
		return Refuse{resultcode.Fail(resultcode.InProgress, "")}
	}
	return Proceed{hold}
}

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

// Claimer creates the claims of one daemon. It is safe for concurrent use. Claims
// are written only while Run is running.
type Claimer struct {
	cfg       Config
	querier   Querier
	log       *slog.Logger
	committer *committer
	// refusalLog and queryFailureLog limit the rate of log lines, which would
	// otherwise be one per request while the table or a claimant is unreachable.
	refusalLog, queryFailureLog rate.Sometimes

	mu     sync.Mutex
	ledger *ledger
	// pendingFinals counts the final records that are not settled yet. idle is
	// closed and replaced whenever the count drops to zero.
	pendingFinals int
	idle          chan struct{}
}

// logInterval is the minimum time between two log lines of the same event.
const logInterval = time.Second

// New returns a Claimer. If querier is nil, the outcome of every open claim of
// another daemon is unknown.
func New(cfg Config, table platform.Table, querier Querier, log *slog.Logger) *Claimer {
	cfg = cfg.withDefaults()
	c := &Claimer{
		cfg: cfg, querier: querier, log: log,
		refusalLog:      rate.Sometimes{Interval: logInterval},
		queryFailureLog: rate.Sometimes{Interval: logInterval},
		ledger:          newLedger(cfg.StartTimeout),
		idle:            make(chan struct{}),
	}
	c.committer = newCommitter(cfg, table, func(err error) { event.ClaimTransactionFailed.Log(log, "error", err) })
	return c
}

func (cfg Config) withDefaults() Config {
	cfg.ClaimTimeout = cmp.Or(cfg.ClaimTimeout, 5*time.Second)
	cfg.QueryTimeout = cmp.Or(cfg.QueryTimeout, time.Second)
	cfg.StartTimeout = cmp.Or(cfg.StartTimeout, time.Hour)
	cfg.RecordTTL = cmp.Or(cfg.RecordTTL, 24*time.Hour)
	cfg.MaxResponseBytes = cmp.Or(cfg.MaxResponseBytes, DefaultMaxResponseBytes)
	cfg.MaxBatchRows = cmp.Or(cfg.MaxBatchRows, 200)
	cfg.MaxBatchBytes = cmp.Or(cfg.MaxBatchBytes, 512<<10)
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

// Run writes to the table until ctx ends. Call Flush before canceling ctx.
func (c *Claimer) Run(ctx context.Context) { c.committer.run(ctx) }

// SetWritesPerSecond changes this daemon's share of the table's budget, in
// transactions per second. The share depends on the number of live daemons.
func (c *Claimer) SetWritesPerSecond(n float64) { c.committer.setRate(n) }

// Claim claims the key for one run. The digest identifies the request, so that the
// key cannot be reused for a different one. The attempt is stored in the record
// for information only. A non-nil error is that of ctx; every other result is a
// Decision.
//
// After Proceed the caller must end the hold with Finish or Abandon.
func (c *Claimer) Claim(ctx context.Context, key Key, digest []byte, attempt ident.Attempt) (Decision, error) {
	token := ident.NewAttempt()
	if key.IdempotencyKey == "" {
		return Proceed{c.unkeyedHold(key, token)}, nil
	}
	if d := c.begin(key, token, digest); d != nil {
		return d, nil
	}
	hold := &Hold{claimer: c, key: key, token: token}
	hold.record = Record{
		Digest: digest, Daemon: c.cfg.Daemon, Incarnation: c.cfg.Incarnation,
		Token: token, Attempt: attempt,
	}
	return c.acquire(ctx, hold)
}

// unkeyedPrefix starts the ledger key of a request that has no idempotency key. It
// cannot collide with a caller's key because a header value cannot contain a zero
// byte.
const unkeyedPrefix = "\x00"

func (c *Claimer) unkeyedHold(key Key, token ident.Attempt) *Hold {
	key.IdempotencyKey = unkeyedPrefix + string(token)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.beginUnkeyed(key, token)
	return &Hold{claimer: c, key: key, token: token, unkeyed: true}
}

// acquire writes the claim and resolves each conflict until there is a decision.
func (c *Claimer) acquire(ctx context.Context, hold *Hold) (Decision, error) {
	claimCtx, cancel := context.WithTimeout(ctx, c.cfg.ClaimTimeout)
	defer cancel()
	for {
		result, err := c.writeClaim(claimCtx, hold)
		if err != nil {
			c.abandon(hold)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			c.refusalLog.Do(func() {
				event.ClaimRefused.Log(c.log, "service", hold.key.Service, "workspace", hold.key.Workspace)
			})
			return Refuse{resultcode.Fail(resultcode.StoreUnavailable, "").WithCause(err)}, nil
		}
		if result.conflict == nil {
			return c.proceed(hold, result.revision), nil
		}
		act, decision := c.resolveConflict(claimCtx, hold, *result.conflict)
		switch act {
		case actionProceed:
			return c.proceed(hold, hold.revision), nil
		case actionDecided:
			c.abandon(hold)
			return decision, nil
		}
	}
}

// writeClaim submits the claim and waits for its result. If it gives up and the
// write may still take effect, it records that the claim did not run.
func (c *Claimer) writeClaim(ctx context.Context, hold *Hold) (writeResult, error) {
	done := make(chan writeResult, 1)
	w := &pendingWrite{
		key: rowKey(hold.key), revision: hold.revision, value: hold.record.encode(),
		onResult: func(r writeResult) { done <- r },
	}
	c.committer.submit(w)
	select {
	case r := <-done:
		return r, nil
	case <-ctx.Done():
	}
	if c.committer.cancel(w) {
		c.writeFinal(hold, Outcome{Result: resultcode.NotRun}, nil)
	}
	return writeResult{}, context.Cause(ctx)
}

// resolveConflict evaluates a conflicting row and queries its claimant if needed.
// It sets the revision that the next write requires.
func (c *Claimer) resolveConflict(ctx context.Context, hold *Hold, row platform.Row) (action, Decision) {
	observed, err := decodeRow(row)
	if err != nil {
		event.ClaimRowInvalid.Log(c.log, "row", row.Key, "error", err)
		return actionDecided, unknownOutcome("its record cannot be read")
	}
	act, decision := evaluateRow(observed, hold.record)
	if act == actionQuery {
		act, decision = evaluateStatus(c.queryClaimant(ctx, hold.key, observed))
	}
	hold.revision = observed.Revision
	return act, decision
}

func (c *Claimer) queryClaimant(ctx context.Context, key Key, row observedRow) (Status, error) {
	if row.Daemon == c.cfg.Daemon || c.querier == nil {
		return c.AnswerQuery(row.Daemon, row.Incarnation, key, row.Token), nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.QueryTimeout)
	defer cancel()
	status, err := c.querier.QueryClaim(ctx, row.Daemon, row.Incarnation, key, row.Token)
	if err != nil {
		c.queryFailureLog.Do(func() { event.ClaimantUnreachable.Log(c.log, "claimant", row.Daemon, "error", err) })
	}
	return status, err
}

// AnswerQuery answers another daemon's query about a claim of this one.
// StateRevoked is binding from the moment that AnswerQuery returns.
func (c *Claimer) AnswerQuery(daemon ident.Daemon, incarnation uint64, key Key, attempt ident.Attempt) Status {
	if daemon != c.cfg.Daemon || incarnation != c.cfg.Incarnation {
		return Status{Kind: StateUnknown}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.answerQuery(key, attempt, c.cfg.Now())
}

// Flush waits until every final record is settled or ctx ends.
func (c *Claimer) Flush(ctx context.Context) error {
	for {
		c.mu.Lock()
		pending, idle := c.pendingFinals, c.idle
		c.mu.Unlock()
		if pending == 0 {
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

func (c *Claimer) markHeld(key Key, token ident.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.markHeld(key, token)
}

func (c *Claimer) abandon(hold *Hold) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.abandon(hold.key, hold.token)
}

func (c *Claimer) removeFinished(hold *Hold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.removeFinished(hold.key, hold.token)
}

func (c *Claimer) proceed(hold *Hold, revision uint64) Decision {
	hold.revision = revision
	if !c.markHeld(hold.key, hold.token) {
		return Refuse{resultcode.Fail(resultcode.InProgress, "")}
	}
	return Proceed{hold}
}

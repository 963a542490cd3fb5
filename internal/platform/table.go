package platform

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/platform/wire"
)

const operationIDBytes = 12

// NewOperationID returns a new operation ID for a Transaction.
func NewOperationID() string {
	var b [operationIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails since Go 1.24
	return hex.EncodeToString(b[:])
}

// Superseded is the cause of an UnknownOutcome if the response to a write was
// lost, its retry failed a condition, and no row shows the write. Either the
// write never took effect, or its rows have been overwritten since.
type Superseded struct {
	// Rows are the current rows of the failed conditions.
	Rows []Row
}

// Error implements error.
func (s *Superseded) Error() string {
	return "an answer was lost and the rows have been written by others"
}

const jsonContentType = "application/json"

func newJSONRequest(path string, body any) (httpRequest, error) {
	text, err := json.Marshal(body)
	return httpRequest{method: http.MethodPost, path: path, body: text, contentType: jsonContentType}, err
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	req, err := newJSONRequest(wire.PathGet, wire.Get{Keys: keys})
	if err != nil {
		return nil, err
	}
	return c.readRows(ctx, req)
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return c.readRows(ctx, httpRequest{method: http.MethodGet, path: wire.PathScan + "?" + query.Encode()})
}

func (c *Client) readRows(ctx context.Context, req httpRequest) ([]Row, error) {
	resp, err := c.table.callIdempotent(ctx, req)
	if err != nil {
		return nil, err
	}
	var body wire.Rows
	if err := decodeResponse(resp, &body); err != nil {
		return nil, err
	}
	if body.Rows == nil {
		// Any JSON from a server at a wrong address would look like an empty table.
		return nil, merry.New("the answer holds no rows field; is this the platform's address?")
	}
	return rowsFromWire(body.Rows), nil
}

func rowsFromWire(rows []wire.Row) []Row {
	out := make([]Row, len(rows))
	for i, r := range rows {
		out[i] = Row(r)
	}
	return out
}

// Commit implements Table.
//
// It handles lost responses: if the store applied the write and the connection
// broke, an unconditional retry would change the row twice or report a conflict
// with the write itself or with another writer. A transaction whose own writes
// invalidate one of its conditions can take effect only once, so that it is safe
// to resend it unchanged: if the first copy took effect, the second one finds a
// row with this transaction's operation ID among the failed conditions. The rows
// of other transactions are read back instead, and they are never resent after a
// lost response.
func (c *Client) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	req, err := newJSONRequest(wire.PathCommit, commitBody(tx))
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	call := commitCall{client: c, tx: tx, request: req}
	return call.run(ctx)
}

func commitBody(tx Transaction) wire.Commit {
	body := wire.Commit{Operation: tx.Operation, Deletes: tx.Deletes}
	for _, condition := range tx.Conditions {
		body.Conditions = append(body.Conditions, wire.Condition(condition))
	}
	for _, put := range tx.Puts {
		body.Puts = append(body.Puts, wire.Put{Key: put.Key, Value: put.Value, TTLMillis: put.TTL.Milliseconds()})
	}
	return body
}

// appliesAtMostOnce reports whether the transaction's own writes invalidate one
// of its conditions, by giving the row a new revision or deleting it.
func (tx Transaction) appliesAtMostOnce() bool {
	required := make(map[string]uint64, len(tx.Conditions))
	for _, c := range tx.Conditions {
		required[c.Key] = c.Revision
	}
	for _, put := range tx.Puts {
		if _, ok := required[put.Key]; ok {
			return true
		}
	}
	for _, key := range tx.Deletes {
		if required[key] > 0 {
			return true
		}
	}
	return false
}

// commitCall is one commit with all its attempts.
type commitCall struct {
	client  *Client
	tx      Transaction
	request httpRequest
	// lostAnswer is the error of the first attempt that may have taken effect.
	lostAnswer error
}

func (c *commitCall) run(ctx context.Context) (uint64, error) {
	table := c.client.table
	for attempt := 0; ; attempt++ {
		resp, err := table.attempt(ctx, c.request)
		if err == nil {
			table.budget.recordSuccess()
			return c.handleResponse(resp)
		}
		c.recordLostAnswer(err)
		if c.lostAnswer != nil && !c.tx.appliesAtMostOnce() {
			return c.readBack(ctx)
		}
		// Retries after a lost response are exempt from the budget: there is one
		// attempt at a time, and giving up would leave the outcome unknown to the
		// caller.
		if ctx.Err() != nil || !table.waitForRetry(ctx, attempt, c.lostAnswer != nil) {
			return 0, c.finalError(err)
		}
	}
}

func (c *commitCall) recordLostAnswer(err *attemptError) {
	if err.maybeApplied && c.lostAnswer == nil {
		c.lostAnswer = err
		event.PlatformResponseLost.Log(c.client.config.Logger, "operation", c.tx.Operation, "error", err.cause)
	}
}

func (c *commitCall) finalError(last *attemptError) error {
	if c.lostAnswer == nil {
		return &Unavailable{Cause: merry.Prepend(last, "table")}
	}
	event.PlatformUnsettled.Log(c.client.config.Logger, "operation", c.tx.Operation)
	return &UnknownOutcome{Cause: c.lostAnswer}
}

func (c *commitCall) handleResponse(resp storeResponse) (uint64, error) {
	if resp.status == http.StatusConflict {
		return c.handleConflict(resp)
	}
	var body wire.Committed
	if err := decodeResponse(resp, &body); err != nil {
		if c.lostAnswer != nil || resp.status == http.StatusOK {
			return 0, &UnknownOutcome{Cause: err}
		}
		return 0, err
	}
	if body.Revision == 0 {
		return 0, &UnknownOutcome{Cause: merry.New("the answer holds no revision")}
	}
	return body.Revision, nil
}

func (c *commitCall) handleConflict(resp storeResponse) (uint64, error) {
	var body wire.Conflict
	if err := json.Unmarshal(resp.body, &body); err != nil {
		return 0, &UnknownOutcome{Cause: merry.Prepend(err, "answer of the platform")}
	}
	rows := rowsFromWire(body.Rows)
	if c.lostAnswer == nil {
		return 0, &Conflict{Rows: rows}
	}
	if revision, ok := c.findOwnRow(rows); ok {
		return revision, nil
	}
	return 0, &UnknownOutcome{Cause: &Superseded{Rows: rows}}
}

func (c *commitCall) findOwnRow(rows []Row) (uint64, bool) {
	for _, row := range rows {
		if row.Revision != 0 && row.Operation == c.tx.Operation {
			return row.Revision, true
		}
	}
	return 0, false
}

// readBack looks for the rows of a transaction that must not be resent. If they
// are not found, the outcome remains unknown: the read may be stale, the rows may
// have been overwritten, or the write may still be in transit.
func (c *commitCall) readBack(ctx context.Context) (uint64, error) {
	keys := make([]string, len(c.tx.Puts))
	for i, put := range c.tx.Puts {
		keys[i] = put.Key
	}
	rows, err := c.client.Get(ctx, keys...)
	if err == nil {
		if revision, ok := c.findOwnRow(rows); ok {
			return revision, nil
		}
	}
	return 0, c.finalError(&attemptError{cause: c.lostAnswer, maybeApplied: true})
}

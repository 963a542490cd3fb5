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

const operationBytes = 12

// NewOperation returns a fresh operation id for a Transaction.
func NewOperation() string {
	var b [operationBytes]byte
	_, _ = rand.Read(b[:]) // never fails since Go 1.24
	return hex.EncodeToString(b[:])
}

// Superseded is the cause of an Unknown: the answer of a write was lost, its
// repeat found conditions that do not hold, and no row shows the write. Either
// it never took effect, or it did and its rows were overwritten since.
type Superseded struct {
	// Rows are the present rows of the conditions that failed.
	Rows []Row
}

// Error implements error.
func (s *Superseded) Error() string {
	return "an answer was lost and the rows have been written by others"
}

const jsonType = "application/json"

func jsonExchange(path string, body any) (exchange, error) {
	text, err := json.Marshal(body)
	return exchange{method: http.MethodPost, path: path, body: text, contentType: jsonType}, err
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	x, err := jsonExchange(wire.PathGet, wire.Get{Keys: keys})
	if err != nil {
		return nil, err
	}
	return c.rows(ctx, x)
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return c.rows(ctx, exchange{method: http.MethodGet, path: wire.PathScan + "?" + query.Encode()})
}

func (c *Client) rows(ctx context.Context, x exchange) ([]Row, error) {
	a, err := c.table.repeat(ctx, x)
	if err != nil {
		return nil, err
	}
	var body wire.Rows
	if err := decodeAnswer(a, &body); err != nil {
		return nil, err
	}
	if body.Rows == nil {
		// A wrong address that answers with any JSON would pass for an empty table.
		return nil, merry.New("the answer holds no rows field; is this the platform's address?")
	}
	return fromWire(body.Rows), nil
}

func fromWire(rows []wire.Row) []Row {
	out := make([]Row, len(rows))
	for i, r := range rows {
		out[i] = Row(r)
	}
	return out
}

// Commit implements Table.
//
// It guards against the lost answer: the store applied the write, the
// connection broke, and a blind second write would change the row twice or
// report another's conflict. A transaction whose own writes break one of its
// conditions can take effect once only, so that sending it again unchanged is
// safe: if the first copy took effect, the second finds a row with this
// transaction's operation id among the failed conditions. Other transactions
// are read back instead and never sent twice after a lost answer.
func (c *Client) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	x, err := jsonExchange(wire.PathCommit, commitBody(tx))
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	w := write{client: c, tx: tx, exchange: x}
	return w.run(ctx)
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

// takesEffectOnce tells whether the transaction's own writes break one of its
// conditions: the row gets a new revision, or is gone.
func (tx Transaction) takesEffectOnce() bool {
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

// write is one commit with its tries.
type write struct {
	client   *Client
	tx       Transaction
	exchange exchange
	// lost is the fault of the first try that may have taken effect.
	lost error
}

func (w *write) run(ctx context.Context) (uint64, error) {
	table := w.client.table
	for try := 0; ; try++ {
		a, f := table.try(ctx, w.exchange)
		if f == nil {
			table.budget.succeeded()
			return w.answered(a)
		}
		w.note(f)
		if w.lost != nil && !w.tx.takesEffectOnce() {
			return w.readBack(ctx)
		}
		// Settling a lost answer is exempt from the budget: it is one try at a
		// time, and giving up would leave the caller without an outcome.
		if ctx.Err() != nil || !table.pause(ctx, try, w.lost != nil) {
			return 0, w.failed(f)
		}
	}
}

func (w *write) note(f *fault) {
	if f.sent && w.lost == nil {
		w.lost = f
		event.PlatformResponseLost.Log(w.client.config.Logger, "operation", w.tx.Operation, "error", f.cause)
	}
}

func (w *write) failed(last *fault) error {
	if w.lost == nil {
		return &Unavailable{Cause: merry.Prepend(last, "table")}
	}
	event.PlatformUnsettled.Log(w.client.config.Logger, "operation", w.tx.Operation)
	return &Unknown{Cause: w.lost}
}

func (w *write) answered(a answer) (uint64, error) {
	if a.status == http.StatusConflict {
		return w.conflict(a)
	}
	var body wire.Committed
	if err := decodeAnswer(a, &body); err != nil {
		if w.lost != nil || a.status == http.StatusOK {
			return 0, &Unknown{Cause: err}
		}
		return 0, err
	}
	if body.Revision == 0 {
		return 0, &Unknown{Cause: merry.New("the answer holds no revision")}
	}
	return body.Revision, nil
}

func (w *write) conflict(a answer) (uint64, error) {
	var body wire.Conflict
	if err := json.Unmarshal(a.body, &body); err != nil {
		return 0, &Unknown{Cause: merry.Prepend(err, "answer of the platform")}
	}
	rows := fromWire(body.Rows)
	if w.lost == nil {
		return 0, &Conflict{Rows: rows}
	}
	if revision, ok := w.own(rows); ok {
		return revision, nil
	}
	return 0, &Unknown{Cause: &Superseded{Rows: rows}}
}

func (w *write) own(rows []Row) (uint64, bool) {
	for _, row := range rows {
		if row.Revision != 0 && row.Operation == w.tx.Operation {
			return row.Revision, true
		}
	}
	return 0, false
}

// readBack looks for the rows of a transaction that must not be sent again.
// Not finding them proves nothing: the read may be stale, the rows overwritten
// or the write still on its way.
func (w *write) readBack(ctx context.Context) (uint64, error) {
	keys := make([]string, len(w.tx.Puts))
	for i, put := range w.tx.Puts {
		keys[i] = put.Key
	}
	rows, err := w.client.Get(ctx, keys...)
	if err == nil {
		if revision, ok := w.own(rows); ok {
			return revision, nil
		}
	}
	return 0, w.failed(&fault{cause: w.lost, sent: true})
}

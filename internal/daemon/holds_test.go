package daemon

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/poison"
)

// fakeHoldTable is a table that can be out of reach.
type fakeHoldTable struct {
	mu   sync.Mutex
	rows map[string][]byte
	down bool
}

var errTableDown = errors.New("out of reach")

func (f *fakeHoldTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeHoldTable) change(change func()) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errTableDown
	}
	change()
	return nil
}

// ReadTable implements holdTable.
func (f *fakeHoldTable) ReadTable(context.Context, string) (rows []store.FeedRow, _ store.Revision, err error) {
	err = f.change(func() {
		for key, value := range f.rows {
			rows = append(rows, store.FeedRow{Key: key, Value: value})
		}
	})
	return rows, store.Revision{}, err
}

// PutRow implements store.RowWriter.
func (f *fakeHoldTable) PutRow(_ context.Context, _, key string, value []byte) (store.Revision, error) {
	return store.Revision{}, f.change(func() { f.rows[key] = value })
}

// DeleteRow implements store.RowWriter.
func (f *fakeHoldTable) DeleteRow(_ context.Context, _, key string) error {
	return f.change(func() { delete(f.rows, key) })
}

func testHold() poison.Hold {
	return poison.Hold{
		Subject: poison.Subject{Fingerprint: poison.NewFingerprint("club", "POST", "h", "/x", nil), Filter: 7, Workspace: "club", Route: "r"},
		Ended:   []poison.Process{{Target: "t1"}, {Target: "t2", StartedAtMillis: 5}, {Target: "t3"}},
	}
}

// Guards against a row that holds other requests back than the daemon that wrote it.
func TestRowsOfHoldsRoundTrip(t *testing.T) {
	is := is.New(t)
	parts := poison.NewPartsHold("club", "r", "pool", poison.NewPartSet(3, 1<<63, 2), []poison.Process{{Target: "t1", StartedAtMillis: 3}})
	for _, h := range []poison.Hold{testHold(), parts} {
		decoded, err := decodeHold(store.FeedRow{Key: h.Key().String(), Value: encodeHold(h)})
		is.NoErr(err)
		is.Equal(decoded, h)
		is.Equal(decoded.Key(), h.Key())
	}
}

// Guards against a hold that is lost because the store was out of reach when it was decided, or when
// a daemon started.
func TestHoldsOutlastAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := &fakeHoldTable{rows: map[string][]byte{}, down: true}
		ctx, cancel := context.WithCancel(t.Context())
		var recalled []poison.Hold
		keeper := newHoldKeeper(table, func(holds []poison.Hold) { recalled = holds }, slog.New(slog.DiscardHandler))
		go keeper.write(ctx)
		keeper.apply(poison.HoldBegan{Hold: testHold(), Persist: true})
		time.Sleep(3 * time.Second)
		is.Equal(len(table.rows), 0)
		table.setDown(false)
		time.Sleep(2 * time.Second)
		is.Equal(len(table.rows), 1)

		table.setDown(true)
		done := 0
		go keeper.readAll(ctx, func() { done++ })
		time.Sleep(3 * time.Second)
		is.Equal(done, 1) // a daemon serves although the table is out of reach
		is.Equal(len(recalled), 0)
		table.rows["no fingerprint"] = nil // is passed over
		table.setDown(false)
		time.Sleep(2 * time.Second)
		is.Equal(recalled, []poison.Hold{testHold()})
		is.Equal(done, 1)

		keeper.apply(poison.HoldEnded{Hold: testHold(), Forget: true})
		time.Sleep(time.Second)
		is.Equal(len(table.rows), 1)
		cancel()
		synctest.Wait()
	})
}

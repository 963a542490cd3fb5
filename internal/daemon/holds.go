package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/platform"
)

// holdRow is the row in the store of what is held back. Its key is that of the hold.
type holdRow struct {
	Filter    uint64          `json:"filter"`
	Workspace ident.Workspace `json:"workspace"`
	Route     string          `json:"route"`
	Targets   []ident.Target  `json:"targets"`
	// Started holds the start times of the targets in Unix milliseconds.
	Started []int64 `json:"started,omitempty"`
	// Service and Parts are those of a hold of parts.
	Service ident.Service `json:"service,omitempty"`
	Parts   []uint64      `json:"parts,omitempty"`
}

const (
	// holdCallTimeout bounds one call for the rows of holds, holdRetryDelay is the delay after one
	// that failed.
	holdCallTimeout = time.Second
	holdRetryDelay  = time.Second
	// maxPendingHoldWrites bounds the rows that wait to be written.
	maxPendingHoldWrites = 256
)

// holdTable reads and writes rows of holds.
type holdTable interface {
	store.RowWriter
	ReadTable(ctx context.Context, table string) ([]store.FeedRow, store.Revision, error)
}

// holdKeeper keeps what is held back in the store, where they outlast all daemons.
// The daemon that decides writes the row; each reads the table when it starts, and learns of later
// holds through its links.
type holdKeeper struct {
	rows   holdTable
	recall func([]poison.Hold)
	log    *slog.Logger
	// writes are the rows to write, or to delete if the value is nil.
	writes chan holdWrite
	// read is set once the table was read, or the first try has failed.
	read atomic.Bool
}

type holdWrite struct {
	key   string
	value []byte
}

func newHoldKeeper(rows holdTable, recall func([]poison.Hold), log *slog.Logger) *holdKeeper {
	return &holdKeeper{rows: rows, recall: recall, log: log, writes: make(chan holdWrite, maxPendingHoldWrites)}
}

// apply logs a change and queues what is to be written. It does not block.
func (k *holdKeeper) apply(effect poison.Effect) {
	switch e := effect.(type) {
	case poison.Suspected:
		event.RequestSuspected.Log(k.log, holdFields(poison.Hold{Subject: e.Subject, Ended: e.Ended})...)
	case poison.HoldBegan:
		event.RequestHeld.Log(k.log, append(holdFields(e.Hold), "decided", e.Persist)...)
		if e.Persist {
			k.queue(holdWrite{e.Hold.Key().String(), encodeHold(e.Hold)})
		}
	case poison.HoldEnded:
		event.RequestReleased.Log(k.log, holdFields(e.Hold)...)
		if e.Forget {
			k.queue(holdWrite{key: e.Hold.Key().String()})
		}
	}
}

func holdFields(h poison.Hold) []any {
	return []any{"fingerprint", h.Key().String(), "workspace", h.Workspace, "route", h.Route, "parts", partIDs(h), "targets", h.Targets()}
}

// queue drops the row if too many wait: a hold that is missing from the store is lost only if all
// daemons end.
func (k *holdKeeper) queue(w holdWrite) {
	select {
	case k.writes <- w:
	default:
		event.HoldNotWritten.Log(k.log, "key", w.key)
	}
}

func encodeHold(h poison.Hold) []byte {
	row := holdRow{Filter: uint64(h.Filter), Workspace: h.Workspace, Route: h.Route, Targets: h.Targets(), Service: h.Part.Service, Parts: h.Parts()}
	for _, p := range h.Ended {
		row.Started = append(row.Started, p.StartedAtMillis)
	}
	// Marshalling cannot fail for texts and numbers.
	value, _ := json.Marshal(row)
	return value
}

// ended returns the processes that ended. Rows of earlier releases have no start times.
func (r *holdRow) ended() []poison.Process {
	out := make([]poison.Process, len(r.Targets))
	for i, target := range r.Targets {
		out[i].Target = target
		if i < len(r.Started) {
			out[i].StartedAtMillis = r.Started[i]
		}
	}
	return out
}

func decodeHold(row store.FeedRow) (poison.Hold, error) {
	fingerprint, err := poison.ParseFingerprint(row.Key)
	if err != nil {
		return poison.Hold{}, err
	}
	var decoded holdRow
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return poison.Hold{}, err
	}
	if len(decoded.Parts) > 0 {
		return poison.NewPartsHold(decoded.Workspace, decoded.Route, decoded.Service, poison.NewPartSet(decoded.Parts...), decoded.ended()), nil
	}
	return poison.Hold{
		Subject: poison.Subject{Fingerprint: fingerprint, Filter: poison.Filter(decoded.Filter), Workspace: decoded.Workspace, Route: decoded.Route},
		Ended:   decoded.ended(),
	}, nil
}

// readAll reads the table until that succeeds. It calls done once, after the first try: a daemon
// that cannot read it serves all the same.
func (k *holdKeeper) readAll(ctx context.Context, done func()) {
	for ctx.Err() == nil {
		err := k.readOnce(ctx)
		if !k.read.Swap(true) {
			done()
		}
		if err == nil {
			return
		}
		event.HoldNotWritten.Log(k.log, "error", err)
		sleepContext(ctx, holdRetryDelay)
	}
}

func (k *holdKeeper) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, holdCallTimeout)
	defer cancel()
	rows, _, err := k.rows.ReadTable(ctx, platform.TableHolds)
	if err != nil {
		return err
	}
	var holds []poison.Hold
	for _, row := range rows {
		h, err := decodeHold(row)
		if err != nil {
			event.RowUnreadable.Log(k.log, "table", platform.TableHolds, "key", row.Key, "revision", row.Revision, "error", err)
			continue
		}
		holds = append(holds, h)
	}
	k.recall(holds)
	return nil
}

// write writes the queued rows, each until that succeeds.
func (k *holdKeeper) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-k.writes:
			for k.writeOnce(ctx, w) != nil && ctx.Err() == nil {
				event.HoldNotWritten.Log(k.log, "key", w.key)
				sleepContext(ctx, holdRetryDelay)
			}
		}
	}
}

func (k *holdKeeper) writeOnce(ctx context.Context, w holdWrite) error {
	ctx, cancel := context.WithTimeout(ctx, holdCallTimeout)
	defer cancel()
	if w.value == nil {
		return k.rows.DeleteRow(ctx, platform.TableHolds, w.key)
	}
	_, err := k.rows.PutRow(ctx, platform.TableHolds, w.key, w.value)
	return err
}

package config

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/platform"
)

const (
	// archiveObject is the object that holds the latest archive. Each write
	// replaces it entirely. A delayed put that restores an older body is
	// harmless: a Store applies only higher revisions, and the head row in the
	// table shows which changes are missing.
	archiveObject = "config/archive"
	// archiveKey is the table row through which daemons coordinate which of
	// them writes the next archive.
	archiveKey = "config/archive"
	// maxArchiveBytes limits the size of a decompressed archive.
	maxArchiveBytes = 256 << 20

	// DefaultArchivePeriod is the minimum time between two archives.
	DefaultArchivePeriod = 10 * time.Minute
	archiveWriteTimeout  = 30 * time.Second
)

// archive is a copy of all entries at a single revision.
type archive struct {
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
}

// lastArchive is the value of the archive row. It describes the archive that was
// started last.
type lastArchive struct {
	Revision  uint64    `json:"revision"`
	StartedAt time.Time `json:"at"`
}

func (a archive) encode() []byte {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	// Neither call can fail: writes to a bytes.Buffer succeed and every field
	// type can be encoded.
	_ = json.NewEncoder(z).Encode(a)
	_ = z.Close()
	return b.Bytes()
}

func decodeArchive(body []byte) (archive, error) {
	var a archive
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return a, merry.Prepend(err, "decode archive")
	}
	err = json.NewDecoder(io.LimitReader(z, maxArchiveBytes)).Decode(&a)
	return a, merry.Prepend(err, "decode archive")
}

// readArchive returns the latest archive, or an empty one if none exists.
func readArchive(ctx context.Context, objects platform.Objects) (archive, error) {
	body, err := objects.GetObject(ctx, archiveObject)
	if errors.Is(err, platform.ErrObjectNotFound) {
		return archive{}, nil
	}
	if err != nil {
		return archive{}, merry.Prepend(err, "read archive")
	}
	return decodeArchive(body)
}

// LoadArchive applies the entries of the latest archive that are newer than
// those in the store. Later changes have to come from the table or from peers.
// A missing archive is not an error.
func LoadArchive(ctx context.Context, objects platform.Objects, store *Store) error {
	a, err := readArchive(ctx, objects)
	if err != nil {
		return err
	}
	_, err = store.CatchUp(a.Entries, a.Revision)
	return err
}

// ArchiverConfig configures an Archiver.
type ArchiverConfig struct {
	// Table, Objects and Store are required.
	Table   platform.Table
	Objects platform.Objects
	Store   *Store
	// Period is the minimum time between two archives; default 10m. At 13,000
	// changes a day, an archive then lacks about 90 changes.
	Period time.Duration
	// Clock defaults to clock.Real.
	Clock clock.Clock
	// Random returns a number in [0,1); default math/rand/v2.
	Random func() float64
	// Logger defaults to slog.Default.
	Logger *slog.Logger
}

// Archiver writes archives. Every daemon runs one; a row of the table decides
// which daemon writes next.
type Archiver struct{ config ArchiverConfig }

// NewArchiver returns an Archiver; Run starts it.
func NewArchiver(c ArchiverConfig) *Archiver {
	if c.Period <= 0 {
		c.Period = DefaultArchivePeriod
	}
	if c.Clock == nil {
		c.Clock = clock.Real
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	return &Archiver{config: c}
}

// Run checks at random intervals whether an archive is due, until ctx is done.
// The intervals are spread over twice the period: with 360 daemons, there is a
// check about every two seconds, and two checks rarely coincide.
func (a *Archiver) Run(ctx context.Context) error {
	for {
		wait := time.Duration(2 * a.config.Random() * float64(a.config.Period))
		select {
		case <-ctx.Done():
			return nil
		case <-a.config.Clock.After(wait):
		}
		a.archiveIfDue(ctx)
	}
}

func (a *Archiver) archiveIfDue(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, archiveWriteTimeout)
	defer cancel()
	written, err := a.Archive(ctx)
	if err != nil {
		event.SnapshotFailed.Log(a.config.Logger, "error", err)
	}
	if written {
		event.SnapshotWritten.Log(a.config.Logger, "revision", a.config.Store.Head())
	}
}

// Archive writes an archive if one is due and no other daemon has acquired the
// turn. The turn is acquired before the object is written, so that only one
// daemon writes. If that daemon crashes in between, the previous archive stays
// for one more period.
func (a *Archiver) Archive(ctx context.Context) (written bool, err error) {
	current := a.config.Store.exportArchive()
	acquired, err := a.acquireTurn(ctx, current.Revision)
	if err != nil || !acquired {
		return false, err
	}
	if err := a.config.Objects.PutObject(ctx, archiveObject, current.encode()); err != nil {
		return false, err
	}
	return true, nil
}

func (a *Archiver) acquireTurn(ctx context.Context, revision uint64) (bool, error) {
	rows, err := a.config.Table.Get(ctx, archiveKey)
	if err != nil {
		return false, err
	}
	var row platform.Row
	if len(rows) > 0 {
		row = rows[0]
	}
	last, err := decodeIfPresent[lastArchive](row)
	if err != nil {
		return false, err
	}
	now := a.config.Clock.Now()
	if revision <= last.Revision || now.Sub(last.StartedAt) < a.config.Period {
		return false, nil
	}
	_, err = a.config.Table.Commit(ctx, platform.Transaction{
		Operation:  platform.NewOperationID(),
		Conditions: []platform.Condition{{Key: archiveKey, Revision: row.Revision}},
		Puts:       []platform.Put{{Key: archiveKey, Value: encode(lastArchive{Revision: revision, StartedAt: now})}},
	})
	var conflict *platform.Conflict
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}

// exportArchive returns a copy of all active entries. The head is read under
// the same lock as the entries, so that it covers no change that they lack.
func (s *Store) exportArchive() archive {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := archive{Revision: s.head}
	for _, e := range s.entries {
		a.Entries = append(a.Entries, e)
	}
	return a
}

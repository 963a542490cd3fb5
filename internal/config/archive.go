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
	// archiveObject holds the last archive. It is replaced as a whole; an older
	// body that comes back by a late put is harmless, because a Store takes only
	// higher revisions and the table's head says what is missing.
	archiveObject = "config/archive"
	// archiveKey is the row by which daemons take turns in writing archives.
	archiveKey = "config/archive"
	// archiveBytes bounds an unpacked archive.
	archiveBytes = 256 << 20

	// DefaultArchivePeriod is the least time between two archives.
	DefaultArchivePeriod = 10 * time.Minute
	archiveTimeout       = 30 * time.Second
)

// archive is a copy of all entries at one revision.
type archive struct {
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
}

// archiveTurn is the value of the archive row.
type archiveTurn struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
}

func (a archive) encode() []byte {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	// Neither can fail: the buffer takes every write and the types encode.
	_ = json.NewEncoder(z).Encode(a)
	_ = z.Close()
	return b.Bytes()
}

func decodeArchive(body []byte) (archive, error) {
	var a archive
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return a, merry.Prepend(err, "archive")
	}
	err = json.NewDecoder(io.LimitReader(z, archiveBytes)).Decode(&a)
	return a, merry.Prepend(err, "archive")
}

// readArchive returns the last archive; an empty one where there is none.
func readArchive(ctx context.Context, objects platform.Objects) (archive, error) {
	body, err := objects.GetObject(ctx, archiveObject)
	if errors.Is(err, platform.ErrAbsent) {
		return archive{}, nil
	}
	if err != nil {
		return archive{}, merry.Prepend(err, "archive")
	}
	return decodeArchive(body)
}

// LoadArchive puts the last archive in force, as far as it is newer than what
// is in force. What it lacks comes from the table or from peers. No archive is
// no error.
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
	// Period is the least time between two archives; default 10m. At 13,000
	// changes a day an archive then misses some 90.
	Period time.Duration
	// Clock defaults to the real one.
	Clock clock.Clock
	// Random returns a number in [0,1); default math/rand/v2.
	Random func() float64
	// Logger defaults to slog.Default.
	Logger *slog.Logger
}

// Archiver writes archives. Every daemon runs one; a row of the table decides
// whose turn it is.
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

// Run looks from time to time whether an archive is due, until ctx ends. The
// looks are spread over twice the period: 360 daemons then look about every
// two seconds, and seldom two of them at once.
func (a *Archiver) Run(ctx context.Context) error {
	for {
		wait := time.Duration(2 * a.config.Random() * float64(a.config.Period))
		select {
		case <-ctx.Done():
			return nil
		case <-a.config.Clock.After(wait):
		}
		a.look(ctx)
	}
}

func (a *Archiver) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	wrote, err := a.Archive(ctx)
	if err != nil {
		event.SnapshotFailed.Log(a.config.Logger, "error", err)
	}
	if wrote {
		event.SnapshotWritten.Log(a.config.Logger, "revision", a.config.Store.Head())
	}
}

// Archive writes an archive if one is due and no other daemon has taken the
// turn. The turn is taken before the object is written, so that one daemon
// writes; if it dies in between, the older archive stays for one more period.
func (a *Archiver) Archive(ctx context.Context) (wrote bool, err error) {
	all := a.config.Store.archive()
	taken, err := a.takeTurn(ctx, all.Revision)
	if err != nil || !taken {
		return false, err
	}
	if err := a.config.Objects.PutObject(ctx, archiveObject, all.encode()); err != nil {
		return false, err
	}
	return true, nil
}

func (a *Archiver) takeTurn(ctx context.Context, revision uint64) (bool, error) {
	rows, err := a.config.Table.Get(ctx, archiveKey)
	if err != nil {
		return false, err
	}
	var row platform.Row
	if len(rows) > 0 {
		row = rows[0]
	}
	last, err := decodeIfPresent[archiveTurn](row)
	if err != nil {
		return false, err
	}
	now := a.config.Clock.Now()
	if revision <= last.Revision || now.Sub(last.At) < a.config.Period {
		return false, nil
	}
	_, err = a.config.Table.Commit(ctx, platform.Transaction{
		Operation:  platform.NewOperation(),
		Conditions: []platform.Condition{{Key: archiveKey, Revision: row.Revision}},
		Puts:       []platform.Put{{Key: archiveKey, Value: encode(archiveTurn{Revision: revision, At: now})}},
	})
	var conflict *platform.Conflict
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}

// archive returns a copy of everything in force. The head is read with the
// entries, so that it covers no change that they lack.
func (s *Store) archive() archive {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := archive{Revision: s.head}
	for _, e := range s.entries {
		a.Entries = append(a.Entries, e)
	}
	return a
}

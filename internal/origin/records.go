package origin

import (
	"time"
	"unique"

	"github.com/savorystall/savorystall/internal/ident"
)

// maxRecords bounds the records of one generation. At 70 streams a second and a lifetime of a
// minute there are 4,200 of a daemon's own streams, and twice as many that it keeps for others.
const maxRecords = 1 << 15

// record is what a daemon remembers of a stream.
type record struct {
	origin unique.Handle[Origin]
	// own reports that this daemon began or continued the stream. Keepers are then the daemons
	// to which it has sent the record; nil means none yet.
	own     bool
	keepers []ident.Daemon
}

// records holds records for at least one lifetime after their last use, and for two at most: in
// two generations, of which the older one is dropped as a whole.
type records struct {
	current, previous map[Key]record
	rotatedAt         time.Time
}

func newRecords(now time.Time) *records {
	return &records{current: map[Key]record{}, previous: map[Key]record{}, rotatedAt: now}
}

// rotate drops what has not been used for a lifetime.
func (r *records) rotate(now time.Time, lifetime time.Duration) {
	if now.Sub(r.rotatedAt) < lifetime {
		return
	}
	r.current, r.previous, r.rotatedAt = map[Key]record{}, r.current, now
}

func (r *records) find(key Key) (record, bool) {
	if found, ok := r.current[key]; ok {
		return found, true
	}
	found, ok := r.previous[key]
	return found, ok
}

// put adds a record or renews it. A second origin for the same key means that an attempt ID was
// used twice, so that the stream's origin is not known any more.
func (r *records) put(key Key, o Origin, own bool) {
	found, known := r.find(key)
	if !known && len(r.current) >= maxRecords {
		return
	}
	made := unique.Make(o)
	if known && found.origin != made {
		made = unique.Make(Origin{Service: o.Service})
	}
	found.origin, found.own = made, found.own || own
	r.current[key] = found
}

// setKeepers records to which daemons a record was sent.
func (r *records) setKeepers(key Key, keepers []ident.Daemon) {
	for _, generation := range []map[Key]record{r.previous, r.current} {
		if found, ok := generation[key]; ok {
			found.keepers = keepers
			generation[key] = found
		}
	}
}

// each calls f for all records; f may change the keepers of the record that it is called for.
func (r *records) each(f func(Key, record)) {
	for key, found := range r.current {
		f(key, found)
	}
	for key, found := range r.previous {
		if _, renewed := r.current[key]; !renewed {
			f(key, found)
		}
	}
}

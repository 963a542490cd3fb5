package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

// Keys of the table. Every change updates one small head row, which is the only
// row that daemons poll, and a row that lists the most recent changes. Each
// service has a row with its current document, each model has a row that names
// its service, and each change adds a history row.
const (
	headKey       = "config/head"
	recentKey     = "config/recent"
	servicePrefix = "config/service/"
	modelPrefix   = "config/model/"
	historyPrefix = "config/history/"
)

func serviceKey(name ident.Service) string { return servicePrefix + string(name) }

func modelKey(model string) string { return modelPrefix + model }

// historyKey returns a key whose lexical order follows the revision.
func historyKey(name ident.Service, revision uint64) string {
	return fmt.Sprintf("%s%s/%020d", historyPrefix, name, revision)
}

// maxRecentChanges is the number of changes listed in the row of recent changes.
// A daemon that missed no more than these reads only the changed documents. At
// 13,000 changes a day, 32 changes cover three minutes, and the row stays below
// 2 KB.
const maxRecentChanges = 32

// headRow is the value of the head row.
type headRow struct {
	// Revision is the highest configuration revision.
	Revision uint64 `json:"revision"`
	// Digest is the set digest of all services at this revision. A daemon
	// compares it with its own to verify that it has every change up to here.
	Digest digest `json:"digest"`
}

// next returns the head after a change of a service whose previous revision is
// from.
func (h headRow) next(service ident.Service, from uint64) headRow {
	to := h.Revision + 1
	return headRow{Revision: to, Digest: h.Digest.toggle(service, from).toggle(service, to)}
}

// recentList lists the most recent changes, newest last, with at most one entry
// for each service.
type recentList []changeRef

// next returns the list with a change added.
func (r recentList) next(service ident.Service, revision uint64) recentList {
	var list recentList
	for _, c := range r {
		if c.Service != service {
			list = append(list, c)
		}
	}
	list = append(list, changeRef{Service: service, Revision: revision})
	return list[max(len(list)-maxRecentChanges, 0):]
}

type changeRef struct {
	Service  ident.Service `json:"service"`
	Revision uint64        `json:"revision"`
}

// digest is the XOR of the hashes of all (service, revision) pairs, so that a
// change updates it without reading the other services.
type digest uint64

func (d digest) toggle(service ident.Service, revision uint64) digest {
	if revision == 0 {
		return d
	}
	return d ^ digest(xxhash.Sum64String(string(service)+"\x00"+strconv.FormatUint(revision, 10)))
}

func digestRevisions(revisions map[ident.Service]uint64) digest {
	var d digest
	for service, revision := range revisions {
		d = d.toggle(service, revision)
	}
	return d
}

// MarshalJSON encodes a digest as a string, because JSON numbers lose precision
// above 2^53.
func (d digest) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatUint(uint64(d), 16))
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (d *digest) UnmarshalJSON(text []byte) error {
	var digits string
	if err := json.Unmarshal(text, &digits); err != nil {
		return err
	}
	value, err := strconv.ParseUint(digits, 16, 64)
	*d = digest(value)
	return err
}

// Record is one revision of a service as stored in the table.
type Record struct {
	Service  ident.Service `json:"service"`
	Revision uint64        `json:"revision"`
	// Previous is the preceding revision of the service; zero if there is none.
	Previous uint64 `json:"previous,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	// Author and Note tell other operators who made the change and why.
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	At     time.Time `json:"at"`
	Text   string    `json:"text,omitempty"`
	// Delta replaces Text in a history row.
	Delta *Delta `json:"delta,omitempty"`
	// Chain is the position of the revision in its chain of deltas.
	Chain ChainPosition `json:"chain"`
}

// Entry converts the record to an entry for a Store.
func (r Record) Entry() Entry {
	return Entry{Service: r.Service, Revision: r.Revision, Deleted: r.Deleted, Text: []byte(r.Text)}
}

func decode[T any](row platform.Row) (T, error) {
	var value T
	err := json.Unmarshal(row.Value, &value)
	return value, merry.Prependf(err, "row %s", row.Key)
}

func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // The types of this package can always be encoded.
	}
	return text
}

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

// Keys of the table. Every change writes one small head row, so that daemons
// poll this row alone, and a row that lists the last changes; each service has
// a row with its present document, each model has a row that names its
// service, and each change leaves a history row.
const (
	headKey       = "config/head"
	recentKey     = "config/recent"
	servicePrefix = "config/service/"
	modelPrefix   = "config/model/"
	historyPrefix = "config/history/"
)

func serviceKey(name ident.Service) string { return servicePrefix + string(name) }

func modelKey(model string) string { return modelPrefix + model }

// historyKey orders the rows of a service by revision.
func historyKey(name ident.Service, revision uint64) string {
	return fmt.Sprintf("%s%s/%020d", historyPrefix, name, revision)
}

// recentChanges is how many changes the row of recent changes lists. A daemon
// that missed no more than these reads just their documents. At 13,000 changes
// a day 32 last for three minutes, and the row stays below 2 KB.
const recentChanges = 32

// head is the value of the head row.
type head struct {
	// Revision is the highest configuration revision.
	Revision uint64 `json:"revision"`
	// Digest is the set digest of all services at this revision. It shows a
	// daemon whether it holds every change up to here.
	Digest digest `json:"digest"`
}

// next returns the head after a change of a service from one revision.
func (h head) next(service ident.Service, from uint64) head {
	to := h.Revision + 1
	return head{Revision: to, Digest: h.Digest.toggle(service, from).toggle(service, to)}
}

// recent lists the last changes, the newest last, each service once.
type recent []change

// next returns the list after a change.
func (r recent) next(service ident.Service, revision uint64) recent {
	var n recent
	for _, c := range r {
		if c.Service != service {
			n = append(n, c)
		}
	}
	n = append(n, change{Service: service, Revision: revision})
	return n[max(len(n)-recentChanges, 0):]
}

type change struct {
	Service  ident.Service `json:"service"`
	Revision uint64        `json:"revision"`
}

// digest is the exclusive or of one hash for each (service, revision), so that
// a change updates it without a look at the other services.
type digest uint64

func (d digest) toggle(service ident.Service, revision uint64) digest {
	if revision == 0 {
		return d
	}
	return d ^ digest(xxhash.Sum64String(string(service)+"\x00"+strconv.FormatUint(revision, 10)))
}

func digestOf(revisions map[ident.Service]uint64) digest {
	var d digest
	for service, revision := range revisions {
		d = d.toggle(service, revision)
	}
	return d
}

// MarshalJSON writes a digest as a string: JSON numbers lose bits above 2^53.
func (d digest) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatUint(uint64(d), 16))
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (d *digest) UnmarshalJSON(text []byte) error {
	var digits string
	if err := json.Unmarshal(text, &digits); err != nil {
		return err
	}
	value, err := strconv.ParseUint(digits, 16, 64)
	*d = digest(value)
	return err
}

// Record is one revision of a service as the table holds it.
type Record struct {
	Service  ident.Service `json:"service"`
	Revision uint64        `json:"revision"`
	// Previous is the service's revision before; zero where there was none.
	Previous uint64 `json:"previous,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	// Author and Note tell other operators whose change it is.
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	At     time.Time `json:"at"`
	Text   string    `json:"text,omitempty"`
	// Delta stands in for Text in a history row.
	Delta *Delta `json:"delta,omitempty"`
	// Chain is the revision's place in the history.
	Chain Chain `json:"chain"`
}

// Entry returns what a Store takes of the record.
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
		panic(err) // The package's own records always encode.
	}
	return text
}

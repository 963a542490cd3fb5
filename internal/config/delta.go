package config

import (
	"time"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

const (
	// deltaChain and deltaAge bound the deltas that follow a whole text: their
	// number, and so what an operator's look at an old revision reads, and their
	// age, because a delta is worth nothing once its whole text has expired.
	deltaChain = 256
	deltaAge   = 15 * 24 * time.Hour
	// deltaGain is how many times smaller than the text a delta must be.
	deltaGain = 2

	// historyTTL is how long each change can be looked at and returned to. At
	// 13,000 changes a day of one line in 57 KB, with a whole text each 256
	// changes, 30 days are about 175 MB of the table.
	historyTTL = 30 * 24 * time.Hour
	// wholeTTL lets a whole text outlive the deltas that lead from it.
	wholeTTL = historyTTL + deltaAge
)

// Chain tells where a revision stands in the history.
type Chain struct {
	// Whole is the last revision whose history row holds the whole text, made
	// at the time At.
	Whole uint64    `json:"whole"`
	At    time.Time `json:"at"`
	// Deltas is how many deltas lead from it to this revision.
	Deltas int `json:"deltas"`
}

// Delta describes a text by the text before it: its first Head and last Tail
// bytes are kept, and Middle stands between them.
//
// It answers 13,000 changes a day, most of them of one line, of documents of
// tens of kilobytes: whole texts would cost each daemon more than its 4 KB a
// second of control traffic.
type Delta struct {
	Head   int    `json:"head"`
	Tail   int    `json:"tail"`
	Middle string `json:"middle"`
	// Sum is the xxhash of the resulting text.
	Sum digest `json:"sum"`
}

func newDelta(from, to string) *Delta {
	limit := min(len(from), len(to))
	head := 0
	for head < limit && from[head] == to[head] {
		head++
	}
	tail := 0
	for tail < limit-head && from[len(from)-1-tail] == to[len(to)-1-tail] {
		tail++
	}
	middle := to[head : len(to)-tail]
	if !utf8.ValidString(middle) {
		return nil // A cut within a character does not survive the JSON encoding.
	}
	return &Delta{Head: head, Tail: tail, Middle: middle, Sum: sumOf(to)}
}

func sumOf(text string) digest { return digest(xxhash.Sum64String(text)) }

// apply returns the text that follows from. The error tells that the delta
// belongs to another text.
func (d *Delta) apply(from string) (string, error) {
	if d.Head < 0 || d.Tail < 0 || d.Head+d.Tail > len(from) {
		return "", merry.New("the delta does not fit the text")
	}
	text := from[:d.Head] + d.Middle + from[len(from)-d.Tail:]
	if sumOf(text) != d.Sum {
		return "", merry.New("the delta belongs to another text")
	}
	return text, nil
}

// historyRow returns the record as its history row holds it, and the record's
// own place in the history: a delta to the record before it where that is much
// smaller than the text.
func (r Record) historyRow(before Record) (row Record, ttl time.Duration) {
	delta := r.deltaTo(before)
	if delta == nil {
		r.Chain = Chain{Whole: r.Revision, At: r.At}
		return r, wholeTTL
	}
	r.Chain = before.Chain
	r.Chain.Deltas++
	r.Text, r.Delta = "", delta
	return r, historyTTL
}

func (r Record) deltaTo(before Record) *Delta {
	if r.Deleted || before.Revision == 0 || before.Deleted {
		return nil
	}
	if before.Chain.Deltas >= deltaChain || r.At.Sub(before.Chain.At) > deltaAge {
		return nil
	}
	delta := newDelta(before.Text, r.Text)
	if delta == nil || len(delta.Middle)*deltaGain > len(r.Text) {
		return nil
	}
	return delta
}

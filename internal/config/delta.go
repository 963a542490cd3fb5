package config

import (
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

const (
	// deltaChain bounds how many deltas lead from a full text to a revision, and
	// so the reads that an operator's look at an old revision takes.
	deltaChain = 32
	// deltaGain is how many times smaller than the text a delta must be.
	deltaGain = 2
)

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

// compact returns the form of the record that the history row holds: a delta
// to the record before it where that is much smaller than the text.
func (r Record) compact(before Record) Record {
	if r.Deleted || before.Revision == 0 || before.Deleted || before.Chain >= deltaChain {
		return r
	}
	delta := newDelta(before.Text, r.Text)
	if delta == nil || len(delta.Middle)*deltaGain > len(r.Text) {
		return r
	}
	r.Text, r.Delta = "", delta
	return r
}

// chain returns the number of deltas that lead to a record after before.
func (r Record) chain(before Record) int {
	if r.compact(before).Delta == nil {
		return 0
	}
	return before.Chain + 1
}

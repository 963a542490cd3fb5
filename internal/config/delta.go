package config

import (
	"time"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxDeltaChain and maxDeltaChainAge limit the chain of deltas that follows
	// a full text. The length determines how many rows are read to reconstruct
	// an old revision. The age is limited because a delta is useless once the
	// full text that it builds on has expired.
	maxDeltaChain    = 256
	maxDeltaChainAge = 15 * 24 * time.Hour
	// minDeltaRatio is the minimum ratio of the size of the text to the size of
	// a delta; larger deltas are stored as full texts.
	minDeltaRatio = 2

	// historyTTL is how long each change can be viewed and rolled back to. At
	// 13,000 one-line changes a day to documents of 57 KB, with a full text
	// every 256 changes, 30 days take about 175 MB of the table.
	historyTTL = 30 * 24 * time.Hour
	// fullTextTTL lets a full text outlive the deltas that build on it.
	fullTextTTL = historyTTL + maxDeltaChainAge
)

// ChainPosition is the position of a revision in a chain of deltas.
type ChainPosition struct {
	// FullRevision is the latest revision whose history row holds the full
	// text. It was written at FullAt.
	FullRevision uint64    `json:"whole"`
	FullAt       time.Time `json:"at"`
	// Deltas is the number of deltas from FullRevision to this revision.
	Deltas int `json:"deltas"`
}

// Delta encodes a text relative to its predecessor: the first Prefix and the
// last Suffix bytes of the predecessor are kept, with Replacement in between.
//
// Deltas keep control traffic within its limit of 4 KB a second for each
// daemon. With 13,000 changes a day, most of them of one line in documents of
// tens of kilobytes, full texts would exceed it.
type Delta struct {
	Prefix      int    `json:"head"`
	Suffix      int    `json:"tail"`
	Replacement string `json:"middle"`
	// Checksum is the xxhash of the resulting text.
	Checksum digest `json:"sum"`
}

func newDelta(from, to string) *Delta {
	limit := min(len(from), len(to))
	prefix := 0
	for prefix < limit && from[prefix] == to[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < limit-prefix && from[len(from)-1-suffix] == to[len(to)-1-suffix] {
		suffix++
	}
	replacement := to[prefix : len(to)-suffix]
	if !utf8.ValidString(replacement) {
		return nil // A partial UTF-8 sequence does not survive the JSON encoding.
	}
	return &Delta{Prefix: prefix, Suffix: suffix, Replacement: replacement, Checksum: checksum(to)}
}

func checksum(text string) digest { return digest(xxhash.Sum64String(text)) }

// apply returns the text that results from applying the delta to from. It
// fails if the delta was computed against another text.
func (d *Delta) apply(from string) (string, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(from) {
		return "", merry.New("the delta does not fit the text")
	}
	text := from[:d.Prefix] + d.Replacement + from[len(from)-d.Suffix:]
	if checksum(text) != d.Checksum {
		return "", merry.New("the delta belongs to another text")
	}
	return text, nil
}

// historyRow returns the record as stored in its history row, with its position
// in the chain, and the TTL of that row. The row holds a delta to the previous
// record if that is much smaller than the full text.
func (r Record) historyRow(previous Record) (row Record, ttl time.Duration) {
	delta := r.deltaFrom(previous)
	if delta == nil {
		r.Chain = ChainPosition{FullRevision: r.Revision, FullAt: r.At}
		return r, fullTextTTL
	}
	r.Chain = previous.Chain
	r.Chain.Deltas++
	r.Text, r.Delta = "", delta
	return r, historyTTL
}

func (r Record) deltaFrom(previous Record) *Delta {
	if r.Deleted || previous.Revision == 0 || previous.Deleted {
		return nil
	}
	if previous.Chain.Deltas >= maxDeltaChain || r.At.Sub(previous.Chain.FullAt) > maxDeltaChainAge {
		return nil
	}
	delta := newDelta(previous.Text, r.Text)
	if delta == nil || len(delta.Replacement)*minDeltaRatio > len(r.Text) {
		return nil
	}
	return delta
}

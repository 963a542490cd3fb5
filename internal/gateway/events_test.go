package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// renderEvents returns events as a target sends them, some with a field of an unknown name.
func renderEvents(first, last uint64, newline string) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		if id%4 == 0 {
			fmt.Fprintf(&b, "note: %d%s", id, newline)
		}
		fmt.Fprintf(&b, "id: %d%sdata: token %d%s%s", id, newline, id, newline, newline)
	}
	return b.String()
}

// The stream arrives in chunks of any size, is interrupted anywhere and continues at other
// targets, which may repeat events that the caller already has. The caller must receive each
// event exactly once, complete, unchanged and in order.
func TestEachEventIsDeliveredOnceAndComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(rt, "newline")
		last := rapid.Uint64Range(1, 30).Draw(rt, "last")
		var filter eventFilter
		var got bytes.Buffer
		feed := func(text string) {
			for len(text) > 0 {
				n := rapid.IntRange(1, len(text)).Draw(rt, "piece")
				got.Write(filter.feed([]byte(text[:n])))
				text = text[n:]
			}
		}
		for range rapid.IntRange(0, 3).Draw(rt, "breaks") {
			filter.startAttempt()
			from := filter.lastID + 1
			if filter.lastID > 0 && rapid.Bool().Draw(rt, "again") {
				from = rapid.Uint64Range(1, filter.lastID).Draw(rt, "from")
			}
			text := renderEvents(from, last, newline)
			feed(text[:rapid.IntRange(0, len(text)).Draw(rt, "cut")])
		}
		filter.startAttempt()
		feed(renderEvents(filter.lastID+1, last, newline))
		if want := renderEvents(1, last, newline); got.String() != want {
			rt.Fatalf("got %q, want %q", got.String(), want)
		}
		if filter.hasPartialEvent() || filter.lastID != last || filter.count != int(last) {
			rt.Fatalf("partial %v, last %d, count %d", filter.hasPartialEvent(), filter.lastID, filter.count)
		}
	})
}

// Whatever a target sends, only bytes that it sent are delivered, and an incomplete event is
// not delivered.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"), 3)
	f.Add([]byte(": comment\n\nid: 2\r\ndata: b\r\n\r\nid: hal"), 1)
	f.Add([]byte("\n\n\nid:\n\nid: 99999999999999999999\n\n"), 2)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = max(1, min(size, 64))
		var filter eventFilter
		var out []byte
		for rest := text; len(rest) > 0; {
			n := min(size, len(rest))
			out = append(out, filter.feed(rest[:n])...)
			rest = rest[n:]
		}
		if len(out)+len(filter.partialEvent) > len(text) {
			t.Fatalf("%d bytes became %d", len(text), len(out)+len(filter.partialEvent))
		}
		if !bytes.HasSuffix(text, filter.partialEvent) {
			t.Fatalf("held back %q of %q", filter.partialEvent, text)
		}
		for event := range bytes.SplitAfterSeq(out, []byte("\n\n")) {
			if len(event) > 0 && !bytes.Contains(text, event) {
				t.Fatalf("%q is not in %q", event, text)
			}
		}
	})
}

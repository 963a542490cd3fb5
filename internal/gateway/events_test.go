package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// stream renders events, some with a line of a name that nobody here knows, as a
// target sends them.
func stream(first, last uint64, newline string) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		if id%4 == 0 {
			fmt.Fprintf(&b, "note: %d%s", id, newline)
		}
		fmt.Fprintf(&b, "id: %d%sdata: token %d%s%s", id, newline, id, newline, newline)
	}
	return b.String()
}

// A stream comes in pieces of any size, breaks off anywhere, and goes on at other
// targets, which may send again what the caller has. The caller must get every event
// once, whole and byte for byte, in order.
func TestEventsArriveOnceAndWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(rt, "newline")
		last := rapid.Uint64Range(1, 30).Draw(rt, "last")
		var p progress
		var got bytes.Buffer
		feed := func(text string) {
			for len(text) > 0 {
				n := rapid.IntRange(1, len(text)).Draw(rt, "piece")
				got.Write(p.take([]byte(text[:n])))
				text = text[n:]
			}
		}
		for range rapid.IntRange(0, 3).Draw(rt, "breaks") {
			p.restart()
			from := p.last + 1
			if p.last > 0 && rapid.Bool().Draw(rt, "again") {
				from = rapid.Uint64Range(1, p.last).Draw(rt, "from")
			}
			text := stream(from, last, newline)
			feed(text[:rapid.IntRange(0, len(text)).Draw(rt, "cut")])
		}
		p.restart()
		feed(stream(p.last+1, last, newline))
		if want := stream(1, last, newline); got.String() != want {
			rt.Fatalf("got %q, want %q", got.String(), want)
		}
		if p.partial() || p.last != last || p.count != int(last) {
			rt.Fatalf("partial %v, last %d, count %d", p.partial(), p.last, p.count)
		}
	})
}

// Whatever a target sends as events, nothing is handed over that it did not send, and
// an event without an end is held back.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"), 3)
	f.Add([]byte(": comment\n\nid: 2\r\ndata: b\r\n\r\nid: hal"), 1)
	f.Add([]byte("\n\n\nid:\n\nid: 99999999999999999999\n\n"), 2)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = max(1, min(size, 64))
		var p progress
		var out []byte
		for rest := text; len(rest) > 0; {
			n := min(size, len(rest))
			out = append(out, p.take(rest[:n])...)
			rest = rest[n:]
		}
		if len(out)+len(p.rest) > len(text) {
			t.Fatalf("%d bytes became %d", len(text), len(out)+len(p.rest))
		}
		if !bytes.HasSuffix(text, p.rest) {
			t.Fatalf("held back %q of %q", p.rest, text)
		}
		for event := range bytes.SplitAfterSeq(out, []byte("\n\n")) {
			if len(event) > 0 && !bytes.Contains(text, event) {
				t.Fatalf("%q is not in %q", event, text)
			}
		}
	})
}

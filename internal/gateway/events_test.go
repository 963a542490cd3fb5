package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/eventstream"
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
		filter := newEventFilter(eventstream.ID{}, func(name, _ []byte) bool { return string(name) == "note" })
		var got bytes.Buffer
		feed := func(text string) {
			for len(text) > 0 {
				n := rapid.IntRange(1, len(text)).Draw(rt, "piece")
				complete, err := filter.feed([]byte(text[:n]))
				if err != nil {
					rt.Fatalf("%q: %v", text, err)
				}
				got.Write(complete)
				text = text[n:]
			}
		}
		for range rapid.IntRange(0, 3).Draw(rt, "breaks") {
			filter.startAttempt()
			from := filter.lastID.Value + 1
			if filter.lastID.Known && rapid.Bool().Draw(rt, "again") {
				from = rapid.Uint64Range(1, filter.lastID.Value).Draw(rt, "from")
			}
			text := renderEvents(from, last, newline)
			feed(text[:rapid.IntRange(0, len(text)).Draw(rt, "cut")])
		}
		filter.startAttempt()
		feed(renderEvents(filter.lastID.Value+1, last, newline))
		if want := renderEvents(1, last, newline); got.String() != want {
			rt.Fatalf("got %q, want %q", got.String(), want)
		}
		if filter.hasPartialEvent() || filter.lastID.Value != last || filter.count != int(last) {
			rt.Fatalf("partial %v, last %d, count %d", filter.hasPartialEvent(), filter.lastID.Value, filter.count)
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
		filter := newEventFilter(eventstream.ID{}, nil)
		filter.startAttempt()
		var out []byte
		var err error
		for rest := text; len(rest) > 0 && err == nil; {
			n := min(size, len(rest))
			var complete []byte
			complete, err = filter.feed(rest[:n])
			out = append(out, complete...)
			rest = rest[n:]
		}
		if !bytes.HasPrefix(text, out) {
			t.Fatalf("%q is no prefix of %q", out, text)
		}
		heldBack := text[len(out):]
		if err == nil && (bytes.Contains(heldBack, []byte("\n\n")) || bytes.Contains(heldBack, []byte("\n\r\n"))) {
			t.Fatalf("held back %q of %q", heldBack, text)
		}
		for event := range bytes.SplitAfterSeq(out, []byte("\n\n")) {
			if len(event) > 0 && !bytes.Contains(text, event) {
				t.Fatalf("%q is not in %q", event, text)
			}
		}
	})
}

// eventsWithIDs returns events with these IDs as a target sends them.
func eventsWithIDs(ids ...uint64) (text string) {
	for _, id := range ids {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	}
	return text
}

// Guards against a stream that is resumed after a foreign event: its ID is far ahead, so that the next target leaves
// out events that the caller never got.
func TestEventBeforeForeignBytesIsConfirmedByTheNextTarget(t *testing.T) {
	event := eventsWithIDs
	known := func(id uint64) eventstream.ID { return eventstream.ID{Value: id, Known: true} }
	for _, c := range []struct {
		name string
		// after is the ID of the caller's last event; zero if it has none.
		after uint64
		// first and second are what the two targets send; foreign bytes follow the first.
		first, second string
		// resumeAfter is the event after which the second target is to begin.
		resumeAfter eventstream.ID
		// want is what the caller gets.
		want string
		// wantErr is the error of the second target's events.
		wantErr     error
		unconfirmed bool
	}{
		{"no gap", 0, event(1, 2), event(3), known(2), event(1, 2, 3), nil, false},
		{"from zero", 0, event(0, 1), event(2), known(1), event(0, 1, 2), nil, false},
		{"only event 1", 0, event(1), event(2), known(1), event(1, 2), nil, false},
		{"gap, confirmed", 0, event(1, 2, 9), event(9, 12), known(2), event(1, 2, 9, 12), nil, false},
		{"gap, confirmed after repeated events", 0, event(1, 2, 9), event(1, 2, 9, 12), known(2), event(1, 2, 9, 12), nil, false},
		{"gap from zero, denied", 0, event(0, 9), event(1), known(0), event(0, 9), errUnconfirmedEvent, true},
		{"gap, denied", 0, event(1, 2, 9), event(3, 4), known(2), event(1, 2, 9), errUnconfirmedEvent, true},
		{"gap, passed over", 0, event(1, 2, 9), event(10), known(2), event(1, 2, 9), errUnconfirmedEvent, true},
		{"gap, nothing follows", 0, event(1, 2, 9), "", known(2), event(1, 2, 9), nil, true},
		{"first event ahead, denied", 0, event(9), event(1), known(0), event(9), errUnconfirmedEvent, true},
		{"first event ahead, confirmed", 0, event(9), event(9, 10), known(0), event(9, 10), nil, false},
		{"caller's event, no gap", 5, event(6), event(7), known(6), event(6, 7), nil, false},
		{"caller's event, gap", 5, event(8), event(8, 9), known(5), event(8, 9), nil, false},
		{"two after the gap, confirmed", 0, event(1, 8, 9), event(8, 9, 10), known(1), event(1, 8, 9, 10), nil, false},
		{"two after the gap, denied", 0, event(1, 8, 9), event(2), known(1), event(1, 8, 9), errUnconfirmedEvent, true},
		{"two after the gap, the last one denied", 0, event(1, 8, 9), event(8, 10), known(1), event(1, 8, 9), errUnconfirmedEvent, true},
		{"two gaps, nothing follows", 0, event(1, 100, 200), "", known(100), event(1, 100, 200), nil, true},
		{"many after the gap", 0, event(1, 8, 9, 10, 11, 12, 13, 14, 15, 16), event(17), known(16), event(1, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17), nil, false},
		{"nothing new in the attempt", 5, event(4, 5), event(6), known(5), event(6), nil, false},
	} {
		filter := newEventFilter(eventstream.ID{Value: c.after, Known: c.after > 0}, nil)
		var got bytes.Buffer
		feed := func(text string) error {
			complete, err := filter.feed([]byte(text))
			got.Write(complete)
			return err
		}
		filter.startAttempt()
		if err := feed(c.first); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if err := feed("these words\n"); err != eventstream.UnknownField {
			t.Errorf("%s: %v", c.name, err)
		}
		filter.distrust()
		if filter.resumeAfter() != c.resumeAfter {
			t.Errorf("%s: resumed after %v, want %v", c.name, filter.resumeAfter(), c.resumeAfter)
		}
		filter.startAttempt()
		if err := feed(c.second); err != c.wantErr || got.String() != c.want || filter.unconfirmed != c.unconfirmed {
			t.Errorf("%s: %v, want %v, got %q, unconfirmed %v", c.name, err, c.wantErr, got.String(), filter.unconfirmed)
		}
	}
}

// Guards against a foreign event that is delivered although bytes in the same read show that it is none of the stream.
func TestEventsInDoubtAreWithdrawnBeforeTheyAreDelivered(t *testing.T) {
	const sound = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, c := range map[string]struct {
		read, want string
		after      uint64
		withdrawn  bool
	}{
		"far ahead, sound events":      {sound + "id: 1000\ndata: x\n\nid: 3\ndata: c\n\n", sound, 2, true},
		"far ahead, words":             {sound + "id: 1000\ndata: x\n\nwords\n", sound, 2, true},
		"twice far ahead":              {sound + "id: 8\ndata: x\n\n: note\n\nid: 1000\ndata: y\n\nid: 3\ndata: c\n\n", sound, 2, true},
		"first event far ahead":        {"id: 1000\ndata: x\n\nid: 1\ndata: a\n\n", "", 0, true},
		"same ID":                      {sound + "id: 2\ndata: x\n\n", "id: 1\ndata: a\n\n", 1, true},
		"no gap":                       {sound + "words\n", sound, 2, false},
		"far ahead, nothing behind it": {sound + "id: 1000\ndata: x\n\n", sound + "id: 1000\ndata: x\n\n", 2, false},
	} {
		filter := newEventFilter(eventstream.ID{}, nil)
		filter.startAttempt()
		complete, err := filter.feed([]byte(c.read))
		got := string(complete)
		if err != nil {
			filter.distrust()
		} else {
			filter.distrustFirstGap()
		}
		if got != c.want || filter.withdrawn != c.withdrawn || filter.resumeAfter().Value != c.after {
			t.Errorf("%s: got %q, withdrawn: %v, resumed after %d", name, got, filter.withdrawn, filter.resumeAfter().Value)
		}
		filter.startAttempt()
		rest, err := filter.feed([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
		if c.withdrawn && (err != nil || got+string(rest) != sound+"id: 3\ndata: c\n\n") {
			t.Errorf("%s: goes on with %q, %v", name, rest, err)
		}
	}
}

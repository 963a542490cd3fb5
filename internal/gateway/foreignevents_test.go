package gateway

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/eventstream"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Guards against log lines in which an unsigned success looks like a connection that broke.
func TestUnsignedSuccessIsNoBrokenConnection(t *testing.T) {
	for _, cause := range []error{errUnsigned, errEncoded, errNoStream} {
		if got := breakCause(resultcode.Fail(resultcode.TargetProtocol, "").WithCause(cause)); got == breakConnection {
			t.Errorf("%v is logged as %q", cause, got)
		}
	}
}

// drawIDs draws the IDs of a stream, some of them with gaps between.
func drawIDs(rt *rapid.T) (ids []uint64) {
	next := rapid.Uint64Range(0, 3).Draw(rt, "first")
	for range rapid.IntRange(1, 12).Draw(rt, "events") {
		ids = append(ids, next)
		next += rapid.SampledFrom([]uint64{1, 1, 1, 2, 5, 100}).Draw(rt, "step")
	}
	return ids
}

// All targets send the same sound events, with gaps, and foreign bytes or a cut after some of them; each may
// repeat what the caller has. The caller gets each event once and in order, the stream is complete only with
// its last event, and every target confirms what it has to.
func TestSoundEventsBeforeForeignBytesAreDeliveredOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ids := drawIDs(rt)
		after, begin := uint64(0), 0
		if begin = rapid.IntRange(0, len(ids)-1).Draw(rt, "callerHas"); begin > 0 {
			after = ids[begin-1]
		}
		if after == 0 {
			begin = 0
		}
		filter := newEventFilter(eventstream.ID{Value: after, Known: after > 0}, nil)
		var got bytes.Buffer
		for attempt := range 5 {
			filter.startAttempt()
			resume := filter.resumeAfter()
			first := 0
			for first < len(ids) && resume.Known && ids[first] <= resume.Value {
				first++
			}
			first -= rapid.IntRange(0, first).Draw(rt, "repeated")
			if !resume.Known {
				first = 0
			}
			end := rapid.IntRange(first, len(ids)).Draw(rt, "end")
			how := rapid.SampledFrom([]string{"cut", "words\n", "data: x\n\n", "id: 4\nid: 4\n"}).Draw(rt, "how")
			if attempt == 4 {
				end, how = len(ids), "cut"
			}
			out, err := filter.feed([]byte(eventsWithIDs(ids[first:end]...)))
			got.Write(out)
			if err != nil {
				rt.Fatalf("attempt %d: %v", attempt, err)
			}
			if how != "cut" {
				out, err = filter.feed([]byte(how))
				got.Write(out)
				if _, ok := err.(eventstream.Violation); !ok {
					rt.Fatalf("%q: %v", how, err)
				}
				filter.distrust()
			}
		}
		if got.String() != eventsWithIDs(ids[begin:]...) || filter.unconfirmed {
			rt.Fatalf("got %q, want %q, unconfirmed %v", got.String(), eventsWithIDs(ids[begin:]...), filter.unconfirmed)
		}
	})
}

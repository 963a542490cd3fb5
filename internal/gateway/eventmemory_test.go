package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/eventmemory"
	"github.com/savorystall/savorystall/internal/eventstream"
)

// Guards against a stream that keeps the memory of its largest event, or whose memory is not counted.
func TestMemoryOfLargeEventsIsCountedAndFreed(t *testing.T) {
	is := is.New(t)
	budget := eventmemory.New(64<<20, time.Now)
	f := newEventFilter(eventstream.ID{}, nil)
	f.memory = budget.NewStream(func() { t.Error("the stream was ended") })
	f.startAttempt()
	feed := func(text string) (delivered string) {
		for len(text) > 0 {
			n := min(readSize, len(text))
			complete, err := f.feed([]byte(text[:n]))
			is.NoErr(err)
			delivered += string(complete)
			if len(complete) > 0 {
				is.NoErr(f.delivered())
			}
			text = text[n:]
		}
		return delivered
	}
	large := "id: 1\ndata: " + strings.Repeat("x", 900<<10) + "\n\n"
	is.Equal(feed(large[:len(large)-1]), "")
	is.True(budget.Held() >= 900<<10)
	is.Equal(len(feed(large[len(large)-1:])), len(large))
	is.Equal(budget.Held(), int64(0))
	is.Equal(feed("id: 2\ndata: y\n\n"), "id: 2\ndata: y\n\n")
	is.Equal(feed("id: 3\n"+large[6:len(large)-1]), "")
	f.endAttempt()
	is.Equal(budget.Held(), int64(0))
}

// Guards against a sound stream that is ended while it writes a complete event, in place of one whose smaller event
// does not end.
func TestEventThatIsWrittenCountsAsYoung(t *testing.T) {
	is := is.New(t)
	clock := time.Time{}
	budget := eventmemory.New(32*200<<10, func() time.Time { return clock }) // of which events may take 200 kB
	f := newEventFilter(eventstream.ID{}, nil)
	f.memory = budget.NewStream(func() { t.Error("the stream was ended") })
	f.startAttempt()
	_, err := f.feed([]byte("id: 1\ndata: " + strings.Repeat("x", 100<<10)))
	is.NoErr(err)
	ended := false
	is.NoErr(budget.NewStream(func() { ended = true }).Hold(64 << 10))
	clock = clock.Add(time.Second)
	complete, err := f.feed([]byte("\n\n"))
	is.NoErr(err)
	is.True(len(complete) > 100<<10)
	is.NoErr(budget.NewStream(func() {}).Hold(64 << 10))
	is.True(ended)
}

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

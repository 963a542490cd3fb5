package load

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
)

func sound(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", i+1, enginestandin.Token("m", i))
	}
	return b.String()
}

// Guards against a load run that reports a stream with foreign pieces, or a short one, as complete.
func TestForeignPiecesAreWrongAndShortStreamsAreCut(t *testing.T) {
	const tokens, end = 6, "data: [DONE]\n\n"
	for name, c := range map[string]struct {
		body             string
		truncated, wrong bool
	}{
		"sound":               {sound(0, tokens) + end, false, false},
		"heartbeats":          {": heartbeat\n\n" + sound(0, tokens) + ": heartbeat\n\n" + end, false, false},
		"no end mark":         {sound(0, tokens), true, false},
		"last piece missing":  {sound(0, tokens-1) + end, false, true},
		"ends within":         {sound(0, 3), true, false},
		"words":               {sound(0, 3) + "words\n\n" + sound(3, tokens) + end, false, true},
		"words at the end":    {sound(0, tokens) + "words\n\n" + end, false, true},
		"zeros":               {sound(0, 3) + "\x00\x00\n\n" + sound(3, tokens) + end, false, true},
		"late response":       {sound(0, 3) + "HTTP/1.1 200 OK\r\n\r\n" + sound(3, tokens) + end, false, true},
		"event without text":  {sound(0, 3) + "id: 4\ndata: {}\n\n" + sound(3, tokens) + end, false, true},
		"event without an id": {sound(0, 3) + "data: {\"choices\":[{\"text\":\"\"}]}\n\n" + sound(3, tokens) + end, false, true},
		"foreign text":        {sound(0, 3) + "id: 4\ndata: {\"choices\":[{\"text\":\"x\"}]}\n\n" + sound(3, tokens) + end, false, true},
		"repeated":            {sound(0, 3) + sound(2, tokens) + end, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			caller := &caller{stream: Stream{MaxTokens: tokens}}
			got := caller.readEventStream(strings.NewReader(c.body), "m", time.Now())
			is.Equal(got.truncated, c.truncated)
			is.Equal(got.mismatch, c.wrong)
		})
	}
}

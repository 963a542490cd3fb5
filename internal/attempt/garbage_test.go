package attempt_test

import (
	"fmt"
	"strings"
	"testing"

	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	"github.com/savorystall/savorystall/internal/standin/garbage"
)

// Guards against bytes that are no event of a stream, and reach the caller, or let the answer end as
// complete without its last pieces.
func TestModelAnswerHoldsSoundPiecesOnly(t *testing.T) {
	const tokens = 6
	afterwards := []enginestandin.AfterGarbage{enginestandin.GarbageContinue, enginestandin.GarbageEnd, enginestandin.GarbageDisconnect}
	for _, kind := range garbage.Kinds() {
		for _, after := range []int{0, 3, tokens} {
			for _, then := range afterwards {
				t.Run(fmt.Sprintf("%s after %d, then %d", kind, after, then), func(t *testing.T) {
					e, address := newEngine(t, enginestandin.Config{})
					e.Inject(enginestandin.Fault{Kind: enginestandin.FaultGarbage, AfterTokens: after, Garbage: kind, AfterGarbage: then})
					sink := &collectingSink{}
					got := newRunner(t, shortTimeouts()).Model(t.Context(), modelRequest(address, "p", tokens), sink)
					text, want := sink.text.String(), enginestandin.Text("p", tokens)
					if sink.err != nil || !strings.HasPrefix(want, text) {
						t.Errorf("received %q, %v; want the start of %q", text, sink.err, want)
					}
					if got.Failure == nil && text != want {
						t.Errorf("ended as complete with %q, want %q", text, want)
					}
				})
			}
		}
	}
}

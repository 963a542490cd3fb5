package attempt_test

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/resultcode"
)

// Guards against an attempt that resumes a stream without a pause for as long as its engine accepts
// the connections and sends nothing new on them.
func TestResumptionsWithoutProgressAreSpaced(t *testing.T) {
	const maxRequests = 10 // in the resume window, with a delay that doubles from 25 ms
	first := event("1", "data: "+soundData(1))
	for name, body := range map[string]string{
		"nothing":     "",
		"a heartbeat": ": heartbeat\n\n",
		"a repeat":    first,
		"a gap":       first + event("5", "data: "+soundData(5)),
		"half":        first + "id: 2\ndata",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			address, requests := serveStreams(t, func(w io.Writer) error {
				_, err := io.WriteString(w, body)
				return err
			})
			cfg := shortTimeouts()
			cfg.ResumeWindow = 500 * time.Millisecond
			got := newRunner(t, cfg).Model(t.Context(), modelRequest(address, "x", soundEvents), &chunkRecorder{})
			t.Logf("%d requests, %v", requests.Load(), got.Failure)
			is.True(got.Failure != nil)
			is.Equal(got.Outcome, resultcode.MayHaveRun)
			is.True(requests.Load() <= maxRequests)
		})
	}
}

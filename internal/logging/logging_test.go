package logging_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/logging"
	"github.com/savorystall/savorystall/test/logbuffer"
)

// stalledOutput is standard output whose reader has stopped reading.
type stalledOutput struct{ released chan struct{} }

// Write implements io.Writer.
func (o stalledOutput) Write(p []byte) (int, error) {
	<-o.released
	return len(p), nil
}

// If the reader of the log stops, requests must not wait for it: lines are dropped and
// counted.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	is := is.New(t)
	out := stalledOutput{make(chan struct{})}
	w := logging.NewWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 5000 {
			n, err := w.Write([]byte("line\n"))
			is.NoErr(err)
			is.Equal(n, 5)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked on a stalled output")
	}
	// The queue holds 1,024 lines, and the writer has taken at most as many in one batch.
	is.True(w.Dropped() >= 5000-2*1024-1)
	close(out.released)
	w.Close()
}

// Lines that were logged before Close must be written before it returns.
func TestCloseWritesQueuedLines(t *testing.T) {
	is := is.New(t)
	var out logbuffer.Buffer
	w := logging.NewWriter(&out)
	for range 500 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close()
	is.Equal(strings.Count(out.String(), "line\n"), 500)
}

func TestRateLimiter(t *testing.T) {
	is := is.New(t)
	limiter := logging.NewRateLimiter(10)
	allowed := 0
	for range 100 {
		if limiter.Allow() {
			allowed++
		}
	}
	is.True(allowed >= 10 && allowed < 20)
	is.Equal(limiter.TakeSuppressed(), uint64(100-allowed))
	is.Equal(limiter.TakeSuppressed(), uint64(0))
}

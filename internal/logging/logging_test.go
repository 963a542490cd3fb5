package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/logging"
)

// blocked is standard output whose reader has stopped.
type blocked struct{ until chan struct{} }

// Write implements io.Writer.
func (b blocked) Write(p []byte) (int, error) {
	<-b.until
	return len(p), nil
}

// The reader of the log stops. Requests must not wait for it: lines are dropped, and
// counted.
func TestALogThatNobodyReadsBlocksNothing(t *testing.T) {
	is := is.New(t)
	out := blocked{make(chan struct{})}
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
		t.Fatal("a line was waited for")
	}
	// The queue holds 1,024, and the writer has taken at most as many in one go.
	is.True(w.Dropped() >= 5000-2*1024-1)
	close(out.until)
	w.Close()
}

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// What was logged before the end is written before the end.
func TestCloseWritesWhatWaits(t *testing.T) {
	is := is.New(t)
	var out buffer
	w := logging.NewWriter(&out)
	for range 500 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close()
	is.Equal(strings.Count(out.b.String(), "line\n"), 500)
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	b := logging.NewBudget(10)
	allowed := 0
	for range 100 {
		if b.Allow() {
			allowed++
		}
	}
	is.True(allowed >= 10 && allowed < 20)
	is.Equal(b.LeftOut(), uint64(100-allowed))
	is.Equal(b.LeftOut(), uint64(0))
}

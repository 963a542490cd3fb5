package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/settings"
)

// A daemon short of processor time refuses new connections first. It has to tell a first
// request from the later ones of a connection.
func TestTheFirstRequestOfAConnectionIsKnown(t *testing.T) {
	is := is.New(t)
	var firsts []bool
	handler := counting(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		firsts = append(firsts, firstOnConnection(r.Context()))
	}))
	server, client := net.Pipe()
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	ctx := withConn(context.Background(), server)
	for range 3 {
		r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
		handler.ServeHTTP(httptest.NewRecorder(), r)
	}
	is.Equal(firsts, []bool{true, false, false})
	is.True(!firstOnConnection(context.Background()))
}

// A daemon is flooded at once, and takes on everything until its measurements of that have had
// their turns: each of the nine that it goes by ends after one.
func TestAFloodIsRefusedWhileItIsBeingMeasured(t *testing.T) {
	const turn, busy = 2000 * time.Millisecond, 2 * time.Millisecond
	is := is.New(t)
	load := newLoadWatch(settings.Settings{})
	ctx, cancel := context.WithCancel(context.Background())
	measuring := make(chan struct{})
	go func() {
		defer close(measuring)
		load.run(ctx, slog.New(slog.DiscardHandler), newConnections(0))
	}()
	time.Sleep(100 * time.Millisecond)
	is.True(!load.sheds(t.Context()))
	is.Equal(load.acceptRate(), rate.Limit(0))

	former := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(former)
	for range int(turn / busy) {
		go func() {
			for ctx.Err() == nil {
				for end := time.Now().Add(busy); time.Now().Before(end); {
				}
				runtime.Gosched()
			}
		}()
	}
	flooded := time.Now()
	for time.Since(flooded) < turn && (load.shedShare() == 0 || load.acceptRate() == 0) {
		time.Sleep(50 * time.Millisecond)
	}
	took := time.Since(flooded)
	t.Logf("refuses after %v", took)
	cancel()
	<-measuring
	is.True(took < turn/2)
}

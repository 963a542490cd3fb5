package daemon

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/settings"
)

const hopRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

// drained is a daemon's servers of callers whose accepting goroutines wait for a turn each time
// they have accepted a connection.
type drained struct {
	*routedServers
	handovers *handovers
	accepting accepting
}

func newDrained(t *testing.T, turn time.Duration) *drained {
	t.Helper()
	is := is.New(t)
	load := newLoadWatch(settings.Defaults())
	load.shed.Store(shedUnit)
	d := &drained{
		routedServers: &routedServers{connections: newConnections(0)},
		handovers:     newTestHandovers(t, settings.Defaults(), load, newNeighbourThatTakesNothing(t)),
	}
	var err error
	d.callersListener, err = listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	d.takeoverListener, err = listenTakeover(settings.Fleet{Handover: "127.0.0.1:0"}, func() bool { return true }, func() uint64 { return 0 })
	is.NoErr(err)
	d.callers = &http.Server{
		Handler:     keeping(time.Minute, func() bool { return false }, http.HandlerFunc(echo)),
		ConnContext: withConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateNew {
				time.Sleep(turn)
			}
			d.connections.note(c, state)
		},
	}
	t.Cleanup(func() { _ = d.callers.Close() })
	serve := func(l net.Listener) <-chan struct{} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = d.callers.Serve(l)
		}()
		return done
	}
	d.accepting = accepting{callers: serve(d.callersListener), takeovers: serve(d.takeoverListener), returned: serve(d.handovers.returned)}
	return d
}

func newNeighbourThatTakesNothing(t *testing.T) (address string) {
	n := newNeighbour(t, echo)
	n.busy.Store(true)
	return n.address
}

// answered fails unless an answer comes on the connection.
func answered(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	w, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = w.Body.Close()
}

// Guards against a planned stop of a VM whose turns take long that reads a request of a neighbour
// and closes its connection without an answer, since the server had not come to know it.
func TestAPlannedStopAnswersWhoWasTakenOverJustBefore(t *testing.T) {
	is := is.New(t)
	const turn = 300 * time.Millisecond
	d := newDrained(t, turn)
	conn, err := net.Dial("tcp", d.takeoverListener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.ReadFull(conn, make([]byte, takeoverSize)) // it is taken
	is.NoErr(err)
	_, err = io.WriteString(conn, hopRequest)
	is.NoErr(err)
	go d.drain(context.Background(), d.handovers, d.accepting)
	answered(t, conn)
}

// Guards against a planned stop of a VM whose turns take long that reads a request on a connection
// which no neighbour took, and closes it without an answer.
func TestAPlannedStopAnswersWhoCameBackFromNeighboursJustBefore(t *testing.T) {
	is := is.New(t)
	const turn = 300 * time.Millisecond
	d := newDrained(t, turn)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := l.Accept()
	is.NoErr(err)
	_, err = io.WriteString(caller, hopRequest)
	is.NoErr(err)
	is.True(d.handovers.passOn(newReadingConn(accepted.(*net.TCPConn))))
	for end := time.Now().Add(5 * time.Second); d.handovers.active.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // until the neighbour has not taken it
	}
	go d.drain(context.Background(), d.handovers, d.accepting)
	answered(t, caller)
}

// Guards against a planned stop that hangs without a word of what it waits for.
func TestAPlannedStopTellsWhatItWaitsFor(t *testing.T) {
	is := is.New(t)
	d := newDrained(t, 0)
	conn, err := net.Dial("tcp", d.callersListener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	for end := time.Now().Add(5 * time.Second); d.connections.use().fresh == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	said := make(chan string, 1)
	go d.warnOfDrain(ctx, time.Millisecond, d.handovers, slog.New(slog.NewJSONHandler(firstLine(said), nil)))
	line := <-said
	cancel()
	is.True(strings.Contains(line, `"event":107,"with_request":0,"without_request":1,"closing":0,"passed_on":0`))
}

// firstLine is a log of which only the first line is kept.
type firstLine chan string

// Write implements io.Writer.
func (c firstLine) Write(line []byte) (int, error) {
	select {
	case c <- string(line):
	default:
	}
	return len(line), nil
}

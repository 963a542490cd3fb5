package platform_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/platform/wire"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type bench struct {
	server   *platformstandin.Server
	listener *httptest.Server
	client   *platform.Client
}

func newBench(t *testing.T, c platform.ClientConfig) *bench {
	server := platformstandin.New(platformstandin.Config{})
	listener := httptest.NewServer(server)
	c.URL = listener.URL
	c.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	client := platform.NewClient(c)
	t.Cleanup(func() {
		client.Close()
		listener.Close()
		server.Wait()
	})
	return &bench{server: server, listener: listener, client: client}
}

func (b *bench) fail(f platformstandin.Faults) { b.server.SetFaults(platformstandin.Table, f) }

// insert writes a row that must not exist.
func insert(key, value string) platform.Transaction {
	return platform.Transaction{
		Operation:  platform.NewOperation(),
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: []byte(value)}},
	}
}

func (b *bench) value(t *testing.T, key string) string {
	rows, err := b.client.Get(t.Context(), key)
	is.New(t).NoErr(err)
	if len(rows) == 0 {
		return ""
	}
	return string(rows[0].Value)
}

func TestTableReadsWhatWasWritten(t *testing.T) {
	is := is.New(t)
	b := newBench(t, platform.ClientConfig{})
	first, err := b.client.Commit(t.Context(), insert("a/1", "x"))
	is.NoErr(err)
	second, err := b.client.Commit(t.Context(), insert("a/2", "y"))
	is.NoErr(err)
	is.True(second > first)
	rows, err := b.client.Scan(t.Context(), "a/", "a/1", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key, "a/2")
	_, err = b.client.Commit(t.Context(), insert("a/1", "z"))
	var conflict *platform.Conflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Rows[0].Revision, first)
}

// A write takes effect and its answer is lost, once or several times in a row.
// The caller must be told of success, with the revision of the one write.
func TestLostAnswerOfAConditionalWrite(t *testing.T) {
	is := is.New(t)
	b := newBench(t, platform.ClientConfig{})
	b.fail(platformstandin.Faults{LoseAnswers: 3})
	revision, err := b.client.Commit(t.Context(), insert("a", "x"))
	is.NoErr(err)
	rows, err := b.client.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(rows[0].Revision, revision)
	is.Equal(revision, uint64(1))
}

// The answer of a write without conditions is lost. Sent again, it would
// overwrite what another writer put there in between; so it is read back and
// never sent twice.
func TestLostAnswerOfAnUnconditionalWrite(t *testing.T) {
	is := is.New(t)
	b := newBench(t, platform.ClientConfig{})
	b.fail(platformstandin.Faults{LoseAnswers: 1})
	tx := insert("a", "x")
	tx.Conditions = nil
	_, err := b.client.Commit(t.Context(), tx)
	is.NoErr(err)
	is.Equal(b.server.Calls(platformstandin.Table), 2) // one commit, one read
}

// A write is stuck on its way and its connection breaks; another writer goes
// first; then the stuck copy arrives. The first writer must not be told of
// success, and the late copy must not overwrite the other's row.
func TestLateCopyDoesNotOverwrite(t *testing.T) {
	is := is.New(t)
	b := newBench(t, platform.ClientConfig{})
	b.fail(platformstandin.Faults{LoseAnswers: -1, LateEffect: 200 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := b.client.Commit(ctx, insert("a", "first"))
	var unknown *platform.Unknown
	is.True(errors.As(err, &unknown))
	b.fail(platformstandin.Faults{})
	_, err = b.client.Commit(t.Context(), insert("a", "second"))
	won := "second"
	if err != nil {
		won = "first" // the copies were faster than this test
	}
	b.server.Wait()
	is.Equal(b.value(t, "a"), won)
}

// A write's answer is lost and another writer overwrites the row before the
// repeat. The repeat's conflict does not show the first write, so the caller
// must be told that the outcome is open, not that there was a plain conflict.
func TestSupersededWriteIsUnknown(t *testing.T) {
	is := is.New(t)
	b := newBench(t, platform.ClientConfig{})
	b.fail(platformstandin.Faults{LoseAnswers: -1})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := b.client.Commit(ctx, insert("a", "first"))
		result <- err
	}()
	for b.value(t, "a") != "first" {
		continue
	}
	b.server.Overwrite("a", []byte("second"))
	b.fail(platformstandin.Faults{})
	err := <-result
	var superseded *platform.Superseded
	var conflict *platform.Conflict
	is.True(errors.As(err, &superseded))
	is.True(!errors.As(err, &conflict))
}

// The store is down for longer than the caller waits. Nothing was written, and
// the error says so.
func TestOutageIsUnavailable(t *testing.T) {
	for name, cause := range map[string]func(*bench){
		"answers 503":        func(b *bench) { b.fail(platformstandin.Faults{Down: true}) },
		"refuses connection": func(b *bench) { b.listener.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, platform.ClientConfig{})
			cause(b)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := b.client.Commit(ctx, insert("a", "x"))
			var unavailable *platform.Unavailable
			is.True(errors.As(err, &unavailable))
		})
	}
}

// A store takes a write and goes silent. The caller runs out of time and must
// be told that the write may have taken effect.
func TestSilenceIsUnknown(t *testing.T) {
	is := is.New(t)
	b := newBench(t, platform.ClientConfig{TryTimeout: 50 * time.Millisecond})
	b.fail(platformstandin.Faults{Silent: true})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := b.client.Commit(ctx, insert("a", "x"))
	var unknown *platform.Unknown
	is.True(errors.As(err, &unknown))
}

// The store is down while fifty callers of one daemon need it, then it comes
// back. All of them must get through, and the store must have seen few calls
// meanwhile.
func TestCallersGetThroughAfterAnOutage(t *testing.T) {
	is := is.New(t)
	const callers = 50
	b := newBench(t, platform.ClientConfig{CallTimeout: time.Minute})
	b.fail(platformstandin.Faults{Down: true})
	for b.server.Calls(platformstandin.Table) < 4 { // then the client knows
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := b.client.Get(ctx, "a")
		cancel()
		is.True(err != nil)
	}
	before := b.server.Calls(platformstandin.Table)
	var group sync.WaitGroup
	errs := make([]error, callers)
	for i := range callers {
		group.Go(func() { _, errs[i] = b.client.Get(t.Context(), "a") })
	}
	for b.server.Calls(platformstandin.Table) < before+3 {
		time.Sleep(time.Millisecond) // three probes have failed
	}
	b.fail(platformstandin.Faults{})
	group.Wait()
	is.NoErr(errors.Join(errs...))
	during := b.server.Calls(platformstandin.Table) - before - callers
	t.Logf("%d calls during the outage", during)
	is.True(during < callers)
}

func TestObjectsVMsAndWeights(t *testing.T) {
	is := is.New(t)
	b := newBench(t, platform.ClientConfig{})
	ctx := t.Context()
	_, err := b.client.GetObject(ctx, "config/snapshot")
	is.True(errors.Is(err, platform.ErrAbsent))
	is.NoErr(b.client.PutObject(ctx, "config/snapshot", []byte("body")))
	body, err := b.client.GetObject(ctx, "config/snapshot")
	is.NoErr(err)
	is.Equal(string(body), "body")
	b.server.SetVMs(wire.VM{Name: "d1", Zone: "z", Address: "127.0.0.1:1", Role: "daemon", State: "leaving"})
	vms, err := b.client.ListVMs(ctx)
	is.NoErr(err)
	is.Equal(vms, []platform.VM{{Name: "d1", Zone: "z", Address: "127.0.0.1:1", Role: "daemon", State: platform.VMLeaving}})
	wait, err := b.client.FetchWeights(ctx, "org/model:7")
	is.NoErr(err)
	is.Equal(wait, time.Duration(0))
	is.Equal(b.server.Fetches("org/model:7"), 1)
}

// mutableConn goes silent when muted: nothing arrives any more, and nothing
// tells so.
type mutableConn struct {
	net.Conn
	muted  *atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *mutableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.muted.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *mutableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// The daemon holds many idle connections to the store. Something between the
// two loses track of all of them, while new ones work. A caller must lose at
// most a try to it, not one try for each connection.
func TestSilentConnectionsAreAllReplaced(t *testing.T) {
	is := is.New(t)
	const connections = 16
	var generation atomic.Pointer[atomic.Bool]
	generation.Store(&atomic.Bool{})
	transport := &http.Transport{
		MaxIdleConnsPerHost: connections,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &mutableConn{Conn: conn, muted: generation.Load(), closed: make(chan struct{})}, nil
		},
	}
	b := newBench(t, platform.ClientConfig{TryTimeout: 200 * time.Millisecond, HTTP: &http.Client{Transport: transport}})
	b.fail(platformstandin.Faults{Delay: 20 * time.Millisecond})
	var group sync.WaitGroup
	for range connections {
		group.Go(func() { _, _ = b.client.Get(t.Context(), "a") })
	}
	group.Wait()
	b.fail(platformstandin.Faults{})
	old := generation.Swap(&atomic.Bool{})
	old.Store(true)
	before := b.server.Calls(platformstandin.Table)
	_, err := b.client.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(b.server.Calls(platformstandin.Table)-before, 2) // one lost, one answered
}

// The store stays slow: it answers, but later than a try may last. Reads and
// writes must get through after the first try, and one write must not be made
// twice.
func TestSlowStoreIsWaitedFor(t *testing.T) {
	is := is.New(t)
	// A try of 2 s has 0.9 s to spare over the delay, for a busy machine.
	b := newBench(t, platform.ClientConfig{TryTimeout: time.Second})
	b.fail(platformstandin.Faults{Delay: 1100 * time.Millisecond})
	revision, err := b.client.Commit(t.Context(), insert("a", "x"))
	is.NoErr(err)
	is.Equal(revision, uint64(1))
	before := b.server.Calls(platformstandin.Table)
	for range 3 {
		is.Equal(b.value(t, "a"), "x")
	}
	is.Equal(b.server.Calls(platformstandin.Table)-before, 3)
}

// The address is that of another server, which answers everything by 200. It
// must not pass for an empty table.
func TestAnotherServerIsNoEmptyTable(t *testing.T) {
	is := is.New(t)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"status":"ok"}`))
	}))
	defer other.Close()
	client := platform.NewClient(platform.ClientConfig{URL: other.URL})
	defer client.Close()
	_, err := client.Get(t.Context(), "a")
	is.True(err != nil)
	_, err = client.Commit(t.Context(), insert("a", "x"))
	is.True(err != nil)
}

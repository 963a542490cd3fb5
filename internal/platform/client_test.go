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

type testEnv struct {
	server   *platformstandin.Server
	listener *httptest.Server
	client   *platform.Client
}

func newTestEnv(t *testing.T, c platform.ClientConfig) *testEnv {
	server := platformstandin.New(platformstandin.Config{})
	listener := httptest.NewServer(server)
	c.URL = listener.URL
	c.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	client := platform.NewClient(c)
	t.Cleanup(func() {
		client.Close()
		listener.Close()
		server.WaitForDelayedWrites()
	})
	return &testEnv{server: server, listener: listener, client: client}
}

func (env *testEnv) setTableFaults(f platformstandin.Faults) {
	env.server.SetFaults(platformstandin.Table, f)
}

// insert returns a transaction that writes a row on condition that it does not exist.
func insert(key, value string) platform.Transaction {
	return platform.Transaction{
		Operation:  platform.NewOperationID(),
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: []byte(value)}},
	}
}

func (env *testEnv) readValue(t *testing.T, key string) string {
	rows, err := env.client.Get(t.Context(), key)
	is.New(t).NoErr(err)
	if len(rows) == 0 {
		return ""
	}
	return string(rows[0].Value)
}

func TestTableReadsWhatWasWritten(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, platform.ClientConfig{})
	first, err := env.client.Commit(t.Context(), insert("a/1", "x"))
	is.NoErr(err)
	second, err := env.client.Commit(t.Context(), insert("a/2", "y"))
	is.NoErr(err)
	is.True(second > first)
	rows, err := env.client.Scan(t.Context(), "a/", "a/1", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key, "a/2")
	_, err = env.client.Commit(t.Context(), insert("a/1", "z"))
	var conflict *platform.Conflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Rows[0].Revision, first)
}

// If a write takes effect and its response is lost, several times in a row, the
// caller must get the revision of the single write and no error.
func TestLostAnswerOfAConditionalWrite(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, platform.ClientConfig{})
	env.setTableFaults(platformstandin.Faults{LostResponses: 3})
	revision, err := env.client.Commit(t.Context(), insert("a", "x"))
	is.NoErr(err)
	rows, err := env.client.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(rows[0].Revision, revision)
	is.Equal(revision, uint64(1))
}

// If the response to an unconditional write is lost, resending it could
// overwrite a row that another writer has written since. It must be read back
// and never resent.
func TestLostAnswerOfAnUnconditionalWrite(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, platform.ClientConfig{})
	env.setTableFaults(platformstandin.Faults{LostResponses: 1})
	tx := insert("a", "x")
	tx.Conditions = nil
	_, err := env.client.Commit(t.Context(), tx)
	is.NoErr(err)
	is.Equal(env.server.Calls(platformstandin.Table), 2) // one commit, one read
}

// A write is delayed in transit and its connection breaks; another writer writes
// the row; then the delayed copy arrives. The first writer must not get a
// success, and the delayed copy must not overwrite the other writer's row.
func TestLateCopyDoesNotOverwrite(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, platform.ClientConfig{})
	env.setTableFaults(platformstandin.Faults{LostResponses: -1, LostWriteDelay: 200 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := env.client.Commit(ctx, insert("a", "first"))
	var unknown *platform.UnknownOutcome
	is.True(errors.As(err, &unknown))
	env.setTableFaults(platformstandin.Faults{})
	_, err = env.client.Commit(t.Context(), insert("a", "second"))
	want := "second"
	if err != nil {
		want = "first" // the copies arrived before the second write
	}
	env.server.WaitForDelayedWrites()
	is.Equal(env.readValue(t, "a"), want)
}

// If the response to a write is lost and another writer overwrites the row before
// the retry, the conflict of the retry does not show the first write. The caller
// must get an unknown outcome instead of a plain conflict.
func TestSupersededWriteHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, platform.ClientConfig{})
	env.setTableFaults(platformstandin.Faults{LostResponses: -1})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := env.client.Commit(ctx, insert("a", "first"))
		result <- err
	}()
	for env.readValue(t, "a") != "first" {
		continue
	}
	env.server.Overwrite("a", []byte("second"))
	env.setTableFaults(platformstandin.Faults{})
	err := <-result
	var superseded *platform.Superseded
	var conflict *platform.Conflict
	is.True(errors.As(err, &superseded))
	is.True(!errors.As(err, &conflict))
}

// If the store is down for longer than the caller waits, nothing was written, and
// the error must say so.
func TestOutageIsUnavailable(t *testing.T) {
	for name, injectOutage := range map[string]func(*testEnv){
		"answers 503":        func(env *testEnv) { env.setTableFaults(platformstandin.Faults{Unavailable: true}) },
		"refuses connection": func(env *testEnv) { env.listener.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t, platform.ClientConfig{})
			injectOutage(env)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := env.client.Commit(ctx, insert("a", "x"))
			var unavailable *platform.Unavailable
			is.True(errors.As(err, &unavailable))
		})
	}
}

// If a store receives a write and does not respond before the caller's deadline,
// the error must say that the write may have taken effect.
func TestUnresponsiveStoreLeavesOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, platform.ClientConfig{AttemptTimeout: 50 * time.Millisecond})
	env.setTableFaults(platformstandin.Faults{NoResponse: true})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := env.client.Commit(ctx, insert("a", "x"))
	var unknown *platform.UnknownOutcome
	is.True(errors.As(err, &unknown))
}

// The store is down while fifty callers of one daemon wait for it, and then
// recovers. All calls must succeed, and the store must have received few calls
// during the outage.
func TestCallersGetThroughAfterAnOutage(t *testing.T) {
	is := is.New(t)
	const callers = 50
	env := newTestEnv(t, platform.ClientConfig{CallTimeout: time.Minute})
	env.setTableFaults(platformstandin.Faults{Unavailable: true})
	for env.server.Calls(platformstandin.Table) < 4 { // then the circuit breaker is open
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := env.client.Get(ctx, "a")
		cancel()
		is.True(err != nil)
	}
	before := env.server.Calls(platformstandin.Table)
	var group sync.WaitGroup
	errs := make([]error, callers)
	for i := range callers {
		group.Go(func() { _, errs[i] = env.client.Get(t.Context(), "a") })
	}
	for env.server.Calls(platformstandin.Table) < before+3 {
		time.Sleep(time.Millisecond) // three probes have failed
	}
	env.setTableFaults(platformstandin.Faults{})
	group.Wait()
	is.NoErr(errors.Join(errs...))
	during := env.server.Calls(platformstandin.Table) - before - callers
	t.Logf("%d calls during the outage", during)
	is.True(during < callers)
}

func TestObjectsVMsAndWeights(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, platform.ClientConfig{})
	ctx := t.Context()
	_, err := env.client.GetObject(ctx, "config/snapshot")
	is.True(errors.Is(err, platform.ErrObjectNotFound))
	is.NoErr(env.client.PutObject(ctx, "config/snapshot", []byte("body")))
	body, err := env.client.GetObject(ctx, "config/snapshot")
	is.NoErr(err)
	is.Equal(string(body), "body")
	env.server.SetVMs(wire.VM{Name: "d1", Zone: "z", Address: "127.0.0.1:1", Role: "daemon", State: "leaving"})
	vms, err := env.client.ListVMs(ctx)
	is.NoErr(err)
	is.Equal(vms, []platform.VM{{Name: "d1", Zone: "z", Address: "127.0.0.1:1", Role: "daemon", State: platform.VMLeaving}})
	wait, err := env.client.FetchWeights(ctx, "org/model:7")
	is.NoErr(err)
	is.Equal(wait, time.Duration(0))
	is.Equal(env.server.Fetches("org/model:7"), 1)
}

// stallableConn is a connection that stops delivering data, without an error,
// once stalled is set.
type stallableConn struct {
	net.Conn
	stalled *atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

func (c *stallableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.stalled.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *stallableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// A device on the network path loses the state of all the idle connections to the
// store, while new ones work. A caller must lose at most one attempt to that, not
// one attempt per connection.
func TestAllUnresponsiveConnectionsAreReplaced(t *testing.T) {
	is := is.New(t)
	const connections = 16
	var newConnsStalled atomic.Pointer[atomic.Bool]
	newConnsStalled.Store(&atomic.Bool{})
	transport := &http.Transport{
		MaxIdleConnsPerHost: connections,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &stallableConn{Conn: conn, stalled: newConnsStalled.Load(), closed: make(chan struct{})}, nil
		},
	}
	env := newTestEnv(t, platform.ClientConfig{AttemptTimeout: 200 * time.Millisecond, HTTP: &http.Client{Transport: transport}})
	env.setTableFaults(platformstandin.Faults{Delay: 20 * time.Millisecond})
	var group sync.WaitGroup
	for range connections {
		group.Go(func() { _, _ = env.client.Get(t.Context(), "a") })
	}
	group.Wait()
	env.setTableFaults(platformstandin.Faults{})
	oldConnsStalled := newConnsStalled.Swap(&atomic.Bool{})
	oldConnsStalled.Store(true)
	before := env.server.Calls(platformstandin.Table)
	_, err := env.client.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(env.server.Calls(platformstandin.Table)-before, 2) // one attempt lost, one answered
}

// If the latency of the store stays above the timeout of an attempt, reads and
// writes must succeed after the first attempt, and a write must not be applied
// twice.
func TestSlowStoreGetsLongerTimeout(t *testing.T) {
	is := is.New(t)
	// The doubled timeout of 2 s exceeds the delay by 0.9 s, enough for a busy machine.
	env := newTestEnv(t, platform.ClientConfig{AttemptTimeout: time.Second})
	env.setTableFaults(platformstandin.Faults{Delay: 1100 * time.Millisecond})
	revision, err := env.client.Commit(t.Context(), insert("a", "x"))
	is.NoErr(err)
	is.Equal(revision, uint64(1))
	before := env.server.Calls(platformstandin.Table)
	for range 3 {
		is.Equal(env.readValue(t, "a"), "x")
	}
	is.Equal(env.server.Calls(platformstandin.Table)-before, 3)
}

// A different server at the configured address, which answers every request with
// 200, must not be mistaken for an empty table.
func TestUnrelatedServerIsNotAnEmptyTable(t *testing.T) {
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

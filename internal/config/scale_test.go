package config_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/platform"
)

// Planned size of a fleet, for which the package is designed.
const (
	plannedDaemons    = 360
	plannedModels     = 18
	plannedWorkspaces = 6200
	plannedEngines    = 3100
)

// plannedDocument returns the document of one model's service with its share of
// the workspaces and engines, about 60 KB.
func plannedDocument(model, weight int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "service: model-%d\nkind: model\nmodels: [model-%d]\nworkspaces:\n", model, model)
	for w := range plannedWorkspaces / plannedModels {
		fmt.Fprintf(&b, "  - {name: workspace-%d-%d, weight: %d, keys: [%q]}\n", model, w, weight+w, document.HashKey(fmt.Sprint(model, w)))
	}
	b.WriteString("targets:\n")
	for e := range plannedEngines / plannedModels {
		fmt.Fprintf(&b, "  - {name: engine-%d, zone: zone-%d, address: \"10.%d.%d.1:9000\", slots: 50}\n", e, e%14, model, e)
	}
	return b.Bytes()
}

// applyPlannedDocuments applies the documents of all planned models and returns
// their revisions.
func (env *testEnv) applyPlannedDocuments(tb testing.TB) []uint64 {
	tb.Helper()
	revisions := make([]uint64, plannedModels)
	for model := range plannedModels {
		var err error
		revisions[model], err = env.editor("ana").Apply(tb.Context(), plannedDocument(model, 1), 0, "")
		if err != nil {
			tb.Fatal(err)
		}
	}
	return revisions
}

func BenchmarkParsePlanDocument(b *testing.B) {
	text := plannedDocument(0, 1)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := document.Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStart measures how a daemon loads a configuration of the planned size:
// from the archive with one read of the head row, or from the table alone.
func BenchmarkStart(b *testing.B) {
	env := newTestEnv(b)
	env.applyPlannedDocuments(b)
	writer := config.NewStore()
	if err := env.watcher(writer).Poll(b.Context()); err != nil {
		b.Fatal(err)
	}
	archiver := config.NewArchiver(config.ArchiverConfig{Table: env.client, Objects: env.client, Store: writer, Logger: discardLogger})
	if _, err := archiver.Archive(b.Context()); err != nil {
		b.Fatal(err)
	}
	start := func(b *testing.B, fromArchive bool) {
		b.ReportAllocs()
		for b.Loop() {
			store := config.NewStore()
			if fromArchive {
				if err := config.LoadArchive(b.Context(), env.client, store); err != nil {
					b.Fatal(err)
				}
			}
			if err := env.watcher(store).Poll(b.Context()); err != nil {
				b.Fatal(err)
			}
			if len(store.Snapshot().Services()) != plannedModels {
				b.Fatal("services are missing")
			}
		}
	}
	b.Run("archive", func(b *testing.B) { start(b, true) })
	b.Run("table", func(b *testing.B) { start(b, false) })
}

// BenchmarkMemory reports the heap size of a configuration of the planned size.
func BenchmarkMemory(b *testing.B) {
	env := newTestEnv(b)
	env.applyPlannedDocuments(b)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		store := config.NewStore()
		if err := env.watcher(store).Poll(b.Context()); err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(store)
	}
}

// countingConn counts the bytes transferred over a connection in both directions.
type countingConn struct {
	net.Conn
	total *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.Add(int64(n))
	return n, err
}

// countingClient returns a client with its own connections and the counter of
// their bytes.
func (env *testEnv) countingClient(tb testing.TB) (*platform.Client, *atomic.Int64) {
	var total atomic.Int64
	var dialer net.Dialer
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return countingConn{Conn: conn, total: &total}, err
	}}
	client := platform.NewClient(platform.ClientConfig{URL: env.url, HTTP: &http.Client{Transport: transport}, Logger: discardLogger})
	tb.Cleanup(client.Close)
	return client, &total
}

// BenchmarkPoll reports the bytes transferred by a poll that finds no change,
// including HTTP headers.
func BenchmarkPoll(b *testing.B) {
	env := newTestEnv(b)
	env.applyPlannedDocuments(b)
	client, total := env.countingClient(b)
	watcher := config.NewWatcher(config.WatcherConfig{Table: client, Store: config.NewStore(), Logger: discardLogger})
	poll := func() {
		if err := watcher.Poll(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	poll()
	before := total.Load()
	for b.Loop() {
		poll()
	}
	b.ReportMetric(float64(total.Load()-before)/float64(b.N), "B/poll")
}

// BenchmarkChange reports the bytes and the time that one daemon needs for a
// change of a document of the planned size: of one line, which is read as a
// delta, and of every line, which is read as a full document.
func BenchmarkChange(b *testing.B) {
	edits := map[string]func(text []byte, n int) []byte{
		"one line": func(text []byte, n int) []byte {
			return bytes.Replace(text, []byte("slots: 50"), fmt.Appendf(nil, "slots: 5%d", n%9+1), 1)
		},
		"every line": func(_ []byte, n int) []byte { return plannedDocument(0, n+2) },
	}
	for name, edit := range edits {
		b.Run(name, func(b *testing.B) {
			env := newTestEnv(b)
			revision := env.applyPlannedDocuments(b)[0]
			client, total := env.countingClient(b)
			watcher := config.NewWatcher(config.WatcherConfig{Table: client, Store: config.NewStore(), Logger: discardLogger})
			if err := watcher.Poll(b.Context()); err != nil {
				b.Fatal(err)
			}
			before, n := total.Load(), 0
			for b.Loop() {
				b.StopTimer()
				n++
				var err error
				if revision, err = env.editor("ana").Apply(b.Context(), edit(plannedDocument(0, 1), n), revision, ""); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				if err := watcher.Poll(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(total.Load()-before)/float64(n), "B/change")
		})
	}
}

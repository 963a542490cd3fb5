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

// The size to design for.
const (
	planDaemons    = 360
	planModels     = 18
	planWorkspaces = 6200
	planEngines    = 3100
)

// planDocument returns one model's service with its part of the workspaces and
// engines, about 60 KB.
func planDocument(model, weight int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "service: model-%d\nkind: model\nmodels: [model-%d]\nworkspaces:\n", model, model)
	for w := range planWorkspaces / planModels {
		fmt.Fprintf(&b, "  - {name: workspace-%d-%d, weight: %d, keys: [%q]}\n", model, w, weight+w, document.HashKey(fmt.Sprint(model, w)))
	}
	b.WriteString("targets:\n")
	for e := range planEngines / planModels {
		fmt.Fprintf(&b, "  - {name: engine-%d, zone: zone-%d, address: \"10.%d.%d.1:9000\", slots: 50}\n", e, e%14, model, e)
	}
	return b.Bytes()
}

// fill writes the documents of the plan and returns their revisions.
func (b *bench) fill(tb testing.TB) []uint64 {
	tb.Helper()
	revisions := make([]uint64, planModels)
	for model := range planModels {
		var err error
		revisions[model], err = b.editor("ana").Apply(tb.Context(), planDocument(model, 1), 0, "")
		if err != nil {
			tb.Fatal(err)
		}
	}
	return revisions
}

func BenchmarkParsePlanDocument(b *testing.B) {
	text := planDocument(0, 1)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := document.Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStart measures a daemon's way to the configuration of the plan: from
// the archive with one read of the head row, or from the table alone.
func BenchmarkStart(b *testing.B) {
	bench := newBench(b)
	bench.fill(b)
	writer := config.NewStore()
	if err := bench.watcher(writer).Poll(b.Context()); err != nil {
		b.Fatal(err)
	}
	archiver := config.NewArchiver(config.ArchiverConfig{Table: bench.client, Objects: bench.client, Store: writer, Logger: quiet})
	if _, err := archiver.Archive(b.Context()); err != nil {
		b.Fatal(err)
	}
	start := func(b *testing.B, fromArchive bool) {
		b.ReportAllocs()
		for b.Loop() {
			store := config.NewStore()
			if fromArchive {
				if err := config.LoadArchive(b.Context(), bench.client, store); err != nil {
					b.Fatal(err)
				}
			}
			if err := bench.watcher(store).Poll(b.Context()); err != nil {
				b.Fatal(err)
			}
			if len(store.Snapshot().Services()) != planModels {
				b.Fatal("services are missing")
			}
		}
	}
	b.Run("archive", func(b *testing.B) { start(b, true) })
	b.Run("table", func(b *testing.B) { start(b, false) })
}

// BenchmarkMemory reports the heap that the configuration of the plan holds.
func BenchmarkMemory(b *testing.B) {
	bench := newBench(b)
	bench.fill(b)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		store := config.NewStore()
		if err := bench.watcher(store).Poll(b.Context()); err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(store)
	}
}

// countingConn counts the bytes of a connection in both directions.
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

// countingClient returns a client of its own connections and their bytes.
func (b *bench) countingClient(tb testing.TB) (*platform.Client, *atomic.Int64) {
	var total atomic.Int64
	var dialer net.Dialer
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return countingConn{Conn: conn, total: &total}, err
	}}
	client := platform.NewClient(platform.ClientConfig{URL: b.url, HTTP: &http.Client{Transport: transport}, Logger: quiet})
	tb.Cleanup(client.Close)
	return client, &total
}

// BenchmarkPoll reports the bytes that one poll without a change takes, with
// the headers of HTTP.
func BenchmarkPoll(b *testing.B) {
	bench := newBench(b)
	bench.fill(b)
	client, total := bench.countingClient(b)
	watcher := config.NewWatcher(config.WatcherConfig{Table: client, Store: config.NewStore(), Logger: quiet})
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

// BenchmarkChange reports the bytes and the time that one daemon spends on one
// change of a document of the plan's size: of one line (read as a delta) and
// of every line (read as a whole).
func BenchmarkChange(b *testing.B) {
	edits := map[string]func(text []byte, n int) []byte{
		"one line": func(text []byte, n int) []byte {
			return bytes.Replace(text, []byte("slots: 50"), fmt.Appendf(nil, "slots: 5%d", n%9+1), 1)
		},
		"every line": func(_ []byte, n int) []byte { return planDocument(0, n+2) },
	}
	for name, edit := range edits {
		b.Run(name, func(b *testing.B) {
			bench := newBench(b)
			revision := bench.fill(b)[0]
			client, total := bench.countingClient(b)
			watcher := config.NewWatcher(config.WatcherConfig{Table: client, Store: config.NewStore(), Logger: quiet})
			if err := watcher.Poll(b.Context()); err != nil {
				b.Fatal(err)
			}
			before, n := total.Load(), 0
			for b.Loop() {
				b.StopTimer()
				n++
				var err error
				if revision, err = bench.editor("ana").Apply(b.Context(), edit(planDocument(0, 1), n), revision, ""); err != nil {
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

package config_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/platform"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// text returns a valid document of a plain service whose weight is given.
func text(service string, weight int) []byte {
	return fmt.Appendf(nil, `service: %s
kind: plain
workspaces:
  - name: w
    weight: %d
    keys: [%q]
operations:
  - {name: read, method: GET, path: "/cases/{id}"}
  - {name: file, method: POST, path: /cases, unrepeatable: true}
targets:
  - {name: t, zone: z, address: "127.0.0.1:1", slots: 1}
`, service, weight, document.HashKey(service+"-key"))
}

func modelText(service, model string) []byte {
	return fmt.Appendf(nil, `service: %s
kind: model
models: [%s]
workspaces:
  - {name: w, weight: 1, keys: [%q]}
targets:
  - {name: t, zone: z, address: "127.0.0.1:1", slots: 1}
`, service, model, document.HashKey(service+"-key"))
}

// bench is one platform with a client of it.
type bench struct {
	server *platformstandin.Server
	client *platform.Client
	url    string
}

func newBench(t testing.TB) *bench { return newLimitedBench(t, platformstandin.Config{}) }

func newLimitedBench(t testing.TB, c platformstandin.Config) *bench {
	server := platformstandin.New(c)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	t.Cleanup(server.Wait)
	client := platform.NewClient(platform.ClientConfig{URL: listener.URL, Logger: quiet})
	t.Cleanup(client.Close)
	return &bench{server: server, client: client, url: listener.URL}
}

func (b *bench) editor(author string) *config.Editor {
	return &config.Editor{Table: b.client, Author: author}
}

func (b *bench) watcher(store *config.Store) *config.Watcher {
	return config.NewWatcher(config.WatcherConfig{Table: b.client, Store: store, Logger: quiet})
}

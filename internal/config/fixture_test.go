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

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// plainDocument returns a valid document of a plain service whose workspace has
// the given weight.
func plainDocument(service string, weight int) []byte {
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

func modelDocument(service, model string) []byte {
	return fmt.Appendf(nil, `service: %s
kind: model
models: [%s]
workspaces:
  - {name: w, weight: 1, keys: [%q]}
targets:
  - {name: t, zone: z, address: "127.0.0.1:1", slots: 1}
`, service, model, document.HashKey(service+"-key"))
}

// testEnv is a simulated platform with a client.
type testEnv struct {
	server *platformstandin.Server
	client *platform.Client
	url    string
}

func newTestEnv(t testing.TB) *testEnv { return newTestEnvWithConfig(t, platformstandin.Config{}) }

func newTestEnvWithConfig(t testing.TB, c platformstandin.Config) *testEnv {
	server := platformstandin.New(c)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	t.Cleanup(server.WaitForDelayedWrites)
	client := platform.NewClient(platform.ClientConfig{URL: listener.URL, Logger: discardLogger})
	t.Cleanup(client.Close)
	return &testEnv{server: server, client: client, url: listener.URL}
}

func (env *testEnv) editor(author string) *config.Editor {
	return &config.Editor{Table: env.client, Author: author}
}

func (env *testEnv) watcher(store *config.Store) *config.Watcher {
	return config.NewWatcher(config.WatcherConfig{Table: env.client, Store: store, Logger: discardLogger})
}

// Package dev embeds small stand-ins of everything that stands around a daemon:
// the platform's services, a pool of two model engines and one plain service.
// They are for trying the daemon out and for tests; nothing in them lasts.
package dev

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	plainstandin "github.com/savorystall/savorystall/internal/standin/plain"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

// Zone is the availability zone of the stand-ins.
const Zone ident.Zone = "dev-a"

// Key is the bearer key of the stand-ins' first workspace.
const Key = "dev-key-club-nord"

// Stall is the running stand-ins.
type Stall struct {
	// Platform is the base URL of the platform stand-in.
	Platform string
	servers  []*http.Server
	engines  []*enginestandin.Engine
	plain    *plainstandin.Service
	requests atomic.Int64
}

// Start starts the stand-ins on free loopback ports and applies the documents
// of both services.
func Start(ctx context.Context) (*Stall, error) {
	s := &Stall{}
	addresses := make(map[string]string, 3)
	for _, name := range []string{"engine-1", "engine-2"} {
		engine := enginestandin.New(enginestandin.Config{Step: 20 * time.Millisecond, Slots: 8})
		s.engines = append(s.engines, engine)
		if err := s.serve(addresses, name, s.counted(engine)); err != nil {
			return nil, err
		}
	}
	s.plain = plainstandin.New(plainstandin.Config{})
	if err := s.serve(addresses, "portal-1", s.counted(s.plain)); err != nil {
		return nil, err
	}
	if err := s.serve(addresses, "platform", platformstandin.New(platformstandin.Config{})); err != nil {
		return nil, err
	}
	s.Platform = "http://" + addresses["platform"]
	return s, s.apply(ctx, addresses)
}

// TargetRequests returns how many requests the targets have seen, status probes
// aside.
func (s *Stall) TargetRequests() int64 { return s.requests.Load() }

func (s *Stall) counted(target http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status" {
			s.requests.Add(1)
		}
		target.ServeHTTP(w, r)
	})
}

func (s *Stall) serve(addresses map[string]string, name string, handler http.Handler) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return merry.Prependf(err, "stand-in %s", name)
	}
	addresses[name] = listener.Addr().String()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with ErrServerClosed
	return nil
}

func (s *Stall) apply(ctx context.Context, addresses map[string]string) error {
	client := platform.NewClient(platform.ClientConfig{URL: s.Platform})
	editor := &config.Editor{Table: client, Author: "dev"}
	for _, text := range []string{poolDocument(addresses), portalDocument(addresses)} {
		if _, err := editor.Apply(ctx, []byte(text), 0, "the stand-ins"); err != nil {
			return merry.Prepend(err, "stand-in document")
		}
	}
	return nil
}

func poolDocument(addresses map[string]string) string {
	return `service: lm-pool
kind: model
models: [recap-1]
workspaces:
  - {name: club-nord, weight: 2, keys: ["` + document.HashKey(Key) + `"]}
  - {name: club-sud, weight: 1, keys: ["` + document.HashKey("dev-key-club-sud") + `"]}
operations:
  - {name: ask, class: interactive, default: true, deadline: 1m}
  - {name: recap, class: batch}
  - {name: tag-scene, class: standard, unrepeatable: true}
targets:
  - {name: engine-1, zone: dev-a, address: "` + addresses["engine-1"] + `", slots: 8}
  - {name: engine-2, zone: dev-a, address: "` + addresses["engine-2"] + `", slots: 8}
`
}

func portalDocument(addresses map[string]string) string {
	return `service: portal
kind: plain
workspaces:
  - {name: club-nord, weight: 1, keys: ["` + document.HashKey(Key) + `"]}
operations:
  - {name: read, method: GET, path: "/**", class: interactive}
  - {name: file, method: POST, path: "/claims", unrepeatable: true}
targets:
  - {name: portal-1, zone: dev-a, address: "` + addresses["portal-1"] + `", slots: 16}
`
}

// Close stops the stand-ins.
func (s *Stall) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, engine := range s.engines {
		engine.Close()
	}
	s.plain.Close()
}

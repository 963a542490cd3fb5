// Package dev provides the emulated environment that `savorystalld --dev` embeds:
// a pool of two inference engines, one plain service, and the platform's stand-in.
package dev

import (
	"context"
	"net"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/emulator"
	"github.com/savorystall/savorystall/internal/ident"
)

// Zone is the availability zone of the emulated targets.
const Zone ident.Zone = "dev-a"

// Key is the bearer key of workspace club-nord, OtherKey that of club-sud.
const (
	Key      = "dev-key-club-nord"
	OtherKey = "dev-key-club-sud"
)

// Start starts the emulated environment on free loopback ports.
func Start(ctx context.Context) (*emulator.Emulator, error) {
	listeners := map[string]net.Listener{}
	var addresses []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, merry.Prepend(err, "stand-in")
		}
		address := l.Addr().String()
		listeners[address] = l
		addresses = append(addresses, address)
	}
	return emulator.Start(ctx, emulator.Config{
		PlatformAddress: "127.0.0.1:0",
		Documents:       []string{poolDocument(addresses[0], addresses[1]), portalDocument(addresses[2])},
		Listeners:       listeners,
	})
}

func poolDocument(engine1, engine2 string) string {
	return `service: lm-pool
kind: model
models: [recap-1]
workspaces:
  - {name: club-nord, weight: 2, keys: ["` + document.HashKey(Key) + `"]}
  - {name: club-sud, weight: 1, keys: ["` + document.HashKey(OtherKey) + `"]}
operations:
  - {name: ask, class: interactive, default: true, deadline: 1m}
  - {name: recap, class: batch}
  - {name: tag-scene, class: standard, unrepeatable: true}
targets:
  - {name: engine-1, zone: dev-a, address: "` + engine1 + `", slots: 8}
  - {name: engine-2, zone: dev-a, address: "` + engine2 + `", slots: 8}
orders:
  fencing: enforced
  targets:
    - {name: engine-1, models: [recap-1], version: "1"}
    - {name: engine-2, models: [recap-1], version: "1"}
`
}

func portalDocument(address string) string {
	return `service: portal
kind: plain
workspaces:
  - {name: club-nord, weight: 1, keys: ["` + document.HashKey(Key) + `"]}
operations:
  - {name: read, method: GET, path: "/**", class: interactive}
  - {name: file, method: POST, path: "/claims", unrepeatable: true, key_required: true}
targets:
  - {name: portal-1, zone: dev-a, address: "` + address + `", slots: 16}
`
}

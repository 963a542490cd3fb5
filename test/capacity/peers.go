package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/platform"
)

// runPeers runs all daemons except the subject until standard input is closed.
func runPeers(specJSON []byte) error {
	var spec peerSpec
	if err := json.Unmarshal(specJSON, &spec); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	identity, err := spec.identity()
	if err != nil {
		return err
	}
	var daemons []*daemon
	vms := []platform.VM{spec.Subject}
	for i := 1; i < spec.Point.Daemons; i++ {
		d, err := newDaemon(ctx, spec.Point, i, identity)
		if err != nil {
			return err
		}
		daemons, vms = append(daemons, d), append(vms, d.vm())
	}
	for _, d := range daemons {
		if spec.Point.Star {
			d.node.SetVMs(withoutPeerAddresses(vms))
		} else {
			d.node.SetVMs(vms)
		}
	}
	if err := json.NewEncoder(os.Stdout).Encode(vms); err != nil {
		return err
	}
	// The first byte starts the load; end of file stops the process.
	if _, err := io.ReadFull(os.Stdin, make([]byte, 1)); err != nil {
		return err
	}
	for _, d := range daemons {
		d.startLoad(ctx, spec.Point)
	}
	go announceRevisions(ctx, daemons, spec.Point.Changes)
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// withoutPeerAddresses clears the address of every VM except the subject, which
// is the first. A peer then knows all members and selects the ones to watch as in
// a real fleet, but it can link to the subject only.
func withoutPeerAddresses(vms []platform.VM) []platform.VM {
	result := slices.Clone(vms)
	for i := range result[1:] {
		result[i+1].Address = ""
	}
	return result
}

// announceRevisions makes all peers announce new configuration revisions at the
// given rate.
func announceRevisions(ctx context.Context, daemons []*daemon, changesPerSecond float64) {
	if changesPerSecond == 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / changesPerSecond))
	defer ticker.Stop()
	for revision := uint64(1); ; revision++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, d := range daemons {
				d.node.SetHead(revision)
			}
		}
	}
}

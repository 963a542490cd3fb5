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

// runPeers hosts all daemons but the subject until its input ends.
func runPeers(text []byte) error {
	var spec peerSpec
	if err := json.Unmarshal(text, &spec); err != nil {
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
			d.node.SetVMs(withoutAddresses(vms))
		} else {
			d.node.SetVMs(vms)
		}
	}
	if err := json.NewEncoder(os.Stdout).Encode(vms); err != nil {
		return err
	}
	// The first byte starts the load, the end of the input ends the process.
	if _, err := io.ReadFull(os.Stdin, make([]byte, 1)); err != nil {
		return err
	}
	for _, d := range daemons {
		d.load(ctx, spec.Point)
	}
	go announce(ctx, daemons, spec.Point.Changes)
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// withoutAddresses lets a peer know the whole fleet, so that it chooses whom to
// watch as it would there, and link to the subject alone.
func withoutAddresses(vms []platform.VM) []platform.VM {
	list := slices.Clone(vms)
	for i := range list[1:] {
		list[i+1].Address = ""
	}
	return list
}

// announce lets all peers take new revisions into force.
func announce(ctx context.Context, daemons []*daemon, changes float64) {
	if changes == 0 {
		return
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / changes))
	defer tick.Stop()
	for head := uint64(1); ; head++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			for _, d := range daemons {
				d.node.SetHead(head)
			}
		}
	}
}

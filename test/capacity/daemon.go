package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/savorystall/savorystall/internal/certs"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
)

const (
	zoneCount   = 4
	serviceName = ident.Service("lm-pool")
	meanCost    = 400
	// progressInterval is the interval at which a running request reports its
	// progress in tokens.
	progressInterval = 250 * time.Millisecond
)

// daemon is the control plane of a daemon: links, scheduler and control loop.
type daemon struct {
	name             ident.Daemon
	zone             ident.Zone
	node             *fleet.Node
	loop             *control.Loop
	finishedRequests atomic.Uint64
	linkCount        atomic.Int64
}

// newDaemon starts the daemon with index i and configures the service of p.
func newDaemon(ctx context.Context, p Point, i int, identity *certs.Identity) (*daemon, error) {
	d := &daemon{name: p.daemonName(i), zone: zoneName(i)}
	core := scheduler.New(scheduler.Config{Self: d.name, Incarnation: 1, Zone: d.zone, ExchangeInterval: p.Exchange, AggregationThreshold: p.ReduceAbove},
		rand.New(rand.NewPCG(uint64(i), 1)))
	d.loop = control.New(control.Config{}, core, d)
	var err error
	d.node, err = fleet.New(fleet.Config{
		Self: d.name, Incarnation: 1, Zone: d.zone, Listen: "127.0.0.1:0",
		Identity: identity, Logger: slog.New(slog.DiscardHandler),
	}, d)
	if err != nil {
		return nil, err
	}
	go d.loop.Run(ctx)
	d.loop.Configure([]scheduler.Service{p.service()})
	return d, d.node.Start(ctx)
}

func zoneName(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%d", i%zoneCount)) }

func (d *daemon) vm() platform.VM {
	return platform.VM{Name: string(d.name), Zone: d.zone, Address: d.node.Address(), Role: "daemon", State: platform.VMLive}
}

// Send implements control.Actions.
func (d *daemon) Send(to ident.Daemon, m scheduler.Message) { d.node.Send(to, m) }

// Peers implements fleet.Handler.
func (d *daemon) Peers(peers []scheduler.Peer) { d.loop.SetPeers(peers) }

// Unreachable implements fleet.Handler.
func (d *daemon) Unreachable([]membership.Unreachable) {}

// LinkUp implements fleet.Handler.
func (d *daemon) LinkUp(id ident.Daemon) { d.linkCount.Add(1); d.loop.ResyncPeer(id) }

// LinkLost implements fleet.Handler.
func (d *daemon) LinkLost(id ident.Daemon) { d.linkCount.Add(-1); d.loop.ResyncPeer(id) }

// Receive implements fleet.Handler.
func (d *daemon) Receive(from ident.Daemon, m scheduler.Message) { d.loop.Receive(from, m) }

// Head implements fleet.Handler.
func (d *daemon) Head(ident.Daemon, uint64) {}

// Entries implements fleet.Handler.
func (d *daemon) Entries(uint64) []fleet.Entry { return nil }

// Follow implements fleet.Handler. This daemon follows no table, so it rejects
// every query.
func (d *daemon) Follow(context.Context, platform.FeedQuery) (platform.FeedAnswer, error) {
	return platform.FeedAnswer{}, platform.ErrReaderNotCurrent
}

// Claim implements fleet.Handler.
func (d *daemon) Claim(fleet.ClaimQuery) fleet.ClaimAnswer {
	return fleet.ClaimAnswer{State: fleet.ClaimUnknown}
}

// startLoad starts the callers that keep every backlogged workspace backlogged at
// this daemon: each workspace has four callers per daemon, while the fleet has
// only one slot per workspace and daemon.
func (d *daemon) startLoad(ctx context.Context, p Point) {
	for w := range p.Backlogged {
		for range callersPerWorkspace {
			go d.runCaller(ctx, workspaceName(w), p.serviceTime())
		}
	}
}

func (d *daemon) runCaller(ctx context.Context, workspace ident.Workspace, fullTime time.Duration) {
	// The first request runs for a random part of the full time, which spreads the
	// completions evenly from the start.
	serviceTime := time.Duration(rand.Float64() * float64(fullTime))
	for ctx.Err() == nil {
		r := scheduler.Request{ID: ident.NewRequest(), Service: serviceName, Workspace: workspace, Cost: meanCost}
		if assignment := d.loop.Place(ctx, r, false); assignment.Failure != nil {
			continue
		}
		d.runRequest(ctx, r.ID, serviceTime)
		d.finishedRequests.Add(1)
		d.loop.Finish(r.ID, scheduler.Result{Served: meanCost, Elapsed: serviceTime, FirstByte: time.Millisecond})
		serviceTime = fullTime
	}
}

// runRequest simulates the execution of a request and reports its progress.
func (d *daemon) runRequest(ctx context.Context, id ident.Request, serviceTime time.Duration) {
	// Jitter of up to a tenth in either direction keeps the requests from ending
	// in lockstep.
	serviceTime += time.Duration((rand.Float64() - 0.5) * 0.2 * float64(serviceTime))
	start := time.Now()
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case now := <-ticker.C:
			d.loop.Progress(id, meanCost*float64(now.Sub(start))/float64(serviceTime))
		}
	}
}

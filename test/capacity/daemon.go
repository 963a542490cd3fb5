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
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
)

const (
	zoneCount   = 4
	serviceName = ident.Service("lm-pool")
	meanCost    = 400
	// progressEvery is how often a running request reports its tokens.
	progressEvery = 250 * time.Millisecond
)

// daemon is the control part of a daemon: links, scheduler and control loop.
type daemon struct {
	name     ident.Daemon
	zone     ident.Zone
	node     *fleet.Node
	loop     *control.Loop
	finished atomic.Uint64
	links    atomic.Int64
}

// newDaemon starts a daemon with the services of the point.
func newDaemon(ctx context.Context, p Point, i int, identity *certs.Identity) (*daemon, error) {
	d := &daemon{name: p.name(i), zone: zoneName(i)}
	core := scheduler.New(scheduler.Config{Self: d.name, Incarnation: 1, Zone: d.zone, ExchangeInterval: p.Exchange, ReduceAbove: p.ReduceAbove},
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

// LinkUp implements fleet.Handler.
func (d *daemon) LinkUp(id ident.Daemon) { d.links.Add(1); d.loop.ResyncPeer(id) }

// LinkLost implements fleet.Handler.
func (d *daemon) LinkLost(id ident.Daemon) { d.links.Add(-1); d.loop.ResyncPeer(id) }

// Receive implements fleet.Handler.
func (d *daemon) Receive(from ident.Daemon, m scheduler.Message) { d.loop.Receive(from, m) }

// Head implements fleet.Handler.
func (d *daemon) Head(ident.Daemon, uint64) {}

// Entries implements fleet.Handler.
func (d *daemon) Entries(uint64) []fleet.Entry { return nil }

// Follow implements fleet.Handler. The stand-in knows no table.
func (d *daemon) Follow(context.Context, platform.FeedQuery) (platform.FeedAnswer, error) {
	return platform.FeedAnswer{}, platform.ErrReaderNotCurrent
}

// Claim implements fleet.Handler.
func (d *daemon) Claim(fleet.ClaimQuery) fleet.ClaimAnswer {
	return fleet.ClaimAnswer{State: fleet.ClaimUnknown}
}

// load keeps every backlogged workspace backlogged at this daemon: four callers
// each where the fleet has slots for one.
func (d *daemon) load(ctx context.Context, p Point) {
	for w := range p.Backlogged {
		for range callersEach {
			go d.call(ctx, workspaceName(w), p.serviceTime())
		}
	}
}

func (d *daemon) call(ctx context.Context, workspace ident.Workspace, full time.Duration) {
	// The first request is cut short, so that the load is steady from the start.
	serviceTime := time.Duration(rand.Float64() * float64(full))
	for ctx.Err() == nil {
		r := scheduler.Request{ID: ident.NewRequest(), Service: serviceName, Workspace: workspace, Cost: meanCost}
		if placed := d.loop.Place(ctx, r, false); placed.Failure != nil {
			continue
		}
		d.hold(ctx, r.ID, serviceTime)
		d.finished.Add(1)
		d.loop.Finish(r.ID, scheduler.Result{Served: meanCost, Elapsed: serviceTime, FirstByte: time.Millisecond})
		serviceTime = full
	}
}

// hold lets a request run and reports its progress.
func (d *daemon) hold(ctx context.Context, id ident.Request, serviceTime time.Duration) {
	// Up to a tenth more or less, so that the requests do not end in step.
	serviceTime += time.Duration((rand.Float64() - 0.5) * 0.2 * float64(serviceTime))
	begun := time.Now()
	end := time.NewTimer(serviceTime)
	defer end.Stop()
	tick := time.NewTicker(progressEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case now := <-tick.C:
			d.loop.Progress(id, meanCost*float64(now.Sub(begun))/float64(serviceTime))
		}
	}
}

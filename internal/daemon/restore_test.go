package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/relay"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/telemetry"
	"github.com/savorystall/savorystall/platform"
)

// Words of the fake targets' entries.
const (
	entryReady    = "ready"
	entryDraining = "draining"
)

// drill is a daemon that follows a copiedStore, and the truth beside it.
type drill struct {
	store *copiedStore
	site  *site

	mu sync.Mutex
	// version is the highest that the operator has written. The version expected has to be
	// in force when due, zero where none is, unless the store is disturbed before.
	version, expected uint64
	due               time.Time
	disturbed         time.Time
	// truth is what the targets would write of themselves; empty where they have left.
	truth map[ident.Target]string
	// usable are the targets in force that take requests, met those that ever did, over
	// those that were seen to take no more.
	usable, met, over map[ident.Target]bool
	highest           uint64
	broken            []string
}

// newDrill starts a daemon in an availability zone, among peers that may read for it.
func newDrill(ctx context.Context, s *copiedStore, id identity, peers relay.Peers, metrics *telemetry.Metrics, tasks *sync.WaitGroup) (*drill, error) {
	log := slog.New(slog.DiscardHandler)
	set, err := settings.Parse(nil, func(s *settings.Settings) {
		s.Daemon, s.Zone, s.Platform.URL = id.Daemon, id.Zone, "http://127.0.0.1:9"
	})
	if err != nil {
		return nil, err
	}
	d := &drill{
		store: s, truth: map[ident.Target]string{},
		usable: map[ident.Target]bool{}, met: map[ident.Target]bool{}, over: map[ident.Target]bool{},
	}
	d.site = newSite(routedParts{
		Settings: set, Log: log, Load: newLoadMonitor(set), Routes: &route.Holder{}, Metrics: metrics, Identity: id,
		Relay: relay.New(relay.Config{Self: id.Daemon, Zone: id.Zone, Store: s, Peers: peers, HeartbeatTable: beatTable, Logger: log}),
	})
	d.site.rows = s
	d.site.view.put = d.note
	group := store.NewFeedGroup()
	targets := &targetRows{site: d.site, read: func(key string, value []byte) (registry.Entry, error) {
		return registry.Entry{Identity: ident.Target(key), Address: key, Draining: string(value) == entryDraining}, nil
	}}
	daemons := newDaemonRows(d.site, func([]store.VM, map[ident.Daemon]string) {})
	for _, run := range []func(context.Context){
		d.site.followRoutes(group), d.site.follow(group, platform.TableTargets, longWait, targetGather, targets),
		d.site.follow(group, platform.TableDaemons, longWait, daemonGather, daemons),
		func(ctx context.Context) { d.site.keepOwnRow(ctx, "10.0.0.1:1", "") }, d.site.expire,
	} {
		tasks.Go(func() { run(ctx) })
	}
	return d, nil
}

func (d *drill) fail(format string, args ...any) {
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
}

// note takes in which targets get requests, and checks that none that is there loses them
// and none that has left gets them again.
func (d *drill) note(v siteView) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.usable)
	for _, e := range v.targets {
		if !e.Draining {
			d.usable[e.Identity] = true
		}
	}
	for id := range d.usable {
		d.met[id] = true
		if d.over[id] {
			d.fail("target %s has left and serves again", id)
		}
	}
	for id := range d.met {
		switch {
		case d.usable[id]:
		case d.truth[id] == entryReady:
			d.fail("target %s is there and was taken as gone", id)
		default:
			d.over[id] = true
		}
	}
}

// watch checks the configuration all the time.
func (d *drill) watch(ctx context.Context) {
	for ctx.Err() == nil {
		d.look()
		time.Sleep(20 * time.Millisecond)
	}
}

// inForceWithin bounds the time from the operator's write to its configuration in force.
const inForceWithin = 2 * time.Second

func (d *drill) look() {
	d.mu.Lock()
	defer d.mu.Unlock()
	var version uint64
	if table := d.site.p.Routes.Current(); table != nil {
		version = table.Version
	}
	if version < d.highest {
		d.fail("version %d is in force after %d", version, d.highest)
	}
	d.highest = max(d.highest, version)
	if d.due.IsZero() || time.Now().Before(d.due) {
		return
	}
	d.due = time.Time{}
	if version < d.expected {
		d.fail("version %d is not in force %s after it was written", d.expected, inForceWithin)
	}
}

// operate writes the next version.
func (d *drill) operate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	if d.due.IsZero() && time.Since(d.disturbed) > d.site.p.Settings.Routing.InTouch {
		d.expected, d.due = d.version, time.Now().Add(inForceWithin)
	}
	d.store.put(platform.TableOperator, platform.KeyRoutes, routesText(d.version), false)
}

func routesText(version uint64) string { return fmt.Sprintf(`{"version":%d}`, version) }

func (d *drill) target(id ident.Target, entry string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.truth[id] = entry
	d.store.put(platform.TableTargets, string(id), entry, entry == "")
}

// pick returns a target that takes requests.
func (d *drill) pick(n int) (ident.Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ready []ident.Target
	for id, entry := range d.truth {
		if entry == entryReady {
			ready = append(ready, id)
		}
	}
	if len(ready) == 0 {
		return "", false
	}
	slices.Sort(ready)
	return ready[n%len(ready)], true
}

func (d *drill) disturb(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.After(d.disturbed) {
		d.disturbed = until
	}
	d.due = time.Time{}
}

// writeAgain is what the operator and the targets do after the store's return.
func (d *drill) writeAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.version > 0 {
		d.store.put(platform.TableOperator, platform.KeyRoutes, routesText(d.version), false)
	}
	for id, entry := range d.truth {
		d.store.put(platform.TableTargets, string(id), entry, entry == "")
	}
}

// drillStep is one event of a drill.
type drillStep struct {
	Kind int
	// Size is an age, a span or a choice, in ms, and Pause the time to the next event.
	Size, Pause int
}

// Kinds of events.
const (
	stepOperate = iota
	stepJoin
	stepDrain
	stepLeave
	stepRestore
	stepRestoreTwice
	stepOutage
	stepForget
	stepLag
	stepKinds
)

const (
	// awayAtRestore is how long the store is away before it comes back from a copy, and
	// againAfter how long after that the others have written again.
	awayAtRestore = 150 * time.Millisecond
	againAfter    = 1200 * time.Millisecond
	mostLag       = 500
	settleDrill   = 6 * time.Second
)

func (d *drill) restore(age time.Duration) {
	d.disturb(time.Now().Add(awayAtRestore + againAfter))
	d.store.set(true, 0)
	time.Sleep(awayAtRestore)
	d.store.restore(age)
	d.store.set(false, 0)
	time.AfterFunc(againAfter, d.writeAgain)
}

func (d *drill) play(i int, s drillStep) {
	span := time.Duration(s.Size) * time.Millisecond
	switch s.Kind {
	case stepOperate:
		d.operate()
	case stepJoin:
		d.target(ident.Target(fmt.Sprintf("t%d", i)), entryReady)
	case stepDrain:
		if id, any := d.pick(s.Size); any {
			d.target(id, entryDraining)
		}
	case stepLeave:
		if id, any := d.pick(s.Size); any {
			d.target(id, "")
		}
	case stepRestore:
		d.restore(span)
	case stepRestoreTwice:
		d.restore(span)
		time.Sleep(span / 4)
		d.restore(span)
	case stepOutage:
		d.disturb(time.Now().Add(span))
		d.store.set(true, 0)
		time.Sleep(span)
		d.store.set(false, 0)
	case stepForget:
		d.store.forget()
	case stepLag:
		d.store.set(false, time.Duration(s.Size%mostLag)*time.Millisecond)
	}
	time.Sleep(time.Duration(s.Pause) * time.Millisecond)
}

// runDrill plays a drill and returns which promises were broken.
func runDrill(t *testing.T, steps []drillStep, eraless bool, metrics *telemetry.Metrics) (broken []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var tasks sync.WaitGroup
		d, err := newDrill(ctx, newCopiedStore(eraless), identity{Daemon: "d", Zone: "a", Incarnation: 7}, nil, metrics, &tasks)
		is.New(t).NoErr(err)
		tasks.Go(func() { d.watch(ctx) })
		d.operate()
		d.target("t", entryReady)
		time.Sleep(time.Second)
		for i, s := range steps {
			d.play(i, s)
		}
		d.store.set(false, 0)
		time.Sleep(settleDrill)
		d.settled()
		cancel()
		tasks.Wait()
		broken = d.broken
	})
	return broken
}

// settled checks what holds when all has been quiet for a while.
func (d *drill) settled() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if table := d.site.p.Routes.Current(); table == nil || table.Version != d.version {
		d.fail("version %d is not in force at the end", d.version)
	}
	if !d.store.holds(platform.TableDaemons, "d") {
		d.fail("the daemon's own row is lost")
	}
	for id, entry := range d.truth {
		if d.usable[id] != (entry == entryReady) {
			d.fail("target %s says %q, in use: %v", id, entry, d.usable[id])
		}
	}
}

func TestTheStoreComesBackFromCopies(t *testing.T) {
	metrics := telemetry.NewMetrics()
	step := rapid.Custom(func(t *rapid.T) drillStep {
		return drillStep{
			Kind: rapid.IntRange(0, stepKinds-1).Draw(t, "kind"), Size: rapid.IntRange(0, 4000).Draw(t, "size"),
			Pause: rapid.IntRange(0, 2500).Draw(t, "pause"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(step, 1, 25).Draw(rt, "steps")
		if broken := runDrill(t, steps, false, metrics); len(broken) > 0 {
			rt.Fatalf("%v", broken)
		}
	})
	is.New(t).NoErr(metrics.Close())
}

// The same versions without their eras stand for other rows unnoticed.
func TestWithoutErasACopyIsTakenForTheTable(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	steps := []drillStep{
		{Kind: stepLeave, Pause: 2000},
		{Kind: stepRestore, Size: 2500, Pause: 4000},
	}
	is.Equal(runDrill(t, steps, false, metrics), nil)
	is.True(len(runDrill(t, steps, true, metrics)) > 0)
	is.NoErr(metrics.Close())
}

package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/evacuation"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/ident"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/platform"
)

// storeSync applies what the store holds to the components that use it: the routes, the
// targets and the list of the other daemons.
type storeSync struct {
	deps routedDependencies

	mu       sync.Mutex
	registry *registry.Registry
	// targetsRead reports whether the table of targets has been read at least once.
	targetsRead bool
	// nextNotice is when the view changes because of what targets have said; zero if it does not.
	nextNotice time.Time
	// targetsUpdated wakes the goroutine that removes expired targets.
	targetsUpdated chan struct{}

	evacuations *evacuations
	view        viewApplier[routingView]
	ownRow      *ownRow
	// rows writes this daemon's row.
	rows store.RowWriter
	// startedAt holds the start time, in Unix milliseconds, of the target at each address in the installed
	// view. Only install uses it.
	startedAt map[string]int64
	// versions keeps the record of the versions in use.
	versions *versionKeeper
	// routesAge reports how recent the routes are. Only report uses it.
	routesAge routesAgeReporter
}

// routingView is the content of the store at one time, as far as this daemon has read it.
type routingView struct {
	table   *route.Table
	targets []registry.Entry
	// targetsRead reports whether the table of targets has been read at least once.
	targetsRead bool
	evacuated   evacuation.Zones
}

func newStoreSync(p routedDependencies) *storeSync {
	s := &storeSync{deps: p, registry: registry.New(registry.Config{CatchUpTime: p.Settings.Routing.InTouch}), targetsUpdated: make(chan struct{}, 1), ownRow: newOwnRow(), rows: p.Calls}
	s.versions = newVersionKeeper(p)
	s.routesAge.max = p.Settings.Routing.InTouch
	s.evacuations = newEvacuations(p.Settings.Regions, p.Metrics, p.Log)
	s.view = viewApplier[routingView]{snapshot: s.snapshot, install: s.install}
	return s
}

// heartbeatTable is the table whose calls show that the store answers.
const heartbeatTable = platform.TableOperator

const (
	// heartbeatMargin is by how much the wait of calls for heartbeatTable is shorter than
	// the time within which a daemon has to be in contact with the store again. It covers
	// the slack of the calls and half a second to retry. Each heartbeat is a call that
	// is charged for, and one every half second would cost four times as many.
	heartbeatMargin = 1200 * time.Millisecond
	// longPollWait is the wait of calls for the other tables. It is the longest that the
	// store allows, less a margin.
	longPollWait = 25 * time.Second
	// targetCoalesceDelay and daemonCoalesceDelay are how long changes are collected before
	// they are applied. A target that drains continues to serve for at least two seconds,
	// so it can still handle the requests it gets in the meantime. Daemons also learn of
	// each other through their links.
	targetCoalesceDelay = 800 * time.Millisecond
	daemonCoalesceDelay = time.Second
)

func (s *storeSync) tasks() []func(context.Context) {
	group := store.NewFeedGroup()
	return []func(context.Context){
		s.followRoutes(group),
		s.followTargets(group),
		s.followDaemons(group),
		s.followVersions(group),
		s.announce,
		s.expire,
		s.applyNotices,
		s.versions.maintain,
		func(ctx context.Context) { s.deps.Holds.readAll(ctx, s.view.apply) },
		s.deps.Holds.write,
		s.report,
		func(ctx context.Context) { s.deps.Load.link.run(ctx, s.deps.Log) },
		func(ctx context.Context) { s.deps.Load.run(ctx, s.deps.Log, s.deps.Servers.connections) },
	}
}

func (s *storeSync) followRoutes(group *store.FeedGroup) func(context.Context) {
	wait := max(heartbeatMargin, s.deps.Settings.Routing.InTouch-heartbeatMargin)
	return s.follow(group, heartbeatTable, wait, 0, &operatorSubscriber{storeSync: s})
}

func (s *storeSync) followTargets(group *store.FeedGroup) func(context.Context) {
	return s.follow(group, platform.TableTargets, longPollWait, targetCoalesceDelay, &targetSubscriber{storeSync: s, decodeEntry: platform.DecodeTarget})
}

// followDaemons reads the list of daemons after this daemon's row is in it. Of two daemons that
// start together the one that reads later then finds the other, without a further read.
func (s *storeSync) followDaemons(group *store.FeedGroup) func(context.Context) {
	run := s.follow(group, platform.TableDaemons, longPollWait, daemonCoalesceDelay, newDaemonSubscriber(s, s.setDaemons))
	return func(ctx context.Context) {
		s.ownRow.awaitFirstWrite(ctx, announceTimeout)
		run(ctx)
	}
}

func (s *storeSync) followVersions(group *store.FeedGroup) func(context.Context) {
	return s.follow(group, platform.TableVersions, longPollWait, 0, s.versions)
}

func (s *storeSync) follow(group *store.FeedGroup, table string, wait, coalesceDelay time.Duration, subscriber store.Subscriber) func(context.Context) {
	cfg := store.FollowerConfig{Feed: s.deps.Relay, Table: table, Wait: wait, CoalesceDelay: coalesceDelay, Group: group, OutageSince: s.deps.Relay.OutageSince, Logger: s.deps.Log}
	if table == platform.TableTargets {
		cfg.AwaitedUntil = s.nextLapse
	}
	if table == heartbeatTable {
		cfg.Heartbeat, cfg.OnCurrent = true, func() {
			at := s.deps.Relay.ConfirmedAt()
			s.deps.Load.confirmRoutes(at)
			s.deps.Loop.ConfirmOrigins(at)
		}
	}
	return store.NewFollower(cfg, subscriber).Run
}

// nextLapse returns until when a target that the store lacks may register again before it is dropped;
// zero if there is none.
func (s *storeSync) nextLapse() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.NextLapse()
}

// snapshot returns the routes and targets as last read.
func (s *storeSync) snapshot() routingView {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.registry.Targets()
	s.nextNotice = s.deps.Notices.Apply(time.Now(), targets)
	return routingView{table: s.deps.Routes.Current(), targets: targets, targetsRead: s.targetsRead, evacuated: s.evacuations.zones()}
}

// install puts routes and targets into force together.
func (s *storeSync) install(v routingView) {
	targets := &gateway.Targets{ByIdentity: map[ident.Target]registry.Entry{}, Usable: map[ident.Service]bool{}, Evacuated: v.evacuated, Regions: s.deps.Settings.Regions}
	addresses, startedAt := map[string]bool{}, make(map[string]int64, len(v.targets))
	for _, e := range v.targets {
		targets.ByIdentity[e.Identity] = e
		addresses[e.Address], startedAt[e.Address] = true, e.StartedAtMillis
		if !e.Draining && !v.evacuated.Contains(e.Zone) {
			targets.Usable[e.Service] = true
		}
	}
	s.deps.Gateway.SetTargets(targets)
	s.deps.Pool.CloseIdleExcept(addresses)
	for address, started := range startedAt {
		if before, known := s.startedAt[address]; known && before != started {
			s.deps.Pool.TargetRestarted(address)
		}
	}
	s.startedAt = startedAt
	if v.table == nil {
		return
	}
	s.deps.Loop.Configure(routedServices(v, s.deps.Settings))
	if v.targetsRead {
		s.deps.Loop.ObserveOrigins(originView(v.table, v.targets))
	}
	if v.targetsRead && s.deps.Holds.read.Load() && s.deps.Life.applyTrigger(triggerConfigured) {
		event.DaemonReady.Log(s.deps.Log, "routes_version", v.table.Version, "targets", len(v.targets))
	}
}

func (s *storeSync) applyTargetChange(args ...any) {
	event.TargetsChanged.Log(s.deps.Log, args...)
	s.view.apply()
	s.wakeExpiry()
}

const (
	// announceTimeout bounds one write of this daemon's row. announceRetryDelay is the
	// delay after a failed write, which is not urgent because peers dial each other as
	// well.
	announceTimeout    = 2 * time.Second
	announceRetryDelay = time.Second
)

// setDaemons applies the list of daemons and the addresses at which they accept forwarded
// connections.
func (s *storeSync) setDaemons(vms []store.VM, handoverAddresses map[ident.Daemon]string) {
	s.deps.Node.SetVMs(vms)
	s.deps.Forwarder.setAddresses(handoverAddresses)
}

// announce registers this daemon in the store, so that other daemons find it, and removes
// the registration on a graceful shutdown.
func (s *storeSync) announce(ctx context.Context) {
	address := s.deps.Node.Address()
	s.maintainOwnRow(ctx, address, s.deps.Servers.handoverAddress(address))
}

// maintainOwnRow writes this daemon's row with the addresses at which other daemons reach
// it. It writes the row again whenever the store has lost it, and deletes it when ctx ends.
func (s *storeSync) maintainOwnRow(ctx context.Context, address, handover string) {
	id := s.deps.Identity
	// Marshalling cannot fail for a struct of strings and a number.
	value, _ := json.Marshal(daemonRow{Zone: id.Zone, Address: address, Handover: handover, Incarnation: id.Incarnation})
	if !s.writeOwnRow(ctx, value) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			s.deleteOwnRow()
			return
		case <-s.ownRow.lostSignal:
		}
		sleepContext(ctx, s.ownRow.rewriteDelay(rand.Float64()))
		if s.ownRow.isLost() && s.writeOwnRow(ctx, value) {
			event.RowRewritten.Log(s.deps.Log, "table", platform.TableDaemons, "key", id.Daemon, "revision", s.ownRow.revision())
		}
	}
}

// writeOwnRow retries until this daemon's row is written. It returns false if ctx ends
// first.
func (s *storeSync) writeOwnRow(ctx context.Context, value []byte) bool {
	for {
		writeCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		at, err := s.rows.PutRow(writeCtx, platform.TableDaemons, string(s.deps.Identity.Daemon), value)
		cancel()
		if err == nil {
			s.ownRow.recordWrite(at)
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		event.RowNotWritten.Log(s.deps.Log, "table", platform.TableDaemons, "error", err)
		sleepContext(ctx, announceRetryDelay)
	}
}

// deleteOwnRow deletes this daemon's row. If that fails, the row that remains costs peers
// only a few dial attempts.
func (s *storeSync) deleteOwnRow() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout/4)
	defer cancel()
	if err := s.rows.DeleteRow(ctx, platform.TableDaemons, string(s.deps.Identity.Daemon)); err != nil {
		event.RowNotWritten.Log(s.deps.Log, "table", platform.TableDaemons, "error", err)
	}
}

// reportInterval is the interval at which gauges are updated and the number of suppressed
// log lines is logged.
const reportInterval = 5 * time.Second

// sharingInterval is the interval of the log lines about fair sharing and about connections of
// callers. Each covers the decisions since the previous one, so that the figures of several
// daemons can be added up second by second.
const sharingInterval = time.Second

func (s *storeSync) report(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	sharing := time.NewTicker(sharingInterval)
	defer sharing.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.updateGauges()
			s.reportSpeeds()
			s.deps.Servers.connections.ends.logReport()
			s.deps.Gateway.LogDroppedLines()
			s.deps.Gateway.LogStreams()
			logStoreCalls(s.deps.Calls, s.deps.Log)
		case <-sharing.C:
			s.logSharing()
			s.deps.Forwarder.logReport()
			s.deps.Servers.limitedListener.logReport(s.deps.Log)
			s.routesAge.observe(s.deps.Relay.Knowledge(time.Now()), s.vmUsage(), s.deps.Metrics, s.deps.Log)
		}
	}
}

// vmUsage returns how busy this VM is.
func (s *storeSync) vmUsage() vmUsage {
	load, conns := s.deps.Load, s.deps.Servers.connections
	return vmUsage{
		SchedLatency: max(time.Duration(load.lastLatency.Load()), load.pendingLatency()),
		Received:     conns.received.Load(), Callers: conns.countOpen(),
	}
}

// logStoreCalls logs the calls to the store since the last report, if there were any.
func logStoreCalls(calls *store.CallCounter, log *slog.Logger) {
	total, byKind := 0, map[string]int{}
	for call, n := range calls.TakeCounts() {
		key := call.Table + " " + string(call.Kind)
		if call.Failed {
			key += " failed"
		}
		byKind[key] = n
		total += n
	}
	if total > 0 {
		event.StoreCalls.Log(log, "calls", total, "by", byKind)
	}
}

// logSharing logs the shares that this daemon applies, for services in which a workspace is
// underserved or of which this daemon refuses requests.
func (s *storeSync) logSharing() {
	var reports []booking.ShareReport
	s.deps.Loop.Inspect(func(core *booking.Core) { reports = core.ShareReports(time.Now()) })
	shedFraction := float64(s.deps.Load.shedPermille.Load()) / shedScale
	for _, report := range reports {
		event.ServiceShares.Log(s.deps.Log, sharingFields(report, shedFraction)...)
	}
}

// reportSpeeds sets the gauges of the targets' weights, and logs those of this daemon's targets that
// have changed.
func (s *storeSync) reportSpeeds() {
	var reports []booking.SpeedReport
	s.deps.Loop.Inspect(func(core *booking.Core) { reports = core.SpeedReports(time.Now()) })
	for _, r := range reports {
		s.deps.Metrics.TargetWeights(r.Service, r.MinWeight, r.MaxWeight)
		for _, t := range r.Changed {
			event.TargetSpeedChanged.Log(s.deps.Log, "service", r.Service, "target", t.Target, "weight", t.Weight, "previous", t.Previous, "speed", t.Speed)
		}
	}
}

// sharingFields returns the fields of a log line about fair sharing. shedFraction is the
// fraction of new requests that this daemon refuses.
func sharingFields(report booking.ShareReport, shedFraction float64) []any {
	return []any{
		"service", report.Service, "stated", report.Stated, "observed", math.Round(report.Observed),
		"level", report.Level, "behind", report.MinUnderserved, "kept_back", report.MinShed, "most", report.TopWorkspaces,
		"sheds", shedFraction, "own", report.Decisions, "targets", report.OwnedTargets,
	}
}

func (s *storeSync) updateGauges() {
	version := uint64(0)
	if table := s.deps.Routes.Current(); table != nil {
		version = table.Version
	}
	traffic := s.deps.Node.Traffic()
	s.deps.Metrics.Fleet(traffic.EstimatedSent(), traffic.EstimatedReceived(), s.deps.Gateway.Daemons(), version)
}

package daemon

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/ident"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/platform"
)

// site brings what the store holds to the parts that use it: routes, targets, and
// the other daemons.
type site struct {
	p routedParts

	mu       sync.Mutex
	registry *registry.Registry
	// heard tells that the targets were read once.
	heard bool
	// changed wakes the goroutine that drops lapsed targets.
	changed chan struct{}

	view applier[siteView]
	own  *ownRow
	// rows writes the own row.
	rows store.Rows
}

// siteView is what the store holds at one moment, as far as this daemon has read it.
type siteView struct {
	table   *route.Table
	targets []registry.Entry
	// heard tells that the targets were read once.
	heard bool
}

func newSite(p routedParts) *site {
	s := &site{p: p, registry: registry.New(registry.Config{CatchUpTime: p.Settings.Routing.InTouch}), changed: make(chan struct{}, 1), own: newOwnRow(), rows: p.Store}
	s.view = applier[siteView]{look: s.look, put: s.put}
	return s
}

// beatTable is the table whose calls show that the store answers.
const beatTable = platform.TableOperator

const (
	// beatMargin is by how much the wait of the table that stands for the store's
	// heartbeat is shorter than the time after which a daemon counts as in touch with
	// the store again: the slack of its calls, and half a second to ask anew. A
	// heartbeat is a call, and calls are paid for: one in half a second would cost
	// four times as many.
	beatMargin = 1200 * time.Millisecond
	// longWait is the wait of the others, the longest that the store allows but for
	// a margin.
	longWait = 25 * time.Second
	// targetGather and daemonGather are how long changes are gathered. A target that
	// drains serves on for two seconds and more, so that it may take some requests
	// still; daemons also hear of each other by their links.
	targetGather = 800 * time.Millisecond
	daemonGather = time.Second
)

func (s *site) tasks() []func(context.Context) {
	group := store.NewFeedGroup()
	return []func(context.Context){
		s.followRoutes(group),
		s.followTargets(group),
		s.follow(group, platform.TableDaemons, longWait, daemonGather, newDaemonRows(s, s.listDaemons)),
		s.announce,
		s.expire,
		s.report,
		func(ctx context.Context) { s.p.Load.run(ctx, s.p.Log, s.p.Servers.connections) },
	}
}

func (s *site) followRoutes(group *store.FeedGroup) func(context.Context) {
	beat := max(beatMargin, s.p.Settings.Routing.InTouch-beatMargin)
	return s.follow(group, beatTable, beat, 0, &routeRows{site: s})
}

func (s *site) followTargets(group *store.FeedGroup) func(context.Context) {
	return s.follow(group, platform.TableTargets, longWait, targetGather, &targetRows{site: s, read: platform.DecodeTarget})
}

func (s *site) follow(group *store.FeedGroup, table string, wait, gather time.Duration, to store.Subscriber) func(context.Context) {
	cfg := store.FollowerConfig{Feed: s.p.Relay, Table: table, Wait: wait, Gather: gather, Group: group, Logger: s.p.Log}
	if table == beatTable {
		cfg.Beats, cfg.Answered = true, s.p.Load.confirmRoutes
	}
	return store.NewFollower(cfg, to).Run
}

// look returns the routes and targets as they were read last.
func (s *site) look() siteView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return siteView{table: s.p.Routes.Current(), targets: s.registry.Targets(), heard: s.heard}
}

// put puts routes and targets in force together.
func (s *site) put(v siteView) {
	targets := &gateway.Targets{ByIdentity: map[ident.Target]registry.Entry{}, Usable: map[ident.Service]bool{}}
	addresses := map[string]bool{}
	for _, e := range v.targets {
		targets.ByIdentity[e.Identity] = e
		addresses[e.Address] = true
		if !e.Draining {
			targets.Usable[e.Service] = true
		}
	}
	s.p.Gateway.SetTargets(targets)
	s.p.Pool.CloseIdleExcept(addresses)
	if v.table == nil {
		return
	}
	s.p.Loop.Configure(routedServices(v.table, v.targets))
	if v.heard && s.p.Life.applyTrigger(triggerConfigured) {
		event.DaemonReady.Log(s.p.Log, "routes_version", v.table.Version, "targets", len(v.targets))
	}
}

// defaultSlots stands for the slots of a target that states none.
const defaultSlots = 4

// routedServices takes from routes and targets what decisions need.
func routedServices(table *route.Table, entries []registry.Entry) []booking.Service {
	workspaces := []booking.Workspace{{Name: route.Anonymous, Weight: 1}}
	for _, w := range table.Workspaces {
		workspaces = append(workspaces, booking.Workspace{Name: w.Name, Weight: 1})
	}
	var services []booking.Service
	for _, spec := range table.Services {
		service := booking.Service{Name: spec.Name, ServesModel: spec.ServesModel, FetchPerToken: spec.FetchPerToken, Workspaces: workspaces}
		if spec.ServesModel {
			service.Rate = table.Limits.TokensPerSecond
		}
		for _, e := range entries {
			if e.Service != spec.Name || e.Draining {
				continue
			}
			slots := e.Slots
			if slots <= 0 {
				slots = max(spec.Slots, defaultSlots)
			}
			service.Targets = append(service.Targets, booking.Target{
				Name: e.Identity, Zone: e.Zone, Slots: slots, Memory: spec.Memory, Generation: e.StartedAtMillis,
			})
		}
		services = append(services, service)
	}
	return services
}

func (s *site) targetsChanged(args ...any) {
	event.TargetsChanged.Log(s.p.Log, args...)
	s.view.apply()
	select {
	case s.changed <- struct{}{}:
	default: // it looks again anyway
	}
}

// expire drops the targets that lapsed in an outage of the store and did not come
// back, and takes in those that a copy of the store still holds after the time for doubt.
func (s *site) expire(ctx context.Context) {
	for {
		s.mu.Lock()
		shadowed := s.registry.Quarantined()
		dropped, next := s.registry.Expire(time.Now())
		if len(s.registry.Quarantined()) > 0 {
			shadowed = nil
		}
		s.mu.Unlock()
		if len(dropped)+len(shadowed) > 0 {
			event.TargetsChanged.Log(s.p.Log, "lapsed", dropped, "believed", shadowed)
			s.view.apply()
		}
		var due <-chan time.Time
		if !next.IsZero() {
			due = time.After(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		case <-due:
		}
	}
}

const (
	// announceTimeout bounds one write of the own row; announceRetry is the wait
	// after a failed one, which needs no haste: peers dial each other as well.
	announceTimeout = 2 * time.Second
	announceRetry   = time.Second
)

// listDaemons takes the list of daemons in, and where each takes connections over.
func (s *site) listDaemons(vms []store.VM, takeovers map[ident.Daemon]string) {
	s.p.Node.SetVMs(vms)
	s.p.Handovers.setAddresses(takeovers)
}

// announce writes the own row, so that other daemons find this one, and takes it away at a
// planned stop.
func (s *site) announce(ctx context.Context) {
	address := s.p.Node.Address()
	s.keepOwnRow(ctx, address, s.p.Servers.handoverAddress(address))
}

// keepOwnRow writes the own row with the addresses at which other daemons reach this one, again
// where the store has lost it, and takes it away when ctx ends.
func (s *site) keepOwnRow(ctx context.Context, address, handover string) {
	id := s.p.Identity
	// A struct of texts and a number can always be written.
	value, _ := json.Marshal(daemonRow{Zone: id.Zone, Address: address, Handover: handover, Incarnation: id.Incarnation})
	if !s.writeOwnRow(ctx, value) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			s.withdraw()
			return
		case <-s.own.lost:
		}
		pause(ctx, s.own.delay(rand.Float64()))
		if s.own.isLost() && s.writeOwnRow(ctx, value) {
			event.RowWrittenAgain.Log(s.p.Log, "table", platform.TableDaemons, "key", id.Daemon, "revision", s.own.revision())
		}
	}
}

// writeOwnRow writes the own row until that succeeds. It returns false where ctx ended before.
func (s *site) writeOwnRow(ctx context.Context, value []byte) bool {
	for {
		try, cancel := context.WithTimeout(ctx, announceTimeout)
		at, err := s.rows.PutRow(try, platform.TableDaemons, string(s.p.Identity.Daemon), value)
		cancel()
		if err == nil {
			s.own.wrote(at)
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		event.RowNotWritten.Log(s.p.Log, "table", platform.TableDaemons, "error", err)
		pause(ctx, announceRetry)
	}
}

// withdraw removes the own row. A row that stays costs its peers some dials.
func (s *site) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout/4)
	defer cancel()
	if err := s.rows.DeleteRow(ctx, platform.TableDaemons, string(s.p.Identity.Daemon)); err != nil {
		event.RowNotWritten.Log(s.p.Log, "table", platform.TableDaemons, "error", err)
	}
}

// reportEvery is the interval of gauges and of the lines about what the log
// leaves out.
const reportEvery = 5 * time.Second

// sharingEvery is the interval of the lines about shares. Each tells what was decided since
// the one before, so that daemons' figures add up second by second.
const sharingEvery = time.Second

func (s *site) report(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	sharing := time.NewTicker(sharingEvery)
	defer sharing.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.gauges()
			s.p.Handovers.logReport()
			s.p.Gateway.LogDroppedLines()
		case <-sharing.C:
			s.logSharing()
		}
	}
}

// logSharing tells by what shares this daemon decides, where some workspace lacks.
func (s *site) logSharing() {
	var list []booking.ShareReport
	s.p.Loop.Inspect(func(c *booking.Core) { list = c.ShareReports(time.Now()) })
	sheds := float64(s.p.Load.shedPermille.Load()) / shedScale
	for _, b := range list {
		event.ServiceShared.Log(s.p.Log, sharingFields(b, sheds)...)
	}
}

// sharingFields are those of a line about shares, on a daemon that refuses such a part of
// new requests.
func sharingFields(b booking.ShareReport, sheds float64) []any {
	return []any{
		"service", b.Service, "stated", b.Stated, "observed", math.Round(b.Observed),
		"level", b.Level, "behind", b.MinUnderserved, "kept_back", b.MinShed, "most", b.TopWorkspaces,
		"sheds", sheds, "own", b.Decisions, "targets", b.OwnedTargets,
	}
}

func (s *site) gauges() {
	head := uint64(0)
	if table := s.p.Routes.Current(); table != nil {
		head = table.Version
	}
	traffic := s.p.Node.Traffic()
	s.p.Metrics.Fleet(traffic.EstimatedSent(), traffic.EstimatedReceived(), s.p.Gateway.Daemons(), head)
}

package integration_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/admin"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/settings"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
	"github.com/savorystall/savorystall/test/faultlink"
)

var (
	failureSeed  = flag.Uint64("failures.seed", 1, "seed of the failure schedule")
	failurePairs = flag.Int("failures.pairs", 3, "number of random pairs of failures to run")
)

const (
	// failureDuration is the duration of each step of the schedule.
	failureDuration = 2500 * time.Millisecond
	// recoveryTimeout bounds the time until every daemon serves again after a
	// failure. Links are redialed within 2 s, the platform is probed within 2 s, and
	// a lease expires after 2 s; the rest is a margin for a busy machine.
	recoveryTimeout = 30 * time.Second
	leaseTerm       = 2 * time.Second
	maxOrderDelay   = 500 * time.Millisecond
)

// failure is one kind of failure. Its inject function returns the function that
// repairs it.
type failure struct {
	name   string
	inject func(r *failureRun) (repair func())
}

// failureRun runs a schedule of failures against one fleet.
type failureRun struct {
	t     *testing.T
	fleet *fleet
	rng   *rand.Rand
	// versionChanges counts the changes of the desired version of the engines.
	versionChanges int
	editor         *config.Editor
}

func allFailures() []failure {
	return []failure{
		{"partition", func(r *failureRun) func() { return r.partition(r.rng.IntN(len(zones))) }},
		{"restart without state", (*failureRun).restartDaemons},
		{"store down", func(r *failureRun) func() { return r.injectStoreFaults(platformstandin.Faults{Unavailable: true}) }},
		{"store slow", func(r *failureRun) func() {
			return r.injectStoreFaults(platformstandin.Faults{Delay: 700 * time.Millisecond})
		}},
		{"answers lost", func(r *failureRun) func() {
			return r.injectStoreFaults(platformstandin.Faults{LostResponses: -1, LostWriteDelay: 100 * time.Millisecond})
		}},
		{"stale reads", func(r *failureRun) func() {
			r.updateConcurrently()
			return r.injectStoreFaults(platformstandin.Faults{StaleCommits: 3})
		}},
		{"pause beyond the lease", (*failureRun).pauseDaemon},
		{"racing operators", (*failureRun).updateConcurrently},
		{"silent connections", (*failureRun).silenceConnections},
	}
}

// partition disconnects a zone from the other zones and from the platform.
func (r *failureRun) partition(zone int) func() {
	r.fleet.forEachLinkBetween(inZone(zone), (*faultlink.Link).Cut)
	for i, proxy := range r.fleet.platformProxies {
		proxy.unreachable.Store(inZone(zone)(i))
	}
	return func() {
		r.fleet.forEachLinkBetween(inZone(zone), func(l *faultlink.Link) {
			if err := l.Restore(); err != nil {
				r.t.Error(err)
			}
		})
		for _, proxy := range r.fleet.platformProxies {
			proxy.unreachable.Store(false)
		}
	}
}

// restartDaemons kills two daemons, which lose their in-memory state. The repair
// starts both again.
func (r *failureRun) restartDaemons() func() {
	i := r.rng.IntN(daemonCount)
	j := (i + 1 + r.rng.IntN(daemonCount-1)) % daemonCount
	r.fleet.daemon(i).kill()
	r.fleet.daemon(j).kill()
	return func() {
		r.fleet.restartDaemon(i)
		r.fleet.restartDaemon(j)
	}
}

func (r *failureRun) injectStoreFaults(faults platformstandin.Faults) func() {
	r.fleet.platform.SetFaults(platformstandin.Table, faults)
	return func() { r.fleet.platform.SetFaults(platformstandin.Table, platformstandin.Faults{}) }
}

// pauseDaemon suspends a daemon for longer than the term of its leases.
func (r *failureRun) pauseDaemon() func() {
	p := r.fleet.daemon(r.rng.IntN(daemonCount))
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	return func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }
}

// updateConcurrently lets two operators change the desired version based on the
// same revision. At most one of them may succeed; the other must get an error.
func (r *failureRun) updateConcurrently() func() {
	base, err := r.editor.Get(r.t.Context(), modelService)
	if err != nil {
		return func() { r.updateConcurrently()() } // the store is unavailable: update once it is back
	}
	r.versionChanges++
	errs := make([]error, 2)
	var group sync.WaitGroup
	for i := range errs {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
			defer cancel()
			text := withVersion(r.t, []byte(base.Text), fmt.Sprintf("v%d-%d", r.versionChanges, i))
			_, errs[i] = r.editor.Apply(ctx, text, base.Revision, "race")
		})
	}
	group.Wait()
	if errs[0] == nil && errs[1] == nil {
		r.t.Error("both concurrent updates of the same revision were reported as successful")
	}
	return func() {}
}

func withVersion(t *testing.T, text []byte, version string) []byte {
	d, err := document.Parse(text)
	if err != nil {
		t.Error(err)
		return nil
	}
	for i := range d.Orders.Targets {
		d.Orders.Targets[i].Version = version
	}
	changed, err := yaml.Marshal(d)
	if err != nil {
		t.Error(err)
	}
	return changed
}

func (r *failureRun) silenceConnections() func() {
	for _, l := range r.fleet.targetLinks {
		l.StallOpenConnections()
	}
	for _, proxy := range r.fleet.platformProxies {
		for _, l := range proxy.peerLinks {
			if l != nil {
				l.StallOpenConnections()
			}
		}
	}
	return func() {}
}

// schedule returns each failure alone, random pairs of failures that overlap, and
// one random failure twice in a row.
func schedule(rng *rand.Rand) [][]failure {
	all := allFailures()
	var steps [][]failure
	for _, f := range all {
		steps = append(steps, []failure{f})
	}
	for range *failurePairs {
		first := rng.IntN(len(all))
		second := (first + 1 + rng.IntN(len(all)-1)) % len(all)
		steps = append(steps, []failure{all[first], all[second]})
	}
	repeated := all[rng.IntN(len(all))]
	return append(steps, []failure{repeated}, []failure{repeated})
}

// Guards against broken guarantees while failures occur alone, in pairs and twice
// in a row under constant traffic with retries: outages of the platform, network
// partitions, restarts without state, pauses longer than a lease, concurrent
// configuration changes and silent connections. No unrepeatable request may run
// twice, no "not run" report may be false, no revision may go back on any daemon,
// no outdated order may prevail, and every daemon must serve again afterwards.
func TestGuaranteesUnderFailures(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(*failureSeed, 0))
	f := startFleet(t, withPlatformProxies, func(f *fleet) {
		f.adjustSettings = func(s *settings.Settings) {
			s.Orders.LeaseTerm, s.Orders.ReadBack = leaseTerm, time.Second
			s.Claims.Wait = 2 * time.Second
			s.Platform.ConfigPoll = 300 * time.Millisecond
			s.Platform.Timeout = time.Second
		}
		f.orders = wantedOrders()
	})
	r := &failureRun{t: t, fleet: f, rng: rng, editor: &config.Editor{Table: platform.NewClient(platform.ClientConfig{URL: f.platformURL}), Author: "test"}}
	revisions := startRevisionWatcher(t, f)
	for n, step := range schedule(rng) {
		names := stepNames(step)
		callers := startRetryingCallers(t, f, fmt.Sprintf("s%d", n), *failureSeed+uint64(n))
		r.runStep(step)
		recovery := r.waitForRecovery(names)
		requests := callers.stop()
		t.Logf("%s: every daemon served again %v after the failures ended", names, recovery.Round(10*time.Millisecond))
		checkRetriedRequests(t, f, requests)
	}
	r.checkOrders()
	is.Equal(revisions.stop(), nil) // no daemon went back to an older revision
}

func stepNames(step []failure) string {
	var names []string
	for _, f := range step {
		names = append(names, f.name)
	}
	return strings.Join(names, " with ")
}

// runStep injects the failures of a step at equal intervals over failureDuration,
// so that those of a pair start half of it apart, and then repairs them all.
func (r *failureRun) runStep(step []failure) {
	var repairs []func()
	for _, f := range step {
		repairs = append(repairs, f.inject(r))
		time.Sleep(failureDuration / time.Duration(len(step)))
	}
	for _, repair := range repairs {
		repair()
	}
}

// waitForRecovery waits until every daemon serves a plain call, a completion and
// an unrepeatable call, and returns the time that this took.
func (r *failureRun) waitForRecovery(step string) time.Duration {
	start := time.Now()
	client := newClient()
	defer client.CloseIdleConnections()
	for i := range daemonCount {
		for _, k := range []requestKind{plainRead, nonStreamedCompletion, plainClaim} {
			for attempt := 0; ; attempt++ {
				req := &request{kind: k, mark: fmt.Sprintf("resume-%d-%d-%d-%d", start.UnixNano(), i, k, attempt), tokens: 3}
				ctx, cancel := context.WithTimeout(r.t.Context(), recoveryTimeout)
				req.send(ctx, client, r.fleet.daemon(i).url, workspaceKey(i))
				cancel()
				if req.result == complete && req.mismatch == "" {
					break
				}
				if time.Since(start) > recoveryTimeout {
					r.t.Fatalf("%s: %s does not serve kind %d: code %d %s", step, daemonName(i), k, req.code, req.message)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return time.Since(start)
}

func wantedOrders() *document.Orders {
	o := &document.Orders{Fencing: document.Ignored, LongestOrder: maxOrderDelay}
	for i := range engineCount {
		o.Targets = append(o.Targets, document.TargetOrder{Name: ident.Target(targetName(i)), Models: []string{modelName}, Version: "v0"})
	}
	return o
}

// checkOrders waits until the last order that each engine received matches the
// desired state, and requires that this remains so.
func (r *failureRun) checkOrders() {
	r.t.Helper()
	record, err := r.editor.Get(r.t.Context(), modelService)
	is := is.New(r.t)
	is.NoErr(err)
	d, err := document.Parse([]byte(record.Text))
	is.NoErr(err)
	want := d.Orders.Targets[0].Version
	outdated := func() []string {
		var names []string
		for i, e := range r.fleet.engines {
			orders := e.Orders()
			if len(orders) == 0 || orders[len(orders)-1].Version != want {
				names = append(names, targetName(i))
			}
		}
		return names
	}
	deadline := time.Now().Add(recoveryTimeout)
	for len(outdated()) > 0 && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * leaseTerm)    // covers outdated orders that are still in transit
	is.Equal(len(outdated()), 0) // every engine is in the latest desired state
}

// revisionWatcher watches the active configuration revisions of every daemon.
type revisionWatcher struct {
	cancel      context.CancelFunc
	group       sync.WaitGroup
	mu          sync.Mutex
	regressions []string
}

func startRevisionWatcher(t *testing.T, f *fleet) *revisionWatcher {
	ctx, cancel := context.WithCancel(t.Context())
	w := &revisionWatcher{cancel: cancel}
	for i := range daemonCount {
		w.group.Go(func() { w.watchDaemon(ctx, f, i) })
	}
	return w
}

// watchDaemon polls the revisions of one daemon. A restarted daemon is checked
// once it is ready: its revisions must then be at least as new as those that were
// active before the restart.
func (w *revisionWatcher) watchDaemon(ctx context.Context, f *fleet, i int) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	seen := map[ident.Service]uint64{}
	for ctx.Err() == nil {
		status, err := readStatus(ctx, client, f.daemon(i).operatorsAddress)
		if err == nil && status.State == "ready" {
			for service, revision := range seen {
				if status.ActiveRevisions[service] < revision {
					w.mu.Lock()
					w.regressions = append(w.regressions, fmt.Sprintf("%s: %s went from %d to %d", status.Daemon, service, revision, status.ActiveRevisions[service]))
					w.mu.Unlock()
				}
			}
			for service, revision := range status.ActiveRevisions {
				seen[service] = max(seen[service], revision)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func readStatus(ctx context.Context, client *http.Client, operatorsAddress string) (admin.Status, error) {
	var status admin.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorsAddress+admin.StatusPath, nil)
	if err != nil {
		return status, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return status, err
	}
	defer func() { _ = resp.Body.Close() }()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}

// stop ends the watch and returns the observed regressions, nil if there were
// none.
func (w *revisionWatcher) stop() []string {
	w.cancel()
	w.group.Wait()
	slices.Sort(w.regressions)
	return w.regressions
}

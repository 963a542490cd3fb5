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
	failureSeed  = flag.Uint64("failures.seed", 1, "seed of the schedule of failures")
	failurePairs = flag.Int("failures.pairs", 3, "how many drawn pairs of failures to run")
)

const (
	// failureLasts is how long each failure holds.
	failureLasts = 2500 * time.Millisecond
	// resumeWithin is when every daemon must serve again after a failure. The
	// links redial within 2 s, a probe of the platform within 2 s, and a lease
	// of 2 s lapses; the rest is for a busy machine.
	resumeWithin = 30 * time.Second
	leaseTerm    = 2 * time.Second
	longestOrder = 500 * time.Millisecond
)

// failure breaks something and returns what mends it.
type failure struct {
	name string
	do   func(r *run) (mend func())
}

// run is one fleet under a schedule of failures.
type run struct {
	t   *testing.T
	f   *fleet
	rng *rand.Rand
	// version counts the changes of the engines' wanted version.
	version int
	editor  *config.Editor
}

func failures() []failure {
	return []failure{
		{"partition", func(r *run) func() { return r.partition(r.rng.IntN(len(zones))) }},
		{"restart without state", (*run).restart},
		{"store down", func(r *run) func() { return r.store(platformstandin.Faults{Unavailable: true}) }},
		{"store slow", func(r *run) func() { return r.store(platformstandin.Faults{Delay: 700 * time.Millisecond}) }},
		{"answers lost", func(r *run) func() {
			return r.store(platformstandin.Faults{LostResponses: -1, LostWriteDelay: 100 * time.Millisecond})
		}},
		{"stale reads", func(r *run) func() {
			r.race()
			return r.store(platformstandin.Faults{StaleCommits: 3})
		}},
		{"pause beyond the lease", (*run).pause},
		{"racing operators", (*run).race},
		{"silent connections", (*run).silence},
	}
}

// partition cuts a zone off from the other zones and from the platform.
func (r *run) partition(zone int) func() {
	r.f.between(inZone(zone), (*faultlink.Link).Cut)
	for i, fr := range r.f.fronts {
		fr.cut.Store(inZone(zone)(i))
	}
	return func() {
		r.f.between(inZone(zone), func(l *faultlink.Link) {
			if err := l.Restore(); err != nil {
				r.t.Error(err)
			}
		})
		for _, fr := range r.f.fronts {
			fr.cut.Store(false)
		}
	}
}

// restart kills two daemons; what they held for callers is gone.
func (r *run) restart() func() {
	i := r.rng.IntN(daemonCount)
	j := (i + 1 + r.rng.IntN(daemonCount-1)) % daemonCount
	r.f.daemon(i).kill()
	r.f.daemon(j).kill()
	return func() {
		r.f.replace(i)
		r.f.replace(j)
	}
}

func (r *run) store(faults platformstandin.Faults) func() {
	r.f.platform.SetFaults(platformstandin.Table, faults)
	return func() { r.f.platform.SetFaults(platformstandin.Table, platformstandin.Faults{}) }
}

// pause stops a daemon for longer than its leases last.
func (r *run) pause() func() {
	p := r.f.daemon(r.rng.IntN(daemonCount))
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	return func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }
}

// race lets two operators change the wanted version from the same base: one
// must win and the other must be told.
func (r *run) race() func() {
	base, err := r.editor.Get(r.t.Context(), modelService)
	if err != nil {
		return func() { r.race()() } // the store is out: race once it is back
	}
	r.version++
	errs := make([]error, 2)
	var group sync.WaitGroup
	for i := range errs {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
			defer cancel()
			text := withVersion(r.t, []byte(base.Text), fmt.Sprintf("v%d-%d", r.version, i))
			_, errs[i] = r.editor.Apply(ctx, text, base.Revision, "race")
		})
	}
	group.Wait()
	if errs[0] == nil && errs[1] == nil {
		r.t.Error("both racing operators were told that their change is in force")
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

func (r *run) silence() func() {
	for _, l := range r.f.links {
		l.StallOpenConnections()
	}
	for _, fr := range r.f.fronts {
		for _, l := range fr.peers {
			if l != nil {
				l.StallOpenConnections()
			}
		}
	}
	return func() {}
}

// schedule returns each failure alone, drawn pairs that overlap, and one that
// comes twice in a row.
func schedule(rng *rand.Rand) [][]failure {
	all := failures()
	var steps [][]failure
	for _, f := range all {
		steps = append(steps, []failure{f})
	}
	for range *failurePairs {
		first := rng.IntN(len(all))
		second := (first + 1 + rng.IntN(len(all)-1)) % len(all)
		steps = append(steps, []failure{all[first], all[second]})
	}
	twice := all[rng.IntN(len(all))]
	return append(steps, []failure{twice}, []failure{twice})
}

// The platform fails, zones are cut, daemons restart without state or are paused
// beyond their leases, operators race and connections go silent: alone, in
// pairs, and twice in a row, while callers go on asking and repeating. Nothing
// unrepeatable may run twice, no "not run" may be false, no revision may revert
// on any daemon, no old order may win, and afterwards every daemon must serve.
func TestPromisesUnderFailures(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(*failureSeed, 0))
	f := startFleet(t, withFronts, func(f *fleet) {
		f.adjust = func(s *settings.Settings) {
			s.Orders.LeaseTerm, s.Orders.ReadBack = leaseTerm, time.Second
			s.Claims.Wait = 2 * time.Second
			s.Platform.ConfigPoll = 300 * time.Millisecond
			s.Platform.Timeout = time.Second
		}
		f.orders = wantedOrders()
	})
	r := &run{t: t, f: f, rng: rng, editor: &config.Editor{Table: platform.NewClient(platform.ClientConfig{URL: f.url}), Author: "test"}}
	revisions := startRevisions(t, f)
	for n, step := range schedule(rng) {
		names := stepNames(step)
		callers := startSteady(t, f, fmt.Sprintf("s%d", n), *failureSeed+uint64(n))
		r.runStep(step)
		took := r.resumed(names)
		requests := callers.stop()
		t.Logf("%s: served again by every daemon %v after the end", names, took.Round(10*time.Millisecond))
		checkRepeated(t, f, requests)
	}
	r.checkOrders()
	is.Equal(revisions.stop(), nil) // no revision reverted
}

func stepNames(step []failure) string {
	var names []string
	for _, f := range step {
		names = append(names, f.name)
	}
	return strings.Join(names, " with ")
}

// runStep starts the failures of a step half their time apart and mends them.
func (r *run) runStep(step []failure) {
	var mends []func()
	for _, f := range step {
		mends = append(mends, f.do(r))
		time.Sleep(failureLasts / time.Duration(len(step)))
	}
	for _, mend := range mends {
		mend()
	}
}

// resumed waits until every daemon serves a plain call, a completion and an
// unrepeatable call.
func (r *run) resumed(step string) time.Duration {
	began := time.Now()
	client := newClient()
	defer client.CloseIdleConnections()
	for i := range daemonCount {
		for _, k := range []kind{plainRead, wholeCompletion, plainClaim} {
			for try := 0; ; try++ {
				q := &request{kind: k, mark: fmt.Sprintf("resume-%d-%d-%d-%d", began.UnixNano(), i, k, try), tokens: 3}
				ctx, cancel := context.WithTimeout(r.t.Context(), resumeWithin)
				q.send(ctx, client, r.f.daemon(i).address, key(i))
				cancel()
				if q.verdict == complete && q.wrong == "" {
					break
				}
				if time.Since(began) > resumeWithin {
					r.t.Fatalf("%s: %s does not serve kind %d: code %d %s", step, daemonName(i), k, q.code, q.message)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return time.Since(began)
}

func wantedOrders() *document.Orders {
	o := &document.Orders{Fencing: document.Ignored, LongestOrder: longestOrder}
	for i := range engineCount {
		o.Targets = append(o.Targets, document.TargetOrder{Name: ident.Target(targetName(i)), Models: []string{modelName}, Version: "v0"})
	}
	return o
}

// checkOrders waits until the last order of each engine is the wanted one, and
// requires that it stays so.
func (r *run) checkOrders() {
	r.t.Helper()
	record, err := r.editor.Get(r.t.Context(), modelService)
	is := is.New(r.t)
	is.NoErr(err)
	d, err := document.Parse([]byte(record.Text))
	is.NoErr(err)
	want := d.Orders.Targets[0].Version
	wrong := func() []string {
		var names []string
		for i, e := range r.f.engines {
			orders := e.Orders()
			if len(orders) == 0 || orders[len(orders)-1].Version != want {
				names = append(names, targetName(i))
			}
		}
		return names
	}
	deadline := time.Now().Add(resumeWithin)
	for len(wrong()) > 0 && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * leaseTerm) // an old order that was still to come has come
	is.Equal(len(wrong()), 0) // the latest wanted state holds on every engine
}

// revisions watches the revisions in force on every daemon.
type revisions struct {
	end    context.CancelFunc
	group  sync.WaitGroup
	mu     sync.Mutex
	faults []string
}

func startRevisions(t *testing.T, f *fleet) *revisions {
	ctx, cancel := context.WithCancel(t.Context())
	w := &revisions{end: cancel}
	for i := range daemonCount {
		w.group.Go(func() { w.watch(ctx, f, i) })
	}
	return w
}

// watch reads one daemon's revisions again and again. A daemon that was started
// anew counts once it is ready: it must then know at least what its predecessor
// had in force.
func (w *revisions) watch(ctx context.Context, f *fleet, i int) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	seen := map[ident.Service]uint64{}
	for ctx.Err() == nil {
		status, err := readStatus(ctx, client, f.daemon(i).operators)
		if err == nil && status.State == "ready" {
			for service, revision := range seen {
				if status.ActiveRevisions[service] < revision {
					w.mu.Lock()
					w.faults = append(w.faults, fmt.Sprintf("%s: %s went from %d to %d", status.Daemon, service, revision, status.ActiveRevisions[service]))
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

func readStatus(ctx context.Context, client *http.Client, address string) (admin.Status, error) {
	var status admin.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+admin.StatusPath, nil)
	if err != nil {
		return status, err
	}
	response, err := client.Do(request)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// stop returns the reversals seen, nil where there were none.
func (w *revisions) stop() []string {
	w.end()
	w.group.Wait()
	slices.Sort(w.faults)
	return w.faults
}

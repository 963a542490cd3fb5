// Package telemetry makes what a daemon does visible: metrics through tally with
// a Prometheus reporter, and spans through OpenTelemetry.
package telemetry

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/savorystall/savorystall/internal/ident"
)

// MetricKind is the kind of a metric.
type MetricKind string

// Kinds of metrics.
const (
	Counter   MetricKind = "counter"
	Gauge     MetricKind = "gauge"
	Histogram MetricKind = "histogram"
)

// Metric is one row of the catalogue; docs/METRICS.md is generated from it.
type Metric struct {
	Name string
	Kind MetricKind
	Unit string
	Tags string
	Text string
}

var metrics []Metric

func define(name string, kind MetricKind, unit, tags, text string) string {
	metrics = append(metrics, Metric{Name: name, Kind: kind, Unit: unit, Tags: tags, Text: text})
	return name
}

// AllMetrics returns the catalogue.
func AllMetrics() []Metric { return metrics }

var (
	metricRequests  = define("requests", Counter, "requests", "service, code", "Requests answered, by result code; code 0 is a complete answer.")
	metricWait      = define("queue_wait", Histogram, "seconds", "service, class", "Time from acceptance to a grant; where routes are served, from asking for a place to the answer, by what may be repeated.")
	metricFirst     = define("first_byte", Histogram, "seconds", "service", "Time from dispatch to the first byte of the answer.")
	metricServed    = define("served_units", Counter, "tokens or slot milliseconds", "service, workspace", "Service delivered through this daemon.")
	metricRetries   = define("retries", Counter, "attempts", "service", "Attempts after the first one.")
	metricPreempted = define("preemptions", Counter, "streams", "service", "Streams of this daemon that were stopped for a question of another workspace, to go on later.")
	metricReread    = define("preempted_tokens", Counter, "tokens", "service", "Tokens that engines read again to go on with stopped streams.")
	metricWaiting   = define("waiting", Gauge, "requests", "service", "Requests that wait at this daemon.")
	metricRunning   = define("running", Gauge, "requests", "service", "Requests of this daemon that run on targets.")
	metricSlots     = define("owned_slots", Gauge, "slots", "service", "Slots of the targets that this daemon owns.")
	metricSlotsUsed = define("owned_slots_used", Gauge, "slots", "service", "Slots in use among them; divided by owned_slots it is the utilisation.")
	metricGap       = define("fairness_gap", Gauge, "units over weight", "service", "Largest difference in service since both became backlogged between two workspaces, as this daemon sees the fleet.")
	metricRestored  = define("store_restores", Counter, "restores", "", "Returns of the platform's store from a copy that this daemon has met, where routes are served.")
	metricControlTx = define("control_sent", Gauge, "bytes", "", "Bytes sent to other daemons since the start.")
	metricControlRx = define("control_received", Gauge, "bytes", "", "Bytes received from other daemons since the start.")
	metricMembers   = define("members", Gauge, "daemons", "", "Live daemons that this one knows, itself included.")
	metricPassedOn  = define("connections_passed_on", Counter, "connections", "", "New connections of callers that a neighbour took over for want of processor time here.")
	metricRevision  = define("config_head", Gauge, "revision", "", "Highest configuration revision in force.")
)

// Metrics reports the metrics of one daemon. It is safe for concurrent use.
type Metrics struct {
	scope  tally.Scope
	closer io.Closer
	http   http.Handler
	// known holds the counters and histograms that were used, by tagged: to find one
	// by its tags takes 3 us and a map, four times a request.
	known sync.Map
}

// tagged names a counter or a histogram and the values of its tags.
type tagged struct{ name, service, more string }

// reportInterval is how often values reach the reporter. Whoever reads the metrics
// does so every few seconds at most.
const reportInterval = 2 * time.Second

// NewMetrics returns a reporter with a registry of its own, so that several
// daemons can live in one test process.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "savorystall",
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
		DefaultBuckets: tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18),
		// Internal metrics of tally itself are no metrics of the daemon.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, http: reporter.HTTPHandler()}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.http }

// Close reports once more and stops.
func (m *Metrics) Close() error { return m.closer.Close() }

// counter returns a counter of a service. Tag is the name of its second tag; empty
// where it has one only.
func (m *Metrics) counter(name, service, tag, value string) tally.Counter {
	key := tagged{name, service, value}
	if known, ok := m.known.Load(key); ok {
		return known.(tally.Counter)
	}
	c := m.scope.Tagged(tags(service, tag, value)).Counter(name)
	m.known.Store(key, c)
	return c
}

// histogram is counter's like for a histogram of times.
func (m *Metrics) histogram(name, service, tag, value string) tally.Histogram {
	key := tagged{name, service, value}
	if known, ok := m.known.Load(key); ok {
		return known.(tally.Histogram)
	}
	h := m.scope.Tagged(tags(service, tag, value)).Histogram(name, tally.DefaultBuckets)
	m.known.Store(key, h)
	return h
}

func tags(service, tag, value string) map[string]string {
	t := map[string]string{"service": service}
	if tag != "" {
		t[tag] = value
	}
	return t
}

// Request counts an answered request; code 0 is a complete answer.
func (m *Metrics) Request(service ident.Service, code string) {
	m.counter(metricRequests, string(service), "code", code).Inc(1)
}

// Wait records the time from acceptance to a grant.
func (m *Metrics) Wait(service ident.Service, class string, d time.Duration) {
	m.histogram(metricWait, string(service), "class", class).RecordDuration(d)
}

// First records the time from dispatch to the first byte of the answer.
func (m *Metrics) First(service ident.Service, d time.Duration) {
	m.histogram(metricFirst, string(service), "", "").RecordDuration(d)
}

// Served counts delivered service.
func (m *Metrics) Served(service ident.Service, workspace ident.Workspace, units int64) {
	m.counter(metricServed, string(service), "workspace", string(workspace)).Inc(units)
}

// Retry counts an attempt after the first one.
func (m *Metrics) Retry(service ident.Service) {
	m.counter(metricRetries, string(service), "", "").Inc(1)
}

// PassedOn counts a connection that a neighbour took over.
func (m *Metrics) PassedOn() { m.scope.Counter(metricPassedOn).Inc(1) }

// Preempted counts a stopped stream and the tokens that are read again for it.
func (m *Metrics) Preempted(service ident.Service, reread int64) {
	m.counter(metricPreempted, string(service), "", "").Inc(1)
	m.counter(metricReread, string(service), "", "").Inc(reread)
}

// Restored counts a return of the platform's store from a copy.
func (m *Metrics) Restored() { m.scope.Counter(metricRestored).Inc(1) }

// ServiceGauges is the state of one service at one daemon.
type ServiceGauges struct {
	Service                        ident.Service
	Waiting, Running, Slots, InUse int
	Gap                            float64
}

// Service reports the state of one service.
func (m *Metrics) Service(g ServiceGauges) {
	scope := m.scope.Tagged(tags(string(g.Service), "", ""))
	scope.Gauge(metricWaiting).Update(float64(g.Waiting))
	scope.Gauge(metricRunning).Update(float64(g.Running))
	scope.Gauge(metricSlots).Update(float64(g.Slots))
	scope.Gauge(metricSlotsUsed).Update(float64(g.InUse))
	scope.Gauge(metricGap).Update(g.Gap)
}

// Fleet reports the state of the links, the members and the configuration.
func (m *Metrics) Fleet(sent, received uint64, members int, head uint64) {
	m.scope.Gauge(metricControlTx).Update(float64(sent))
	m.scope.Gauge(metricControlRx).Update(float64(received))
	m.scope.Gauge(metricMembers).Update(float64(members))
	m.scope.Gauge(metricRevision).Update(float64(head))
}

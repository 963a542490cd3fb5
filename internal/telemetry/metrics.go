// Package telemetry provides the metrics of a daemon, through tally with a
// Prometheus reporter, and its spans, through OpenTelemetry.
package telemetry

import (
	"io"
	"net/http"
	"strconv"
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

// Metric is one entry of the catalogue, from which docs/METRICS.md is generated.
type Metric struct {
	Name string
	Kind MetricKind
	Unit string
	Tags string
	Help string
}

var catalogue []Metric

func define(name string, kind MetricKind, unit, tags, help string) string {
	catalogue = append(catalogue, Metric{Name: name, Kind: kind, Unit: unit, Tags: tags, Help: help})
	return name
}

// AllMetrics returns the catalogue in the order of definition.
func AllMetrics() []Metric { return catalogue }

var (
	metricRequests             = define("requests", Counter, "requests", "service, code", "Requests answered, by result code; code 0 is a complete answer.")
	metricQueueWait            = define("queue_wait", Histogram, "seconds", "service, class", "Time from acceptance to a grant; where routes are served, from asking for a place to the answer, by what may be repeated.")
	metricFirstByte            = define("first_byte", Histogram, "seconds", "service", "Time from dispatch to the first byte of the answer.")
	metricServedUnits          = define("served_units", Counter, "tokens or slot milliseconds", "service, workspace", "Service delivered through this daemon.")
	metricRetries              = define("retries", Counter, "attempts", "service", "Attempts after the first one.")
	metricPreemptions          = define("preemptions", Counter, "streams", "service", "Streams of this daemon that were stopped for a question of another workspace, to go on later.")
	metricPreemptedTokens      = define("preempted_tokens", Counter, "tokens", "service", "Tokens that engines read again to go on with stopped streams.")
	metricWaiting              = define("waiting", Gauge, "requests", "service", "Requests that wait at this daemon.")
	metricRunning              = define("running", Gauge, "requests", "service", "Requests of this daemon that run on targets.")
	metricOwnedSlots           = define("owned_slots", Gauge, "slots", "service", "Slots of the targets that this daemon owns.")
	metricOwnedSlotsUsed       = define("owned_slots_used", Gauge, "slots", "service", "Slots in use among them; divided by owned_slots it is the utilisation.")
	metricFairnessGap          = define("fairness_gap", Gauge, "units over weight", "service", "Largest difference in service since both became backlogged between two workspaces, as this daemon sees the fleet.")
	metricStoreRestores        = define("store_restores", Counter, "restores", "", "Returns of the platform's store from a copy that this daemon has met, where routes are served.")
	metricEvacuations          = define("evacuations", Counter, "changes", "zone, evacuated", "Changes of whether an availability zone is evacuated, as this daemon learned them.")
	metricEvacuated            = define("evacuated", Gauge, "0 or 1", "zone", "Whether an availability zone is evacuated.")
	metricControlSent          = define("control_sent", Gauge, "bytes", "", "Bytes sent to other daemons since the start.")
	metricControlReceived      = define("control_received", Gauge, "bytes", "", "Bytes received from other daemons since the start.")
	metricMembers              = define("members", Gauge, "daemons", "", "Live daemons that this one knows, itself included.")
	metricForwardedConnections = define("connections_passed_on", Counter, "connections", "", "New connections of callers that a neighbour took over for want of processor time here.")
	metricUnanswered           = define("connections_unanswered", Counter, "connections", "cause, progress, kept", "Connections of callers that were closed without a complete response to their request, by why, how far the request had got, and whether a request was answered on them before; where routes are served.")
	metricStreamsBroken        = define("streams_broken", Counter, "attempts", "target, cause", "Event streams of a target that did not end as complete, by cause (connection, truncated_event, target_ended, event_memory, trailer, or as in event 317); targets beyond the first 500 are counted as other; where routes are served.")
	metricStoreCalls           = define("store_calls", Counter, "calls", "table, kind, failed", "Calls to the platform's store, by table and what they are for (read, follow, write); where routes are served.")
	metricTargetWeight         = define("target_weight", Gauge, "ratio to the median", "service, bound", "Least and greatest weight of the service's targets by their estimated speeds, as this daemon sees them (bound: min, max); where routes are served and speeds are estimated.")
	metricRoutesAge            = define("routes_age", Gauge, "seconds", "", "How long ago the store confirmed the routes in force, where routes are served.")
	metricWarmthChecks         = define("warmth_checks", Counter, "checks", "service, result", "Health checks of busy targets that this daemon owns, by result (warm, cold, rejected, failed, unsent); where routes are served.")
	metricSlowCallerBytes      = define("slow_caller_bytes", Gauge, "bytes", "", "Memory that callers occupy which read or send slowly, socket buffers included; where routes are served.")
	metricSlowCallersEnded     = define("slow_callers_ended", Counter, "callers", "reason", "Callers disconnected because they read or sent too slowly: for longer than the limit (stalled), or beyond the memory of a workspace or of the VM; where routes are served.")
	metricConfigHead           = define("config_head", Gauge, "revision", "", "Highest configuration revision in force.")
)

// Metrics reports the metrics of one daemon. It is safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	// series caches counters and histograms by seriesKey: looking one up by its tags
	// in the scope takes 3 us and allocates a map, four times per request.
	series sync.Map
	// brokenStreamTargets bounds the targets that StreamBroken counts one by one.
	brokenStreamTargets tagLimiter
}

// seriesKey identifies a counter or histogram by its name and the values of its tags.
type seriesKey struct{ name, service, tagValue string }

// reportInterval is how often values are passed to the reporter. Metrics are scraped
// every few seconds at most.
const reportInterval = 2 * time.Second

// NewMetrics returns Metrics with a separate registry, so that several daemons can
// run in one test process.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "savorystall",
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
		DefaultBuckets: tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18),
		// Metrics about tally itself are not metrics of the daemon.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the values a last time and stops the reporter.
func (m *Metrics) Close() error { return m.closer.Close() }

// counter returns a counter of a service. Tag is the name of its second tag, or
// empty if it has only one.
func (m *Metrics) counter(name, service, tag, value string) tally.Counter {
	return m.cachedCounter(seriesKey{name, service, value}, func() map[string]string { return tagMap(service, tag, value) })
}

// cachedCounter returns the counter of a key, which has the given tags.
func (m *Metrics) cachedCounter(key seriesKey, tags func() map[string]string) tally.Counter {
	if cached, ok := m.series.Load(key); ok {
		return cached.(tally.Counter)
	}
	c := m.scope.Tagged(tags()).Counter(key.name)
	m.series.Store(key, c)
	return c
}

// histogram returns a histogram of durations; its parameters are those of counter.
func (m *Metrics) histogram(name, service, tag, value string) tally.Histogram {
	key := seriesKey{name, service, value}
	if cached, ok := m.series.Load(key); ok {
		return cached.(tally.Histogram)
	}
	h := m.scope.Tagged(tagMap(service, tag, value)).Histogram(name, tally.DefaultBuckets)
	m.series.Store(key, h)
	return h
}

func tagMap(service, tag, value string) map[string]string {
	m := map[string]string{"service": service}
	if tag != "" {
		m[tag] = value
	}
	return m
}

// Request counts a request by result code; code 0 is a complete response.
func (m *Metrics) Request(service ident.Service, code string) {
	m.counter(metricRequests, string(service), "code", code).Inc(1)
}

// QueueWait records the time from acceptance to a grant.
func (m *Metrics) QueueWait(service ident.Service, class string, d time.Duration) {
	m.histogram(metricQueueWait, string(service), "class", class).RecordDuration(d)
}

// FirstByte records the time from dispatch to the first byte of the response.
func (m *Metrics) FirstByte(service ident.Service, d time.Duration) {
	m.histogram(metricFirstByte, string(service), "", "").RecordDuration(d)
}

// Served adds to the amount of service delivered, in tokens or slot milliseconds.
func (m *Metrics) Served(service ident.Service, workspace ident.Workspace, units int64) {
	m.counter(metricServedUnits, string(service), "workspace", string(workspace)).Inc(units)
}

// Retry counts an attempt after the first one.
func (m *Metrics) Retry(service ident.Service) {
	m.counter(metricRetries, string(service), "", "").Inc(1)
}

// WarmthCheck counts a health check of a target by its result.
func (m *Metrics) WarmthCheck(service ident.Service, result string) {
	m.counter(metricWarmthChecks, string(service), "result", result).Inc(1)
}

// ConnectionForwarded counts a connection that a neighbour took over.
func (m *Metrics) ConnectionForwarded() { m.scope.Counter(metricForwardedConnections).Inc(1) }

// StoreCall counts a call to the platform's store.
func (m *Metrics) StoreCall(table, kind string, failed bool) {
	key := seriesKey{metricStoreCalls, table, kind + strconv.FormatBool(failed)}
	m.cachedCounter(key, func() map[string]string {
		return map[string]string{"table": table, "kind": kind, "failed": strconv.FormatBool(failed)}
	}).Inc(1)
}

// ConnectionUnanswered counts a connection that was closed without a complete response to
// its request. Kept reports whether an earlier request was answered on it.
func (m *Metrics) ConnectionUnanswered(cause, progress string, kept bool) {
	key := seriesKey{metricUnanswered, cause, progress + strconv.FormatBool(kept)}
	m.cachedCounter(key, func() map[string]string {
		return map[string]string{"cause": cause, "progress": progress, "kept": strconv.FormatBool(kept)}
	}).Inc(1)
}

// StreamBroken counts an event stream of a target that did not end as complete.
func (m *Metrics) StreamBroken(target ident.Target, cause string) {
	name := m.brokenStreamTargets.tag(string(target))
	m.cachedCounter(seriesKey{metricStreamsBroken, name, cause}, func() map[string]string {
		return map[string]string{"target": name, "cause": cause}
	}).Inc(1)
}

// Preempted counts a preempted stream and the tokens that must be prefilled again to
// resume it.
func (m *Metrics) Preempted(service ident.Service, tokens int64) {
	m.counter(metricPreemptions, string(service), "", "").Inc(1)
	m.counter(metricPreemptedTokens, string(service), "", "").Inc(tokens)
}

// RoutesAge sets how long ago the store confirmed the routes in force.
func (m *Metrics) RoutesAge(age time.Duration) { m.scope.Gauge(metricRoutesAge).Update(age.Seconds()) }

// TargetWeights sets the least and the greatest weight of a service's targets.
func (m *Metrics) TargetWeights(service ident.Service, least, greatest float64) {
	for bound, weight := range map[string]float64{"min": least, "max": greatest} {
		m.scope.Tagged(map[string]string{"service": string(service), "bound": bound}).Gauge(metricTargetWeight).Update(weight)
	}
}

// SlowCallerBytes reports the memory that slow callers occupy.
func (m *Metrics) SlowCallerBytes(bytes int64) {
	m.scope.Gauge(metricSlowCallerBytes).Update(float64(bytes))
}

// SlowCallerEnded counts a caller that was disconnected because it was too slow.
func (m *Metrics) SlowCallerEnded(reason string) {
	m.cachedCounter(seriesKey{metricSlowCallersEnded, reason, ""}, func() map[string]string { return map[string]string{"reason": reason} }).Inc(1)
}

// StoreRestored counts a restore of the platform's store from a backup.
func (m *Metrics) StoreRestored() { m.scope.Counter(metricStoreRestores).Inc(1) }

// Evacuation records that the evacuation of an availability zone has begun or ended.
func (m *Metrics) Evacuation(zone ident.Zone, begun bool) {
	value := 0.0
	if begun {
		value = 1
	}
	m.scope.Tagged(map[string]string{"zone": string(zone)}).Gauge(metricEvacuated).Update(value)
	key := seriesKey{metricEvacuations, string(zone), strconv.FormatBool(begun)}
	m.cachedCounter(key, func() map[string]string {
		return map[string]string{"zone": string(zone), "evacuated": strconv.FormatBool(begun)}
	}).Inc(1)
}

// ServiceGauges is the state of one service at one daemon.
type ServiceGauges struct {
	Service                        ident.Service
	Waiting, Running, Slots, InUse int
	FairnessGap                    float64
}

// Service sets the gauges of one service.
func (m *Metrics) Service(g ServiceGauges) {
	scope := m.scope.Tagged(tagMap(string(g.Service), "", ""))
	scope.Gauge(metricWaiting).Update(float64(g.Waiting))
	scope.Gauge(metricRunning).Update(float64(g.Running))
	scope.Gauge(metricOwnedSlots).Update(float64(g.Slots))
	scope.Gauge(metricOwnedSlotsUsed).Update(float64(g.InUse))
	scope.Gauge(metricFairnessGap).Update(g.FairnessGap)
}

// Fleet sets the gauges of the links, the members and the configuration.
func (m *Metrics) Fleet(sent, received uint64, members int, head uint64) {
	m.scope.Gauge(metricControlSent).Update(float64(sent))
	m.scope.Gauge(metricControlReceived).Update(float64(received))
	m.scope.Gauge(metricMembers).Update(float64(members))
	m.scope.Gauge(metricConfigHead).Update(float64(head))
}

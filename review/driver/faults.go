package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The services and the tenant of the cases.
const (
	appService  = "wuno96b"
	poolService = "huvo11a"
	tenant      = "hule930"
	tenantKey   = "asnmgkcuyj8pjbvk9m68"
	appTimeout  = 1500
	poolTimeout = 10000
)

// window says whether a disruption is in progress.
type window struct{ open atomic.Bool }

// during opens the window for a time, after a delay, if the case has its disruption.
func (w *window) during(e *env, delay, length time.Duration, name string) {
	if !e.trouble {
		return
	}
	time.AfterFunc(delay, func() {
		e.record.linef("trouble  %s begins", name)
		w.open.Store(true)
	})
	time.AfterFunc(delay+length, func() {
		w.open.Store(false)
		e.record.linef("trouble  %s ends", name)
	})
}

// hits reports whether the disruption strikes this time, with a probability of x.
func (w *window) hits(x float64) bool { return w.open.Load() && rand.Float64() < x }

func appRoute(name, prefix, kind string, attempts int, public bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": appTimeout, "goal_ms": 150, "priority": 2,
		"service": appService, "attempts": attempts, "public": public,
	}
}

func streamRoute(name, prefix string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": "streaming", "timeout_ms": poolTimeout, "goal_ms": 600, "priority": 1,
		"service": poolService, "attempts": attempts, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 250,
	}
}

func configOf(routes []map[string]any, tenants ...map[string]any) map[string]any {
	return map[string]any{
		"routes": routes,
		"services": []map[string]any{
			{"name": appService, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
			{"name": poolService, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 444000, "kv_token_bytes": 131072, "link_mbps": 1100000.0, "stride": 8, "most": 12, "models": []map[string]any{{"name": "m"}},
			}},
		},
		"tenants": append([]map[string]any{{"name": tenant, "api_keys": []string{tenantKey}, "priority": 1}}, tenants...),
	}
}

// begin starts engines, two in each zone, writes the configuration and starts the daemons.
func (e *env) begin(config map[string]any, service string, slots int, answer func(*exchange) bool) error {
	for i := range 4 {
		if _, err := e.addEngine(service, []string{"hall-a", "hall-b"}[i%2], slots, answer); err != nil {
			return err
		}
	}
	e.writeConfig(config)
	return e.startDaemons("hall-a", "hall-b")
}

func postApp(prefix string) request {
	return request{method: http.MethodPost, path: prefix + "2f", body: strings.Repeat("u", 600), header: map[string]string{
		"Deadline-Ms": fmt.Sprint(appTimeout), "Authorization": "Bearer " + tenantKey,
	}}
}

// appWork is how long a request of the app service takes.
const appWork = 15 * time.Millisecond

// appBody is the body of an ordinary answer of the app service.
var appBody = `{"safe":true,"clip":"` + strings.Repeat("k", 780) + `"}`

// served counts the complete successful answers.
func served(results []result) int {
	n := 0
	for _, r := range results {
		if r.err == nil && r.status == http.StatusOK {
			n++
		}
	}
	return n
}

// checkServed returns why a run tells nothing: hardly anything was served.
func checkServed(results []result) string {
	if n := served(results); 2*n < len(results) || n == 0 {
		return fmt.Sprintf("only %d of %d requests were served", n, len(results))
	}
	return ""
}

// strayRefusal: an engine sends a second answer late, at the point where the next one is
// expected (garble, extra late). The second answer is a refusal as engines send it, without an
// Attempt-Id. It must not be taken for the answer to the next request, which the engine runs.
func strayRefusal(e *env) verdict {
	const share, x = 0.5, 0.03
	var garble window
	answer := func(n *exchange) bool {
		n.work(appWork)
		if n.engine.isAmong(e, share) && garble.hits(x) {
			e.record.linef("fault    %s gives %s a second answer, late", n.engine.id, n.attempt)
			n.state.beforeNext = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		}
		return n.respond(http.StatusOK, appBody)
	}
	routes := []map[string]any{appRoute("r-check", "/check/", "non_idempotent", 2, false), appRoute("r-once", "/once/", "non_idempotent", 1, false)}
	if err := e.begin(configOf(routes), appService, 6, answer); err != nil {
		return verdict{invalid: err.Error()}
	}
	garble.during(e, 2*time.Second, 5*time.Second, "garble (extra late), share 0.5, x 0.03, 5 s")
	var turn atomic.Int64
	results := e.traffic(12, 60*time.Millisecond, 10*time.Second, func() request {
		return postApp([]string{"/check/", "/once/"}[turn.Add(1)%2])
	})
	time.Sleep(time.Second)
	v := verdict{invalid: checkServed(results)}
	for _, r := range results {
		runs, _ := runsOf(e.engines, r.attempt)
		if runs > 1 {
			v.violations = append(v.violations, fmt.Sprintf("TWICE: %s, not idempotent, ran %d times", r.attempt, runs))
		}
		if runs > 0 && promisesNotRun(r) {
			v.violations = append(v.violations, fmt.Sprintf("REFUSED: %s, not idempotent, was answered %d and ran %d times", r.attempt, r.status, runs))
		}
	}
	return v
}

// isAmong reports whether an engine is among the first share of all.
func (e *engine) isAmong(all *env, share float64) bool {
	for i, other := range all.engines {
		if other == e {
			return float64(i) < share*float64(len(all.engines))
		}
	}
	return false
}

// promisesNotRun reports whether an answer says that the request has not run and never will.
func promisesNotRun(r result) bool {
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// unsignedSuccess: an engine spoils some of its answers (garble): the client would get a success
// whose head lacks the signature and whose body is not the engine's.
func unsignedSuccess(e *env) verdict {
	const share, x = 0.25, 0.0232
	var garble window
	answer := func(n *exchange) bool {
		n.work(appWork)
		if n.engine.isAmong(e, share) && garble.hits(x) {
			e.record.linef("fault    %s spoils its answer to %s", n.engine.id, n.attempt)
			return writeAll(n.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+n.attempt+"\r\nContent-Type: application/json\r\nContent-Length: 14\r\n\r\n{\"safe\":false}")
		}
		return n.respond(http.StatusOK, appBody)
	}
	routes := []map[string]any{appRoute("r-check", "/check/", "non_idempotent", 1, false)}
	if err := e.begin(configOf(routes), appService, 6, answer); err != nil {
		return verdict{invalid: err.Error()}
	}
	garble.during(e, 2*time.Second, 6800*time.Millisecond, "garble, share 0.25, x 0.0232, 6.8 s")
	results := e.traffic(16, 60*time.Millisecond, 11*time.Second, func() request { return postApp("/check/") })
	v := verdict{invalid: checkServed(results)}
	for _, r := range results {
		if r.err == nil && r.status == http.StatusOK && r.header.Get("Response-Stamp") == "" {
			v.violations = append(v.violations, fmt.Sprintf("MIXED: %s got a success without Response-Stamp: %s", r.attempt, r.body))
		}
	}
	return v
}

// longErrorBody is the body of an engine's own failure: a report of 96 kB.
var longErrorBody = `{"error":"` + strings.Repeat("trace ", 16<<10) + `"}`

// longError: engines fail part of their requests while their health is good (srv_grey, errors).
// A failure has a body of 96 kB. An answer that ends early must not look complete.
func longError(e *env) verdict {
	const x = 0.45
	var grey window
	answer := func(n *exchange) bool {
		n.work(appWork)
		if grey.hits(x) {
			e.record.linef("fault    %s fails %s with 500 and %d bytes", n.engine.id, n.attempt, len(longErrorBody))
			return n.respond(http.StatusInternalServerError, longErrorBody)
		}
		return n.respond(http.StatusOK, longErrorBody)
	}
	routes := []map[string]any{appRoute("r-check", "/check/", "non_idempotent", 1, false)}
	if err := e.begin(configOf(routes), appService, 6, answer); err != nil {
		return verdict{invalid: err.Error()}
	}
	grey.during(e, 2*time.Second, 4*time.Second, "srv_grey (errors all), share 1, x 0.45, 4 s")
	results := e.traffic(4, 60*time.Millisecond, 8*time.Second, func() request { return postApp("/check/") })
	v := verdict{invalid: checkServed(results)}
	for _, r := range results {
		if r.err == nil && r.header.Get("Response-Stamp") != "" && r.body != longErrorBody {
			v.violations = append(v.violations, fmt.Sprintf("MIXED: %s got status %d with the engine's stamp and %d of %d bytes, as a complete answer", r.attempt, r.status, len(r.body), len(longErrorBody)))
		}
	}
	return v
}

// streamEvents and eventGap shape the streams of firstEvent.
const (
	streamEvents = 5
	eventGap     = 240 * time.Millisecond
)

// firstEvent: an engine crashes after the first event of a resumable stream, whose id is 0. The
// stream goes on at another engine; no event may come twice.
func firstEvent(e *env) verdict {
	answer := func(n *exchange) bool {
		next := 0
		if _, err := fmt.Sscanf(n.header.Get("Last-Event-Id"), "%d", &next); err == nil {
			next++
		}
		if !writeAll(n.conn, n.head(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")) {
			return false
		}
		for ; next < streamEvents; next++ {
			n.work(eventGap)
			event := fmt.Sprintf("id: %d\ndata: token %d\n\n", next, next)
			if !writeAll(n.conn, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
				return false
			}
		}
		return writeAll(n.conn, "0\r\n\r\n")
	}
	if err := e.begin(configOf([]map[string]any{streamRoute("r-recap", "/recap/", 2)}), poolService, 64, answer); err != nil {
		return verdict{invalid: err.Error()}
	}
	if e.trouble {
		time.AfterFunc(3*time.Second, func() { e.crashFor(e.engines[0], 2*time.Second) })
	}
	var turn atomic.Int64
	results := e.traffic(80, 1300*time.Millisecond, 9*time.Second, func() request {
		n := turn.Add(1)
		return request{method: http.MethodPost, path: "/recap/2f", body: "{}", header: map[string]string{
			"Deadline-Ms": fmt.Sprint(poolTimeout), "Authorization": "Bearer " + tenantKey, "Model": "m", "Token-Usage": "1460,64",
			"Prompt-Prefix": fmt.Sprintf("5c1e07a%x:800,91bd3f%04x:660", n%8, n),
		}}
	})
	v := verdict{invalid: checkServed(results)}
	for _, r := range results {
		if r.err == nil && r.status == http.StatusOK && strings.Count(r.body, "id: 0\n") != 1 {
			v.violations = append(v.violations, fmt.Sprintf("ORDER: %s got a complete stream with these events: %s", r.attempt, strings.ReplaceAll(r.body, "\n", "|")))
		}
	}
	return v
}

// crashFor lets an engine crash (srv_crash). Its entry lapses, and it comes back under another id.
func (e *env) crashFor(x *engine, down time.Duration) {
	e.record.linef("trouble  srv_crash: %s for %s", x.id, down)
	x.crash()
	time.Sleep(down)
	e.store.remove("servers", x.id)
	x.mu.Lock()
	x.id += "b"
	x.mu.Unlock()
	if err := x.start(e.store); err != nil {
		e.record.linef("engine: %v", err)
	}
}

// publicName is the name of the tenant that a change of the configuration adds.
const publicName = "public"

// publicTenant: a change of the configuration adds a tenant named "public". A client without a
// key uses a public route; no engine may be told that the request is that tenant's.
func publicTenant(e *env) verdict {
	answer := func(n *exchange) bool {
		n.work(appWork)
		return n.respond(http.StatusOK, appBody)
	}
	routes := []map[string]any{appRoute("r-open", "/open/", "idempotent", 2, true)}
	if err := e.begin(configOf(routes), appService, 6, answer); err != nil {
		return verdict{invalid: err.Error()}
	}
	names := map[string]bool{tenant: true}
	if e.trouble {
		e.writeConfig(configOf(routes, map[string]any{"name": publicName, "api_keys": []string{"k7b2ex5wa5xwyhks8nbk"}, "priority": 1}))
		names[publicName] = true
	}
	time.Sleep(3 * time.Second)
	results := e.traffic(4, 60*time.Millisecond, 5*time.Second, func() request {
		return request{method: http.MethodGet, path: "/open/2f", header: map[string]string{"Deadline-Ms": fmt.Sprint(appTimeout)}}
	})
	v := verdict{invalid: checkServed(results)}
	for _, r := range results {
		_, headers := runsOf(e.engines, r.attempt)
		for _, h := range headers {
			if names[h.Get("Tenant")] {
				v.violations = append(v.violations, fmt.Sprintf("UNASKED: %s bore no key and ran with Tenant: %s", r.attempt, h.Get("Tenant")))
			}
		}
	}
	return v
}

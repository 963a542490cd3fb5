// Package reference renders the reference pages of docs/ from the code, so that
// a test can check that the pages are up to date.
package reference

import (
	"fmt"
	"sort"
	"strings"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/telemetry"
)

const generatedNotice = "This page is generated from the code: `go test ./internal/reference -update`.\n\n"

// ResultCodes renders docs/RESULT-CODES.md.
func ResultCodes() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n" + generatedNotice)
	b.WriteString("Every refusal and failure is JSON: `{\"error\":{\"code\":2004,\"name\":\"fleet_full\",\"message\":\"…\",\"run\":\"not_run\",\"request\":\"…\"}}`. ")
	b.WriteString("`run` tells whether the request was run: `not_run` (no byte of it reached a target, or the target's protocol says that it was not processed), `may_have_run`, or `ran`. ")
	b.WriteString("A request whose answer had begun when it failed has its connection aborted instead: a stream without `[DONE]`, or a body shorter than announced, is never a complete answer. ")
	b.WriteString("Numbers are never used again. 1xxx: the request itself; 2xxx: capacity and limits; 3xxx: after dispatch; 4xxx: unrepeatable requests.\n\n")
	b.WriteString("| code | name | HTTP | run | Retry-After | meaning |\n|---|---|---|---|---|---|\n")
	for _, c := range resultcode.All() {
		retryAfter := "–"
		if c.RetryAfter > 0 {
			retryAfter = fmt.Sprintf("%.0f s", c.RetryAfter.Seconds())
		}
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s | %s |\n", c.Number, c.Name, c.HTTPStatus, c.Outcome, retryAfter, c.Text)
	}
	return b.String()
}

// Events renders docs/EVENTS.md.
func Events() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n" + generatedNotice)
	b.WriteString("Each line of the log is JSON and carries `event`, a number of this catalogue. Numbers are never used again. ")
	b.WriteString("1xx: daemon life; 2xx: callers; 3xx: targets; 4xx: configuration and platform; 5xx: claims, leases and orders; 6xx: membership and links; 7xx: decisions.\n\n")
	b.WriteString("| event | level | message | what to do |\n|---|---|---|---|\n")
	for _, e := range event.All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Action)
	}
	return b.String()
}

// Metrics renders docs/METRICS.md.
func Metrics() string {
	rows := append([]telemetry.Metric(nil), telemetry.AllMetrics()...)
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	var b strings.Builder
	b.WriteString("# Metrics\n\n" + generatedNotice)
	b.WriteString("`/metrics` on the operators' port serves them in the Prometheus text format with the prefix `savorystall_`. Histograms are in seconds.\n\n")
	b.WriteString("| metric | kind | unit | tags | meaning |\n|---|---|---|---|---|\n")
	for _, m := range rows {
		fmt.Fprintf(&b, "| savorystall_%s | %s | %s | %s | %s |\n", m.Name, m.Kind, m.Unit, m.Tags, m.Help)
	}
	return b.String()
}

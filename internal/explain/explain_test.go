package explain_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/explain"
)

// logLines are lines of two daemons in the format of a log collector. The first daemon lost
// the store shortly before it refused the request, and the second one served the retry.
const logLines = `
   2.511 entry-1 {"time":"2026-02-19T20:13:55.509Z","level":"WARN","msg":"a table of the store cannot be followed; what is known stays in force","event":420,"table":"op","error":"the store answered 429"}
   2.512 entry-2 {"time":"2026-02-19T20:13:55.510Z","level":"INFO","msg":"the registered targets of a service have changed","event":310,"read":16}
   2.631 entry-1 {"time":"2026-02-19T20:13:55.630Z","level":"INFO","msg":"request refused before it ran","event":204,"request":"c364","route":"r-gmd","service":"pool","workspace":"kalo","routes_version":10,"target":"","by":"home 2","asked":2,"expected_ms":38,"late":false,"back":false,"source":"","held":false,"limit":"share","share_used":2.16,"tokens":1422,"due_ms":495,"waited_ms":7,"first_ms":0,"total_ms":7,"sends":0,"runs":0,"events":0,"last_event":0,"status":0,"code":2004,"run":"not_run","reason":"2004 fleet_full: the fleet is full"}
   2.640 entry-1 {"time":"2026-02-19T20:13:55.640Z","level":"INFO","msg":"request served","event":203,"request":"other","route":"r-gmd","service":"pool","workspace":"kalo"}
   3.712 entry-2 {"time":"2026-02-19T20:13:56.711Z","level":"INFO","msg":"request served","event":203,"request":"c364","route":"r-gmd","service":"pool","workspace":"kalo","routes_version":10,"target":"i-6f","by":"home 1","asked":1,"expected_ms":432,"late":false,"back":true,"source":"i-43","held":true,"limit":"","share_used":0,"tokens":1422,"due_ms":495,"waited_ms":291,"first_ms":69,"total_ms":566,"sends":1,"runs":1,"events":11,"last_event":11,"status":200}
 999.001 entry-1 {"time":"2026-02-19T20:30:00Z","level":"INFO","msg":"a table of the store can be followed again","event":421,"table":"op"}
panic: not one of ours
`

// A request is refused by one daemon although engines have free capacity, and is late at
// another one. The timeline must contain both attempts in order, the reasons for each, and the
// dependency that the daemon had lost just before, and nothing about other requests, daemons
// or times.
func TestTimeline(t *testing.T) {
	is := is.New(t)
	var log explain.Log
	is.NoErr(log.Read(strings.NewReader(logLines), "file"))
	is.Equal(log.Skipped(), 1)
	var b strings.Builder
	is.NoErr(log.WriteTimeline(&b, "c364"))
	is.Equal(b.String(), `20:13:55.509  entry-1  420 a table of the store cannot be followed; what is known stays in force error=the store answered 429 table=op
20:13:55.510  entry-2  310 the registered targets of a service have changed read=16
20:13:55.630  entry-1  204 request refused before it ran
    workspace kalo, service pool, route r-gmd at version 10, 1422 prompt tokens
    its first byte was due within 495 ms
    refused: the target had something to spare, but the workspace was too far ahead of one that lacks (2 owners asked, a wait of 38 ms told; the workspace had had 216% of its share)
    2004 fleet_full: the fleet is full; run: not_run
20:13:56.711  entry-2  203 request served
    workspace kalo, service pool, route r-gmd at version 10, 1422 prompt tokens
    it was refused before and came back: late, it got what is spare
    sent to i-6f (home 1, 1 owners asked) after 291 ms, its first byte expected after 432 ms; held back until the target had read what it shares with another request; the beginning of its prompt was copied from i-43
    first byte after 69 ms, end after 566 ms, 11 events, status 200; 1 targets may have run it
`)
}

// A daemon that is short of processor time refuses a request when it has read only the URL,
// without asking an owner. The log line then has no route.
func TestTimelineOfARequestWithoutRoute(t *testing.T) {
	is := is.New(t)
	var log explain.Log
	is.NoErr(log.Read(strings.NewReader(`{"time":"2026-02-19T20:13:55Z","level":"INFO","msg":"request refused before it ran","event":204,"request":"a1","host":"h.example","path":"/x/","code":2010,"run":"not_run","reason":"2010 daemon_busy"}`), "entry-7.log"))
	var b strings.Builder
	is.NoErr(log.WriteTimeline(&b, "a1"))
	is.Equal(b.String(), `20:13:55.000  entry-7.log  204 request refused before it ran
    the daemon knew no more of it than its address h.example/x/
    2010 daemon_busy; run: not_run
`)
}

// Log lines about requests are rate-limited and sampled, so that a request may have none. This
// must be reported as an error and not as an empty timeline.
func TestUnknownRequestIsAnError(t *testing.T) {
	is := is.New(t)
	var log explain.Log
	is.NoErr(log.Read(strings.NewReader(logLines), "file"))
	is.True(errors.Is(log.WriteTimeline(&strings.Builder{}, "never"), explain.ErrNotFound))
}

// Guards against a refusal without a visible cause: the share report nearest to it shows why
// requests of the workspace were refused, and how the workspace's tokens compare to half of
// those of the best-served one.
func TestTimelineOfARefusalIncludesShareReport(t *testing.T) {
	is := is.New(t)
	const shareLines = `
{"time":"2026-02-19T20:13:53Z","level":"INFO","msg":"how a service is shared","event":701,"service":"pool","level":1,"most":null}
{"time":"2026-02-19T20:13:55Z","level":"INFO","msg":"how a service is shared","event":701,"service":"pool","level":63000,"most":[{"workspace":"kalo","asked":6850000,"shed":5000000,"granted":690000,"unused":0},{"workspace":"timi","asked":3000000,"shed":0,"granted":1650000,"unused":10000}],"sheds":0.95,"own":[{"workspace":"kalo","shed":98000,"unheard":12,"granted":4000,"refused":{"time":70,"spare":2000}}],"targets":{"owned":2,"taken":0.25,"use":0.4}}
{"time":"2026-02-19T20:13:55.1Z","level":"INFO","msg":"how a service is shared","event":701,"service":"other","level":2}
{"time":"2026-02-19T20:13:55.3Z","level":"INFO","msg":"request refused before it ran","event":204,"request":"a1","route":"r","service":"pool","workspace":"kalo","routes_version":10,"tokens":1422,"due_ms":495,"limit":"spare","asked":2,"expected_ms":38,"share_used":1.5,"reason":"2004 fleet_full","run":"not_run"}
`
	var log explain.Log
	is.NoErr(log.Read(strings.NewReader(shareLines), "file"))
	var b strings.Builder
	is.NoErr(log.WriteTimeline(&b, "a1"))
	beforeRefusal, _, _ := strings.Cut(b.String(), "20:13:55.300")
	is.Equal(beforeRefusal, `20:13:55.000  file  701 how a service is shared
    a workspace may have 63000 tokens a second
    kalo asked for 6850000, 5000000 of it refused for want of processor time, and got 690000: 0.84 of half of what timi got
    timi asked for 3000000, 0 of it refused for want of processor time, and got 1640000
    this daemon refuses 95% of new requests for want of processor time; its 2 targets have 25% of their slots taken
    here kalo was granted 4000 and refused 98000 for want of processor time, 12 since no owner answered in time, 2000 as an owner (spare), 70 as an owner (time)
`)
}

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Streams of mixedVersions.
const (
	versionEvents = 14
	versionGap    = 150 * time.Millisecond
	mixedClients  = 240
)

// Times of mixedVersions, from the beginning of the cut on.
const (
	releaseAfter = 50 * time.Millisecond
	killAfter    = 520 * time.Millisecond
	storeCutSpan = 5 * time.Second
	// settleTime is more than a stream of the site can last and be taken up again: what the daemons
	// know of the versions in use is complete then.
	settleTime = 21 * time.Second
)

// versionStream answers with a stream whose events name the version of the engine.
func versionStream(version string) func(*exchange) bool {
	return func(x *exchange) bool {
		next := 1
		if n, err := fmt.Sscanf(x.header.Get("Last-Event-Id"), "%d", &next); n == 1 && err == nil {
			next++
		}
		if !writeAll(x.conn, x.head(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")) {
			return false
		}
		for ; next <= versionEvents; next++ {
			event := fmt.Sprintf("id: %d\ndata: %s token %d\n\n", next, version, next)
			if !writeAll(x.conn, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
				return false
			}
			x.work(versionGap)
		}
		return writeAll(x.conn, "0\r\n\r\n")
	}
}

// startNewVersion starts an engine of version v2 (release: the new one starts first).
func (e *env) startNewVersion() {
	for range 3 {
		added, err := e.addEngineOf("v2", poolService, "hall-b", 64, versionStream("v2"))
		if err != nil {
			e.record.linef("engine: %v", err)
			return
		}
		e.record.linef("release  %s of version v2 is ready", added.id)
	}
}

// lastEventID returns the id of the last whole event of a body; empty if there is none.
func lastEventID(body string) string {
	body = body[:strings.LastIndex(body, "\n\n")+1]
	i := strings.LastIndex(body, "id: ")
	if i < 0 {
		return ""
	}
	id, _, _ := strings.Cut(body[i+len("id: "):], "\n")
	return id
}

// stream sends a request for a stream. If its connection breaks, it takes the stream up once, at
// the other daemon of its zone. It returns all events that came.
func (e *env) stream(c *client, other string, n int64) string {
	r := request{method: http.MethodPost, path: "/recap/2f", body: "{}", header: map[string]string{
		"Deadline-Ms": fmt.Sprint(poolTimeout), "Authorization": "Bearer " + tenantKey, "Model": "m", "Token-Usage": "1460,112",
		"Prompt-Prefix": fmt.Sprintf("5c1e07a%x:800,91bd3f%04x:660", n%16, n),
	}}
	first := c.send(r)
	last := lastEventID(first.body)
	if first.err == nil || last == "" {
		return first.body
	}
	r.header["Last-Event-Id"], r.header["Resumes"] = last, first.attempt
	c.address = other
	second := c.send(r)
	e.record.linef("again    %s went on after event %s as %s, status %d", first.attempt, last, second.attempt, second.status)
	return first.body + second.body
}

// mixedVersions: one of the two daemons of a zone is cut off from the store, an engine of another
// software version starts, and the other daemon is killed. Its callers take their streams up at the
// first one. No stream may hold events of two versions.
func mixedVersions(e *env) verdict {
	for i := range 12 {
		if _, err := e.addEngine(poolService, mixedZones[i%3], 64, versionStream("v1")); err != nil {
			return verdict{invalid: err.Error()}
		}
	}
	e.writeConfig(configOf([]map[string]any{streamRoute("r-recap", "/recap/", 2)}))
	path, err := newLink(strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		return verdict{invalid: err.Error()}
	}
	const cutOffIndex = 1
	e.storePaths = map[string]string{fmt.Sprintf("edge-%s-%d", mixedZones[cutOffIndex], cutOffIndex+1): path.address()}
	if err := e.startDaemons(mixedZones...); err != nil {
		return verdict{invalid: err.Error()}
	}
	killed, cutOff := e.daemons[0], e.daemons[cutOffIndex]
	time.Sleep(settleTime)
	var stop atomic.Bool
	go func() {
		time.Sleep(3 * time.Second)
		path.awaitAnswer(3 * time.Second)
		if e.trouble {
			e.record.linef("trouble  core_cut: %s is cut off from the store for %s", cutOff.name, storeCutSpan)
			path.cut()
			time.AfterFunc(storeCutSpan, path.restore)
		}
		time.Sleep(releaseAfter)
		e.startNewVersion()
		time.Sleep(killAfter - releaseAfter)
		stop.Store(true)
		if e.trouble {
			e.record.linef("trouble  node_kill: SIGKILL to %s", killed.name)
			_ = killed.command.Process.Signal(syscall.SIGKILL)
		}
	}()
	var mu sync.Mutex
	var bodies []string
	var turn atomic.Int64
	var clients sync.WaitGroup
	for i := range mixedClients {
		clients.Go(func() {
			c := &client{record: e.record, address: killed.callers}
			defer c.close()
			time.Sleep(time.Duration(i) * 2100 * time.Millisecond / mixedClients)
			for !stop.Load() {
				body := e.stream(c, cutOff.callers, turn.Add(1))
				mu.Lock()
				bodies = append(bodies, body)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return checkVersions(bodies)
}

// mixedZones are the zones of the daemons of mixedVersions.
var mixedZones = []string{"hall-a", "hall-a", "hall-b"}

// maxMixed is how many streams may hold events of two versions.
const maxMixed = 2

func checkVersions(bodies []string) verdict {
	v := verdict{}
	var mixed []string
	byVersion := map[string]int{}
	for _, body := range bodies {
		seen := map[string]bool{}
		for lines := bufio.NewScanner(strings.NewReader(body)); lines.Scan(); {
			if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
				seen[strings.Fields(text)[0]] = true
			}
		}
		for version := range seen {
			byVersion[version]++
		}
		if len(seen) > 1 {
			mixed = append(mixed, strings.ReplaceAll(body, "\n", "|"))
		}
	}
	if byVersion["v1"] == 0 || byVersion["v2"] == 0 {
		v.invalid = fmt.Sprintf("streams by version: %v", byVersion)
	}
	if len(mixed) > maxMixed {
		v.violations = append(v.violations, fmt.Sprintf("ORDER: %d streams hold events of two versions, such as %s", len(mixed), mixed[0]))
	}
	return v
}

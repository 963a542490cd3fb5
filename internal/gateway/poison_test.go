package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/targetconn"
)

// Guards against requests that are suspected because their connections broke: only a target that
// accepts no connections any more has ended.
func TestTargetThatAcceptsConnectionsHasNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var checks crashChecks
		is.True(!checks.hasEnded(func(string) bool { return true }, registry.Entry{Identity: "alive"}))
		is.True(checks.hasEnded(func(string) bool { return false }, registry.Entry{Identity: "ended"}))
	})
}

// Guards against a connection to a target for each request that broke off there.
func TestRequestsThatBreakOffTogetherShareOneCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var checks crashChecks
		var dials atomic.Int64
		var ended atomic.Int64
		var requests sync.WaitGroup
		for range 50 {
			requests.Go(func() {
				if checks.hasEnded(func(string) bool { dials.Add(1); return false }, registry.Entry{Identity: "t"}) {
					ended.Add(1)
				}
			})
		}
		requests.Wait()
		is := is.New(t)
		is.Equal(dials.Load(), int64(1))
		is.Equal(ended.Load(), int64(50))
	})
}

// Guards against a crash that is not seen because the target was alive when another request had
// broken off there, right before.
func TestTargetThatEndsRightAfterACheckIsCheckedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var checks crashChecks
		entry := registry.Entry{Identity: "t"}
		is.True(!checks.hasEnded(func(string) bool { return true }, entry))
		time.Sleep(300 * time.Millisecond)
		is.True(checks.hasEnded(func(string) bool { return false }, entry))
		is.True(checks.hasEnded(func(string) bool { t.Error("checked again"); return true }, entry)) // its end is known
	})
}

// Guards against lines of requests that broke off that do not tell what these have in common.
func TestLineOfBrokenRequestNamesSharedParts(t *testing.T) {
	pr := &proxyRequest{info: RequestInfo{Parts: []booking.PromptPart{{ID: 0xa}, {ID: 0xb2}, {ID: 0xc}}}}
	is := is.New(t)
	is.Equal(sharedPartIDs(pr), []string{"a", "b2"}) // the last part is the request's own
	is.Equal(sharedPartIDs(&proxyRequest{}), []string{})
}

// fakePoison holds back what its table says.
type fakePoison struct {
	noPoison
	table *poison.Table
}

func (f *fakePoison) PoisonTable() *poison.Table { return f.table }

// holdTable returns a table that holds a request back.
func holdTable(t *testing.T, request poison.Subject) *poison.Table {
	t.Helper()
	core := poison.New("d", poison.NewRecent())
	core.Recall(time.Now(), []poison.Hold{{Subject: request}})
	for _, effect := range core.TakeEffects() {
		if changed, ok := effect.(poison.TableChanged); ok {
			return changed.Table
		}
	}
	t.Fatal("no table")
	return nil
}

// Guards against a request that is sent although it was held back while it waited for a target.
func TestRequestThatIsHeldWhileItWaitsIsNotSent(t *testing.T) {
	is := is.New(t)
	held := &fakePoison{}
	placer := &fakePlacer{placeFunc: func() control.Placement {
		held.table = holdTable(t, poison.Subject{
			Fingerprint: poison.NewFingerprint("club", "POST", "h.example", "/a/x", []byte("body")),
			Filter:      poison.NewFilter("club", "POST", "h.example", "/a/x", []byte("body")),
		})
		return control.Placement{Target: "t"}
	}}
	s := newTestServer(t, route.Service{Name: "app"}, true, placer)
	s.Poison, s.Pool = held, targetconn.New(targetconn.Config{})
	var sent atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { sent.Add(1) }))
	defer target.Close()
	s.SetTargets(&Targets{ByIdentity: map[ident.Target]registry.Entry{
		"t": {Identity: "t", Service: "app", Address: target.Listener.Addr().String()},
	}})
	w := post(s, "/a/x", "key")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(w.Body.String(), "request_held"))
	is.Equal(sent.Load(), int64(0))
	is.Equal(placer.finishCalls, 1) // its place is free again
}

// Only what the target's side ended may have ended the target.
func TestWhichAttemptsBrokeOff(t *testing.T) {
	eof := errors.New("unexpected EOF")
	for _, c := range []struct {
		name   string
		result attemptResult
		want   bool
	}{
		{"whole", attemptResult{sent: true}, false},
		{"cut", attemptResult{sent: true, targetFailed: true, failure: resultcode.Fail(resultcode.AnswerCut, "").WithCause(eof)}, true},
		{"lost", attemptResult{sent: true, targetFailed: true, failure: resultcode.Fail(resultcode.ConnectionLost, "").WithCause(eof)}, true},
		{"silent", attemptResult{sent: true, targetFailed: true, failure: resultcode.Fail(resultcode.ConnectionLost, "").WithCause(syscall.ETIMEDOUT)}, false},
		{"never sent", attemptResult{targetFailed: true, failure: resultcode.Fail(resultcode.TargetRefused, "").WithCause(eof)}, false},
		{"caller gone", attemptResult{sent: true, failure: resultcode.Fail(resultcode.CallerGone, "")}, false},
		{"error of the target", attemptResult{sent: true, targetFailed: true, failure: resultcode.Fail(resultcode.TargetError, "")}, false},
	} {
		is.New(t).Equal(c.result.brokeOff(), c.want) // c.name
	}
}

package daemon_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/daemon"
	"github.com/savorystall/savorystall/internal/dev"
	"github.com/savorystall/savorystall/internal/emulator"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/settings"
)

// startDev runs a daemon with the embedded emulator until the test ends.
func startDev(t *testing.T, overrides ...settings.Override) (*emulator.Emulator, daemon.Addresses) {
	t.Helper()
	emu, err := dev.Start(t.Context())
	is.New(t).NoErr(err)
	t.Cleanup(emu.Close)
	return emu, startDaemon(t, append(overrides, func(s *settings.Settings) { s.Platform.URL = emu.PlatformURL })...)
}

// startDaemon runs a daemon until the test ends, and returns once the daemon is ready.
func startDaemon(t *testing.T, overrides ...settings.Override) daemon.Addresses {
	t.Helper()
	is := is.New(t)
	defaults := func(s *settings.Settings) {
		s.Daemon, s.Zone = "dev", dev.Zone
		s.Callers.Listen, s.Operators.Listen, s.Fleet.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		s.Callers.BodyTimeout = 500 * time.Millisecond
		s.Stop.BalancerLag = 0
	}
	s, err := settings.Parse(nil, append([]settings.Override{defaults}, overrides...)...)
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	ready, ended := make(chan daemon.Addresses, 1), make(chan error, 1)
	go func() {
		ended <- daemon.Run(ctx, s, slog.New(slog.DiscardHandler), func(a daemon.Addresses) { ready <- a })
	}()
	t.Cleanup(func() {
		stop()
		is.NoErr(<-ended)
	})
	select {
	case a := <-ready:
		return a
	case err := <-ended:
		ended <- err
		t.Fatal("the daemon stopped before it was ready: ", err)
		return daemon.Addresses{}
	}
}

const jsonType = "application/json"

// badRequest is an invalid request and the result code that it must get.
type badRequest struct {
	name, method, path, key, media, body string
	header                               map[string]string
	want                                 resultcode.Code
}

func badRequests() []badRequest {
	post := func(name, path, body string, want resultcode.Code) badRequest {
		return badRequest{name: name, method: http.MethodPost, path: path, key: dev.Key, media: jsonType, body: body, want: want}
	}
	const completions, chat = "/v1/completions", "/v1/chat/completions"
	const good = `{"model":"recap-1","prompt":"p","max_tokens":1}`
	withKey := func(c badRequest, key string) badRequest { c.key = key; return c }
	withMedia := func(c badRequest, media string) badRequest { c.media = media; return c }
	withHeader := func(c badRequest, name, value string) badRequest {
		c.header = map[string]string{name: value}
		return c
	}
	get := func(name, path string, want resultcode.Code) badRequest {
		return badRequest{name: name, method: http.MethodGet, path: path, key: dev.Key, want: want}
	}
	return []badRequest{
		withKey(post("no key", completions, good, resultcode.Unauthenticated), ""),
		withKey(post("unknown key", completions, good, resultcode.Unauthenticated), "nobody"),
		withKey(post("blank key", completions, good, resultcode.Unauthenticated), " "),
		withKey(post("key hash in place of key", completions, good, resultcode.Unauthenticated), "sha256:00"),
		withKey(get("no key on models", "/v1/models", resultcode.Unauthenticated), ""),
		withKey(get("unknown key on models", "/v1/models", resultcode.Unauthenticated), "nobody"),
		withKey(get("no key on a plain service", "/services/portal/x", resultcode.Unauthenticated), ""),
		withKey(get("key of another service", "/services/portal/x", resultcode.Forbidden), dev.OtherKey),
		withHeader(withKey(post("basic authentication", completions, good, resultcode.Unauthenticated), ""), "Authorization", "Basic eDp5"),
		withMedia(post("no content type", completions, good, resultcode.UnsupportedMediaType), ""),
		withMedia(post("form", completions, "model=recap-1", resultcode.UnsupportedMediaType), "application/x-www-form-urlencoded"),
		withMedia(post("broken content type", completions, good, resultcode.UnsupportedMediaType), ";;"),
		post("empty body", completions, "", resultcode.BadRequest),
		post("cut JSON", completions, `{"model":"recap-1"`, resultcode.BadRequest),
		post("array", completions, `[1]`, resultcode.BadRequest),
		post("number", chat, `7`, resultcode.BadRequest),
		post("model of wrong type", completions, `{"model":7,"prompt":"p"}`, resultcode.BadRequest),
		post("no model", completions, `{"prompt":"p"}`, resultcode.BadRequest),
		post("no prompt", completions, `{"model":"recap-1"}`, resultcode.BadRequest),
		post("no messages", chat, `{"model":"recap-1"}`, resultcode.BadRequest),
		post("negative max_tokens", completions, `{"model":"recap-1","prompt":"p","max_tokens":-1}`, resultcode.BadRequest),
		post("max_tokens of wrong type", completions, `{"model":"recap-1","prompt":"p","max_tokens":"x"}`, resultcode.BadRequest),
		post("stream of wrong type", completions, `{"model":"recap-1","prompt":"p","stream":"yes"}`, resultcode.BadRequest),
		post("two documents", completions, good+good, resultcode.BadRequest),
		post("unknown model", completions, `{"model":"nothing","prompt":"p"}`, resultcode.UnknownService),
		withHeader(post("unknown operation", completions, good, resultcode.UnknownOperation), "X-Savorystall-Operation", "fly"),
		post("body above the limit", completions, `{"model":"recap-1","prompt":"`+strings.Repeat("x", 9<<20)+`"}`, resultcode.BodyTooLarge),
		get("unknown path", "/v2/completions", resultcode.NotFound),
		get("wrong method", completions, resultcode.MethodNotAllowed),
		get("unknown service", "/services/nothing/x", resultcode.UnknownService),
		get("model service as a plain one", "/services/lm-pool/x", resultcode.UnknownService),
		{name: "wrong method of a plain service", method: http.MethodDelete, path: "/services/portal/x", key: dev.Key, want: resultcode.MethodNotAllowed},
		get("encoded slash", "/services/portal/a%2Fb", resultcode.UnknownOperation),
		get("encoded dots", "/services/portal/a/%2e%2e%5cb", resultcode.UnknownOperation),
		get("encoded name of a service", "/services/p%6Frtal/x", resultcode.UnknownService),
		post("no idempotency key", "/services/portal/claims", "x", resultcode.IdempotencyKeyRequired),
		post("wrong path of a plain service", "/services/portal/other", "x", resultcode.MethodNotAllowed),
	}
}

// errorAnswer is the JSON body of an error response.
type errorAnswer struct {
	Error struct {
		Code int                `json:"code"`
		Name string             `json:"name"`
		Run  resultcode.Outcome `json:"run"`
	} `json:"error"`
}

// A caller that sends an invalid request must be told which rule it violates and that
// nothing was run, and no target may receive any part of it.
func TestInvalidRequestsNeverReachTarget(t *testing.T) {
	emu, addrs := startDev(t)
	before := emu.TargetRequests()
	for _, c := range badRequests() {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			request, err := http.NewRequest(c.method, "http://"+addrs.Callers+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			if c.key != "" {
				request.Header.Set("Authorization", "Bearer "+c.key)
			}
			if c.media != "" {
				request.Header.Set("Content-Type", c.media)
			}
			for name, value := range c.header {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			is.NoErr(err)
			var answer errorAnswer
			is.NoErr(json.Unmarshal(text, &answer))
			is.Equal(answer.Error.Name, c.want.Name)
			is.Equal(answer.Error.Code, c.want.Number)
			is.Equal(answer.Error.Run, resultcode.NotRun)
			is.Equal(response.StatusCode, c.want.HTTPStatus)
		})
	}
	is.New(t).Equal(emu.TargetRequests(), before)
}

// A caller that stops in the middle of its body must not keep the request open: it is
// refused after the body timeout.
func TestStalledRequestBodyTimesOut(t *testing.T) {
	is := is.New(t)
	_, addrs := startDev(t)
	body, bodyWriter := io.Pipe()
	defer func() { _ = bodyWriter.Close() }()
	go func() { _, _ = bodyWriter.Write([]byte(`{"model":`)) }()
	request, err := http.NewRequest(http.MethodPost, "http://"+addrs.Callers+"/v1/completions", body)
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+dev.Key)
	request.Header.Set("Content-Type", jsonType)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, resultcode.BodyTimeout.HTTPStatus)
}

package config_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"

	"github.com/savorystall/savorystall/internal/platform"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

var errBroken = errors.New("connection broken")

// direct calls a handler without a network.
type direct struct{ handler http.Handler }

func (d direct) RoundTrip(r *http.Request) (response *http.Response, err error) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	defer func() {
		if cause := recover(); cause == http.ErrAbortHandler {
			response, err = nil, errBroken
		} else if cause != nil {
			panic(cause)
		}
	}()
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// directClient returns a client of the stand-in that retries at once.
func directClient(server *platformstandin.Server) *platform.Client {
	return platform.NewClient(platform.ClientConfig{
		URL:    "http://platform",
		HTTP:   &http.Client{Transport: direct{handler: server}},
		Random: func() float64 { return 0 },
		Logger: quiet,
	})
}

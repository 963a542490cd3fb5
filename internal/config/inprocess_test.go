package config_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"

	"github.com/savorystall/savorystall/internal/platform"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

var errConnectionBroken = errors.New("connection broken")

// handlerTransport is an http.RoundTripper that calls a handler without a
// network.
type handlerTransport struct{ handler http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	defer func() {
		if recovered := recover(); recovered == http.ErrAbortHandler {
			response, err = nil, errConnectionBroken
		} else if recovered != nil {
			panic(recovered)
		}
	}()
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// newInProcessClient returns a client of the simulated platform that retries
// without delay.
func newInProcessClient(server *platformstandin.Server) *platform.Client {
	return platform.NewClient(platform.ClientConfig{
		URL:    "http://platform",
		HTTP:   &http.Client{Transport: handlerTransport{handler: server}},
		Random: func() float64 { return 0 },
		Logger: discardLogger,
	})
}

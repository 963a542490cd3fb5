package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// result is what a client has received.
type result struct {
	status int
	header http.Header
	body   []byte
	// err is set if the response is not complete.
	err error
}

// send sends one request on a connection of its own and reads the whole response.
func (f *fixture) send(d *daemon, method, attempt string, body []byte, deadline time.Duration, headers map[string]string) result {
	return f.sendWith(&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}, d, method, attempt, body, deadline, headers)
}

// sendWith is send with a client that may keep its connections.
func (f *fixture) sendWith(client *http.Client, d *daemon, method, attempt string, body []byte, deadline time.Duration, headers map[string]string) result {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+prefix+"2f", bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	request.Host = host
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	if request.Header.Get("Authorization") == "" {
		request.Header.Del("Authorization")
	}
	f.rec.line("client sends %s %s with %d bytes to %s", method, attempt, len(body), d.name)
	response, err := client.Do(request)
	if err != nil {
		f.rec.line("client gets no response to %s: %v", attempt, err)
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	r := result{status: response.StatusCode, header: response.Header}
	r.body, r.err = io.ReadAll(response.Body)
	f.rec.line("client gets %d to %s: %s", r.status, attempt, describe(r))
	return r
}

func describe(r result) string {
	text := fmt.Sprintf("%d bytes, announced %q, signature %q, end %v", len(r.body), r.header.Get("Content-Length"), r.header.Get("Response-Stamp"), r.err)
	if len(r.body) < 300 {
		text += ", " + string(r.body)
	}
	return text
}

package attempt

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"go.opentelemetry.io/otel/propagation"
	"golang.org/x/net/http/httpguts"
)

// Headers of the protocol between daemon and targets.
const (
	headerAttempt      = "X-Savorystall-Attempt"
	headerNotProcessed = "X-Savorystall-Not-Processed"
	headerLeaving      = "X-Savorystall-Leaving"
	headerLastEventID  = "Last-Event-ID"
	headerContinued    = "X-Savorystall-Continued"
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strippedHeaders are request headers that are not forwarded. Authorization holds
// the bearer key, which is meant for the daemon only. Expect is useless because
// the body is already complete. The protocol's own headers are set only by this
// package.
var strippedHeaders = []string{
	"Authorization", "Expect", "Content-Length", "Host",
	headerAttempt, headerNotProcessed, headerLeaving, headerLastEventID, headerContinued,
}

// endToEndHeaders returns a copy of h without the hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// requestHeader returns the headers to send to a target.
func requestHeader(ctx context.Context, h http.Header) http.Header {
	out := endToEndHeaders(h)
	for _, name := range strippedHeaders {
		out.Del(name)
	}
	if _, set := out["User-Agent"]; !set {
		out["User-Agent"] = nil
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(out))
	lowercaseIdempotencyKeys(out)
	return out
}

// idempotencyHeaders cause net/http's transport to retry a request on its own.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// lowercaseIdempotencyKeys renames idempotency headers to lower case so that the
// transport does not recognize them.
//
// It prevents duplicate runs: if a reused connection breaks, the transport resends
// a request with such a header on its own, although the target may have run the
// first one. The transport looks the header up by its canonical name, while
// targets treat header names as case-insensitive.
func lowercaseIdempotencyKeys(h http.Header) {
	for _, name := range idempotencyHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

// nonRewindableBody is a request body that cannot be read again. The transport
// considers a request replayable if it has no body or if GetBody is set; with a
// nonRewindableBody neither is the case, whatever the method.
type nonRewindableBody struct {
	io.Reader
}

// Close implements io.Closer.
func (nonRewindableBody) Close() error { return nil }

// newRequest builds a request that the transport never retries on its own.
func newRequest(ctx context.Context, method string, u *url.URL, h http.Header, body []byte) *http.Request {
	req := (&http.Request{
		Method:     method,
		URL:        u,
		Host:       u.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     h,
	}).WithContext(ctx)
	if len(body) > 0 {
		req.Body = nonRewindableBody{bytes.NewReader(body)}
		req.ContentLength = int64(len(body))
		return req
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		// The transport retries these methods if they have no body. It detects that
		// this body is empty and sends none.
		req.Body = nonRewindableBody{strings.NewReader("")}
	default:
		req.Body = http.NoBody
	}
	return req
}

func targetURL(address, escapedPath, rawQuery string) (*url.URL, error) {
	path, err := url.PathUnescape(escapedPath)
	if err != nil {
		return nil, err
	}
	return &url.URL{Scheme: "http", Host: address, Path: path, RawPath: escapedPath, RawQuery: rawQuery}, nil
}

// validHeader reports whether all header names and values are valid.
func validHeader(h http.Header) bool {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return false
			}
		}
	}
	return true
}

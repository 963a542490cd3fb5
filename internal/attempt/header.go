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

// Headers of the protocol towards targets.
const (
	headerAttempt      = "X-Savorystall-Attempt"
	headerNotProcessed = "X-Savorystall-Not-Processed"
	headerLeaving      = "X-Savorystall-Leaving"
	headerLastEventID  = "Last-Event-ID"
	headerContinued    = "X-Savorystall-Continued"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// withheld are request headers that are not passed on: Authorization is the
// bearer key, which ends at the daemon; the body is whole, so that Expect has
// no use; the protocol's own headers are set here alone.
var withheld = []string{
	"Authorization", "Expect", "Content-Length", "Host",
	headerAttempt, headerNotProcessed, headerLeaving, headerLastEventID, headerContinued,
}

// endToEnd returns a copy of h without the headers of one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// requestHeader returns the headers to send to a target.
func requestHeader(ctx context.Context, h http.Header) http.Header {
	out := endToEnd(h)
	for _, name := range withheld {
		out.Del(name)
	}
	if _, set := out["User-Agent"]; !set {
		out["User-Agent"] = nil
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(out))
	hideIdempotencyKeys(out)
	return out
}

// replayHeaders make net/http's transport repeat a request by itself.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// hideIdempotencyKeys moves idempotency keys to a spelling that the transport
// does not know.
//
// It guards against doubles: on a reused connection that breaks, the transport
// sends a request with such a key again by itself, although the target may have
// run the first one. It looks the header up by its canonical spelling; targets
// read header names in any case.
func hideIdempotencyKeys(h http.Header) {
	for _, name := range replayHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

// onceBody is a request body that cannot be rewound. The transport takes a
// request as replayable where it has no body, or where GetBody is set; with a
// onceBody it is neither, whatever the method.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// newRequest builds a request that the transport never repeats by itself.
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
		req.Body = onceBody{bytes.NewReader(body)}
		req.ContentLength = int64(len(body))
		return req
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		// The transport repeats these by their method alone. It finds this body
		// empty and sends none.
		req.Body = onceBody{strings.NewReader("")}
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

// validHeader tells whether all names and values may be written.
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

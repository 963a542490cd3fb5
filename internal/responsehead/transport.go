package responsehead

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
)

// Transport is an http.Transport that fails requests whose responses have malformed heads, and bodies with
// malformed trailers. Responses over TLS are not checked.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that sends requests by t, whose connections it opens from then on.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c, reader: NewReader(c)}, nil
	}
	return &Transport{t}
}

// Conn is a connection of a Transport.
type Conn struct {
	net.Conn
	reader *Reader
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// NetConn returns the connection that the transport's dialer has opened.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// RoundTrip implements http.RoundTripper. The error of a malformed head is a Violation.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var last atomic.Pointer[Reader]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			_ = c.reader.ExpectHead(nil) // no byte of the response was read yet
			last.Store(c.reader)
		}
	}})
	response, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		if reader := last.Load(); reader != nil {
			err = cmp.Or(reader.Violation(), err)
		}
		return nil, err
	}
	if slices.Contains(response.TransferEncoding, "chunked") {
		response.Body = &trailerBody{response.Body, response}
	}
	return response, nil
}

// trailerBody is a body in chunks, which ends only with a sound trailer.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if violation := CheckTrailer(b.response.Trailer); violation != nil {
			err = violation
		}
	}
	return n, err
}

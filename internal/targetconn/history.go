package targetconn

import "slices"

// History holds the connections on which one request was sent. The zero value is that of a request
// that was not sent yet. It must not be used by several goroutines at once.
type History struct{ conns []*conn }

// contains reports whether the request was sent on a connection; a nil history contains none.
func (h *History) contains(c *conn) bool { return h != nil && slices.Contains(h.conns, c) }

// add records that the request is sent on a connection.
func (h *History) add(c *conn) {
	if h != nil {
		h.conns = append(h.conns, c)
	}
}

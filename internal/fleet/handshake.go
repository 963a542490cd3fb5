package fleet

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/savorystall/savorystall/internal/event"
)

// handshakeLogInterval is the minimum time between two log lines about failed
// handshakes.
const handshakeLogInterval = 10 * time.Second

// loggingCredentials logs failed TLS handshakes. grpc-go does not report their
// errors, so a wrong certificate was not visible on either side: the daemon
// just had no links, and the targets of its zone had two owners.
type loggingCredentials struct {
	credentials.TransportCredentials
	node *Node
}

func (n *Node) withHandshakeLogging(c credentials.TransportCredentials) credentials.TransportCredentials {
	return &loggingCredentials{TransportCredentials: c, node: n}
}

func (c *loggingCredentials) logFailure(conn net.Conn, err error) {
	if err == nil || c.node.ctx.Err() != nil {
		return
	}
	c.node.handshakeLogLimit.Do(func() {
		event.FleetHandshakeFailed.Log(c.node.cfg.Logger, "remote", conn.RemoteAddr().String(), "error", err)
	})
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *loggingCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := c.TransportCredentials.ClientHandshake(ctx, authority, conn)
	c.logFailure(conn, err)
	return secured, info, err
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *loggingCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := c.TransportCredentials.ServerHandshake(conn)
	c.logFailure(conn, err)
	return secured, info, err
}

// Clone implements credentials.TransportCredentials.
func (c *loggingCredentials) Clone() credentials.TransportCredentials {
	clone := *c
	clone.TransportCredentials = c.TransportCredentials.Clone()
	return &clone
}

package fleet

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/savorystall/savorystall/internal/event"
)

// handshakeLog is the least time between two lines about failed handshakes.
const handshakeLog = 10 * time.Second

// loggedCredentials logs the handshakes that fail. grpc-go keeps their errors to
// itself, so that a daemon with a wrong certificate showed on neither side: it
// only had no links, and its zone's targets had two owners.
type loggedCredentials struct {
	credentials.TransportCredentials
	node *Node
}

func (n *Node) logged(c credentials.TransportCredentials) credentials.TransportCredentials {
	return &loggedCredentials{TransportCredentials: c, node: n}
}

func (c *loggedCredentials) log(conn net.Conn, err error) {
	if err == nil || c.node.ctx.Err() != nil {
		return
	}
	c.node.handshakes.Do(func() {
		event.FleetHandshake.Log(c.node.cfg.Logger, "remote", conn.RemoteAddr().String(), "error", err)
	})
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *loggedCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := c.TransportCredentials.ClientHandshake(ctx, authority, conn)
	c.log(conn, err)
	return secured, info, err
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *loggedCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := c.TransportCredentials.ServerHandshake(conn)
	c.log(conn, err)
	return secured, info, err
}

// Clone implements credentials.TransportCredentials.
func (c *loggedCredentials) Clone() credentials.TransportCredentials {
	clone := *c
	clone.TransportCredentials = c.TransportCredentials.Clone()
	return &clone
}

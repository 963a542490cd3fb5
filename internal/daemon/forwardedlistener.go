package daemon

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/dialing"
	"github.com/savorystall/savorystall/internal/settings"
)

const (
	// forwardAcceptTimeout bounds the wait for a neighbour to accept a connection.
	forwardAcceptTimeout = 400 * time.Millisecond
	// acceptMarker is the first byte that a daemon writes on a forwarded connection that it
	// accepts; the version of its routes follows. No data of the caller is sent before that
	// message arrives, because the kernel accepts connections even for a process that is
	// paused or busy.
	acceptMarker      = 'T'
	acceptMessageSize = 1 + 8
	// lingerTimeout is how long a forwarded connection may stay open after its answer while
	// the forwarding neighbour sends more data.
	lingerTimeout = 500 * time.Millisecond
)

// forwardedListener accepts connections that neighbours forward, unless this daemon is
// short of processor time itself or does not serve. A connection counts as accepted only
// once the accept message is written, so that a neighbour whose connection is closed
// earlier knows that nothing was read from it.
type forwardedListener struct {
	*net.TCPListener
	// accepts reports whether connections are accepted now, and routesVersion which routes
	// are in force.
	accepts       func() bool
	routesVersion func() uint64
	// explicitAddress reports that the settings specify the address.
	explicitAddress bool
}

// listenForwarded opens the listener at the address of the settings. If they specify none,
// it uses any free port on the host of the fleet's listener, preferably the next one.
func listenForwarded(s settings.Fleet, accepts func() bool, routesVersion func() uint64) (*forwardedListener, error) {
	addresses := []string{s.Handover}
	if s.Handover == "" {
		addresses = s.DefaultHandover()
	}
	config := net.ListenConfig{KeepAlive: -1}
	var lastErr error
	for _, address := range addresses {
		l, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			lastErr = err
			continue
		}
		tcp, ok := l.(*net.TCPListener)
		if !ok {
			_ = l.Close()
			return nil, merry.Errorf("%s: not a TCP listener", address)
		}
		return &forwardedListener{TCPListener: tcp, accepts: accepts, routesVersion: routesVersion, explicitAddress: s.Handover != ""}, nil
	}
	return nil, lastErr
}

// Accept implements net.Listener.
func (l *forwardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if l.accepts() && l.sendAccept(conn) == nil {
			tracked := newTrackedConn(conn)
			tracked.forwarded = true
			return tracked, nil
		}
		_ = conn.Close() // the neighbour offers the connection to another daemon
	}
}

func (l *forwardedListener) sendAccept(conn *net.TCPConn) error {
	_, err := conn.Write(binary.BigEndian.AppendUint64([]byte{acceptMarker}, l.routesVersion()))
	return err
}

// neighbourUserTimeout is how long data sent to a neighbour may stay unacknowledged before
// the connection counts as lost.
const neighbourUserTimeout = time.Second

// neighbourDialer does not enable keep-alive probes: they take four system calls per
// connection, and a connection that goes silent without data in flight ends with its
// caller.
var neighbourDialer = dialing.New(dialing.Config{ConnectTimeout: forwardAcceptTimeout, UserTimeout: neighbourUserTimeout})

// offerConn opens a connection to a neighbour and waits until the neighbour accepts it.
// routesVersion is the version of the routes in force here: a caller that was answered by
// them must not be answered by older ones.
func offerConn(address string, routesVersion uint64) (*dialing.Conn, error) {
	deadline := time.Now().Add(forwardAcceptTimeout)
	conn, err := neighbourDialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := awaitAccept(conn, deadline, routesVersion); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn.(*dialing.Conn), nil
}

// awaitAccept waits for the accept message.
func awaitAccept(conn net.Conn, deadline time.Time, routesVersion uint64) error {
	if err := conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	var message [acceptMessageSize]byte
	_, err := io.ReadFull(conn, message[:])
	if errors.Is(err, os.ErrDeadlineExceeded) && hasUnreadData(conn) {
		// It arrived in time while this goroutine waited to be scheduled.
		_ = conn.SetReadDeadline(time.Now().Add(forwardAcceptTimeout)) // fails only on a closed connection
		_, err = io.ReadFull(conn, message[:])
	}
	if err != nil {
		return err
	}
	if message[0] != acceptMarker {
		return merry.Errorf("%s does not accept forwarded connections", conn.RemoteAddr())
	}
	if theirs := binary.BigEndian.Uint64(message[1:]); theirs < routesVersion {
		return merry.Errorf("%s has routes of version %d, this daemon %d", conn.RemoteAddr(), theirs, routesVersion)
	}
	return conn.SetReadDeadline(time.Time{})
}

// isForwarded reports whether a neighbour forwarded the connection of a request.
func isForwarded(ctx context.Context) bool {
	conn := trackedConnOf(ctx)
	return conn != nil && conn.forwarded
}

func trackedConnOf(ctx context.Context) *trackedConn {
	conn, ok := ctx.Value(connContextKey{}).(*callerConn)
	if !ok {
		return nil
	}
	tracked, ok := conn.Conn.(*trackedConn)
	if !ok {
		return nil
	}
	return tracked
}

// Close implements net.Conn. A connection that a neighbour forwarded and that has unread
// data lingers: closing it at once would reset it, and the answer might be lost.
func (c *trackedConn) Close() error {
	c.recordEnd()
	if c.resets.Load() || !c.forwarded || !hasUnreadData(c.tcpConn) || c.CloseWrite() != nil {
		return c.tcpConn.Close()
	}
	go func() {
		_ = c.tcpConn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.tcpConn)
		_ = c.tcpConn.Close()
	}()
	return nil
}

// handoverAddress returns the address at which neighbours reach the listener, or an empty
// string if there is none. Its host is the one at which neighbours reach the daemon, unless
// the settings specify one.
func (r *routedServers) handoverAddress(fleetAddress string) string {
	if r.forwardedListener == nil {
		return ""
	}
	address := r.forwardedListener.Addr().(*net.TCPAddr)
	if r.forwardedListener.explicitAddress && !address.IP.IsUnspecified() {
		return address.String()
	}
	host, _, err := net.SplitHostPort(fleetAddress)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(address.String())
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

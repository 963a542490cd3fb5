// Package dialing opens TCP connections that detect an unreachable peer.
//
// A connection can go silent for good if a device between the two ends has lost its state.
// TCP_USER_TIMEOUT detects this on a connection with unacknowledged bytes, and keepalive
// probes detect it on an idle one; both result in a read error. If a proxy in between still
// acknowledges, only the deadlines of the exchange help.
//
// What a connection brings before it is lost is never taken for all that its peer has sent; see Conn.
package dialing

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/savorystall/savorystall/internal/turn"
)

// Config configures a Dialer.
type Config struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
	// KeepAliveIdle is the idle time before the first keepalive probe, KeepAliveInterval the
	// time to wait for the answer to each probe, and KeepAliveCount the number of
	// consecutive probes that may stay unanswered. A KeepAliveIdle of zero disables probes.
	KeepAliveIdle, KeepAliveInterval time.Duration
	KeepAliveCount                   int
	// ReceiveBuffer is the size of the socket's receive buffer, of which the kernel reserves twice as much;
	// zero leaves it to the kernel.
	ReceiveBuffer int
}

// Dialer opens connections. It is safe for concurrent use.
type Dialer struct {
	dialer         net.Dialer
	connectTimeout time.Duration
}

// New returns a Dialer.
func New(cfg Config) *Dialer {
	return &Dialer{connectTimeout: cfg.ConnectTimeout, dialer: net.Dialer{
		KeepAlive:       -1, // overridden by KeepAliveConfig if it is enabled
		KeepAliveConfig: net.KeepAliveConfig{Enable: cfg.KeepAliveIdle > 0, Idle: cfg.KeepAliveIdle, Interval: cfg.KeepAliveInterval, Count: cfg.KeepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			if err := setUserTimeout(raw, cfg.UserTimeout); err != nil || cfg.ReceiveBuffer == 0 {
				return err
			}
			return setReceiveBuffer(raw, cfg.ReceiveBuffer)
		},
	}}
}

// DialContext opens a connection; over TCP it is a *Conn. A connection that the kernel established in time counts as
// open, even if this process gets to run only later.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialCtx, cancel := turn.WithTimeout(ctx, d.connectTimeout)
	defer cancel()
	conn, err := d.dialer.DialContext(dialCtx, network, address)
	if err != nil && ctx.Err() == nil && dialCtx.Err() != nil {
		err = &net.OpError{Op: "dial", Net: network, Err: dialCtx.Err()} // otherwise it would look like a cancellation by the caller
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return NewConn(tcp), err
	}
	return conn, err
}

func setReceiveBuffer(raw syscall.RawConn, size int) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) { sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
	if err != nil {
		return err
	}
	return sockErr
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

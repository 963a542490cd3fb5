// Package dialing opens TCP connections that notice a peer that is gone.
//
// A connection can go silent for good because something between the two ends
// has lost track of it. TCP_USER_TIMEOUT shows that for one with bytes under
// way, keepalive probes for one that waits; both end in an error of the read.
// Where a proxy in between still acknowledges, only deadlines of the exchange
// help.
package dialing

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/savorystall/savorystall/internal/turn"
)

// Config sets up a dialer.
type Config struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
	// Idle, Interval and Count are the keepalive probes: when the first one is
	// sent on an unused connection, how long each waits, and how many in a row
	// may stay unanswered. An Idle of zero sends none.
	Idle, Interval time.Duration
	Count          int
}

// Dialer opens connections. It is safe for concurrent use.
type Dialer struct {
	dialer  net.Dialer
	connect time.Duration
}

// New returns a dialer.
func New(cfg Config) *Dialer {
	return &Dialer{connect: cfg.Connect, dialer: net.Dialer{
		KeepAlive:       -1, // unless there is a configuration
		KeepAliveConfig: net.KeepAliveConfig{Enable: cfg.Idle > 0, Idle: cfg.Idle, Interval: cfg.Interval, Count: cfg.Count},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, cfg.UserTimeout)
		},
	}}
}

// DialContext opens a connection. One that the kernel has opened in time counts, also where
// this process comes to take it later.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	limited, cancel := turn.WithTimeout(ctx, d.connect)
	defer cancel()
	conn, err := d.dialer.DialContext(limited, network, address)
	if err != nil && ctx.Err() == nil && limited.Err() != nil {
		err = &net.OpError{Op: "dial", Net: network, Err: limited.Err()} // else it would look like the caller's end
	}
	return conn, err
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

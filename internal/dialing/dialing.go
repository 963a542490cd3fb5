// Package dialing opens TCP connections that notice a peer that is gone.
//
// A connection can go silent for good because something between the two ends
// has lost track of it. TCP_USER_TIMEOUT shows that for one with bytes under
// way, keepalive probes for one that waits; both end in an error of the read.
// Where a proxy in between still acknowledges, only deadlines of the exchange
// help.
package dialing

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config sets up a dialer.
type Config struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
	// Idle, Interval and Count are the keepalive probes: when the first one is
	// sent on an unused connection, how long each waits, and how many in a row
	// may stay unanswered.
	Idle, Interval time.Duration
	Count          int
}

// New returns a dialer.
func New(cfg Config) *net.Dialer {
	return &net.Dialer{
		Timeout:         cfg.Connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: cfg.Idle, Interval: cfg.Interval, Count: cfg.Count},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, cfg.UserTimeout)
		},
	}
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

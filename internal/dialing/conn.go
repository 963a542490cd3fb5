package dialing

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose Read returns io.EOF only at the end that its peer has set in order.
//
// The kernel reports a lost connection, for example one that was reset, to the first call that finds it,
// and an orderly end to all later ones. If that first call is a write, a reader would take the bytes
// before the reset for all that the peer has sent.
//
// It is safe for concurrent use like any net.Conn. It has no ReadFrom, which would write past it.
type Conn struct {
	tcp *net.TCPConn
	// writing is held during writes and guards lost.
	writing sync.Mutex
	// lost is the error by which a write was told that the connection is lost.
	lost error
}

var (
	_ net.Conn     = (*Conn)(nil)
	_ syscall.Conn = (*Conn)(nil)
)

// NewConn returns a Conn that reads from and writes to tcp, which nothing else may use from then on.
func NewConn(tcp *net.TCPConn) *Conn { return &Conn{tcp: tcp} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if err == io.EOF {
		err = c.endCause()
	}
	return n, err
}

// endCause returns io.EOF if the peer has ended its side in order, and how the connection was lost otherwise.
func (c *Conn) endCause() error {
	if !c.isGone() {
		return io.EOF
	}
	c.writing.Lock() // waits for a write that has been told and not returned yet; none blocks any more
	defer c.writing.Unlock()
	if c.lost != nil {
		return c.lost
	}
	return io.EOF
}

// isGone reports whether the kernel has ended both sides of the connection. After the peer has ended
// only its own side, the connection remains.
func (c *Conn) isGone() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return err != nil || infoErr != nil || info.State == unix.BPF_TCP_CLOSE
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcp.Write(p)
	if err != nil && c.lost == nil && isLoss(err) {
		c.lost = err
	}
	return n, err
}

// isLoss reports whether the error of a write tells that the connection was lost before the peer had
// ended its side. After the peer's end, or this side's own, a write fails with EPIPE instead.
func isLoss(err error) bool {
	var cause syscall.Errno
	return errors.As(err, &cause) && cause != syscall.EPIPE
}

// Close implements net.Conn.
func (c *Conn) Close() error { return c.tcp.Close() }

// CloseRead ends the reading side.
func (c *Conn) CloseRead() error { return c.tcp.CloseRead() }

// CloseWrite ends the writing side.
func (c *Conn) CloseWrite() error { return c.tcp.CloseWrite() }

// SetLinger sets how long Close goes on to send unsent data, in seconds; zero discards it and resets
// the connection.
func (c *Conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// SyscallConn implements syscall.Conn. Reads and writes by it are not observed.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.tcp.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.tcp.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.tcp.SetDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.tcp.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.tcp.SetWriteDeadline(t) }

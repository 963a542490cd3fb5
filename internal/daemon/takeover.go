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
	// takeoverWait bounds the wait for a neighbour to take a connection.
	takeoverWait = 400 * time.Millisecond
	// takeoverMark begins what a daemon writes first on a connection that it takes over; the
	// version of its routes follows. Until then none of the caller's bytes go there: the kernel
	// accepts connections for a process that stands still or is busy, too.
	takeoverMark = 'T'
	takeoverSize = 1 + 8
	// lingerMost is how long a connection that was taken over may stay open after its answer
	// while its neighbour sends more.
	lingerMost = 500 * time.Millisecond
)

// takeoverListener takes connections over that neighbours pass on, unless this daemon is
// short of processor time itself or does not serve. A connection is only taken once the mark
// is written, so that a neighbour whose connection is closed before knows that nothing was
// read of it.
type takeoverListener struct {
	*net.TCPListener
	// takes tells whether connections are taken now, and version which routes are in force.
	takes   func() bool
	version func() uint64
	// named tells that the settings name its address.
	named bool
}

// listenTakeover opens the listener at the address of the settings. Where they name none it
// is any free port of the host of the fleet's listener, the next one if possible.
func listenTakeover(s settings.Fleet, takes func() bool, version func() uint64) (*takeoverListener, error) {
	addresses := []string{s.Handover}
	if s.Handover == "" {
		addresses = s.DefaultHandover()
	}
	config := net.ListenConfig{KeepAlive: -1}
	var failed error
	for _, address := range addresses {
		l, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			failed = err
			continue
		}
		tcp, ok := l.(*net.TCPListener)
		if !ok {
			_ = l.Close()
			return nil, merry.Errorf("%s: not a TCP listener", address)
		}
		return &takeoverListener{TCPListener: tcp, takes: takes, version: version, named: s.Handover != ""}, nil
	}
	return nil, failed
}

// Accept implements net.Listener.
func (l *takeoverListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if l.takes() && l.mark(conn) == nil {
			taken := newReadingConn(conn)
			taken.passedOn = true
			return taken, nil
		}
		_ = conn.Close() // the neighbour asks another one
	}
}

func (l *takeoverListener) mark(conn *net.TCPConn) error {
	_, err := conn.Write(binary.BigEndian.AppendUint64([]byte{takeoverMark}, l.version()))
	return err
}

// hopUnacked is how long bytes for a neighbour may stay unacknowledged: a hop that went silent.
const hopUnacked = time.Second

// hopDialer sets up no probes: they take four system calls a connection, and a hop that goes
// silent with nothing under way ends with its caller.
var hopDialer = dialing.New(dialing.Config{ConnectTimeout: takeoverWait, UserTimeout: hopUnacked})

// takeover opens a connection to a neighbour that takes it. Version is that of the routes in
// force here: a caller that was answered by them must not be answered by older ones.
func takeover(address string, version uint64) (*net.TCPConn, error) {
	deadline := time.Now().Add(takeoverWait)
	conn, err := hopDialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := takenOver(conn, deadline, version); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// takenOver waits for the mark.
func takenOver(conn net.Conn, deadline time.Time, version uint64) error {
	if err := conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	var mark [takeoverSize]byte
	_, err := io.ReadFull(conn, mark[:])
	if errors.Is(err, os.ErrDeadlineExceeded) && hasUnread(conn) {
		// It came in time and waited for this goroutine's turn.
		_ = conn.SetReadDeadline(time.Now().Add(takeoverWait)) // fails only on a closed connection
		_, err = io.ReadFull(conn, mark[:])
	}
	if err != nil {
		return err
	}
	if mark[0] != takeoverMark {
		return merry.Errorf("%s takes no connections over", conn.RemoteAddr())
	}
	if theirs := binary.BigEndian.Uint64(mark[1:]); theirs < version {
		return merry.Errorf("%s has routes of version %d, this daemon %d", conn.RemoteAddr(), theirs, version)
	}
	return conn.SetReadDeadline(time.Time{})
}

// passedOn tells whether a neighbour passed the connection of a request on.
func passedOn(ctx context.Context) bool {
	conn := readingConnOf(ctx)
	return conn != nil && conn.passedOn
}

func readingConnOf(ctx context.Context) *readingConn {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return nil
	}
	reader, ok := conn.Conn.(*readingConn)
	if !ok {
		return nil
	}
	return reader
}

// Close implements net.Conn. One that a neighbour passed on and on which more has come lingers:
// with bytes unread the close would be a reset, and the answer might be lost on its way.
func (c *readingConn) Close() error {
	if !c.passedOn || !hasUnread(c.tcpConn) || c.CloseWrite() != nil {
		return c.tcpConn.Close()
	}
	go func() {
		_ = c.tcpConn.SetReadDeadline(time.Now().Add(lingerMost))
		_, _ = io.Copy(io.Discard, c.tcpConn)
		_ = c.tcpConn.Close()
	}()
	return nil
}

// handoverAddress is where neighbours reach the listener; empty: there is none. Its host is
// that of the address at which they reach the daemon, unless the settings name one.
func (r *routedServers) handoverAddress(fleet string) string {
	if r.takeoverListener == nil {
		return ""
	}
	address := r.takeoverListener.Addr().(*net.TCPAddr)
	if r.takeoverListener.named && !address.IP.IsUnspecified() {
		return address.String()
	}
	host, _, err := net.SplitHostPort(fleet)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(address.String())
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

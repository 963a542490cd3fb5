package dialing_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/dialing"
	"github.com/savorystall/savorystall/test/slowupload"
)

// exchange sends an upload to a server while it reads what the server sends, and returns both outcomes.
func exchange(t *testing.T, uploadBytes int, serve func(conn *net.TCPConn)) (received int64, readErr, writeErr error) {
	t.Helper()
	conn, err := dialing.New(dialing.Config{ConnectTimeout: time.Second}).DialContext(t.Context(), "tcp", slowupload.Serve(t, serve))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, uploadBytes))
		written <- err
	}()
	received, readErr = io.Copy(io.Discard, conn)
	return received, readErr, <-written
}

// plays is how often a race between a reader and a writer is played.
const plays = 100

// Guards against a part that looks like all that a peer has sent, as the write and not the read was told
// of the reset.
func TestResetDuringAWriteIsNoEnd(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"reset":                   slowupload.Reset,
		"close with unread bytes": func(conn *net.TCPConn) { _ = conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range plays {
				received, readErr, writeErr := exchange(t, slowupload.UploadBytes, func(conn *net.TCPConn) {
					_, _ = io.ReadFull(conn, make([]byte, 100))
					_, _ = conn.Write(make([]byte, 1000))
					time.Sleep(slowupload.ArrivalTime)
					end(conn)
				})
				is.Equal(received, int64(1000))
				is.True(readErr != nil)
				is.True(writeErr != nil)
			}
		})
	}
}

// Guards against an orderly end that is taken for a loss, since the peer resets the connection after it or
// reads the rest of the upload only then.
func TestEndInOrderDuringAWriteIsAnEnd(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"reset": slowupload.Reset,
		"late reset": func(conn *net.TCPConn) {
			time.Sleep(10 * time.Millisecond)
			slowupload.Reset(conn)
		},
		"reads on": func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range plays / 10 {
				received, readErr, writeErr := exchange(t, slowupload.UploadBytes, func(conn *net.TCPConn) {
					_, _ = io.ReadFull(conn, make([]byte, 100))
					_, _ = conn.Write(make([]byte, 1000))
					slowupload.EndInOrder(conn)
					end(conn)
				})
				is.Equal(received, int64(1000))
				is.NoErr(readErr)
				is.Equal(writeErr == nil, name == "reads on")
			}
		})
	}
}

// Guards against a read that blocks or succeeds after its own side was shut down or closed.
func TestReadEndsWithItsOwnSide(t *testing.T) {
	is := is.New(t)
	address := slowupload.Serve(t, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	conn, err := dialing.New(dialing.Config{ConnectTimeout: time.Second}).DialContext(t.Context(), "tcp", address)
	is.NoErr(err)
	tcp := conn.(*dialing.Conn)
	is.NoErr(tcp.CloseRead())
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.NoErr(conn.Close())
	_, err = conn.Read(make([]byte, 1))
	is.True(errors.Is(err, net.ErrClosed))
}

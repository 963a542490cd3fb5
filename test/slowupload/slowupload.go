// Package slowupload provides servers that do not read what their callers send: a large upload to
// them is still being written while they respond.
package slowupload

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/savorystall/savorystall/test/rawserver"
)

const (
	// receiveBuffer is the size of the receive buffer of an accepted connection in bytes.
	receiveBuffer = 8 << 10
	// UploadBytes is the size of an upload that does not fit into the send buffer of a connection.
	UploadBytes = 6 << 20
	// ArrivalTime is how long bytes sent on the loopback device may take until their receiver has them.
	ArrivalTime = 3 * time.Millisecond
)

// Serve starts a server on the loopback device that calls handle for each connection and closes the
// connection after it. The server ends with the test.
func Serve(t *testing.T, handle func(conn *net.TCPConn)) (address string) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return sockErr
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return rawserver.ServeListener(t, l, handle)
}

// EndInOrder ends the server's side of a connection and waits until the caller's kernel has the end.
func EndInOrder(conn *net.TCPConn) {
	_ = conn.CloseWrite() // fails only on a closed connection
	for !endArrived(conn) {
		time.Sleep(time.Millisecond)
	}
}

// endArrived reports whether the caller's kernel has acknowledged the end of the server's side, or the
// connection is closed.
func endArrived(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	arrived := true
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		arrived = err != nil || info.State != unix.BPF_TCP_FIN_WAIT1
	})
	return arrived
}

// Reset ends a connection with a reset.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only on a closed connection
	_ = conn.Close()
}

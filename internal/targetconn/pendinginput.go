package targetconn

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// noPendingInput reports whether an idle connection has received neither data nor
// its end. Received data would not belong to any request, and a request sent on a
// connection that the target has closed would be reported as "may have run"
// although it was never read. The check takes one system call, a few
// microseconds.
func noPendingInput(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && empty
}

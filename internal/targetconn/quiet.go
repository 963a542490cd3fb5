package targetconn

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet tells whether nothing has come on an unused connection, neither bytes
// nor its end. A byte there belongs to no request, and a request on a connection
// that the target has closed would end as "may have run" though it was never
// read. One system call, some microseconds.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && silent
}

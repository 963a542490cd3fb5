package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy before the fleet listener of a daemon: other daemons reach it only through the
// link. While the link is cut it passes nothing on and accepts no byte, in either direction, like
// a network that drops all packets.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// whole is closed when the link is not cut.
	whole chan struct{}
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, whole: make(chan struct{})}
	close(k.whole)
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// cut begins a partition, restore ends it.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.whole = make(chan struct{})
}

func (k *link) restore() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.whole)
}

// awaitWhole waits until the link is not cut.
func (k *link) awaitWhole() {
	k.mu.Lock()
	whole := k.whole
	k.mu.Unlock()
	<-whole
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(c net.Conn) {
	k.awaitWhole()
	t, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = c.Close()
		return
	}
	go k.pass(c, t)
	k.pass(t, c)
}

// pass copies the bytes from one connection to another, and its end.
func (k *link) pass(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		k.awaitWhole()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			_ = to.Close()
			return
		}
	}
}

package main

import (
	"encoding/json"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
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
	// answered is when bytes last came back from the target, in Unix nanoseconds.
	answered atomic.Int64
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
	go k.pass(c, t, func() {})
	k.pass(t, c, func() { k.answered.Store(time.Now().UnixNano()) })
}

// awaitAnswer waits until bytes have just come back from the target, for a time at most.
func (k *link) awaitAnswer(limit time.Duration) {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(5 * time.Millisecond) {
		if answered := time.Unix(0, k.answered.Load()); answered.After(began) {
			return
		}
	}
}

// pass copies the bytes from one connection to another, and its end.
func (k *link) pass(from, to net.Conn, onBytes func()) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		k.awaitWhole()
		if n > 0 {
			onBytes()
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

// links are the links through which daemons reach each other: one for each daemon and each address
// of another one. It is safe for concurrent use.
type links struct {
	mu sync.Mutex
	// byEnds holds the links by the daemon that uses them and the address that they lead to.
	byEnds map[linkEnds]*link
	// cutOff are the daemons that are partitioned from all others, by the addresses of theirs.
	cutOff map[string]bool
	// owners holds the names of the daemons by their addresses.
	owners map[string]string
}

type linkEnds struct{ from, address string }

func newLinks() *links {
	return &links{byEnds: map[linkEnds]*link{}, cutOff: map[string]bool{}, owners: map[string]string{}}
}

// to returns the address at which a daemon reaches an address of another one.
func (l *links) to(from, address string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := linkEnds{from, address}
	k := l.byEnds[ends]
	if k == nil {
		made, err := newLink(address)
		if err != nil {
			return address
		}
		k = made
		l.byEnds[ends] = k
		if l.cutOff[from] || l.cutOff[l.owners[address]] {
			k.cut()
		}
	}
	return k.address()
}

// partition cuts daemons off from all others, or ends that.
func (l *links) partition(names []string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		l.cutOff[name] = cut
	}
	for ends, k := range l.byEnds {
		if !slices.Contains(names, ends.from) && !slices.Contains(names, l.owners[ends.address]) {
			continue
		}
		if cut {
			k.cut()
		} else {
			k.restore()
		}
	}
}

// translate returns a function that replaces the addresses in the rows of the daemons by those of
// the links of one daemon.
func (l *links) translate(reader string) func(row) row {
	return func(r row) row {
		if r.Table != "daemons" || r.Deleted || r.Key == reader {
			return r
		}
		fields := map[string]any{}
		if json.Unmarshal(r.Value, &fields) != nil {
			return r
		}
		for _, name := range []string{"address", "handover"} {
			if address, ok := fields[name].(string); ok && address != "" {
				l.mu.Lock()
				l.owners[address] = r.Key
				l.mu.Unlock()
				fields[name] = l.to(reader, address)
			}
		}
		r.Value, _ = json.Marshal(fields)
		return r
	}
}

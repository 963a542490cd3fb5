package fleet

import (
	"context"
	"net"
	"sync/atomic"
)

// packetOverhead is the assumed cost of one write or read in bytes of IPv4 and
// TCP headers, timestamps included. Acknowledgements without data are not
// counted.
const packetOverhead = 52

// Traffic counts the control traffic of a node since its start.
type Traffic struct {
	// FramesSent and FramesReceived count frames, heartbeats included.
	FramesSent, FramesReceived uint64
	// PayloadSent and PayloadReceived are the bytes of the encoded frames.
	PayloadSent, PayloadReceived uint64
	// StreamSent and StreamReceived are the bytes on the TCP connections, with
	// HTTP/2 framing and TLS, of links and calls alike. They are measured.
	StreamSent, StreamReceived uint64
	// PacketsSent and PacketsReceived count writes to and reads from the
	// connections, about one packet each at this size.
	PacketsSent, PacketsReceived uint64
}

// EstimatedSent is StreamSent plus an estimate of IP and TCP headers, in bytes.
func (t Traffic) EstimatedSent() uint64 { return t.StreamSent + packetOverhead*t.PacketsSent }

// EstimatedReceived is StreamReceived plus an estimate of IP and TCP headers.
func (t Traffic) EstimatedReceived() uint64 {
	return t.StreamReceived + packetOverhead*t.PacketsReceived
}

// counters are the live figures behind Traffic.
type counters struct {
	framesSent, framesReceived   atomic.Uint64
	payloadSent, payloadReceived atomic.Uint64
	streamSent, streamReceived   atomic.Uint64
	packetsSent, packetsReceived atomic.Uint64
}

func (c *counters) traffic() Traffic {
	return Traffic{
		FramesSent: c.framesSent.Load(), FramesReceived: c.framesReceived.Load(),
		PayloadSent: c.payloadSent.Load(), PayloadReceived: c.payloadReceived.Load(),
		StreamSent: c.streamSent.Load(), StreamReceived: c.streamReceived.Load(),
		PacketsSent: c.packetsSent.Load(), PacketsReceived: c.packetsReceived.Load(),
	}
}

// countedConn counts what passes through a connection.
type countedConn struct {
	net.Conn
	counters *counters
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.counters.streamReceived.Add(uint64(n))
		c.counters.packetsReceived.Add(1)
	}
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.counters.streamSent.Add(uint64(n))
		c.counters.packetsSent.Add(1)
	}
	return n, err
}

// countedListener counts what passes through the connections it accepts.
type countedListener struct {
	net.Listener
	counters *counters
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, counters: l.counters}, nil
}

func (c *counters) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counters: c}, nil
}

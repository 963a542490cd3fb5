package fleet

import (
	"context"
	"net"
	"sync/atomic"
)

// packetOverhead is the assumed size of the IPv4 and TCP headers, including
// timestamps, per write or read, in bytes. Acknowledgements without data are
// not counted.
const packetOverhead = 52

// Traffic holds counters of the control traffic of a node since startup.
type Traffic struct {
	// FramesSent and FramesReceived count frames, including heartbeats.
	FramesSent, FramesReceived uint64
	// PayloadSent and PayloadReceived count the bytes of encoded frames.
	PayloadSent, PayloadReceived uint64
	// StreamSent and StreamReceived count the bytes measured on the TCP
	// connections of both links and calls, including HTTP/2 framing and TLS.
	StreamSent, StreamReceived uint64
	// PacketsSent and PacketsReceived count writes to and reads from the
	// connections; at these sizes each is about one packet.
	PacketsSent, PacketsReceived uint64
}

// EstimatedSent is StreamSent plus the estimated size of IP and TCP headers, in
// bytes.
func (t Traffic) EstimatedSent() uint64 { return t.StreamSent + packetOverhead*t.PacketsSent }

// EstimatedReceived is StreamReceived plus the estimated size of IP and TCP
// headers, in bytes.
func (t Traffic) EstimatedReceived() uint64 {
	return t.StreamReceived + packetOverhead*t.PacketsReceived
}

// counters holds the live counters behind Traffic.
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

// countingConn counts the traffic of a connection.
type countingConn struct {
	net.Conn
	counters *counters
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.counters.streamReceived.Add(uint64(n))
		c.counters.packetsReceived.Add(1)
	}
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.counters.streamSent.Add(uint64(n))
		c.counters.packetsSent.Add(1)
	}
	return n, err
}

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	net.Listener
	counters *counters
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, counters: l.counters}, nil
}

func (c *counters) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counters: c}, nil
}

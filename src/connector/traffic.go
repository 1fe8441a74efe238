package connector

import (
	"net"

	"github.com/uber-go/tally/v4"
)

// Traffic counts the traffic between a process and the system's other processes; a nil
// *Traffic counts nothing.
type Traffic struct {
	// Bytes counts both directions, Messages only what this process sends.
	Bytes    tally.Counter
	Messages tally.Counter
}

// NewTraffic returns a Traffic whose counters are in scope.
func NewTraffic(scope tally.Scope) *Traffic {
	return &Traffic{
		Bytes:    scope.Counter("peer_bytes"),
		Messages: scope.Counter("peer_messages"),
	}
}

// wrap returns a connection whose traffic is counted.
func (t *Traffic) wrap(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return &countedConn{
		Conn:    conn,
		traffic: t,
	}
}

// countedConn counts the bytes and messages of a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads and counts the bytes received.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.Bytes.Inc(int64(n))
	return n, err
}

// Write writes and counts the bytes sent, and each call as one message.
func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.traffic.Bytes.Inc(int64(n))
	c.traffic.Messages.Inc(1)
	return n, err
}

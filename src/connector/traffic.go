package connector

import (
	"net"

	"github.com/uber-go/tally/v4"
)

// Traffic counts what a process exchanges with the system's other processes; a nil one counts nothing.
type Traffic struct {
	// Bytes counts both directions, Messages what this process sends.
	Bytes    tally.Counter
	Messages tally.Counter
}

// NewTraffic returns counters in a scope.
func NewTraffic(scope tally.Scope) *Traffic {
	return &Traffic{
		Bytes:    scope.Counter("peer_bytes"),
		Messages: scope.Counter("peer_messages"),
	}
}

// count wraps a connection so that its traffic is counted.
func (t *Traffic) count(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return &countedConn{
		Conn:    conn,
		traffic: t,
	}
}

// countedConn counts what goes through a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read counts what arrives.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.Bytes.Inc(int64(n))
	return n, err
}

// Write counts what leaves.
func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.traffic.Bytes.Inc(int64(n))
	c.traffic.Messages.Inc(1)
	return n, err
}

package admitter

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// firstByteTimeout is how long another process may take to send the first byte on a connection.
const firstByteTimeout = 10 * time.Second

// Listener accepts connections whose clients count in an Admitter, and keeps a bounded number of them open. To
// admit another one it closes one that makes no progress, or the one that has been idle longest; if there is none, it
// closes the new one. Its exported fields are set before use.
type Listener struct {
	net.Listener
	Admitter *Admitter
	// Name names the listener in logs and metrics.
	Name string
	// MaxConnections is the maximum number of open connections; 0 stands for Fraction of Descriptors.
	MaxConnections int
	// Fraction is the part of the process's file descriptors that the connections may use, 0 for no limit. Descriptors
	// is their number, 0 for as many as the kernel allows, which may change while the process runs.
	Fraction    float64
	Descriptors int
	// Peers is set if the clients are other processes of the system, which are recognised by Conn.Established.
	Peers bool
	// ReadsNoBodies is set if the handlers read no bodies; the connection of a request with one is closed.
	ReadsNoBodies bool

	// open is the number of open connections; the admitter's mu guards it.
	open int
}

// NewListener returns a listener whose clients may use a fraction of the process's descriptors, 0 for those that the
// kernel allows.
func (a *Admitter) NewListener(listener net.Listener, name string, fraction float64, descriptors int) *Listener {
	return &Listener{
		Listener:    listener,
		Admitter:    a,
		Name:        name,
		Fraction:    fraction,
		Descriptors: descriptors,
	}
}

// NewPeerListener returns a listener for other processes of the system.
func (a *Admitter) NewPeerListener(listener net.Listener, fraction float64, descriptors int) *Listener {
	peers := a.NewListener(listener, "peers", fraction, descriptors)
	peers.Peers = true
	return peers
}

// Accept returns the next connection that the limits admit.
func (l *Listener) Accept() (net.Conn, error) {
	l.Admitter.setUp()
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(conn); c != nil {
			return c, nil
		}
		// The error does not matter: the client may have closed the connection already.
		_ = conn.Close()
	}
}

// admit returns the connection of a client, or nil if there is no room for it.
func (l *Listener) admit(conn net.Conn) *Conn {
	now := time.Now()
	c := &Conn{
		Conn:     conn,
		admitter: l.Admitter,
		listener: l,
		holding: holding{
			beganAt:    now,
			progressAt: now,
		},
	}
	if l.Peers {
		_ = conn.SetReadDeadline(now.Add(firstByteTimeout))
	}
	a := l.Admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	if !l.hasPlace(now) {
		a.count(c, NoConnection)
		return nil
	}
	// Those that are being closed still hold what they hold.
	if a.used+connectionBytes > a.limits.Bytes+a.limits.Bytes/overlap {
		a.count(c, NoMemory)
		return nil
	}
	if missing := a.used - a.closing + connectionBytes - a.limits.Bytes; !a.makeRoom(missing, connectionBytes, c) {
		a.count(c, NoMemory)
		return nil
	}
	a.conns[c] = struct{}{}
	l.open++
	a.add(c, connectionBytes)
	return c
}

// limit returns how many connections may be open, 0 for no limit.
func (l *Listener) limit() int {
	if l.MaxConnections > 0 || l.Fraction == 0 {
		return l.MaxConnections
	}
	descriptors := l.Descriptors
	if descriptors == 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return 0
		}
		descriptors = int(min(limit.Cur, maxDescriptors))
	}
	return max(minConnections, int(l.Fraction*float64(descriptors)))
}

// hasPlace reports whether another connection may be opened, and closes one for it if there are as many as allowed. The
// admitter's mu is held.
func (l *Listener) hasPlace(now time.Time) bool {
	limit := l.limit()
	if limit == 0 || l.open < limit {
		return true
	}
	// Those that are being closed still have their descriptors.
	if l.open >= limit+max(1, limit/overlap) {
		return false
	}
	const noLarger = 1 << 62
	c, kind := l.Admitter.victim(now, noLarger, func(c *Conn) bool { return c.listener == l })
	if c == nil {
		return false
	}
	l.Admitter.evict(c, kind)
	return true
}

// BoundBuffers bounds the buffers in the kernel of the connections that a listening socket accepts; it is the Control
// function of a net.ListenConfig.
func BoundBuffers(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer))
	})
	if err = errors.Join(err, failure); err != nil {
		return fmt.Errorf("bound the buffers of a listening socket: %w", err)
	}
	return nil
}

// findConn returns the connection of a client under those that wrap it, or nil.
func findConn(conn net.Conn) *Conn {
	for {
		if c, found := conn.(*Conn); found {
			return c
		}
		wrapper, wraps := conn.(interface{ NetConn() net.Conn })
		if !wraps {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// findSyscallConn returns the socket under the connections that wrap it.
func findSyscallConn(conn net.Conn) (syscall.Conn, bool) {
	for {
		if raw, found := conn.(syscall.Conn); found {
			return raw, true
		}
		wrapper, wraps := conn.(interface{ NetConn() net.Conn })
		if !wraps {
			return nil, false
		}
		conn = wrapper.NetConn()
	}
}

package admitter

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// refusalAnswer is sent to a client whose head is not read any further.
const refusalAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// writePart is how much is written to a client before its progress is recorded.
const writePart = 32 << 10

// errClosed is the error of a connection that was closed to make room.
var errClosed = &net.OpError{
	Op:  "read",
	Net: "tcp",
	Err: os.ErrDeadlineExceeded,
}

// Conn is the connection of a client, whose requests count in an Admitter.
type Conn struct {
	net.Conn
	admitter *Admitter
	listener *Listener
	// isPeer is set once another process of the system has been recognised, whose connection is never closed.
	isPeer bool

	// The admitter's mu guards what follows.
	holding
	// secured is set if the server speaks TLS on the connection, so that nothing may be written to it here.
	secured bool
	// queued is the part of bytes that waits in the kernel for the client to take it, widened that of a larger receive
	// buffer.
	queued  int64
	widened int64
	// answer is the size of the whole answer that is being written.
	answer int64
	// evicted is why the connection is being closed, "" if it is not.
	evicted Kind
	// refused is set once a client whose head was not read has its answer.
	refused bool
}

// Read reads from the connection, and counts what is read of a head.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if refused := c.receive(b[:n]); refused != nil {
			c.refuseHead()
			return 0, errClosed
		}
		return n, err
	}
	if err != nil && c.failed(err) {
		c.refuseHead()
	}
	return n, err
}

// receive records what has been received.
func (c *Conn) receive(content []byte) error {
	a := c.admitter
	a.mu.Lock()
	now := time.Now()
	first := c.phase == phaseSilent
	if c.phase == phaseSilent || c.phase == phaseIdle {
		c.phase = phaseHead
		c.received, c.beganAt = 0, now
	}
	inHead := c.phase == phaseHead
	if !c.answering {
		c.progressAt = now
	}
	c.received += int64(len(content))
	a.mu.Unlock()
	if first && c.listener.Peers {
		// The deadline for the first byte has been met.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	if !inHead || c.listener.Peers {
		return nil
	}
	return a.grow(c, int64(len(content)+lineBytes*bytes.Count(content, []byte("\n"))))
}

// failed records that nothing more can be read, and reports whether a client whose request is being read is to be
// refused.
func (c *Conn) failed(err error) bool {
	a := c.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.evicted == "" && errors.Is(err, os.ErrDeadlineExceeded) && (c.phase == phaseHead || c.phase == phaseBody) {
		a.count(c, RequestTimeout)
		return false
	}
	return c.evicted != "" && c.phase == phaseHead && !c.refused
}

// refuseHead answers a client whose head is not read any further, and reads on for a moment: a connection that is closed
// with unread bytes is reset, and the answer would be lost.
func (c *Conn) refuseHead() {
	if c.listener.Peers || c.isSecured() {
		return
	}
	c.admitter.mu.Lock()
	done := c.refused
	c.refused = true
	c.admitter.add(c, min(0, connectionBytes-c.bytes))
	c.admitter.mu.Unlock()
	if done {
		return
	}
	_ = c.SetDeadline(time.Now().Add(drainTime))
	if _, err := io.WriteString(c.Conn, refusalAnswer); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	// The client may have closed the connection.
	_, _ = io.CopyN(io.Discard, c.Conn, drainBytes)
}

// Write writes to the connection in parts, by which the client's progress is known.
func (c *Conn) Write(b []byte) (int, error) {
	c.setAnswering(true)
	defer c.setAnswering(false)
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(len(b), written+writePart)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
		c.setAnswering(true)
	}
}

func (c *Conn) setAnswering(answering bool) {
	c.admitter.mu.Lock()
	defer c.admitter.mu.Unlock()
	c.answering = answering
	c.progressAt = time.Now()
}

// Close closes the connection and gives back what its client held.
func (c *Conn) Close() error {
	c.admitter.mu.Lock()
	c.admitter.remove(c)
	c.admitter.mu.Unlock()
	return c.Conn.Close()
}

// SetReadDeadline sets the deadline of reads, unless the connection is being closed.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.admitter.mu.Lock()
	defer c.admitter.mu.Unlock()
	if c.evicted != "" {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetLinger sets what Close does with bytes that have not been sent.
func (c *Conn) SetLinger(seconds int) error {
	if lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the connection that is wrapped.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Established records that the client is another process of the system, whose messages may be large.
func (c *Conn) Established() {
	c.admitter.mu.Lock()
	c.isPeer = true
	c.admitter.mu.Unlock()
	c.control(func(fd int) {
		// A connection that has ended needs no buffers.
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, peerBuffer)
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, peerBuffer)
	})
}

// interrupt lets reads and writes of the connection fail; the admitter's mu is held.
func (c *Conn) interrupt() {
	past := time.Unix(1, 0)
	// The errors do not matter: the client may have closed the connection already.
	_ = c.Conn.SetReadDeadline(past)
	if c.answering {
		_ = c.SetWriteDeadline(past)
	}
}

func (c *Conn) isSecured() bool {
	c.admitter.mu.Lock()
	defer c.admitter.mu.Unlock()
	return c.secured
}

func (c *Conn) remote() string {
	if address := c.RemoteAddr(); address != nil {
		return address.String()
	}
	return ""
}

// queuedBytes returns how many bytes wait in the kernel for the client to take them, 0 if it does not tell.
func (c *Conn) queuedBytes() int64 {
	queued := 0
	c.control(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			queued = n
		}
	})
	return int64(queued)
}

// setReceiveBuffer bounds what the client can send before it is read.
func (c *Conn) setReceiveBuffer(size int) {
	// A connection that has ended needs no buffer.
	c.control(func(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
}

func (c *Conn) control(do func(fd int)) {
	raw, isRaw := findSyscallConn(c.Conn)
	if !isRaw {
		return
	}
	connection, err := raw.SyscallConn()
	if err != nil {
		return
	}
	// The connection may have ended.
	_ = connection.Control(func(fd uintptr) { do(int(fd)) })
}

// widen lets the client of a large body send more at once, if there is room for it.
func (c *Conn) widen() {
	const more = 2 * (largeReceiveBuffer - receiveBuffer)
	a := c.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.widened > 0 || c.evicted != "" || a.missing(c, more) > 0 {
		return
	}
	a.add(c, more)
	c.widened = more
	c.setReceiveBuffer(largeReceiveBuffer)
}

// trackState records a change of a connection's state at its HTTP server.
func (c *Conn) trackState(state http.ConnState) {
	a := c.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.phase = phaseIdle
		c.progressAt = time.Now()
		c.received = 0
		if c.evicted != "" {
			c.interrupt()
		}
	case http.StateHijacked:
		c.phase = phaseRunning
	case http.StateNew, http.StateActive, http.StateClosed:
	}
}

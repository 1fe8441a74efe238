package acceptor

import (
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// promptReadTime is how long reading a request may take at an instance that is not overloaded.
	promptReadTime = 100 * time.Millisecond
	// promptReadAge is for how long a request that was read promptly shows that the instance is not
	// overloaded, so that callers who send slowly do not make it look so.
	promptReadAge = 200 * time.Millisecond
	// staleReadTime is how long a request may wait on a new connection at an overloaded instance. Its caller has
	// not given up yet, and can still be served elsewhere.
	staleReadTime = 300 * time.Millisecond
	// minUnread is how many requests must wait to be read at an overloaded instance.
	minUnread = 8
	// maxLinkUse is the fraction of the link above which it counts as overloaded. Headers, acknowledgements and
	// what callers send on connections that are closed unread use the rest.
	maxLinkUse = 0.6
	// linkWindow is the time over which the use of the link is measured, in buckets of linkBucket.
	linkWindow  = 500 * time.Millisecond
	linkBucket  = 25 * time.Millisecond
	linkBuckets = int(linkWindow / linkBucket)
)

// Load measures whether an instance keeps up with its callers: whether it reads their requests promptly, and how
// much of its link their bytes use. It is safe for concurrent use.
type Load struct {
	// LinkRate is how many bytes a second the instance's link carries in each direction, 0 if unknown.
	LinkRate float64
	Now      func() time.Time

	mu     sync.Mutex
	unread map[*Conn]unreadRequest
	// promptAt is when a request was last read promptly, and read the number of requests that have been read
	// since the last State.
	promptAt time.Time
	read     int
	bytes    [linkBuckets]float64
	// bucketAt is the start of the current bucket, bucket its index.
	bucketAt time.Time
	bucket   int
}

// unreadRequest is a request that waits to be read, or a new connection on which one may.
type unreadRequest struct {
	since time.Time
	// begun is set once a part of the request has been read.
	begun bool
}

// Conn is a connection of a caller, whose bytes and requests count in a Load.
type Conn struct {
	*net.TCPConn
	load *Load
}

// Read reads from the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.load.addBytes(n)
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.load.addBytes(n)
	return n, err
}

// Close closes the connection, whose requests then wait no longer.
func (c *Conn) Close() error {
	c.load.forget(c)
	return c.TCPConn.Close()
}

// RequestRead records that the current request has been read completely.
func (c *Conn) RequestRead() { c.load.end(c) }

// hasBytes reports whether received bytes wait to be read.
func (c *Conn) hasBytes() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}

// track returns the connection of a caller, which counts in the load from now on.
func (l *Load) track(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	c := &Conn{
		TCPConn: tcp,
		load:    l,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unread == nil {
		l.unread = make(map[*Conn]unreadRequest)
	}
	l.unread[c] = unreadRequest{since: l.Now()}
	return c
}

// TrackState records a change of a connection's state; it is the server's ConnState.
func (l *Load) TrackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		request, known := l.unread[c]
		if !known {
			request.since = l.Now()
		}
		request.begun = true
		l.unread[c] = request
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		delete(l.unread, c)
	case http.StateNew:
	}
}

// forget removes a connection that is being closed.
func (l *Load) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unread, c)
}

// end records that a request has been read.
func (l *Load) end(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request, known := l.unread[c]
	if !known {
		return
	}
	delete(l.unread, c)
	l.read++
	if now := l.Now(); now.Sub(request.since) <= promptReadTime {
		l.promptAt = now
	}
}

func (l *Load) addBytes(n int) {
	if l.LinkRate <= 0 || n <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(l.Now())
	l.bytes[l.bucket] += float64(n)
}

// advance moves on to the current bucket.
func (l *Load) advance(now time.Time) {
	if now.Sub(l.bucketAt) >= 2*linkWindow {
		clear(l.bytes[:])
		l.bucketAt = now
		return
	}
	for now.Sub(l.bucketAt) >= linkBucket {
		l.bucketAt = l.bucketAt.Add(linkBucket)
		l.bucket = (l.bucket + 1) % linkBuckets
		l.bytes[l.bucket] = 0
	}
}

// Overload is why an instance cannot take more callers, "" if it can.
type Overload string

// The values of Overload.
const (
	NotOverloaded Overload = ""
	LinkFull      Overload = "link"
	ReadsLate     Overload = "reads"
)

// State is what a Load has measured.
type State struct {
	Overload Overload
	// Unread is the number of requests that wait to be read, Read the number of those that were read since the
	// last State, and LinkUse the fraction of the link in use.
	Unread  int
	Read    int
	LinkUse float64
}

// State returns the current state. Only one Intake calls it.
func (l *Load) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.advance(now)
	s := State{
		Unread: len(l.unread),
		Read:   l.read,
	}
	l.read = 0
	for _, n := range l.bytes {
		s.LinkUse += n
	}
	if l.LinkRate > 0 {
		s.LinkUse /= l.LinkRate * linkWindow.Seconds()
	}
	switch {
	case l.LinkRate > 0 && s.LinkUse > maxLinkUse:
		s.Overload = LinkFull
	case now.Sub(l.promptAt) > promptReadAge && l.lateRequests(now) >= minUnread:
		s.Overload = ReadsLate
	}
	return s
}

// closeStale closes the new connections whose requests have waited for too long to be read, and returns how many.
func (l *Load) closeStale() int {
	l.mu.Lock()
	now := l.Now()
	var stale []*Conn
	for c, request := range l.unread {
		if !request.begun && now.Sub(request.since) > staleReadTime && c.hasBytes() {
			stale = append(stale, c)
			delete(l.unread, c)
		}
	}
	l.mu.Unlock()
	for _, c := range stale {
		// The errors do not matter: the caller may have closed the connection already.
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	return len(stale)
}

// lateRequests returns how many requests have waited for longer than an instance that is not overloaded takes, up to
// minUnread. A connection on which nothing waits to be read is one whose caller has sent nothing yet, or not the rest.
func (l *Load) lateRequests(now time.Time) int {
	late := 0
	for c, request := range l.unread {
		if now.Sub(request.since) > promptReadTime && c.hasBytes() {
			late++
		}
		if late >= minUnread {
			break
		}
	}
	return late
}

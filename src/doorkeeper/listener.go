package doorkeeper

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// logInterval is the least time between two log lines about connections given up.
const logInterval = time.Second

// Listener accepts connections of an HTTP server and holds Most of them; beyond that the
// connection that has been idle longest is closed, or the new one where none is idle. Its
// fields are set before use, and Track is the server's ConnState.
type Listener struct {
	net.Listener
	// Most is how many connections are held at once, 0 for any number.
	Most int
	// Closed counts the connections given up; it may be nil.
	Closed tally.Counter
	Log    zerolog.Logger

	mu   sync.Mutex
	open map[net.Conn]*list.Element
	// idle holds the idle connections, the one idle longest first.
	idle     list.List
	given    int
	loggedAt time.Time
}

// Accept returns the next connection that there is room for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		surplus := l.admit(conn)
		if surplus == nil {
			return conn, nil
		}
		l.giveUp(surplus)
		if surplus != conn {
			return conn, nil
		}
	}
}

// admit takes a connection in and returns the one to close for it, nil for none.
func (l *Listener) admit(conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[net.Conn]*list.Element)
	}
	var surplus net.Conn
	if l.Most > 0 && len(l.open) >= l.Most {
		longest := l.idle.Front()
		if longest == nil {
			return conn
		}
		surplus = longest.Value.(net.Conn)
		l.forget(surplus)
	}
	l.open[conn] = nil
	return surplus
}

// Track follows the state of a connection.
func (l *Listener) Track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	element, held := l.open[conn]
	if !held {
		return
	}
	switch state {
	case http.StateIdle:
		l.open[conn] = l.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		l.forget(conn)
	case http.StateNew, http.StateActive:
		if element != nil {
			l.idle.Remove(element)
			l.open[conn] = nil
		}
	}
}

// forget takes a connection out; the caller holds the lock.
func (l *Listener) forget(conn net.Conn) {
	if element := l.open[conn]; element != nil {
		l.idle.Remove(element)
	}
	delete(l.open, conn)
}

// giveUp closes a connection and says so, at most once in logInterval.
func (l *Listener) giveUp(conn net.Conn) {
	// Its end is already over where the other side was faster.
	_ = conn.Close()
	if l.Closed != nil {
		l.Closed.Inc(1)
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.given++
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.Log.Warn().Int("connections", l.given).Int("most", l.Most).Msg("connections-given-up")
	l.given = 0
	l.loggedAt = now
}

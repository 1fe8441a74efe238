package acceptor

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// logInterval is the minimum time between two log lines about dropped connections.
const logInterval = time.Second

// Listener accepts connections for an HTTP server and keeps at most MaxConnections of them open. To
// admit another one, it closes the connection that has been idle longest; if none is idle,
// it closes the new one. Its fields are set before use, and TrackState must be set as the
// server's ConnState.
type Listener struct {
	net.Listener
	// MaxConnections is the maximum number of open connections, 0 for no limit.
	MaxConnections int
	// Dropped counts the connections closed because of the limit; it may be nil.
	Dropped tally.Counter
	Log     zerolog.Logger

	mu sync.Mutex
	// open maps each connection to its element in idle, nil while it is not idle.
	open map[net.Conn]*list.Element
	// idle holds the idle connections, the one that has been idle longest first.
	idle            list.List
	droppedSinceLog int
	loggedAt        time.Time
}

// Accept returns the next connection that the limit admits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		toClose := l.admit(conn)
		if toClose == nil {
			return conn, nil
		}
		l.drop(toClose)
		if toClose != conn {
			return conn, nil
		}
	}
}

// admit adds a connection and returns the one to close for it, nil for none. If that is the
// new connection itself, it was not added.
func (l *Listener) admit(conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[net.Conn]*list.Element)
	}
	var toClose net.Conn
	if l.MaxConnections > 0 && len(l.open) >= l.MaxConnections {
		oldest := l.idle.Front()
		if oldest == nil {
			return conn
		}
		toClose = oldest.Value.(net.Conn)
		l.remove(toClose)
	}
	l.open[conn] = nil
	return toClose
}

// TrackState records a change of a connection's state.
func (l *Listener) TrackState(conn net.Conn, state http.ConnState) {
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
		l.remove(conn)
	case http.StateNew, http.StateActive:
		if element != nil {
			l.idle.Remove(element)
			l.open[conn] = nil
		}
	}
}

// remove removes a connection; the caller holds mu.
func (l *Listener) remove(conn net.Conn) {
	if element := l.open[conn]; element != nil {
		l.idle.Remove(element)
	}
	delete(l.open, conn)
}

// drop closes a connection and logs the number of dropped ones at most once per
// logInterval.
func (l *Listener) drop(conn net.Conn) {
	// The error does not matter: the peer may have closed the connection already.
	_ = conn.Close()
	if l.Dropped != nil {
		l.Dropped.Inc(1)
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.droppedSinceLog++
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.Log.Warn().Int("connections", l.droppedSinceLog).Int("most", l.MaxConnections).Msg("connections-given-up")
	l.droppedSinceLog = 0
	l.loggedAt = now
}

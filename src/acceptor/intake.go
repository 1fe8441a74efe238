package acceptor

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Intake accepts the connections of callers, and fewer of them while the instance is overloaded; its exported fields
// are set before use.
//
// A load balancer may hand most new connections to one instance. If it read all of their requests, all would wait for
// its processor and its link until their callers give up, and its own traffic with control would wait with them.
// Callers whose connection is refused try another instance at once. So the listening socket is closed for some tens of
// milliseconds again and again: what is refused then uses nothing of the link.
type Intake struct {
	// Listener is the listening socket, and Listen opens it anew.
	Listener net.Listener
	Listen   func() (net.Listener, error)
	Load     *Load
	// Limited is 1 while new connections are limited; it may be nil.
	Limited tally.Gauge
	Log     zerolog.Logger

	start   sync.Once
	limited atomic.Bool

	mu   sync.Mutex
	rate rate
	// stale counts the connections that were closed unread since the limit began.
	stale int
	// listener is the open socket, nil while it is closed; changed is closed when that changes.
	listener net.Listener
	changed  chan struct{}
	done     chan struct{}
}

// Accept returns the next connection.
func (i *Intake) Accept() (net.Conn, error) {
	i.start.Do(func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.listener = i.Listener
		i.changed = make(chan struct{})
		i.done = make(chan struct{})
		go i.run()
	})
	for {
		listener, changed, done := i.current()
		if listener == nil {
			select {
			case <-changed:
				continue
			case <-done:
				return nil, net.ErrClosed
			}
		}
		conn, err := listener.Accept()
		if err == nil {
			i.accepted()
			return i.Load.track(conn), nil
		}
		if now, _, _ := i.current(); now == listener {
			return nil, err
		}
	}
}

func (i *Intake) current() (listener net.Listener, changed, done chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.listener, i.changed, i.done
}

// accepted counts an accepted connection, and closes the socket if it was the last that the limit allows.
func (i *Intake) accepted() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rate.accept()
	if !i.rate.isOpen() {
		i.closeSocket()
	}
}

// closeSocket closes the listening socket; connections in its queue are reset. The caller holds mu.
func (i *Intake) closeSocket() {
	if i.listener == nil {
		return
	}
	// The error does not matter: nothing more is accepted here.
	_ = i.listener.Close()
	i.setListener(nil)
}

func (i *Intake) setListener(listener net.Listener) {
	i.listener = listener
	close(i.changed)
	i.changed = make(chan struct{})
}

// run adapts the limit until the intake is closed.
func (i *Intake) run() {
	ticker := time.NewTicker(rateInterval)
	defer ticker.Stop()
	lastAt := time.Now()
	for {
		select {
		case <-i.done:
			return
		case <-ticker.C:
			now := time.Now()
			i.adapt(max(now.Sub(lastAt), time.Millisecond), i.Load.State())
			lastAt = now
		}
	}
}

// adapt adapts the limit to the load after an interval, and opens or closes the socket.
func (i *Intake) adapt(interval time.Duration, state State) {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.done:
		return
	default:
	}
	if i.rate.step(interval, state.Overload != NotOverloaded, state.Read) {
		i.logLimit(state)
	}
	if i.rate.perSecond > 0 && state.Overload == ReadsLate {
		i.stale += i.Load.closeStale()
	}
	if !i.rate.isOpen() {
		i.closeSocket()
		return
	}
	if i.listener != nil {
		return
	}
	listener, err := i.Listen()
	if err != nil {
		i.Log.Error().Err(err).Msg("listener-not-reopened")
		return
	}
	i.setListener(listener)
}

// logLimit logs and counts that a limit has begun or ended.
func (i *Intake) logLimit(state State) {
	limited := i.rate.perSecond > 0
	i.limited.Store(limited)
	if i.Limited != nil {
		value := 0.0
		if limited {
			value = 1
		}
		i.Limited.Update(value)
	}
	i.Log.Warn().
		Bool("limited", limited).
		Str("overload", string(state.Overload)).
		Int("unread", state.Unread).
		Float64("link-use", state.LinkUse).
		Float64("accepted-per-second", i.rate.meanAccepted).
		Float64("limit-per-second", i.rate.perSecond).
		Int("closed-unread", i.stale).
		Msg("intake-limited")
	i.stale = 0
}

// IsLimited reports whether new connections are limited. Connections that are closed after their answers then come back
// within the limit, and the others at other instances.
func (i *Intake) IsLimited() bool { return i.limited.Load() }

// Close closes the intake.
func (i *Intake) Close() error {
	i.start.Do(func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.listener = i.Listener
		i.changed = make(chan struct{})
		i.done = make(chan struct{})
	})
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.done:
		return nil
	default:
	}
	close(i.done)
	if i.listener == nil {
		return nil
	}
	err := i.listener.Close()
	i.setListener(nil)
	return err
}

// Addr returns the address of the listening socket.
func (i *Intake) Addr() net.Addr { return i.Listener.Addr() }

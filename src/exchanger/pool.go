package exchanger

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// mostDial bounds the set-up of a connection: some hundred round trips within a
	// region, and short beside any call's timeout. leastDial is longer than a busy
	// instance takes to see an answer, and dialTimes how many times the usual set-up one
	// may take.
	mostDial  = 400 * time.Millisecond
	leastDial = 80 * time.Millisecond
	dialTimes = 20
	// defaultIdle is how long an idle connection is kept where the upstream does
	// not say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleUse is the part of the upstream's idle timeout that is used: closer to
	// its end a request would cross the upstream's close.
	idleUse = 0.5
	// ackTimeout ends a connection whose bytes nobody acknowledges. One that has
	// gone silent would otherwise take calls until the system gives it up after
	// minutes.
	ackTimeout = 1200 * time.Millisecond
	readBuffer = 4 << 10
	// sweepInterval is how often idle connections are looked through for those
	// that the upstream has closed.
	sweepInterval = time.Second
)

// Pool keeps connections to upstreams; its fields are set before use.
type Pool struct {
	// Most returns how many connections to an upstream this entry may have.
	Most func(upstream *tracker.Upstream) int
	// Opened counts connections that were made; it may be nil.
	Opened interface{ Inc(delta int64) }

	mu    sync.Mutex
	hosts map[hostKey]*host
	// usual is how long the set-up of a connection takes, by the last ones.
	usual time.Duration
}

// hostKey is one life of one upstream at one address: connections to an earlier
// life lead nowhere, or to another upstream.
type hostKey struct {
	address     string
	name        units.Upstream
	incarnation units.Incarnation
}

type host struct {
	idle []*conn
	open int
}

// conn is one connection; one call at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	key    hostKey
	live   *tracker.LocalState
	// reused says that an earlier call went over it.
	reused bool
	idleAt time.Time
	idle   time.Duration
}

// FullError says that this entry has as many connections to the upstream as it may.
type FullError struct {
	Upstream units.Upstream
}

// Error names the remedy.
func (e *FullError) Error() string {
	return "all connections to " + string(e.Upstream) + " are in use; raise its limit or add upstreams"
}

// get returns an idle connection that looks alive, or makes one. fresh asks for a
// new one, which alone shows that the upstream can be reached.
func (p *Pool) get(ctx context.Context, upstream *tracker.Upstream, fresh bool) (*conn, error) {
	key := hostKey{
		address:     upstream.Address,
		name:        upstream.Name,
		incarnation: upstream.Incarnation,
	}
	for !fresh {
		c := p.pop(key)
		if c == nil {
			break
		}
		if c.usable() {
			c.reused = true
			return c, nil
		}
		p.drop(c)
	}
	if err := p.reserve(key, upstream); err != nil {
		return nil, err
	}
	began := time.Now()
	c, err := dial(ctx, upstream.Address, p.patience())
	if err != nil {
		p.release(key)
		return nil, err
	}
	p.learn(time.Since(began))
	if p.Opened != nil {
		p.Opened.Inc(1)
	}
	return &conn{
		Conn:   c,
		reader: bufio.NewReaderSize(c, readBuffer),
		key:    key,
		live:   upstream.Local,
		idle:   defaultIdle,
	}, nil
}

// Reach makes a connection to an upstream, which is kept for the next call, or says why there
// is none; an upstream with as many connections as it may have was reached before.
func (p *Pool) Reach(ctx context.Context, upstream *tracker.Upstream) error {
	c, err := p.get(ctx, upstream, true)
	var full *FullError
	if errors.As(err, &full) {
		return nil
	}
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// usualPart is how far one set-up moves the measure of what is usual.
const usualPart = 0.1

// learn follows how long the set-up of a connection takes.
func (p *Pool) learn(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usual == 0 {
		p.usual = took
		return
	}
	p.usual += time.Duration(usualPart * float64(took-p.usual))
}

// patience returns how long the set-up of a connection may take.
//
// An upstream that has gone dark answers nothing, and each of hundreds of entries finds
// it out for itself. With one bound for all networks a call waited as long for it as its
// caller wants to wait at all. A packet that is lost is sent again after a second, which
// no such bound outlasts.
func (p *Pool) patience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usual == 0 {
		return mostDial
	}
	return min(mostDial, max(leastDial, dialTimes*p.usual))
}

// pop takes the connection that was used last, which is least likely to be dead.
func (p *Pool) pop(key hostKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[key]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	c.live.IdleConnections.Add(-1)
	return c
}

func (p *Pool) reserve(key hostKey, upstream *tracker.Upstream) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = make(map[hostKey]*host)
	}
	h := p.hosts[key]
	if h == nil {
		h = &host{}
		p.hosts[key] = h
	}
	if h.open >= p.Most(upstream) {
		return &FullError{Upstream: upstream.Name}
	}
	h.open++
	return nil
}

func (p *Pool) release(key hostKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[key]
	h.open--
	if h.open == 0 {
		delete(p.hosts, key)
	}
}

// put keeps a connection for the next call.
func (p *Pool) put(c *conn) {
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.key]
	h.idle = append(h.idle, c)
	c.live.IdleConnections.Add(1)
}

// drop closes a connection.
func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.release(c.key)
}

// Run closes connections that have been idle too long, or that the upstream has
// closed, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, c := range p.stale() {
				p.drop(c)
			}
		}
	}
}

// stale takes out the idle connections that are of no more use.
func (p *Pool) stale() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var stale []*conn
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if c.usable() {
				kept = append(kept, c)
				continue
			}
			stale = append(stale, c)
			c.live.IdleConnections.Add(-1)
		}
		h.idle = kept
	}
	return stale
}

// Idle reports whether a connection to the upstream waits for use.
func (p *Pool) Idle(upstream *tracker.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[hostKey{
		address:     upstream.Address,
		name:        upstream.Name,
		incarnation: upstream.Incarnation,
	}]
	return h != nil && len(h.idle) > 0
}

// usable reports whether a connection is young enough, open, and without bytes
// that nobody asked for: those would be taken for the next call's answer.
func (c *conn) usable() bool {
	if time.Since(c.idleAt) > time.Duration(float64(c.idle)*idleUse) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func dial(ctx context.Context, address string, patience time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     2 * time.Second,
			Interval: 500 * time.Millisecond,
			Count:    3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

package exchanger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/dialer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// The dial timeout is dialTimeoutFactor times the mean dial time, within these bounds.
	// maxDialTimeout is some hundred round trips within a region, and short compared to
	// any call's timeout. minDialTimeout is longer than a busy instance takes to notice
	// an answer.
	maxDialTimeout    = 400 * time.Millisecond
	minDialTimeout    = 80 * time.Millisecond
	dialTimeoutFactor = 20
	// defaultIdleTimeout is the upstream's idle timeout where it states none.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of the upstream's idle timeout for which a
	// connection is reused. Closer to its end, the upstream could close the
	// connection while a request is on its way.
	idleTimeoutFraction = 0.5
	readBuffer          = 4 << 10
	// sweepInterval is how often idle connections that the upstream has closed, or
	// that are too old, are removed.
	sweepInterval = time.Second
	// maxExtraConnections is how many connections beyond the maximum are open at once, to see whether upstreams can be
	// reached.
	maxExtraConnections = 16
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds connections to upstreams; its exported fields are set before use.
type Pool struct {
	// Dialer opens the connections; nil opens them over TCP.
	Dialer Dialer
	// MaxConnections returns the maximum number of connections of this entry to an upstream.
	MaxConnections func(upstream *tracker.Upstream) int
	// MaxTotal is the maximum number of connections of this entry to all upstreams; 0 stands for
	// no limit.
	MaxTotal int
	// OpenedCounter counts the connections that were opened; it may be nil.
	OpenedCounter interface{ Inc(delta int64) }
	// UsableSince returns the time before which an idle connection to an upstream must not have been
	// used last, zero where all are usable; it may be nil.
	UsableSince func(upstream *tracker.Upstream) time.Time
	// OnDialed is called with the outcome of each attempt to open a connection, except those whose
	// caller left; it may be nil.
	OnDialed func(upstream *tracker.Upstream, startedAt time.Time, err error)

	mu    sync.Mutex
	hosts map[hostKey]*hostConns
	// open is the number of connections to all upstreams.
	open int
	// meanDialTime is the moving average of the time to open a connection.
	meanDialTime time.Duration

	// extra has an element for each connection that is open beyond the maximum.
	extra     chan struct{}
	extraOnce sync.Once
}

// hostKey identifies one incarnation of an upstream at one address. Connections to an
// earlier incarnation are dead or lead to another upstream.
type hostKey struct {
	address     string
	name        units.Upstream
	incarnation units.Incarnation
}

func newHostKey(upstream *tracker.Upstream) hostKey {
	return hostKey{
		address:     upstream.Address,
		name:        upstream.Name,
		incarnation: upstream.Incarnation,
	}
}

type hostConns struct {
	idle []*conn
	open int
}

// conn is one connection; one call at a time uses it.
type conn struct {
	net.Conn
	reader *capper.Reader
	key    hostKey
	live   *tracker.LocalState
	// openedAt is when the connection was open.
	openedAt time.Time
	// reused is set where the connection has served an earlier call.
	reused bool
	// isExtra is set where the connection is one beyond the maximum.
	isExtra bool
	// idleSince is on the clock that counts suspension.
	idleSince   time.Time
	idleTimeout time.Duration
}

// ConnectionLimitError is the error where this entry has its maximum number of connections
// to the upstream open.
type ConnectionLimitError struct {
	Upstream units.Upstream
}

// Error names the remedy.
func (e *ConnectionLimitError) Error() string {
	return "all connections to " + string(e.Upstream) + ", or all of this entry, are in use; raise the limit or add upstreams or entries"
}

// get returns an idle connection that appears to be open, or opens a new one. With fresh
// it always opens a new one: only that shows that the upstream is reachable.
func (p *Pool) get(ctx context.Context, upstream *tracker.Upstream, fresh bool) (*conn, error) {
	key := newHostKey(upstream)
	usableSince := p.usableSince(upstream)
	for !fresh {
		c := p.pop(key)
		if c == nil {
			break
		}
		if !c.idleSince.Before(usableSince) && c.isUsable() {
			c.reused = true
			return c, nil
		}
		p.drop(c)
	}
	if err := p.reserve(key, upstream); err != nil {
		return nil, err
	}
	startedAt := timekeeper.Now()
	c, err := p.connect(ctx, upstream, key)
	if p.OnDialed != nil && (err == nil || ctx.Err() == nil) {
		p.OnDialed(upstream, startedAt, err)
	}
	return c, err
}

// connect opens a connection for which there is a reservation.
func (p *Pool) connect(ctx context.Context, upstream *tracker.Upstream, key hostKey) (*conn, error) {
	startedAt := timekeeper.Now()
	c, err := p.dial(ctx, upstream.Address)
	if err != nil {
		p.release(key)
		return nil, err
	}
	p.recordDialTime(timekeeper.Now().Sub(startedAt))
	if p.OpenedCounter != nil {
		p.OpenedCounter.Inc(1)
	}
	return &conn{
		Conn:        c,
		reader:      capper.NewReader(c, readBuffer),
		key:         key,
		live:        upstream.Local,
		openedAt:    timekeeper.Now(),
		idleTimeout: defaultIdleTimeout,
	}, nil
}

// verify opens a connection to an upstream and checks it. Only one that passes counts as made, and is kept for the next
// call; a connection alone says little, as the system accepts it also for a process that is stopped.
func (p *Pool) verify(ctx context.Context, upstream *tracker.Upstream, check func(c *conn) error) error {
	key := newHostKey(upstream)
	if err := p.reserve(key, upstream); err != nil {
		return err
	}
	startedAt := timekeeper.Now()
	c, err := p.connect(ctx, upstream, key)
	if err != nil {
		return err
	}
	if err := check(c); err != nil {
		p.drop(c)
		return err
	}
	if p.OnDialed != nil {
		p.OnDialed(upstream, startedAt, nil)
	}
	p.put(c)
	return nil
}

func (p *Pool) usableSince(upstream *tracker.Upstream) time.Time {
	if p.UsableSince == nil {
		return time.Time{}
	}
	return p.UsableSince(upstream)
}

// Probe opens a connection to an upstream, which is kept for the next call, or returns why
// it could not. Where the maximum number of connections is open, which may have fallen since,
// it opens one beyond it and closes that at once.
func (p *Pool) Probe(ctx context.Context, upstream *tracker.Upstream) error {
	c, err := p.openProbe(ctx, upstream)
	if err != nil {
		return err
	}
	p.endProbe(c, true)
	return nil
}

// ProbeFor is like Probe and watches the connection for a time. Where the upstream ends it
// before, whether it accepts another one decides: the kernel closes the connections of a process
// that ends before the socket on which it listens, and an upstream may close what it has too many of.
func (p *Pool) ProbeFor(ctx context.Context, upstream *tracker.Upstream, watched time.Duration) error {
	c, err := p.openProbe(ctx, upstream)
	if errors.Is(err, syscall.ECONNRESET) {
		return p.probeAgain(ctx, upstream)
	}
	if err != nil {
		return err
	}
	wait := time.NewTimer(watched)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		p.endProbe(c, false)
		return ctx.Err()
	case <-wait.C:
	}
	lasts := c.isOpen()
	p.endProbe(c, lasts)
	if lasts {
		return nil
	}
	return p.probeAgain(ctx, upstream)
}

// probeAgain is like Probe after the upstream has ended a connection. One that is reset while it is opened was accepted.
func (p *Pool) probeAgain(ctx context.Context, upstream *tracker.Upstream) error {
	if err := p.Probe(ctx, upstream); !errors.Is(err, syscall.ECONNRESET) {
		return err
	}
	return nil
}

// openProbe opens a connection, beyond the maximum if need be; endProbe ends its use.
func (p *Pool) openProbe(ctx context.Context, upstream *tracker.Upstream) (*conn, error) {
	c, err := p.get(ctx, upstream, true)
	var limitErr *ConnectionLimitError
	if !errors.As(err, &limitErr) {
		return c, err
	}
	p.extraOnce.Do(func() { p.extra = make(chan struct{}, maxExtraConnections) })
	select {
	case p.extra <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	startedAt := timekeeper.Now()
	opened, err := p.dial(ctx, upstream.Address)
	if p.OnDialed != nil && (err == nil || ctx.Err() == nil) {
		p.OnDialed(upstream, startedAt, err)
	}
	if err != nil {
		<-p.extra
		return nil, err
	}
	return &conn{
		Conn:    opened,
		reader:  capper.NewReader(opened, readBuffer),
		isExtra: true,
	}, nil
}

// endProbe keeps the connection for the next call if that may use it, or closes it.
func (p *Pool) endProbe(c *conn, isUsable bool) {
	switch {
	case c.isExtra:
		_ = c.Close()
		<-p.extra
	case isUsable:
		p.put(c)
	default:
		p.drop(c)
	}
}

// dialTimeGain is the weight of the latest dial time in the moving average.
const dialTimeGain = 0.1

// recordDialTime updates the moving average of the time to open a connection.
func (p *Pool) recordDialTime(dialTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.meanDialTime == 0 {
		p.meanDialTime = dialTime
		return
	}
	p.meanDialTime += time.Duration(dialTimeGain * float64(dialTime-p.meanDialTime))
}

// dialTimeout returns how long opening a connection may take.
//
// An unreachable upstream sends no response, and each of hundreds of entries has to find
// that out by itself. With one timeout for all networks, a call would spend as long on it
// as its caller is willing to wait altogether. The timeout does not cover a lost packet,
// which is resent only after a second.
func (p *Pool) dialTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.meanDialTime == 0 {
		return maxDialTimeout
	}
	return min(maxDialTimeout, max(minDialTimeout, dialTimeoutFactor*p.meanDialTime))
}

// pop returns the most recently used idle connection, which is the least likely to be
// dead.
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
	p.closeLongestIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = make(map[hostKey]*hostConns)
	}
	h := p.hosts[key]
	if h == nil {
		h = &hostConns{}
		p.hosts[key] = h
	}
	if h.open >= p.MaxConnections(upstream) || p.MaxTotal > 0 && p.open >= p.MaxTotal {
		if h.open == 0 {
			delete(p.hosts, key)
		}
		return &ConnectionLimitError{Upstream: upstream.Name}
	}
	h.open++
	p.open++
	return nil
}

// closeLongestIdle makes room for a connection if MaxTotal is reached: it closes the one that has
// been idle for the longest time. An entry's share of each upstream's connections grows as other
// entries are lost, and those of a hundred upstreams may be more than a small instance can open.
func (p *Pool) closeLongestIdle() {
	p.mu.Lock()
	if p.MaxTotal <= 0 || p.open < p.MaxTotal {
		p.mu.Unlock()
		return
	}
	var oldest *conn
	for _, h := range p.hosts {
		// Connections are put back at the end, so the first has been idle for the longest time.
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = h.idle[0]
		}
	}
	if oldest != nil {
		h := p.hosts[oldest.key]
		h.idle = h.idle[1:]
		oldest.live.IdleConnections.Add(-1)
	}
	p.mu.Unlock()
	if oldest != nil {
		p.drop(oldest)
	}
}

func (p *Pool) release(key hostKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[key]
	h.open--
	p.open--
	if h.open == 0 {
		delete(p.hosts, key)
	}
}

// put returns a connection to the pool for the next call.
func (p *Pool) put(c *conn) {
	c.idleSince = timekeeper.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.key]
	h.idle = append(h.idle, c)
	c.live.IdleConnections.Add(1)
}

// drop closes a connection and releases its reservation.
func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.release(c.key)
}

// Run closes connections that have been idle for too long or that the upstream has
// closed, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, c := range p.removeStale() {
				p.drop(c)
			}
		}
	}
}

// removeStale removes the idle connections that are no longer usable, and returns them.
func (p *Pool) removeStale() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var stale []*conn
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if c.isUsable() {
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

// HasIdle reports whether the pool holds an idle connection to the upstream that may be used.
func (p *Pool) HasIdle(upstream *tracker.Upstream) bool {
	usableSince := p.usableSince(upstream)
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[hostKey{
		address:     upstream.Address,
		name:        upstream.Name,
		incarnation: upstream.Incarnation,
	}]
	return h != nil && len(h.idle) > 0 && !h.idle[len(h.idle)-1].idleSince.Before(usableSince)
}

// isUsable reports whether a connection has not been idle for too long, is open, and has
// no unrequested bytes waiting, which would be read as the next call's answer.
func (c *conn) isUsable() bool {
	return timekeeper.Now().Sub(c.idleSince) <= time.Duration(float64(c.idleTimeout)*idleTimeoutFraction) && c.isOpen()
}

// isOpen reports whether a connection is open and has no unrequested bytes waiting.
func (c *conn) isOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && noData
}

// dial opens a connection. The timeout counts the time in which this process runs: one that gets little processor time
// would otherwise find every upstream unreachable.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	dialCtx, cancel := timekeeper.WithRunningTimeout(ctx, p.dialTimeout())
	defer cancel()
	var open Dialer = dialer.New()
	if p.Dialer != nil {
		open = p.Dialer
	}
	conn, err := open.DialContext(dialCtx, "tcp", address)
	if err != nil && ctx.Err() == nil && dialCtx.Err() != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, os.ErrDeadlineExceeded)
	}
	return conn, err
}

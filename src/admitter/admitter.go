package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Admitter bounds what all clients of a process hold; its exported fields are set before its listeners are used. It is
// safe for concurrent use.
type Admitter struct {
	Limits Limits
	Log    zerolog.Logger
	// Scope may be nil; nothing is counted then.
	Scope tally.Scope

	prepare sync.Once
	limits  Limits

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// used is what all connections hold, closing the part of it that those hold which are being closed.
	used    int64
	closing int64
	// untaken is what connections hold of whole answers.
	untaken int64
	// released is closed when something has been given back, nil while nobody waits for that.
	released chan struct{}
	refused  map[refusal]int
	loggedAt map[refusal]time.Time
}

// refusal is what refusals are counted by.
type refusal struct {
	listener string
	kind     Kind
	phase    phase
}

// State is what all clients hold.
type State struct {
	Connections  int   `yaml:"connections"`
	Bytes        int64 `yaml:"bytes"`
	MaxBytes     int64 `yaml:"max-bytes"`
	UntakenBytes int64 `yaml:"untaken-bytes"`
}

func (a *Admitter) setUp() {
	a.prepare.Do(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.limits = a.Limits.withDefaults()
		a.conns = make(map[*Conn]struct{})
		a.refused = make(map[refusal]int)
		a.loggedAt = make(map[refusal]time.Time)
	})
}

// State returns what all clients hold now.
func (a *Admitter) State() State {
	if a == nil {
		return State{}
	}
	a.setUp()
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{
		Connections:  len(a.conns),
		Bytes:        a.used,
		MaxBytes:     a.limits.Bytes,
		UntakenBytes: a.untaken,
	}
}

// Run closes the connections whose clients do not take their answers, and counts what waits in the kernel for them,
// until ctx ends.
func (a *Admitter) Run(ctx context.Context) error {
	a.setUp()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.check(time.Now())
		}
	}
}

// check closes connections whose answers are not taken, and as many as exceed the bounds together with what waits in
// the kernel for them.
func (a *Admitter) check(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.measureQueues()
	for c := range a.conns {
		if c.evicted == "" && c.answering && now.Sub(c.progressAt) >= a.limits.AnswerTimeout {
			a.evict(c, AnswerTimeout)
		}
	}
	for a.untaken > a.limits.AnswerBytes {
		c := a.largestUntaken(now)
		if c == nil {
			break
		}
		a.evict(c, Untaken)
	}
	a.makeRoom(a.used-a.closing-a.limits.Bytes, 0, nil)
	if a.Scope != nil {
		a.Scope.Gauge("client_connections").Update(float64(len(a.conns)))
		a.Scope.Gauge("client_bytes").Update(float64(a.used))
	}
}

// measureQueues counts what waits in the kernel for clients to take it, where it could matter. The caller holds mu.
func (a *Admitter) measureQueues() {
	matters := a.used+int64(len(a.conns))*2*sendBuffer > a.limits.Bytes
	for c := range a.conns {
		queued := int64(0)
		if matters {
			queued = c.queuedBytes()
		}
		a.add(c, queued-c.queued)
		c.queued = queued
	}
}

// largestUntaken returns the connection that holds the largest answer of which nothing is taken, nil for none. The
// caller holds mu.
func (a *Admitter) largestUntaken(now time.Time) *Conn {
	var largest *Conn
	for c := range a.conns {
		if c.evicted != "" || c.answer == 0 || !c.answering || now.Sub(c.progressAt) < stallTime {
			continue
		}
		if largest == nil || c.answer > largest.answer {
			largest = c
		}
	}
	return largest
}

// grow adds to what a connection holds, and closes others where that needs their room. It waits until they have given it
// back.
func (a *Admitter) grow(c *Conn, bytes int64) error {
	deadline := time.Now().Add(roomTimeout)
	for {
		released, err := a.tryGrow(c, bytes)
		if released == nil {
			return err
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-released:
			timer.Stop()
		case <-timer.C:
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.refuse(c, NoMemory)
		}
	}
}

// tryGrow adds to what a connection holds if there is room. Otherwise it returns an error, or a channel that is closed
// when there may be room.
func (a *Admitter) tryGrow(c *Conn, bytes int64) (<-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.evicted != "" {
		return nil, &RefusedError{
			Kind:  c.evicted,
			Limit: a.limits.Bytes,
		}
	}
	missing := a.missing(c, bytes)
	if missing <= 0 {
		a.add(c, bytes)
		return nil, nil
	}
	if !a.makeRoom(missing-a.closing, c.bytes+bytes, c) {
		return nil, a.refuse(c, NoMemory)
	}
	if a.missing(c, bytes) <= 0 {
		a.add(c, bytes)
		return nil, nil
	}
	if a.released == nil {
		a.released = make(chan struct{})
	}
	return a.released, nil
}

// missing returns how much others would have to give back for a connection to grow. The caller holds mu.
func (a *Admitter) missing(c *Conn, bytes int64) int64 {
	held := c.bytes + bytes
	others := a.used - c.bytes
	// A connection that has only begun a request needs no more than its own room.
	if held <= 2*connectionBytes {
		return others + held - a.limits.Bytes
	}
	return others + int64(float64(held)/maxShare) - a.limits.Bytes
}

// makeRoom closes connections until they hold a number of bytes, in favour of one that would then hold needed bytes. It
// returns false if there are not enough of them, and then closes none if it has one to favour. The caller holds mu.
func (a *Admitter) makeRoom(bytes, needed int64, favoured *Conn) bool {
	if bytes <= 0 {
		return true
	}
	now := time.Now()
	if favoured != nil && a.yielding(now, needed, favoured) < bytes {
		return false
	}
	for bytes > 0 {
		c, kind := a.victim(now, needed, func(c *Conn) bool { return c != favoured })
		if c == nil {
			return false
		}
		bytes -= c.bytes
		a.evict(c, kind)
	}
	return true
}

// yielding returns how many bytes the connections hold that may be closed in favour of one. The caller holds mu.
func (a *Admitter) yielding(now time.Time, needed int64, favoured *Conn) int64 {
	var sum int64
	for c := range a.conns {
		if c.evicted != "" || c.isPeer || c == favoured {
			continue
		}
		if r, _ := c.rank(now, needed); r != rankNever {
			sum += c.bytes
		}
	}
	return sum
}

// victim returns the connection that is closed next, nil for none. The caller holds mu.
func (a *Admitter) victim(now time.Time, needed int64, mayClose func(*Conn) bool) (*Conn, Kind) {
	var first *Conn
	var firstRank rank
	var firstKind Kind
	for c := range a.conns {
		if c.evicted != "" || c.isPeer || !mayClose(c) {
			continue
		}
		r, kind := c.rank(now, needed)
		if r == rankNever || r < firstRank || r == firstRank && first != nil && !c.goesBefore(&first.holding, r) {
			continue
		}
		first, firstRank, firstKind = c, r, kind
	}
	return first, firstKind
}

// evict lets a connection end. One without a request is closed at once; of others, reads and writes fail from now on,
// and what they hold is given back by their own goroutines. The caller holds mu.
func (a *Admitter) evict(c *Conn, kind Kind) {
	c.evicted = kind
	a.closing += c.bytes
	a.count(c, kind)
	if c.phase != phaseIdle && c.phase != phaseSilent {
		c.interrupt()
		return
	}
	a.remove(c)
	// The error does not matter: the client may have closed the connection already.
	_ = c.Conn.Close()
}

// refuse marks the connection that asks for room as one that gets none. The caller holds mu.
func (a *Admitter) refuse(c *Conn, kind Kind) error {
	if c.evicted == "" {
		c.evicted = kind
		a.closing += c.bytes
		a.count(c, kind)
	}
	return &RefusedError{
		Kind:  c.evicted,
		Limit: a.limits.Bytes,
	}
}

// add adds to what a connection holds, or subtracts from it. The caller holds mu.
func (a *Admitter) add(c *Conn, bytes int64) {
	if bytes == 0 {
		return
	}
	c.bytes += bytes
	a.used += bytes
	if c.evicted != "" {
		a.closing += bytes
	}
	if bytes < 0 && a.released != nil {
		close(a.released)
		a.released = nil
	}
}

// remove removes a connection that was closed. The caller holds mu.
func (a *Admitter) remove(c *Conn) {
	if _, known := a.conns[c]; !known {
		return
	}
	delete(a.conns, c)
	c.listener.open--
	a.untaken -= c.answer
	c.answer = 0
	a.add(c, -c.bytes)
}

// count counts a refusal, and logs the refusals of one kind at most once per logInterval. The caller holds mu.
func (a *Admitter) count(c *Conn, kind Kind) {
	r := refusal{
		listener: c.listener.Name,
		kind:     kind,
		phase:    c.phase,
	}
	if a.Scope != nil {
		a.Scope.Tagged(map[string]string{
			"listener": r.listener,
			"kind":     string(r.kind),
			"phase":    r.phase.String(),
		}).Counter("clients_refused").Inc(1)
	}
	a.refused[r]++
	now := time.Now()
	if now.Sub(a.loggedAt[r]) < logInterval {
		return
	}
	a.loggedAt[r] = now
	a.Log.Warn().
		Str("listener", r.listener).
		Str("kind", string(r.kind)).
		Str("phase", r.phase.String()).
		Int("clients", a.refused[r]).
		Str("last", c.remote()).
		Int64("last-bytes", c.bytes).
		Int64("last-received", c.received).
		Int("connections", len(a.conns)).
		Int64("bytes", a.used).
		Int64("max-bytes", a.limits.Bytes).
		Msg("clients-refused")
	a.refused[r] = 0
}

package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// identityTimeout is how long an upstream may take to state its incarnation; stating it needs no slot.
	identityTimeout = 300 * time.Millisecond
	// maxIdentityBytes bounds the answer in which an upstream states its incarnation.
	maxIdentityBytes = 1 << 20
	// maxUnanswered is how many questions an upstream may leave unanswered before it counts as one that does
	// not state its incarnation.
	maxUnanswered = 3
)

// Identity is what is known of the incarnation at the other end of a connection.
type Identity int

const (
	// Untold means that the upstream does not state its incarnation.
	Untold Identity = iota
	// Confirmed means that it is the incarnation that is known.
	Confirmed
	// Replaced means that another incarnation has taken its place.
	Replaced
)

// String returns the name of the identity in logs.
func (i Identity) String() string {
	switch i {
	case Confirmed:
		return "confirmed"
	case Replaced:
		return "replaced"
	case Untold:
	}
	return "untold"
}

// ReplacedError is the error where another incarnation has taken an upstream's place.
type ReplacedError struct {
	Upstream units.Upstream
	Known    units.Incarnation
}

// Error names the remedy.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("%s has started again since %d; its software version is not known until control has its heartbeat, use another upstream", e.Upstream, e.Known)
}

// identities holds what upstreams have stated of their incarnations. It is safe for concurrent use.
type identities struct {
	mu     sync.Mutex
	stated map[units.IncarnationID]statement
}

// statement is what an upstream has stated of its incarnation.
type statement struct {
	// confirmedAt is when the last question was sent that the known incarnation has answered.
	confirmedAt time.Time
	// states is set once an answer has stated an incarnation.
	states bool
	// unanswered counts the questions without an answer until one has stated it.
	unanswered int
}

// isConfirmed reports whether a connection leads to the known incarnation: it was open when that was asked.
func (i *identities) isConfirmed(id units.IncarnationID, c *conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	s, found := i.stated[id]
	return found && !s.confirmedAt.IsZero() && !c.openedAt.After(s.confirmedAt)
}

// isUntold reports whether an upstream is not asked, as it does not state its incarnation.
func (i *identities) isUntold(id units.IncarnationID) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.stated[id].unanswered >= maxUnanswered
}

// record records the answer to a question that was sent at a time; err is why there was none.
func (i *identities) record(id units.IncarnationID, askedAt time.Time, identity Identity, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.stated[id]
	switch {
	case err != nil && s.states:
	case err != nil:
		s.unanswered++
	case identity == Untold:
		s.unanswered = maxUnanswered
	default:
		s.states, s.unanswered = true, 0
		if identity == Confirmed && askedAt.After(s.confirmedAt) {
			s.confirmedAt = askedAt
		}
	}
	if i.stated == nil {
		i.stated = make(map[units.IncarnationID]statement)
	}
	i.stated[id] = s
}

// RetainIdentities forgets what upstreams have stated that are no longer known.
func (x *Exchanger) RetainIdentities(known map[units.IncarnationID]bool) {
	i := &x.identities
	i.mu.Lock()
	defer i.mu.Unlock()
	for id := range i.stated {
		if !known[id] {
			delete(i.stated, id)
		}
	}
}

// identify checks that a connection leads to the incarnation that is known, where the call depends on its software
// version. The error is why the call must not be sent on this connection.
func (x *Exchanger) identify(ctx context.Context, c *conn, call *dispatcher.Call, upstream *tracker.Upstream, stream *dispatcher.Stream) error {
	if x.MayAsk == nil || !call.Stream || !call.Repeatable || upstream.Incarnation == 0 {
		return nil
	}
	id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
	if x.identities.isConfirmed(id, c) || x.identities.isUntold(id) || !x.MayAsk(upstream) {
		return nil
	}
	askedAt := timekeeper.Now()
	identity, err := x.ask(ctx, c, upstream, identityTimeout)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	x.identities.record(id, askedAt, identity, err)
	if err != nil {
		if x.OnUnanswered != nil {
			x.OnUnanswered(upstream)
		}
		return fmt.Errorf("ask %s for its incarnation: %w", upstream.Name, err)
	}
	return x.OnIdentity(call, upstream, stream, identity)
}

// Ask asks an upstream for its incarnation on a new connection. The error is why it has not answered within the timeout;
// the connection does not count as made then.
func (x *Exchanger) Ask(ctx context.Context, upstream *tracker.Upstream, timeout time.Duration) (Identity, error) {
	identity := Untold
	err := x.Pool.verify(ctx, upstream, func(c *conn) error {
		askedAt := timekeeper.Now()
		var err error
		identity, err = x.ask(ctx, c, upstream, timeout)
		if err == nil {
			x.identities.record(units.NewIncarnationID(upstream.Name, upstream.Incarnation), askedAt, identity, nil)
		}
		return err
	})
	return identity, err
}

// ask asks the upstream at the other end of a connection for its incarnation. After an error the connection is not
// usable.
func (x *Exchanger) ask(ctx context.Context, c *conn, upstream *tracker.Upstream, timeout time.Duration) (Identity, error) {
	_ = c.SetDeadline(time.Now().Add(timeout))
	request := "GET " + x.Dialect.IdentityPath() + " HTTP/1.1\r\nHost: " + upstream.Address + "\r\n\r\n"
	if _, err := io.WriteString(c, request); err != nil {
		return Untold, err
	}
	hold := x.Capper.NewHold()
	defer hold.Release()
	response, err := c.reader.ReadResponse(&http.Request{Method: http.MethodGet}, hold) //nolint:bodyclose // Closing would read the rest; the connection is closed instead.
	if err != nil {
		return Untold, err
	}
	body, err := capper.ReadAll(capper.Source{
		Body:   response.Body,
		Kind:   capper.Body,
		Length: response.ContentLength,
		Limit:  maxIdentityBytes,
	}, hold)
	if err != nil {
		return Untold, err
	}
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return Untold, errClosesConnection
	}
	_ = c.SetDeadline(time.Time{})
	if err := ctx.Err(); err != nil {
		return Untold, err
	}
	incarnation, stated := x.Dialect.ParseIdentity(response.StatusCode, body)
	switch {
	case !stated:
		return Untold, nil
	case incarnation == upstream.Incarnation:
		return Confirmed, nil
	default:
		return Replaced, nil
	}
}

// errClosesConnection is the error for an upstream that ends the connection with its answer.
var errClosesConnection = errors.New("it closes the connection after its answer")

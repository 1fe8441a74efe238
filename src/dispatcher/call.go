package dispatcher

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

// MadeKeyPrefix begins every key that the system makes for a call without one.
const MadeKeyPrefix = "rosecroft-"

// Call is one accepted request; it is not changed once dispatched.
type Call struct {
	ID units.CallID
	// Key is the caller's Idempotency-Key, or one made of the call's id.
	Key string
	// KeyGiven says that the caller sent the key.
	KeyGiven bool
	// Adopted says that another entry handed the call over.
	Adopted bool
	Brand   units.Brand
	Account *parser.ClientAccount
	Service units.Service
	Kind    parser.ServiceKind
	Policy  parser.Policy
	Method  string
	// Host is the host that the caller asked for, where it matters to the upstream.
	Host   string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// RecordedBody is the body that the caller sent, where it differs from Body.
	RecordedBody []byte
	Deadline     time.Time
	// BetweenTokens is the latency target from one token to the next, 0 for none.
	BetweenTokens time.Duration
	// Repeatable says that running the call twice does no harm.
	Repeatable bool
	Stream     bool
	Model      units.Model
	// Prompt is the estimated size of the prompt, MaxOutput the most that may be generated.
	Prompt    units.Tokens
	MaxOutput units.Tokens
	// Blocks are chained hashes over the prompt's whole blocks.
	Blocks []uint64
	// Parts are the parts of the prompt in order, where the caller names them.
	Parts []Part
	// From is how much of the stream the caller has from an earlier call.
	From units.Tokens
	// MaxAttempts bounds the upstreams that the call may be sent to, 0 for no bound.
	MaxAttempts int
	// Target is the time to the answer or its first event that callers want, 0 for none.
	Target time.Duration
	// Pause is the longest time between two events with which a stream is on time, 0
	// for any.
	Pause time.Duration
	// Urgency ranks the call, 0 first, and RouteUrgency the calls of an account among each
	// other. Rank is the place of both among all that there are.
	Urgency      int
	RouteUrgency int
	Rank         int
	// Credential is the key that the caller showed, "" for none.
	Credential string
	// Expires is the deadline on the clock that goes on while the instance is
	// suspended, zero where only Deadline counts.
	Expires time.Time
	// Size is what the call counts for against its account's limit.
	Size float64
	// Fingerprint is the same for each sending of the same request, 0 where it is not known.
	Fingerprint units.Fingerprint
	// Trail may be nil.
	Trail Trail
}

// keptShare is the part of shared prompt tokens that an upstream is taken to have
// kept from earlier calls, where nobody knows.
const keptShare = 0.7

// Shared returns how many of the prompt's tokens other calls may share.
func (c *Call) Shared() units.Tokens {
	shared := units.Tokens(0)
	for _, part := range c.Parts[:max(0, len(c.Parts)-1)] {
		shared += part.Tokens
	}
	return min(shared, c.Prompt)
}

// Unread returns how many prompt tokens an upstream is likely to have to read.
func (c *Call) Unread() units.Tokens {
	return c.Prompt - units.Tokens(keptShare*float64(c.Shared()))
}

// Part is one part of a prompt; calls share all but the last.
type Part struct {
	ID     uint64
	Tokens units.Tokens
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Sink takes what goes back to the caller.
type Sink interface {
	// Answer writes a whole answer.
	Answer(answer *Answer) error
	// Begin starts a stream; it is called once, before the first event.
	Begin(header http.Header) error
	// Event writes one event of a stream with the count of tokens up to it.
	Event(offset units.Tokens, data []byte) error
	// End writes the final marker of a stream.
	End() error
}

// Batcher is a Sink that can put several events into one write.
type Batcher interface {
	// Hold makes the sink keep events until the first that is not held.
	Hold(hold bool)
}

// Executed says whether a refused call ran.
type Executed string

// What can be said of a call that has no answer.
const (
	// ExecutedNo is said only where it is proved.
	ExecutedNo      Executed = "no"
	ExecutedUnknown Executed = "unknown"
)

// ProblemKind names a kind of refusal, the last part of its problem type.
type ProblemKind string

// The kinds of refusal that callers see.
const (
	ProblemNoUpstream  ProblemKind = "no-upstream"
	ProblemLost        ProblemKind = "outcome-unknown"
	ProblemDeadline    ProblemKind = "deadline-passed"
	ProblemConflict    ProblemKind = "idempotency-conflict"
	ProblemLimit       ProblemKind = "limit-reached"
	ProblemOverload    ProblemKind = "overloaded"
	ProblemUnready     ProblemKind = "unready"
	ProblemBadRequest  ProblemKind = "bad-request"
	ProblemUnknownHost ProblemKind = "unknown-brand"
	ProblemBadKey      ProblemKind = "bad-key"
	ProblemNotFound    ProblemKind = "not-found"
	ProblemTooLarge    ProblemKind = "too-large"
	ProblemRecord      ProblemKind = "record-unavailable"
	ProblemForbidden   ProblemKind = "forbidden"
	ProblemMethod      ProblemKind = "method-not-allowed"
	ProblemMediaType   ProblemKind = "unsupported-media-type"
	ProblemTooSlow     ProblemKind = "too-slow"
	// ProblemQuarantined is said of a request that has ended the upstreams that ran it.
	ProblemQuarantined ProblemKind = "quarantined"
)

// Refusal is the final answer to a call that gets no other.
type Refusal struct {
	Status   int
	Kind     ProblemKind
	Detail   string
	Executed Executed
	// RetryAfter is 0 where asking again cannot help.
	RetryAfter time.Duration
}

// Error returns the refusal for logs.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (executed: %s)", r.Kind, r.Detail, r.Executed)
}

package dispatcher

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/binder"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

// GeneratedKeyPrefix is the prefix of the idempotency keys that are generated for calls without one.
const GeneratedKeyPrefix = "rosecroft-"

// Call is one accepted request; its exported fields are immutable once dispatched.
type Call struct {
	ID units.CallID
	// Key is the caller's Idempotency-Key, or one generated from the call's id.
	Key string
	// HasCallerKey is set where the caller sent the key.
	HasCallerKey bool
	// Adopted is set where another entry handed the call over to this one.
	Adopted bool
	Brand   units.Brand
	Account *parser.ClientAccount
	Service units.Service
	Kind    parser.ServiceKind
	Policy  parser.Policy
	Method  string
	// Host is the requested host, where the upstream needs it.
	Host   string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// OriginalBody is the body as the caller sent it, where it differs from Body.
	OriginalBody []byte
	Deadline     time.Time
	// InterTokenLatency is the target for the latency between two tokens, 0 for none.
	InterTokenLatency time.Duration
	// Repeatable is set where running the call twice does no harm.
	Repeatable bool
	Stream     bool
	Model      units.Model
	// PromptTokens is the estimated size of the prompt, MaxOutput the maximum size of the output.
	PromptTokens units.Tokens
	MaxOutput    units.Tokens
	// BlockHashes are chained hashes over the complete blocks of the prompt.
	BlockHashes []uint64
	// Prefixes are the consecutive sections of the prompt, where the caller names them.
	Prefixes []PromptPrefix
	// ResumeOffset is the count of tokens that the caller has from an earlier call of the stream.
	ResumeOffset units.Tokens
	// Origin is where the stream began that the call resumes, nil if it resumes none.
	Origin *binder.Origin
	// MaxAttempts limits how many attempts may run the call, 0 for no limit.
	MaxAttempts int
	// LatencyTarget is the target for the time to the answer or its first event, 0 for none.
	LatencyTarget time.Duration
	// MaxEventGap is the maximum time between two events of a stream that counts as on time,
	// 0 for no maximum.
	MaxEventGap time.Duration
	// Urgency is the call's priority, 0 the highest, and RouteUrgency its priority among
	// the calls of the same account. Rank is the position of the pair among all pairs in
	// the configuration.
	Urgency      int
	RouteUrgency int
	Rank         int
	// DeferredRank is the rank of the call's attempts that are deferred. It is Rank if they cannot be.
	DeferredRank int
	// TimeLimit is the time from the call's arrival to BootTimeDeadline, 0 if unknown.
	TimeLimit time.Duration
	// Credential is the API key that the caller sent, "" for none.
	Credential string
	// BootTimeDeadline is the deadline on the clock that keeps running while the instance is
	// suspended, zero where only Deadline applies.
	BootTimeDeadline time.Time
	// LimitCost is what the call is charged against its account's limit.
	LimitCost float64
	// Fingerprint is equal for all resends of one request, 0 where unknown.
	Fingerprint units.Fingerprint
	// Trace may be nil.
	Trace Trace

	// onEnd are called when the call ends.
	onEnd []func()
}

// OnEnd calls f when the call ends: nothing reads its answers any more. Only the goroutine that runs the call may use
// it.
func (c *Call) OnEnd(f func()) { c.onEnd = append(c.onEnd, f) }

// End ends the call; it is called once its caller has the answer.
func (c *Call) End() {
	for _, f := range c.onEnd {
		f()
	}
	c.onEnd = nil
}

// cachedFraction is the assumed fraction of shared prompt tokens that an upstream has
// cached from earlier calls, where its cache is unknown.
const cachedFraction = 0.7

// SharedTokens returns how many of the prompt's tokens may also begin the prompts of other calls.
func (c *Call) SharedTokens() units.Tokens {
	shared := units.Tokens(0)
	for _, part := range c.Prefixes[:max(0, len(c.Prefixes)-1)] {
		shared += part.Tokens
	}
	return min(shared, c.PromptTokens)
}

// SharedParts returns the parts of the prompt that other calls may share, in order.
func (c *Call) SharedParts() []units.PromptPart {
	shared := c.Prefixes[:max(0, len(c.Prefixes)-1)]
	parts := make([]units.PromptPart, 0, len(shared))
	for _, prefix := range shared {
		parts = append(parts, units.PromptPart(prefix.ID))
	}
	return parts
}

// UncachedTokens returns how many prompt tokens an upstream is expected to prefill because they
// are not cached.
func (c *Call) UncachedTokens() units.Tokens {
	return c.PromptTokens - units.Tokens(cachedFraction*float64(c.SharedTokens()))
}

// PromptPrefix is one section of a prompt. All but the last are prompt prefixes that other calls
// share; the last belongs to the call alone.
type PromptPrefix struct {
	ID     uint64
	Tokens units.Tokens
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Sink writes the response to the caller.
type Sink interface {
	// Answer writes a complete answer.
	Answer(answer *Answer) error
	// Begin starts a stream; it is called once, before the first event is written.
	Begin(header http.Header) error
	// Event writes one event of a stream; offset is the count of tokens up to and
	// including it.
	Event(offset units.Tokens, data []byte) error
	// End writes the final marker of a stream.
	End() error
}

// Batcher is a Sink that can combine several events into one write.
type Batcher interface {
	// SetBuffering sets whether the sink buffers the events that follow. Buffered events are
	// written with the first event after SetBuffering(false).
	SetBuffering(hold bool)
}

// Executed is what is known of whether a refused call ran.
type Executed string

// The values of Executed.
const (
	// ExecutedNo is used only where the call provably did not run.
	ExecutedNo      Executed = "no"
	ExecutedUnknown Executed = "unknown"
)

// ProblemKind is a kind of refusal, the last segment of its problem type URN.
type ProblemKind string

// The kinds of refusal that are returned to callers.
const (
	ProblemNoUpstream     ProblemKind = "no-upstream"
	ProblemOutcomeUnknown ProblemKind = "outcome-unknown"
	ProblemDeadline       ProblemKind = "deadline-passed"
	ProblemConflict       ProblemKind = "idempotency-conflict"
	ProblemLimit          ProblemKind = "limit-reached"
	ProblemOverload       ProblemKind = "overloaded"
	ProblemUnready        ProblemKind = "unready"
	ProblemBadRequest     ProblemKind = "bad-request"
	ProblemUnknownHost    ProblemKind = "unknown-brand"
	ProblemBadKey         ProblemKind = "bad-key"
	ProblemNotFound       ProblemKind = "not-found"
	ProblemTooLarge       ProblemKind = "too-large"
	ProblemRecord         ProblemKind = "record-unavailable"
	ProblemForbidden      ProblemKind = "forbidden"
	ProblemMethod         ProblemKind = "method-not-allowed"
	ProblemMediaType      ProblemKind = "unsupported-media-type"
	ProblemTooSlow        ProblemKind = "too-slow"
	// ProblemStopping refuses a call that could outlast the entry, which is about to exit.
	ProblemStopping ProblemKind = "stopping"
	// ProblemUnknownStream refuses to resume a stream of which it is not known which software version
	// began it, and ProblemVersionGone one whose version no upstream runs any more.
	ProblemUnknownStream ProblemKind = "unknown-stream"
	ProblemVersionGone   ProblemKind = "version-gone"
	// ProblemQuarantined refuses a request that crashed the upstreams that ran it.
	ProblemQuarantined ProblemKind = "quarantined"
)

// Refusal is the error response that ends a call without an answer.
type Refusal struct {
	Status   int
	Kind     ProblemKind
	Detail   string
	Executed Executed
	// RetryAfter is 0 where sending the call again cannot succeed.
	RetryAfter time.Duration
}

// Error formats the refusal for logs.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (executed: %s)", r.Kind, r.Detail, r.Executed)
}

package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/framer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxFailures limits the consecutive attempts without progress for the caller.
	maxFailures = 8
	retryAfter  = time.Second
	// resumePollInterval is how often a started stream checks for an upstream to resume at.
	resumePollInterval = 100 * time.Millisecond
)

// ResultKind is how one exchange with an upstream ended.
type ResultKind int

// The values of ResultKind.
const (
	// Answered means that the whole answer is in Answer or was streamed to the caller.
	Answered ResultKind = iota
	// NotRun means that the upstream provably did not run the call.
	NotRun
	// OutcomeUnknown means that it is unknown whether, or how far, the upstream ran the call.
	OutcomeUnknown
	// CallerGone means that the caller no longer accepts an answer.
	CallerGone
	// Moved means that the stream was moved to another upstream as planned.
	Moved
	// Unresumable means that the stream is lost and cannot resume at any upstream.
	Unresumable
	// Failed means that the upstream ran the call and answered with an error of its
	// own, which is in Answer.
	Failed
)

// Result is the outcome of one exchange.
type Result struct {
	Kind ResultKind
	// Answer is set where the answer or failure was not streamed.
	Answer *Answer
	// ConnectFailed is set where no connection to the upstream could be made.
	ConnectFailed bool
	// Unsent is set where no byte of the call was sent, so that the upstream cannot have
	// received it.
	Unsent bool
	// NoRoom is set where an entry had no room to buffer the answer beside all others. The call may have run, and its
	// upstream has not failed.
	NoRoom bool
	// NoPath is set where the entry has no way to any upstream of the service.
	NoPath bool
	// Through is the entry that carried the attempt, "" for this one.
	Through units.Instance
	// RetryAfter is the wait that the refusing upstream requested.
	RetryAfter time.Duration
	// MoveTarget is the upstream where a moved stream resumes, nil for any.
	MoveTarget *tracker.Upstream
	// ConnectionLost is set where the upstream closed or lost the connection before the answer was
	// complete. AnswerDuration is the time since the answer had begun by then, 0 where it
	// had not.
	ConnectionLost bool
	AnswerDuration time.Duration
	// Receipt is how the upstream's answer arrived.
	Receipt framer.Receipt
	Err     error
}

// Limiter admits calls.
type Limiter interface {
	// Admit waits until the limits admit the call; release must be called once when the
	// call ends. The error is a *Refusal.
	Admit(ctx context.Context, call *Call) (release func(), err error)
}

// Recorder stores the outcome of each call.
type Recorder interface {
	// Begin returns the earlier answer to the same key, or nil for a new call. It
	// waits for an earlier call that is still running. The error is a *Refusal.
	Begin(ctx context.Context, call *Call) (*Answer, error)
	// BeforeDispatch records that the call is about to be sent; it must return before the
	// first byte is sent to the upstream. Its error, a *Refusal, ends the call.
	BeforeDispatch(ctx context.Context, call *Call, attempt units.Attempt, upstream units.Upstream) error
	// Finish records how the call ended, with an answer or a refusal, and returns the
	// refusal to send to the caller, which may claim less than the given one.
	Finish(ctx context.Context, call *Call, answer *Answer, refusal *Refusal) *Refusal
}

// Router chooses upstreams.
type Router interface {
	// Pick returns the upstream for the next attempt, or nil if none is available; tried
	// are the upstreams of the attempts so far.
	Pick(call *Call, tried []units.Upstream) *tracker.Upstream
	// PickRelease is Pick among the upstreams of one software version; gone reports that only upstreams
	// of other versions are left.
	PickRelease(call *Call, release units.Release, tried []units.Upstream) (upstream *tracker.Upstream, gone bool)
	// PickAgain is PickRelease among those upstreams that have run the call.
	PickAgain(call *Call, release units.Release, ran, tried []units.Upstream) (upstream *tracker.Upstream, gone bool)
}

// Exchanger runs one attempt at an upstream.
type Exchanger interface {
	Exchange(ctx context.Context, call *Call, attempt units.Attempt, upstream *tracker.Upstream, stream *Stream) Result
}

// Observer is notified how each exchange ended.
type Observer interface {
	Observe(upstream *tracker.Upstream, result Result)
}

// Dispatcher runs calls; its fields must be set before use.
type Dispatcher struct {
	Limiter   Limiter
	Recorder  Recorder
	Router    Router
	Exchanger Exchanger
	// Observer may be nil.
	Observer Observer
	// Budget may be nil; retries are then not limited by a budget.
	Budget Budget
	// MayRetryRefused reports whether a call that an upstream has refused may be sent to another one;
	// nil allows it.
	MayRetryRefused func(call *Call) bool
	// BackoffLeft returns how long no upstream accepts the call because all of them have asked for
	// a back-off, 0 where one accepts it. It may be nil; refusals then pass on the longest wait
	// that an upstream asked for.
	BackoffLeft func(call *Call) time.Duration
	// HasEnded reports whether an upstream that may have run a call has ended since; nil takes none for ended.
	HasEnded func(ctx context.Context, upstream *tracker.Upstream) bool
	// QueueTime returns how long the upstreams' queues keep a refused call from being served on time, 0 where
	// they do not; nil returns 0.
	QueueTime func(call *Call) time.Duration
	// Cutoff ends all calls as if their deadlines had passed; it may be nil.
	Cutoff *timekeeper.Cutoff
}

// Do runs a call to completion. An error that is a *Refusal is the response to the
// caller; any other error means that the caller is gone.
func (d *Dispatcher) Do(ctx context.Context, call *Call, sink Sink) error {
	ctx, cancel := d.withDeadline(ctx, call)
	defer cancel()
	defer call.End()
	// A refusal by a limit says that the call has not run. For a resend that may be
	// false, because the earlier call with its key may have run; so the record is checked
	// before the limits. Other calls check the limits first, which is cheaper.
	if call.HasCallerKey && !call.Repeatable {
		return d.runRecorded(ctx, call, sink, d.runAdmitted)
	}
	release, err := d.admit(ctx, call)
	if err != nil {
		return correctLimitRefusal(call, err)
	}
	defer release()
	return d.runRecorded(ctx, call, sink, d.runAttempts)
}

// withDeadline returns a context that ends with the call's deadline or the cutoff.
func (d *Dispatcher) withDeadline(ctx context.Context, call *Call) (context.Context, context.CancelFunc) {
	ctx, forget := d.Cutoff.Context(ctx)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	return ctx, func() {
		cancel()
		forget()
	}
}

// stage runs a call after its record has begun; an error that is a *Refusal is recorded.
type stage func(ctx context.Context, call *Call, stream *Stream) (*Answer, error)

func (d *Dispatcher) admit(ctx context.Context, call *Call) (func(), error) {
	release, err := d.Limiter.Admit(ctx, call)
	if err != nil {
		return nil, err
	}
	call.RecordStep(StepAdmitted, "", "")
	return release, nil
}

// correctLimitRefusal changes a limit's refusal of a call with a caller's key to
// ExecutedUnknown: the limiter cannot know whether an earlier call with this key ran.
func correctLimitRefusal(call *Call, err error) error {
	var refusal *Refusal
	if !call.HasCallerKey || !errors.As(err, &refusal) {
		return err
	}
	corrected := *refusal
	corrected.Executed = ExecutedUnknown
	return &corrected
}

// runAdmitted runs the attempts within the call's limits.
func (d *Dispatcher) runAdmitted(ctx context.Context, call *Call, stream *Stream) (*Answer, error) {
	release, err := d.admit(ctx, call)
	if err != nil {
		return nil, err
	}
	defer release()
	return d.runAttempts(ctx, call, stream)
}

// runRecorded begins the call's record, runs the stage, and records how the call ended.
func (d *Dispatcher) runRecorded(ctx context.Context, call *Call, sink Sink, run stage) error {
	earlier, err := d.Recorder.Begin(ctx, call)
	if err != nil {
		return err
	}
	if earlier != nil {
		call.RecordStep(StepOutcome, "", "answered from the record of an earlier sending")
		return sink.Answer(earlier)
	}
	runCtx := ctx
	if !call.Repeatable && (!call.Stream || call.HasCallerKey) {
		// A non-repeatable call, such as a payment, takes effect even if its caller
		// hangs up, so it runs on and its answer is stored for the resend. A stream
		// without a key is cancelled, since no resend could fetch it.
		detached, stop := d.withDeadline(context.WithoutCancel(ctx), call)
		defer stop()
		runCtx = detached
	}
	answer, err := run(runCtx, call, newStream(call, sink))
	var refusal *Refusal
	errors.As(err, &refusal)
	refusal = d.Recorder.Finish(context.WithoutCancel(ctx), call, answer, refusal)
	if refusal != nil {
		return refusal
	}
	if err != nil || answer == nil {
		return err
	}
	return sink.Answer(answer)
}

// newStream returns the stream of a call, bound to the software version that began it if the call
// resumes one.
func newStream(call *Call, sink Sink) *Stream {
	stream := NewStream(sink, call.ResumeOffset)
	if call.Origin != nil {
		stream.Bind(call.Origin.Release)
	}
	return stream
}

// attemptState is the accumulated outcome of a call's attempts.
type attemptState struct {
	tried []units.Upstream
	// executed says whether an attempt may have run the call.
	executed Executed
	// refusalWait is the wait to put into a refusal.
	refusalWait time.Duration
	// moveTarget is the upstream of a planned move.
	moveTarget *tracker.Upstream
	// failures counts the attempts since the last one that made progress.
	failures int
	// lastUnsent says that the last attempt was never sent and brought no events; the
	// next attempt then takes over its charge to the budget.
	lastUnsent bool
	// refused says that the last attempt was sent and refused.
	refused bool
	// noPath says that the last attempt found no way to any upstream, for a caller that has nothing of
	// the answer; another attempt would end alike.
	noPath bool
	// runs are the attempts that may have run the call.
	runs runs
	// sinceProgress are the upstreams of the attempts since the last one that made progress.
	sinceProgress []units.Upstream
	// upstreamFailure is an error response from an upstream. It is returned instead of a
	// refusal if no later attempt succeeds.
	upstreamFailure *Answer
}

func (d *Dispatcher) runAttempts(ctx context.Context, call *Call, stream *Stream) (*Answer, error) {
	state := &attemptState{
		executed:    ExecutedNo,
		refusalWait: retryAfter,
	}
	for attempt := units.Attempt(1); state.failures < maxFailures; attempt++ {
		if state.exhausted(call, stream) || !d.mayRetry(call, state) {
			break
		}
		// An upstream that has ended may have started again by the end of a wait.
		isLimited := d.isLimited(ctx, call, state)
		if !d.awaitRetry(ctx, call, stream, state) {
			break
		}
		upstream, err := d.chooseUpstream(ctx, call, stream, state, isLimited)
		if err != nil {
			return nil, err
		}
		if upstream == nil {
			break
		}
		if err := d.Recorder.BeforeDispatch(ctx, call, attempt, upstream.Name); err != nil {
			return nil, state.correctRefusal(err)
		}
		offsetBefore := stream.Offset()
		result := d.exchange(ctx, call, attempt, upstream, stream)
		if result.Kind == Answered && (result.Answer == nil || !hasPart(call, stream)) {
			return result.Answer, nil
		}
		if err := state.recordResult(ctx, call, upstream, result); err != nil {
			return nil, err
		}
		state.recordProgress(call, upstream, stream, offsetBefore, result)
	}
	if state.upstreamFailure != nil && !hasPart(call, stream) {
		return state.upstreamFailure, nil
	}
	return nil, noUpstreamRefusal(state.executed, d.refusalWait(call, state))
}

// hasPart reports whether the caller has part of the answer, which no other answer may follow. A call that is no
// stream gets the whole one, also where its upstreams stream theirs.
func hasPart(call *Call, stream *Stream) bool { return call.Stream && stream.HasEvents() }

// mayRetry reports whether the outcome of the last attempt allows another one.
func (d *Dispatcher) mayRetry(call *Call, state *attemptState) bool {
	return !state.refused || d.MayRetryRefused == nil || d.MayRetryRefused(call)
}

// refusalWait returns when the caller of a refused call should send it again.
func (d *Dispatcher) refusalWait(call *Call, state *attemptState) time.Duration {
	if d.BackoffLeft == nil {
		return state.refusalWait
	}
	if left := d.BackoffLeft(call); left > 0 || d.QueueTime == nil {
		return cmp.Or(left, retryAfter)
	}
	return cmp.Or(d.QueueTime(call), retryAfter)
}

// recordResult records how an attempt failed; an error ends the call.
func (a *attemptState) recordResult(ctx context.Context, call *Call, upstream *tracker.Upstream, result Result) error {
	a.moveTarget = nil
	a.tried = append(a.tried, upstream.Name)
	switch result.Kind {
	case CallerGone:
		return result.Err
	case Unresumable:
		return outcomeUnknownRefusal()
	case Moved:
		a.executed = ExecutedUnknown
		a.moveTarget = result.MoveTarget
	case NotRun:
		a.refusalWait = max(a.refusalWait, result.RetryAfter)
	case OutcomeUnknown:
		a.executed = ExecutedUnknown
		if !call.Repeatable {
			return outcomeUnknownRefusal()
		}
	case Failed, Answered:
		a.executed = ExecutedUnknown
		a.upstreamFailure = result.Answer
		if !call.Repeatable {
			return outcomeUnknownRefusal()
		}
	}
	return a.contextError(ctx)
}

// recordProgress records what the caller got of a failed attempt, before which it had the stream up
// to an offset.
func (a *attemptState) recordProgress(call *Call, upstream *tracker.Upstream, stream *Stream, offsetBefore units.Tokens, result Result) {
	a.failures++
	a.sinceProgress = append(a.sinceProgress, upstream.Name)
	// An attempt that brought events was sent, even if its last connection was not made.
	broughtEvents := stream.Offset() > offsetBefore
	a.lastUnsent = result.Unsent && !broughtEvents
	if broughtEvents || result.Kind == Moved {
		a.failures = 0
		a.sinceProgress = nil
	}
	if broughtEvents || result.Kind != NotRun {
		a.runs.add(upstream)
	}
	a.refused = result.Kind == NotRun && !result.Unsent
	a.noPath = result.NoPath && stream.Offset() == call.ResumeOffset
}

// correctRefusal adjusts a refusal of the current attempt where earlier attempts may have
// run the call: the refusing component knows only of the current attempt.
func (a *attemptState) correctRefusal(err error) error {
	var refusal *Refusal
	if a.executed == ExecutedNo || !errors.As(err, &refusal) {
		return err
	}
	corrected := *refusal
	corrected.Executed = a.executed
	return &corrected
}

// contextError returns the error that ends the call if ctx is done, or nil.
func (a *attemptState) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	if ctx.Err() != nil {
		return deadlineRefusal(a.executed)
	}
	return nil
}

// chooseUpstream returns the upstream for the next attempt, or nil if none is available. A
// started stream waits for one until the deadline, since its caller has part of the answer, unless it is limited to those
// that have run it.
func (d *Dispatcher) chooseUpstream(ctx context.Context, call *Call, stream *Stream, state *attemptState, isLimited bool) (*tracker.Upstream, error) {
	if target := state.moveTarget; target != nil && stream.mayGoOnAt(target) && (!isLimited || state.runs.include(target)) {
		return target, nil
	}
	if isLimited {
		return d.chooseAgain(call, stream, state)
	}
	for {
		if err := state.contextError(ctx); err != nil {
			return nil, err
		}
		upstream, gone := d.pick(call, stream, state.tried)
		if gone {
			return nil, versionGoneRefusal(state.executed)
		}
		if upstream != nil || stream.Offset() == 0 {
			return upstream, nil
		}
		state.tried = nil
		sleep(ctx, resumePollInterval)
	}
}

// pick picks an upstream of the version that the stream is bound to, or any if it is not bound; gone reports that there
// is none, or that the version is not known.
func (d *Dispatcher) pick(call *Call, stream *Stream, tried []units.Upstream) (upstream *tracker.Upstream, gone bool) {
	release, isBound := stream.Release()
	switch {
	case isBound && stream.isDoubted:
		return nil, true
	case isBound:
		return d.Router.PickRelease(call, release, tried)
	}
	return d.Router.Pick(call, tried), false
}

func (d *Dispatcher) exchange(ctx context.Context, call *Call, attempt units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	upstream.Local.InFlight.Add(1)
	defer upstream.Local.InFlight.Add(-1)
	call.RecordStep(StepAttempt, upstream.Name, "")
	result := d.Exchanger.Exchange(ctx, call, attempt, upstream, stream)
	recordAttemptEnd(call, upstream.Name, result)
	if result.Kind == Answered && d.Budget != nil {
		d.Budget.RecordAnswer(call.Service)
	}
	if d.Observer != nil && ctx.Err() == nil {
		d.Observer.Observe(upstream, result)
	}
	return result
}

func deadlineRefusal(ran Executed) *Refusal {
	return &Refusal{
		Status:     http.StatusGatewayTimeout,
		Kind:       ProblemDeadline,
		Detail:     "the call's deadline passed before its answer",
		Executed:   ran,
		RetryAfter: retryAfter,
	}
}

func outcomeUnknownRefusal() *Refusal {
	return &Refusal{
		Status:     http.StatusBadGateway,
		Kind:       ProblemOutcomeUnknown,
		Detail:     "the upstream was lost while the call may have run; ask what became of it before you send it under a new key",
		Executed:   ExecutedUnknown,
		RetryAfter: retryAfter,
	}
}

func versionGoneRefusal(ran Executed) *Refusal {
	return &Refusal{
		Status:   http.StatusServiceUnavailable,
		Kind:     ProblemVersionGone,
		Detail:   "no upstream runs the software version that began the stream any more; begin it anew",
		Executed: ran,
	}
}

func noUpstreamRefusal(ran Executed, wait time.Duration) *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Kind:       ProblemNoUpstream,
		Detail:     "no upstream can take the call now",
		Executed:   ran,
		RetryAfter: wait,
	}
}

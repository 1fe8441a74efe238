package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxFruitless bounds the attempts that bring the caller nothing.
	maxFruitless = 8
	retryAfter   = time.Second
	// resumeWait is how long a stream under way waits for an upstream to go on at.
	resumeWait = 100 * time.Millisecond
)

// ResultKind is how one exchange with an upstream ended.
type ResultKind int

// The ends of an exchange.
const (
	// Answered means that the caller has the whole answer.
	Answered ResultKind = iota
	// NotRun means that the upstream provably did not run the call.
	NotRun
	// Lost means that nobody knows whether the call ran or how far.
	Lost
	// CallerGone means that the caller takes no answer any more.
	CallerGone
	// Moved means that the stream goes on elsewhere, by plan.
	Moved
	// Broken means that the stream is lost and can go on nowhere.
	Broken
	// Failed means that the upstream ran the call and answered with a failure of
	// its own, which Answer holds.
	Failed
)

// Result is the end of one exchange.
type Result struct {
	Kind ResultKind
	// Answer is set where the exchange was answered and not streamed.
	Answer *Answer
	// Unreached says that no connection could be made.
	Unreached bool
	// Unsent says that nothing of the call has left, so that it has not arrived there.
	Unsent bool
	// RetryAfter is what a refusing upstream asked for.
	RetryAfter time.Duration
	// Next is the upstream that a moved stream goes on at, nil for any.
	Next *tracker.Upstream
	// Cut says that the upstream's end of the connection was lost before the answer was
	// whole, and Answering how long the answer had been coming by then, 0 for not at all.
	Cut       bool
	Answering time.Duration
	Err       error
}

// Limiter admits calls.
type Limiter interface {
	// Admit waits for the call's turn; release must be called once at its end.
	// Its error is a *Refusal.
	Admit(ctx context.Context, call *Call) (release func(), err error)
}

// Recorder keeps what became of each call.
type Recorder interface {
	// Begin returns the earlier answer to the same key, or nil for a new call.
	// It waits for a running one. Its error is a *Refusal.
	Begin(ctx context.Context, call *Call) (*Answer, error)
	// Dispatching must return before the first byte goes to the upstream. A
	// *Refusal as its error stops the attempt.
	Dispatching(ctx context.Context, call *Call, attempt units.Attempt, upstream units.Upstream) error
	// Finish keeps the end of the call, an answer or the refusal it got, and
	// returns the refusal to give, which may say less than the one it got.
	Finish(ctx context.Context, call *Call, answer *Answer, refusal *Refusal) *Refusal
}

// Router chooses upstreams.
type Router interface {
	// Pick returns the upstream for the next attempt, or nil for none.
	Pick(call *Call, tried []units.Upstream) *tracker.Upstream
}

// Exchanger runs one attempt at an upstream.
type Exchanger interface {
	Exchange(ctx context.Context, call *Call, attempt units.Attempt, upstream *tracker.Upstream, stream *Stream) Result
}

// Observer learns how each exchange ended.
type Observer interface {
	Observe(upstream *tracker.Upstream, result Result)
}

// Dispatcher runs calls; its fields are set before use.
type Dispatcher struct {
	Limiter   Limiter
	Recorder  Recorder
	Router    Router
	Exchanger Exchanger
	// Observer may be nil.
	Observer Observer
	// Budget may be nil, for attempts without one.
	Budget Budget
}

// Do runs a call to its end. A *Refusal as its error is the call's final answer;
// any other error means that the caller is gone.
func (d *Dispatcher) Do(ctx context.Context, call *Call, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	// A resend that is refused as not run would be believed, though the first
	// sending may have run; so the record is asked before the limits. For other
	// calls the limits come first, since they cost less.
	if call.KeyGiven && !call.Repeatable {
		return d.recorded(ctx, call, sink, d.admitted)
	}
	release, err := d.admit(ctx, call)
	if err != nil {
		return perhapsResent(call, err)
	}
	defer release()
	return d.recorded(ctx, call, sink, d.attempted)
}

// stage is a part of a call's run; a *Refusal as its error goes into the record.
type stage func(ctx context.Context, call *Call, stream *Stream) (*Answer, error)

func (d *Dispatcher) admit(ctx context.Context, call *Call) (func(), error) {
	release, err := d.Limiter.Admit(ctx, call)
	if err != nil {
		return nil, err
	}
	call.Note(StepAdmitted, "", "")
	return release, nil
}

// perhapsResent keeps a limit from denying an earlier sending under the same key,
// of which it knows nothing.
func perhapsResent(call *Call, err error) error {
	var refusal *Refusal
	if !call.KeyGiven || !errors.As(err, &refusal) {
		return err
	}
	corrected := *refusal
	corrected.Executed = ExecutedUnknown
	return &corrected
}

// admitted runs the attempts within the call's limits.
func (d *Dispatcher) admitted(ctx context.Context, call *Call, stream *Stream) (*Answer, error) {
	release, err := d.admit(ctx, call)
	if err != nil {
		return nil, err
	}
	defer release()
	return d.attempted(ctx, call, stream)
}

// recorded runs a stage of a call between the begin and the end of its record.
func (d *Dispatcher) recorded(ctx context.Context, call *Call, sink Sink, run stage) error {
	earlier, err := d.Recorder.Begin(ctx, call)
	if err != nil {
		return err
	}
	if earlier != nil {
		call.Note(StepOutcome, "", "answered from the record of an earlier sending")
		return sink.Answer(earlier)
	}
	running := ctx
	if !call.Repeatable && (!call.Stream || call.KeyGiven) {
		// A charge that runs is not undone by a caller who hangs up; the answer
		// is kept for the resend instead. A stream without a key can be collected
		// by nobody, and its upstream would go on for nobody.
		lasting, stop := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
		defer stop()
		running = lasting
	}
	answer, err := run(running, call, &Stream{
		Sink:   sink,
		offset: call.From,
	})
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

// attempts holds what the attempts of one call have come to.
type attempts struct {
	tried []units.Upstream
	// ran is whether an attempt may have run.
	ran Executed
	// wait is what the caller is told to wait for.
	wait time.Duration
	// next is the upstream that a planned move leads to.
	next      *tracker.Upstream
	fruitless int
	// paid says that the last attempt has not arrived at its upstream, so that the next
	// one stands for it in the budget.
	paid bool
	// used is how many attempts may have run.
	used int
	// failure is an upstream's own failure, which is a better answer than a
	// refusal where no later attempt brings a success.
	failure *Answer
}

// mostResumes is how often a stream under way goes on elsewhere beyond the
// attempts of its call: the upstreams that it loses have ended, and its caller
// has half an answer.
const mostResumes = 3

// exhausted reports whether the call may run at no further upstream; those that
// provably did not run it do not count.
func (so *attempts) exhausted(call *Call, stream *Stream) bool {
	most := call.MaxAttempts
	if stream.Offset() > call.From {
		most = max(most, 1+mostResumes)
	}
	return call.MaxAttempts > 0 && so.used >= most
}

func (d *Dispatcher) attempted(ctx context.Context, call *Call, stream *Stream) (*Answer, error) {
	so := &attempts{
		ran:  ExecutedNo,
		wait: retryAfter,
	}
	for attempt := units.Attempt(1); so.fruitless < maxFruitless; attempt++ {
		if so.exhausted(call, stream) || !d.mayRetry(ctx, call, stream, so) {
			break
		}
		upstream, err := d.choose(ctx, call, stream, so)
		if err != nil {
			return nil, err
		}
		if upstream == nil {
			break
		}
		if err := d.Recorder.Dispatching(ctx, call, attempt, upstream.Name); err != nil {
			return nil, so.truthful(err)
		}
		before := stream.Offset()
		result := d.exchange(ctx, call, attempt, upstream, stream)
		if result.Kind == Answered {
			return result.Answer, nil
		}
		if err := so.take(ctx, call, upstream, result); err != nil {
			return nil, err
		}
		so.fruitless++
		// One that brought events has arrived, whatever its last connection came to.
		so.paid = result.Unsent && stream.Offset() == before
		if stream.Offset() > before || result.Kind == Moved {
			so.fruitless = 0
		}
	}
	if so.failure != nil && stream.Offset() == 0 {
		return so.failure, nil
	}
	return nil, noUpstreamRefusal(so.ran, so.wait)
}

// take notes how an attempt failed; an error ends the call.
func (so *attempts) take(ctx context.Context, call *Call, upstream *tracker.Upstream, result Result) error {
	so.next = nil
	so.tried = append(so.tried, upstream.Name)
	switch result.Kind {
	case CallerGone:
		return result.Err
	case Broken:
		return lostRefusal()
	case Moved:
		so.used++
		so.ran = ExecutedUnknown
		so.next = result.Next
	case NotRun:
		so.wait = max(so.wait, result.RetryAfter)
	case Lost:
		so.used++
		so.ran = ExecutedUnknown
		if !call.Repeatable {
			return lostRefusal()
		}
	case Failed:
		so.used++
		so.ran = ExecutedUnknown
		so.failure = result.Answer
	case Answered:
	}
	return so.ended(ctx)
}

// truthful keeps a refusal of this attempt from denying an earlier one: what
// another part knows of the last attempt says nothing of those before.
func (so *attempts) truthful(err error) error {
	var refusal *Refusal
	if so.ran == ExecutedNo || !errors.As(err, &refusal) {
		return err
	}
	corrected := *refusal
	corrected.Executed = so.ran
	return &corrected
}

func (so *attempts) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	if ctx.Err() != nil {
		return deadlineRefusal(so.ran)
	}
	return nil
}

// choose returns the upstream for the next attempt, or nil for none. A stream
// under way waits for one until the deadline, since its caller has half an answer.
func (d *Dispatcher) choose(ctx context.Context, call *Call, stream *Stream, so *attempts) (*tracker.Upstream, error) {
	if so.next != nil {
		return so.next, nil
	}
	for {
		if err := so.ended(ctx); err != nil {
			return nil, err
		}
		upstream := d.Router.Pick(call, so.tried)
		if upstream != nil || stream.Offset() == 0 {
			return upstream, nil
		}
		so.tried = nil
		pause(ctx, resumeWait)
	}
}

func (d *Dispatcher) exchange(ctx context.Context, call *Call, attempt units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	upstream.Local.InFlight.Add(1)
	defer upstream.Local.InFlight.Add(-1)
	call.Note(StepAttempt, upstream.Name, "")
	result := d.Exchanger.Exchange(ctx, call, attempt, upstream, stream)
	noteResult(call, upstream.Name, result)
	if result.Kind == Answered && d.Budget != nil {
		d.Budget.Earn(call.Service)
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

func lostRefusal() *Refusal {
	return &Refusal{
		Status:     http.StatusBadGateway,
		Kind:       ProblemLost,
		Detail:     "the upstream was lost while the call may have run; ask what became of it before you send it under a new key",
		Executed:   ExecutedUnknown,
		RetryAfter: retryAfter,
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

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
	maxAttempts = 4
	retryAfter  = time.Second
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
)

// Result is the end of one exchange.
type Result struct {
	Kind ResultKind
	// Answer is set where the exchange was answered and not streamed.
	Answer *Answer
	// RetryAfter is what a refusing upstream asked for.
	RetryAfter time.Duration
	Err        error
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

// Dispatcher runs calls; its fields are set before use.
type Dispatcher struct {
	Limiter   Limiter
	Recorder  Recorder
	Router    Router
	Exchanger Exchanger
}

// Do runs a call to its end. A *Refusal as its error is the call's final answer;
// any other error means that the caller is gone.
func (d *Dispatcher) Do(ctx context.Context, call *Call, sink Sink) error {
	if !call.Repeatable {
		// A caller that hangs up and sends the call again under its key wants the
		// answer of the first run; cancelling that run would lose it.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	release, err := d.Limiter.Admit(ctx, call)
	if err != nil {
		return err
	}
	defer release()
	earlier, err := d.Recorder.Begin(ctx, call)
	if err != nil {
		return err
	}
	if earlier != nil {
		return sink.Answer(earlier)
	}
	answer, err := d.attempts(ctx, call, &Stream{Sink: sink})
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

func (d *Dispatcher) attempts(ctx context.Context, call *Call, stream *Stream) (*Answer, error) {
	var tried []units.Upstream
	// ran is whether an earlier attempt may have run.
	ran := ExecutedNo
	wait := retryAfter
	for attempt := units.Attempt(1); attempt <= maxAttempts; attempt++ {
		if ctx.Err() != nil {
			return nil, deadlineRefusal(ran)
		}
		upstream := d.Router.Pick(call, tried)
		if upstream == nil {
			break
		}
		if err := d.Recorder.Dispatching(ctx, call, attempt, upstream.Name); err != nil {
			return nil, err
		}
		result := d.exchange(ctx, call, attempt, upstream, stream)
		switch result.Kind {
		case Answered:
			return result.Answer, nil
		case CallerGone:
			return nil, result.Err
		case Lost:
			ran = ExecutedUnknown
			if !call.Repeatable {
				return nil, lostRefusal()
			}
		case NotRun:
			wait = max(wait, result.RetryAfter)
		}
		tried = append(tried, upstream.Name)
	}
	return nil, noUpstreamRefusal(ran, wait)
}

func (d *Dispatcher) exchange(ctx context.Context, call *Call, attempt units.Attempt, upstream *tracker.Upstream, stream *Stream) Result {
	upstream.Live.InFlight.Add(1)
	defer upstream.Live.InFlight.Add(-1)
	return d.Exchanger.Exchange(ctx, call, attempt, upstream, stream)
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

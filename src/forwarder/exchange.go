package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/mover"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
	"github.com/rosecroft/rosecroft/src/watcher"
)

const (
	// maxConnectionsWithoutProgress bounds the consecutive connections to one
	// upstream that deliver no token.
	maxConnectionsWithoutProgress = 2
	cancelTimeout                 = time.Second
)

var errMoved = errors.New("the stream was moved to another upstream")

// exchange is one attempt of one call at one upstream, over one or more connections.
type exchange struct {
	forwarder *Forwarder
	call      *dispatcher.Call
	attempt   units.Attempt
	upstream  *tracker.Upstream
	stream    *dispatcher.Stream
	plan      *plan
	limits    watcher.Timeouts
	// watchdog watches the open connection; it is nil where there is none.
	watchdog *watcher.Watchdog
	client   *http.Client
	// prefilling is set while the prompt counts towards the upstream's
	// unanswered prefill tokens.
	prefilling bool
	streamID   mover.StreamID
	// hold is what the answer takes of the entry's memory.
	hold *capper.Hold
	// progress is a copy of the stream's offset for other goroutines.
	progress atomic.Int64

	mu     sync.Mutex
	cancel context.CancelCauseFunc
	moved  bool
	// target is where a moved stream resumes, nil for any upstream.
	target *tracker.Upstream
}

// run exchanges until the answer is complete or this upstream makes no more progress.
//
// A cut or silent connection does not show that the engine behind it has failed, so the
// stream resumes over a new connection under the same attempt: an engine that still runs
// the call continues to deliver its output and runs nothing twice.
func (e *exchange) run(ctx context.Context) dispatcher.Result {
	e.limits = watcher.TimeoutsFor(e.upstream, contextTokens(e.call, e.stream))
	e.setPrefilling(true)
	defer e.setPrefilling(false)
	ran := false
	for withoutProgress := 0; ; withoutProgress++ {
		before := e.stream.Offset()
		result := e.connect(ctx)
		if e.stream.Offset() > before {
			withoutProgress = 0
		}
		ran = ran || result.Kind != dispatcher.NotRun
		if result.Kind == dispatcher.OutcomeUnknown && e.isStreamed() && withoutProgress+1 < maxConnectionsWithoutProgress && ctx.Err() == nil {
			continue
		}
		return e.finish(ctx, result, ran)
	}
}

// finish turns the last connection's result into the result of the attempt, and cancels
// the call at the upstream if it may still run there.
func (e *exchange) finish(ctx context.Context, result dispatcher.Result, ran bool) dispatcher.Result {
	if result.Kind == dispatcher.Answered {
		return result
	}
	// A refusal on a later connection does not show that the call did not run on
	// an earlier one.
	if result.Kind == dispatcher.NotRun && ran {
		result.Kind = dispatcher.OutcomeUnknown
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		result = callerGoneResult(ctx.Err())
	}
	if ran && e.call.Kind == parser.ModelService {
		go e.cancelUpstream(context.WithoutCancel(ctx))
	}
	if result.Kind == dispatcher.OutcomeUnknown && e.stream.Offset() > 0 && !e.plan.resumable {
		result.Kind = dispatcher.Unresumable
	}
	return result
}

// cancelUpstream asks the upstream to end the call, so that its slot and memory are freed
// when the answer is no longer read.
func (e *exchange) cancelUpstream(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	url := e.upstream.Address + "/v1/calls/" + string(e.call.ID)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, http.NoBody)
	if err != nil {
		return
	}
	response, err := e.forwarder.Pools.Client(e.upstream.Address).Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// isStreamed reports whether the upstream streams its answer to this call.
func (e *exchange) isStreamed() bool {
	return e.call.Kind == parser.ModelService && (e.call.Stream || e.plan.collects)
}

// isMovable reports whether the stream may be moved to another upstream while it runs.
func (e *exchange) isMovable() bool {
	return e.isStreamed() && e.plan.resumable && e.call.Repeatable && e.call.Policy == parser.PrefixCost
}

// setPrefilling adds the prompt to the upstream's unanswered prefill tokens, or removes
// it; it has no effect if the state does not change.
func (e *exchange) setPrefilling(prefilling bool) {
	if e.prefilling == prefilling {
		return
	}
	e.prefilling = prefilling
	prompt := int64(e.call.PromptTokens)
	if !prefilling {
		prompt = -prompt
	}
	e.upstream.Local.PrefillTokens.Add(prompt)
}

// connect runs the exchange over one connection.
func (e *exchange) connect(ctx context.Context) dispatcher.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !e.setCancel(cancel) {
		return e.movedResult()
	}
	request, err := e.request(ctx)
	if err != nil {
		return notRunResult(err)
	}
	e.client = e.forwarder.Pools.Client(e.upstream.Address)
	e.startWatchdog(cancel)
	result := e.roundTrip(request)
	if e.watchdog != nil {
		e.watchdog.Stop()
	}
	if result.Kind == dispatcher.OutcomeUnknown && errors.Is(context.Cause(ctx), errMoved) {
		return e.movedResult()
	}
	// If one connection was silent or mixed up answers, others in the pool are
	// likely to do the same.
	if result.Kind == dispatcher.OutcomeUnknown {
		e.forwarder.Pools.Discard(e.upstream.Address, e.client)
	}
	return result
}

// startWatchdog starts a watchdog for the answer's header. A plain call that may not be
// repeated has none: it can only wait until its deadline.
func (e *exchange) startWatchdog(cancel context.CancelCauseFunc) {
	e.watchdog = nil
	limit := e.limits.Header
	if e.call.Kind != parser.ModelService {
		if !e.call.Repeatable {
			return
		}
		limit = max(minSilence, time.Until(e.call.Deadline)/silenceDivisor)
	} else if !e.isStreamed() {
		limit = max(minSilence, time.Until(e.call.Deadline)/silenceDivisor) + e.limits.FirstToken
	}
	e.watchdog = watcher.Start(limit, func() {
		cancel(fmt.Errorf("%s was silent for longer than its limit", e.upstream.Name))
	})
}

// feedWatchdog restarts the watchdog with limit as the time until the next data from the
// upstream.
func (e *exchange) feedWatchdog(limit time.Duration) {
	if e.watchdog != nil {
		e.watchdog.Feed(limit)
	}
}

func (e *exchange) roundTrip(request *http.Request) dispatcher.Result {
	response, err := e.client.Do(request)
	if err != nil {
		return failedResult(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := e.hold.Grow(int64(capper.HeaderBytes(response.Header))); err != nil {
		return lostResult(err)
	}
	if response.Header.Get(HeaderExecuted) == string(dispatcher.ExecutedNo) {
		return refusedResult(response)
	}
	// A connection that mixes up answers would give a caller the answer to another
	// call; an answer that does not echo the call's id therefore counts as lost.
	if echoed := response.Header.Get(HeaderCall); echoed != string(e.call.ID) {
		return lostResult(fmt.Errorf("the upstream answered call %q", echoed))
	}
	// An engine that has changed its model version since its announcement answers
	// with a model other than the one that the configuration asks for.
	version := units.ModelVersion(response.Header.Get(HeaderModelVersion))
	if announced := e.upstream.ModelVersion; announced != "" && version != "" && version != announced {
		return lostResult(fmt.Errorf("the upstream answered with version %q but announced %q", version, announced))
	}
	if e.isStreamed() && response.StatusCode == http.StatusOK {
		e.feedWatchdog(e.limits.FirstToken)
		return e.forwardStream(response)
	}
	return e.readAnswer(response)
}

// setCancel sets the function with which move cancels the open connection. It reports
// false if the stream has been moved already.
func (e *exchange) setCancel(cancel context.CancelCauseFunc) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel = cancel
	return !e.moved
}

// move ends the exchange so that the stream resumes at target, or at any upstream if
// target is nil.
func (e *exchange) move(target *tracker.Upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moved = true
	e.target = target
	if e.cancel != nil {
		e.cancel(errMoved)
	}
}

func (e *exchange) movedResult() dispatcher.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	return dispatcher.Result{
		Kind:       dispatcher.Moved,
		MoveTarget: e.target,
		Err:        errMoved,
	}
}

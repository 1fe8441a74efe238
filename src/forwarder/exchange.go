package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/mover"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
	"github.com/rosecroft/rosecroft/src/watcher"
)

const (
	// maxFruitless bounds the connections to one upstream that bring no token.
	maxFruitless  = 2
	cancelTimeout = time.Second
)

var errMoved = errors.New("the stream goes on at another upstream")

// exchange is one attempt of one call at one upstream, over one or more connections.
type exchange struct {
	forwarder *Forwarder
	call      *dispatcher.Call
	attempt   units.Attempt
	upstream  *tracker.Upstream
	stream    *dispatcher.Stream
	plan      *plan
	limits    watcher.Limits
	// watchdog is the open connection's, nil where none watches.
	watchdog *watcher.Watchdog
	client   *http.Client
	// waiting is whether the prompt counts as waiting at the upstream.
	waiting bool
	id      mover.StreamID
	// progress is the stream's offset for readers elsewhere.
	progress atomic.Int64

	mu     sync.Mutex
	cancel context.CancelCauseFunc
	moved  bool
	next   *tracker.Upstream
}

// run exchanges until the answer is whole or this upstream gives no more.
//
// A connection that is cut or silent says nothing of the engine behind it, so
// the stream goes on over a new one under the same attempt: an engine that still
// runs the call hands on what it generates and runs nothing twice.
func (e *exchange) run(ctx context.Context) dispatcher.Result {
	e.limits = watcher.For(e.upstream, recomputes(e.call, e.stream))
	e.wait(true)
	defer e.wait(false)
	ran := false
	for fruitless := 0; ; fruitless++ {
		before := e.stream.Offset()
		result := e.connect(ctx)
		if e.stream.Offset() > before {
			fruitless = 0
		}
		ran = ran || result.Kind != dispatcher.NotRun
		if result.Kind == dispatcher.Lost && e.streamed() && fruitless+1 < maxFruitless && ctx.Err() == nil {
			continue
		}
		return e.end(ctx, result, ran)
	}
}

// end settles what the attempt came to.
func (e *exchange) end(ctx context.Context, result dispatcher.Result, ran bool) dispatcher.Result {
	if result.Kind == dispatcher.Answered {
		return result
	}
	// A refusal on a second connection says nothing of what the first began.
	if result.Kind == dispatcher.NotRun && ran {
		result.Kind = dispatcher.Lost
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		result = callerGone(ctx.Err())
	}
	if ran && e.call.Kind == parser.ModelService {
		go e.tellCancelled(context.WithoutCancel(ctx))
	}
	if result.Kind == dispatcher.Lost && e.stream.Offset() > 0 && !e.plan.resumable {
		result.Kind = dispatcher.Broken
	}
	return result
}

// tellCancelled asks the upstream to end the call, so that a slot and its
// memory serve no one who reads no more.
func (e *exchange) tellCancelled(ctx context.Context) {
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

// streamed says whether the upstream streams its answer to this call.
func (e *exchange) streamed() bool {
	return e.call.Kind == parser.ModelService && (e.call.Stream || e.plan.collected)
}

// movable says whether the stream may go on at another upstream by plan.
func (e *exchange) movable() bool {
	return e.streamed() && e.plan.resumable && e.call.Repeatable && e.call.Policy == parser.PrefixCost
}

// wait counts the prompt as waiting at the upstream, once.
func (e *exchange) wait(waiting bool) {
	if e.waiting == waiting {
		return
	}
	e.waiting = waiting
	prompt := int64(e.call.Prompt)
	if !waiting {
		prompt = -prompt
	}
	e.upstream.Local.PrefillTokens.Add(prompt)
}

// connect exchanges over one connection.
func (e *exchange) connect(ctx context.Context) dispatcher.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !e.open(cancel) {
		return e.movedOn()
	}
	request, err := e.request(ctx)
	if err != nil {
		return notRun(err)
	}
	e.client = e.forwarder.Pools.Client(e.upstream.Address)
	e.watch(cancel)
	result := e.pass(request)
	if e.watchdog != nil {
		e.watchdog.Stop()
	}
	if result.Kind == dispatcher.Lost && errors.Is(context.Cause(ctx), errMoved) {
		return e.movedOn()
	}
	// A connection that was silent or crossed answers has company in the pool.
	if result.Kind == dispatcher.Lost {
		e.forwarder.Pools.Renew(e.upstream.Address, e.client)
	}
	return result
}

// watch sets a watchdog for the answer's header. A plain call that may not be
// repeated has none: nothing better than its deadline can be done for it.
func (e *exchange) watch(cancel context.CancelCauseFunc) {
	e.watchdog = nil
	limit := e.limits.Accept
	if e.call.Kind != parser.ModelService {
		if !e.call.Repeatable {
			return
		}
		limit = max(minSilent, time.Until(e.call.Deadline)/silentShare)
	} else if !e.streamed() {
		limit = max(minSilent, time.Until(e.call.Deadline)/silentShare) + e.limits.FirstToken
	}
	e.watchdog = watcher.Start(limit, func() {
		cancel(fmt.Errorf("%s was silent for too long", e.upstream.Name))
	})
}

// fed allows so much time until the upstream's next sign of life.
func (e *exchange) fed(limit time.Duration) {
	if e.watchdog != nil {
		e.watchdog.Feed(limit)
	}
}

func (e *exchange) pass(request *http.Request) dispatcher.Result {
	response, err := e.client.Do(request)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(HeaderExecuted) == string(dispatcher.ExecutedNo) {
		return refused(response)
	}
	// A connection that crossed answers would hand one caller another's; the id
	// tells, and an answer without the right one counts as lost.
	if echoed := response.Header.Get(HeaderCall); echoed != string(e.call.ID) {
		return lost(fmt.Errorf("the upstream answered call %q", echoed))
	}
	// An engine that changed its version since it announced itself answers with
	// another model than the configuration asks for.
	version := units.ModelVersion(response.Header.Get(HeaderModelVersion))
	if announced := e.upstream.ModelVersion; announced != "" && version != "" && version != announced {
		return lost(fmt.Errorf("the upstream answered with version %q and announced %q", version, announced))
	}
	if e.streamed() && response.StatusCode == http.StatusOK {
		e.fed(e.limits.FirstToken)
		return e.passStream(response)
	}
	return passWhole(e.call, response)
}

// open lets the stream be moved while the connection is open; it reports false
// where it has been moved already.
func (e *exchange) open(cancel context.CancelCauseFunc) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel = cancel
	return !e.moved
}

// move ends the exchange so that the stream goes on at next, nil for any upstream.
func (e *exchange) move(next *tracker.Upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moved = true
	e.next = next
	if e.cancel != nil {
		e.cancel(errMoved)
	}
}

func (e *exchange) movedOn() dispatcher.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	return dispatcher.Result{
		Kind: dispatcher.Moved,
		Next: e.next,
		Err:  errMoved,
	}
}

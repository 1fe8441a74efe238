package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxAnswerBytes bounds an answer, and the text of a stream.
	maxAnswerBytes = 16 << 20
	// silenceDivisor divides the time left until the deadline: a repeatable plain
	// call waits that long at a silent upstream before it tries another.
	silenceDivisor = 2
	minSilence     = 500 * time.Millisecond
)

// Forwarder exchanges calls with upstreams; its fields are set before use.
type Forwarder struct {
	Pools *Pools
	// Migrator moves streams away from leaving upstreams; it may be nil.
	Migrator *StreamMigrator
	// Capper bounds what all answers hold together, until their calls end; nil bounds each answer alone.
	Capper *capper.Capper
}

// Exchange runs one attempt and returns its result.
func (f *Forwarder) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt,
	upstream *tracker.Upstream, stream *dispatcher.Stream,
) dispatcher.Result {
	planned, err := newPlan(call)
	if err != nil {
		return notRunResult(err)
	}
	e := &exchange{
		forwarder: f,
		call:      call,
		attempt:   attempt,
		upstream:  upstream,
		stream:    stream,
		plan:      planned,
		hold:      f.Capper.NewHold(),
	}
	// The text of a stream is kept for the attempts that follow.
	call.OnEnd(e.hold.Release)
	if f.Migrator != nil && e.isMovable() {
		f.Migrator.register(e)
		defer f.Migrator.deregister(e)
	}
	result := e.run(ctx)
	if result.Answer == nil && !e.isStreamed() {
		e.hold.Release()
	}
	f.Capper.Report(string(upstream.Name), result.Err)
	return result
}

// refusedResult returns the result for a refusal that states that the call did not run.
func refusedResult(response *http.Response) dispatcher.Result {
	result := notRunResult(fmt.Errorf("the upstream refused with status %d", response.StatusCode))
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return result
}

// readAnswer reads an answer that is not streamed and checks that it is complete.
func (e *exchange) readAnswer(response *http.Response) dispatcher.Result {
	// An answer that is delimited only by the end of its connection may be truncated.
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return lostResult(errors.New("the upstream's answer has no length"))
	}
	body, err := capper.ReadAll(capper.Source{
		Body:   response.Body,
		Kind:   capper.Body,
		Length: response.ContentLength,
		Limit:  maxAnswerBytes,
	}, e.hold)
	if err != nil {
		return lostResult(fmt.Errorf("read the answer: %w", err))
	}
	if e.call.Kind == parser.ModelService && !json.Valid(body) {
		return lostResult(errors.New("the answer is not valid JSON"))
	}
	return dispatcher.Result{
		Kind: dispatcher.Answered,
		Answer: &dispatcher.Answer{
			Status: response.StatusCode,
			Header: forwardedHeaders(response.Header),
			Body:   body,
		},
	}
}

// failedResult returns the result for an error before any answer. Only a failure to
// connect proves that the call did not run.
func failedResult(err error) dispatcher.Result {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		result := notRunResult(err)
		result.ConnectFailed = true
		result.Unsent = true
		return result
	}
	return lostResult(err)
}

func notRunResult(err error) dispatcher.Result {
	return dispatcher.Result{
		Kind: dispatcher.NotRun,
		Err:  err,
	}
}

func lostResult(err error) dispatcher.Result {
	return dispatcher.Result{
		Kind:   dispatcher.OutcomeUnknown,
		NoRoom: capper.IsTotal(err),
		Err:    err,
	}
}

func callerGoneResult(err error) dispatcher.Result {
	return dispatcher.Result{
		Kind: dispatcher.CallerGone,
		Err:  errors.Join(io.ErrClosedPipe, err),
	}
}

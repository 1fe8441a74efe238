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

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	maxAnswer = 16 << 20
	// silentShare is the part of the time left that a repeatable plain call
	// waits at a silent upstream before it tries another.
	silentShare = 2
	minSilent   = 500 * time.Millisecond
)

// Forwarder exchanges calls with upstreams; its fields are set before use.
type Forwarder struct {
	Pools *Pools
	// Reclaimer moves streams away from upstreams that leave; it may be nil.
	Reclaimer *Reclaimer
}

// Exchange runs one attempt and says how it ended.
func (f *Forwarder) Exchange(ctx context.Context, call *dispatcher.Call, attempt units.Attempt,
	upstream *tracker.Upstream, stream *dispatcher.Stream,
) dispatcher.Result {
	planned, err := planOf(call)
	if err != nil {
		return notRun(err)
	}
	e := &exchange{
		forwarder: f,
		call:      call,
		attempt:   attempt,
		upstream:  upstream,
		stream:    stream,
		plan:      planned,
	}
	if f.Reclaimer != nil && e.movable() {
		f.Reclaimer.join(e)
		defer f.Reclaimer.part(e)
	}
	return e.run(ctx)
}

// refused reads a refusal that says that nothing ran.
func refused(response *http.Response) dispatcher.Result {
	result := notRun(fmt.Errorf("the upstream refused with status %d", response.StatusCode))
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return result
}

// passWhole reads an answer that is not streamed and checks that it is whole.
func passWhole(call *dispatcher.Call, response *http.Response) dispatcher.Result {
	// An answer whose end is only the connection's end may have been cut.
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return lost(errors.New("the upstream's answer has no length"))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return lost(fmt.Errorf("read the answer: %w", err))
	}
	if len(body) > maxAnswer {
		return lost(fmt.Errorf("the answer is longer than %d bytes", maxAnswer))
	}
	if call.Kind == parser.ModelService && !json.Valid(body) {
		return lost(errors.New("the answer is not whole JSON"))
	}
	return dispatcher.Result{
		Kind: dispatcher.Answered,
		Answer: &dispatcher.Answer{
			Status: response.StatusCode,
			Header: passHeaders(response.Header),
			Body:   body,
		},
	}
}

// failed classes an error before any answer. Only a connection that was never
// made proves that nothing ran.
func failed(err error) dispatcher.Result {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		result := notRun(err)
		result.Unreached = true
		result.Unsent = true
		return result
	}
	return lost(err)
}

func notRun(err error) dispatcher.Result {
	return dispatcher.Result{
		Kind: dispatcher.NotRun,
		Err:  err,
	}
}

func lost(err error) dispatcher.Result {
	return dispatcher.Result{
		Kind: dispatcher.Lost,
		Err:  err,
	}
}

func callerGone(err error) dispatcher.Result {
	return dispatcher.Result{
		Kind: dispatcher.CallerGone,
		Err:  errors.Join(io.ErrClosedPipe, err),
	}
}

package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	doneMarker = "[DONE]"
	// maxBatchInterval and batchDivisor bound how long tokens wait for others:
	// batchDivisor divides the service's target time between tokens.
	maxBatchInterval = 12 * time.Millisecond
	batchDivisor     = 2
)

// forwardStream forwards a stream's events, each after a check, until its final marker.
func (e *exchange) forwardStream(response *http.Response) dispatcher.Result {
	version := units.ModelVersion(response.Header.Get(HeaderModelVersion))
	if e.plan.collects {
		e.stream.Sink = discardSink{}
	}
	err := e.stream.Begin(forwardedHeaders(response.Header), e.upstream, version)
	var versionErr *dispatcher.VersionError
	if errors.As(err, &versionErr) {
		return lostResult(versionErr)
	}
	if err != nil {
		return callerGoneResult(err)
	}
	batch, _ := e.stream.Sink.(dispatcher.Batcher)
	return e.forwardEvents(response, newLineReader(response.Body, e.hold), batch)
}

// forwardEvents forwards events, those that arrived in one read in one write.
func (e *exchange) forwardEvents(response *http.Response, lines *lineReader, batch dispatcher.Batcher) dispatcher.Result {
	reader := newEventReader(e.call.ID)
	for {
		offset, data, err := lines.nextEvent()
		if err != nil {
			return lostResult(err)
		}
		if string(data) == doneMarker {
			result := e.endStream()
			e.drain(response)
			return result
		}
		more := lines.hasEvent()
		if batch != nil {
			batch.SetBuffering(more)
		}
		if result, ok := e.forwardEvent(reader, offset, data); !ok {
			return result
		}
		if !more {
			e.awaitBatch()
		}
	}
}

// awaitBatch lets a few tokens accumulate before the next read. Waking up, reading and
// writing for each single token is most of a stream's cost, and the delay stays within
// the callers' target. All streams of one interval wake up at the same moments, so that
// one timer wake-up serves many of them.
func (e *exchange) awaitBatch() {
	interval := min(maxBatchInterval, e.call.InterTokenLatency/batchDivisor)
	if interval <= 0 || e.stream.Offset() == 0 {
		return
	}
	now := time.Now()
	time.Sleep(now.Truncate(interval).Add(interval).Sub(now))
}

func (e *exchange) forwardEvent(reader *eventReader, offset units.Tokens, data []byte) (dispatcher.Result, bool) {
	text, err := reader.read(data)
	if err != nil {
		return lostResult(err), false
	}
	// A missing token would leave a gap in the caller's answer that no later event
	// fills.
	if offset > e.stream.Offset()+1 && !reader.multiple {
		return lostResult(fmt.Errorf("token %d came after token %d", offset, e.stream.Offset())), false
	}
	reader.recordEnd(e.stream)
	if e.stream.TextSize()+len(text) > maxAnswerBytes {
		return lostResult(&capper.ExceededError{
			Kind:  capper.Body,
			Limit: maxAnswerBytes,
		}), false
	}
	if err := e.hold.Grow(int64(len(text))); err != nil {
		return lostResult(err), false
	}
	if err := e.stream.Event(offset, data, text); err != nil {
		return callerGoneResult(err), false
	}
	e.setPrefilling(false)
	e.progress.Store(int64(e.stream.Offset()))
	e.feedWatchdog(e.limits.BetweenTokens)
	return dispatcher.Result{}, true
}

// drain reads the rest of the response after the final marker; otherwise the connection
// could not be reused.
func (e *exchange) drain(response *http.Response) {
	e.feedWatchdog(e.limits.BetweenTokens)
	e.forwarder.Capper.Report(string(e.upstream.Name), capper.Drain(response.Body, lineBufferSize))
}

// endStream ends the caller's stream, or assembles the whole answer.
func (e *exchange) endStream() dispatcher.Result {
	if e.plan.collects {
		return e.collect()
	}
	if err := e.stream.End(); err != nil {
		return callerGoneResult(err)
	}
	return dispatcher.Result{
		Kind: dispatcher.Answered,
	}
}

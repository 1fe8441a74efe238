package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	doneMarker = "[DONE]"
	// maxPace and paceShare bound how long tokens wait for others: the latter is
	// a part of the service's target between tokens.
	maxPace   = 12 * time.Millisecond
	paceShare = 2
)

// passStream hands a stream's events on, each after a check, until its final marker.
func (e *exchange) passStream(response *http.Response) dispatcher.Result {
	version := units.ModelVersion(response.Header.Get(HeaderModelVersion))
	if e.plan.collected {
		e.stream.Sink = discard{}
	}
	same, err := e.stream.Begin(passHeaders(response.Header), e.upstream, version)
	if err != nil {
		return callerGone(err)
	}
	if !same {
		return lost(fmt.Errorf("the upstream serves version %q, the stream began with %q", version, e.stream.Version()))
	}
	batch, _ := e.stream.Sink.(dispatcher.Batcher)
	return e.passEvents(response, newLineReader(response.Body), batch)
}

// passEvents hands events on in as few writes as come in reads.
func (e *exchange) passEvents(response *http.Response, lines *lineReader, batch dispatcher.Batcher) dispatcher.Result {
	reader := newEventReader(e.call.ID)
	for {
		offset, data, err := lines.event()
		if err != nil {
			return lost(err)
		}
		if string(data) == doneMarker {
			result := e.endStream()
			e.drain(response)
			return result
		}
		more := lines.ready()
		if batch != nil {
			batch.Hold(more)
		}
		if result, ok := e.passEvent(reader, offset, data); !ok {
			return result
		}
		if !more {
			e.pause()
		}
	}
}

// pause lets a few tokens come together before the next read. Waking up, reading
// and writing for each token by itself is most of what a stream costs, and
// callers see no later than their target allows. All streams of a pace go on at
// the same moments, so that one wake-up serves many of them.
func (e *exchange) pause() {
	pace := min(maxPace, e.call.BetweenTokens/paceShare)
	if pace <= 0 || e.stream.Offset() == 0 {
		return
	}
	now := time.Now()
	time.Sleep(now.Truncate(pace).Add(pace).Sub(now))
}

func (e *exchange) passEvent(reader *eventReader, offset units.Tokens, data []byte) (dispatcher.Result, bool) {
	text, err := reader.read(data)
	if err != nil {
		return lost(err), false
	}
	// A token that is missing would leave a hole in the caller's answer, which
	// no later event closes.
	if offset > e.stream.Offset()+1 && !reader.several {
		return lost(fmt.Errorf("token %d came after token %d", offset, e.stream.Offset())), false
	}
	reader.note(e.stream)
	if err := e.stream.Event(offset, data, text); err != nil {
		return callerGone(err), false
	}
	e.wait(false)
	e.progress.Store(int64(e.stream.Offset()))
	e.fed(e.limits.BetweenTokens)
	return dispatcher.Result{}, true
}

// drain reads the end of the exchange behind the final marker, without which
// the connection could not be used again.
func (e *exchange) drain(response *http.Response) {
	e.fed(e.limits.BetweenTokens)
	_, _ = io.CopyN(io.Discard, response.Body, lineBuffer)
}

// endStream ends the caller's stream, or puts the whole answer together.
func (e *exchange) endStream() dispatcher.Result {
	if e.plan.collected {
		return e.collect()
	}
	if err := e.stream.Sink.End(); err != nil {
		return callerGone(err)
	}
	return dispatcher.Result{
		Kind: dispatcher.Answered,
	}
}

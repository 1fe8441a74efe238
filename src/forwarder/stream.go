package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	doneMarker   = "[DONE]"
	maxEventLine = 1 << 20
	lineBuffer   = 2 << 10
)

var (
	errCut     = errors.New("the stream ended before its final marker")
	idField    = []byte("id: ")
	dataField  = []byte("data: ")
	eventField = []byte("event: ")
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
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, lineBuffer), maxEventLine)
	reader := newEventReader(e.call.ID)
	var offset units.Tokens
	for lines.Scan() {
		line := lines.Bytes()
		if id, found := bytes.CutPrefix(line, idField); found {
			offset, err = parseOffset(id)
			if err != nil {
				return lost(err)
			}
			continue
		}
		// The upstream ends a stream that it cannot finish with an event of its own kind.
		if bytes.HasPrefix(line, eventField) {
			return lost(fmt.Errorf("the upstream ended the stream with %q", line))
		}
		data, found := bytes.CutPrefix(line, dataField)
		if !found {
			continue
		}
		if string(data) == doneMarker {
			return e.endStream()
		}
		if result, ok := e.passEvent(reader, offset, data); !ok {
			return result
		}
	}
	if err := lines.Err(); err != nil {
		return lost(err)
	}
	return lost(errCut)
}

func parseOffset(id []byte) (units.Tokens, error) {
	number, err := strconv.ParseInt(string(id), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("an event's id is no token offset: %w", err)
	}
	return units.Tokens(number), nil
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

package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// mostEvent bounds one event of a stream.
const mostEvent = 1 << 20

// idField begins the line of an event that holds its id.
var idField = []byte("id:")

// events passes a stream on, whole events only, each at once: a caller that loses
// its connection then goes on exactly behind the last event it has.
func (e *exchange) events(ctx context.Context, response *http.Response, verdict Verdict) dispatcher.Result {
	joins, err := e.stream.Begin(response.Header, e.upstream, verdict.Version)
	if err != nil {
		return callerGone(err)
	}
	if !joins {
		return dispatcher.Result{
			Kind: dispatcher.Broken,
			Err: &ForeignError{
				Upstream: e.upstream.Name,
				Reason:   "its weights have another version than the stream began with",
			},
		}
	}
	e.resumed = e.stream.Offset() > 0
	reader := bufio.NewReaderSize(response.Body, readBuffer)
	batcher, _ := e.stream.Sink.(dispatcher.Batcher)
	var event []byte
	for {
		event, err = readEvent(reader, event[:0])
		if err != nil && !errors.Is(err, io.EOF) {
			return e.cut(ctx, err)
		}
		if len(event) > 0 {
			e.answering()
			if batcher != nil {
				batcher.Hold(err == nil && reader.Buffered() > 0)
			}
			if passErr := e.pass(event); passErr != nil {
				return callerGone(passErr)
			}
		}
		if err != nil {
			break
		}
	}
	e.finish(response, nil)
	if err := e.stream.Sink.End(); err != nil {
		return callerGone(err)
	}
	return dispatcher.Result{Kind: dispatcher.Answered}
}

func callerGone(err error) dispatcher.Result {
	return dispatcher.Result{
		Kind: dispatcher.CallerGone,
		Err:  err,
	}
}

// cut says what becomes of a stream that broke off.
func (e *exchange) cut(ctx context.Context, err error) dispatcher.Result {
	result := e.lost(ctx, err)
	if result.Kind == dispatcher.Lost && !e.call.Repeatable {
		result.Kind = dispatcher.Broken
	}
	return result
}

// pass hands one event to the caller unless it has it. An event without an id
// belongs behind the one before it, so that the caller has it where it has that one.
func (e *exchange) pass(event []byte) error {
	place := placeOf(event)
	if place == 0 {
		if e.resumed {
			return nil
		}
		return e.stream.Beside(event)
	}
	if place > e.stream.Offset() {
		e.resumed = false
	}
	return e.stream.Event(place, event, nil)
}

// placeOf returns the place of an event in its stream, from 1, and 0 for an event
// without an id; ids begin at 0.
func placeOf(event []byte) units.Tokens {
	for line := range bytes.Lines(event) {
		if !bytes.HasPrefix(line, idField) {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(line[len(idField):])), 10, 64)
		if err == nil {
			return units.Tokens(id + 1)
		}
	}
	return 0
}

// readEvent reads up to and including the empty line that ends an event. At the
// end of the stream it returns what stands behind the last one, with io.EOF.
func readEvent(reader *bufio.Reader, event []byte) ([]byte, error) {
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if len(event) > mostEvent {
			return event, errors.New("an event is too large")
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

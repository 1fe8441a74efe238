package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/framer"
	"github.com/rosecroft/rosecroft/src/units"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

const (
	// maxIdleBytes bounds what may arrive between two events that continue a stream, as much as a whole answer: comments
	// and events without an id are passed on, and an upstream may repeat those that the caller has.
	maxIdleBytes = maxAnswerBytes
	// eventOverhead is what each of them counts in addition to its bytes. An empty line costs as much processor time as
	// a short event.
	eventOverhead = 64
)

// idField is the beginning of the line that holds an event's id.
var idField = []byte("id:")

// forwardStream forwards a stream's complete events as they arrive. A caller that loses
// its connection can then resume exactly after the last event that it received.
func (e *exchange) forwardStream(ctx context.Context, response *http.Response, verdict Verdict) dispatcher.Result {
	err := e.stream.Begin(response.Header, e.upstream, verdict.ModelVersion)
	var versionErr *dispatcher.VersionError
	if errors.As(err, &versionErr) {
		return dispatcher.Result{
			Kind: dispatcher.Unresumable,
			Err:  versionErr,
		}
	}
	if err != nil {
		return callerGoneResult(err)
	}
	e.replaying = e.stream.Offset() > 0
	reader := bufio.NewReaderSize(response.Body, readBuffer)
	batcher, _ := e.stream.Sink.(dispatcher.Batcher)
	var event []byte
	// idle is what has arrived since the last event that continued the stream.
	idle := 0
	for {
		event, err = readEvent(reader, event[:0], e.hold)
		if err != nil {
			break
		}
		e.markAnswerStarted()
		if batcher != nil {
			batcher.SetBuffering(hasEvent(reader))
		}
		offset := e.stream.Offset()
		if err := e.forwardEvent(event); err != nil {
			return callerGoneResult(err)
		}
		if idle += len(event) + eventOverhead; e.stream.Offset() > offset {
			idle = 0
		}
		if idle > maxIdleBytes {
			err = &capper.ExceededError{
				Kind:  capper.Event,
				Limit: maxIdleBytes,
			}
			break
		}
	}
	e.receipt.End = endOfStream(e.receipt.Framing, event, err)
	if errors.Is(err, io.EOF) {
		err = e.checkEnd(ctx)
	}
	if err != nil {
		return e.streamCutResult(ctx, err)
	}
	e.finish(response, nil)
	if err := e.stream.End(); err != nil {
		return callerGoneResult(err)
	}
	return dispatcher.Result{Kind: dispatcher.Answered}
}

// endOfStream returns how a stream ended; rest is what followed its last event.
func endOfStream(framing framer.Framing, rest []byte, err error) framer.End {
	if errors.Is(err, io.EOF) && len(rest) > 0 {
		return framer.InsideEvent
	}
	return framer.EndOf(framing, err)
}

func callerGoneResult(err error) dispatcher.Result {
	return dispatcher.Result{
		Kind: dispatcher.CallerGone,
		Err:  err,
	}
}

// streamCutResult returns the result for a stream that was cut.
func (e *exchange) streamCutResult(ctx context.Context, err error) dispatcher.Result {
	result := e.lostResult(ctx, err)
	if result.Kind == dispatcher.OutcomeUnknown && !e.call.Repeatable {
		result.Kind = dispatcher.Unresumable
	}
	return result
}

// forwardEvent forwards one event unless the caller already has it. An event without an
// id belongs to the one before it: the caller has it if it has that one.
func (e *exchange) forwardEvent(event []byte) error {
	position := positionOf(event)
	if position == 0 {
		if e.replaying {
			return nil
		}
		return e.stream.EventWithoutOffset(event)
	}
	if position > e.stream.Offset() {
		e.replaying = false
	}
	return e.stream.Event(position, event, nil)
}

// positionOf returns the position of an event in its stream, from 1, or 0 for an event
// without an id. Ids begin at 0.
func positionOf(event []byte) units.Tokens {
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

// emptyLines are the ends of an event's last line together with the empty line after it.
var emptyLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// hasEvent reports whether the reader's buffer holds the end of another event.
func hasEvent(reader *bufio.Reader) bool {
	pending, _ := reader.Peek(reader.Buffered())
	return slices.ContainsFunc(emptyLines, func(end []byte) bool { return bytes.Contains(pending, end) })
}

// readEvent appends to event up to and including the empty line that ends the event. At
// the end of the stream it returns what follows the last event, with io.EOF. What the buffer of event grows by is
// added to hold.
func readEvent(reader *bufio.Reader, event []byte, hold *capper.Hold) ([]byte, error) {
	lineStart := len(event)
	for {
		part, err := reader.ReadSlice('\n')
		size := cap(event)
		event = append(event, part...)
		if err := hold.Grow(int64(cap(event) - size)); err != nil {
			return event, err
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if len(event) > maxEventBytes {
			return event, &capper.ExceededError{
				Kind:  capper.Event,
				Limit: maxEventBytes,
			}
		}
		if err != nil {
			continue
		}
		if len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0 {
			return event, nil
		}
		lineStart = len(event)
	}
}

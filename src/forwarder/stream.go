package forwarder

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	doneMarker    = "[DONE]"
	maxEventLine  = 1 << 20
	readerBufSize = 4 << 10
)

var errCut = errors.New("the stream ended before its final marker")

// chunk is the part of a stream's event that the entry checks.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// passStream hands a stream's events on, each after a check, until its final marker.
func (f *Forwarder) passStream(call *dispatcher.Call, response *http.Response, stream *dispatcher.Stream) dispatcher.Result {
	version := units.ModelVersion(response.Header.Get(HeaderModelVersion))
	same, err := stream.Begin(passHeaders(response.Header), version)
	if err != nil {
		return callerGone(err)
	}
	if !same {
		return lost(fmt.Errorf("the upstream serves version %q, the stream began with %q", version, stream.Version()))
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, readerBufSize), maxEventLine)
	var offset units.Tokens
	for lines.Scan() {
		line := lines.Bytes()
		if id, found := bytes.CutPrefix(line, []byte("id: ")); found {
			number, err := strconv.ParseInt(string(id), 10, 64)
			if err != nil {
				return lost(fmt.Errorf("an event's id is no token offset: %w", err))
			}
			offset = units.Tokens(number)
			continue
		}
		data, found := bytes.CutPrefix(line, []byte("data: "))
		if !found {
			continue
		}
		if string(data) == doneMarker {
			return endStream(stream)
		}
		if result, ok := passEvent(call, stream, offset, data); !ok {
			return result
		}
	}
	if err := lines.Err(); err != nil {
		return lost(err)
	}
	return lost(errCut)
}

func passEvent(call *dispatcher.Call, stream *dispatcher.Stream, offset units.Tokens, data []byte) (dispatcher.Result, bool) {
	var event chunk
	if err := json.Unmarshal(data, &event); err != nil {
		return lost(fmt.Errorf("an event is not whole JSON: %w", err)), false
	}
	if event.ID != string(call.ID) {
		return lost(fmt.Errorf("an event belongs to call %q", event.ID)), false
	}
	var text []byte
	for _, choice := range event.Choices {
		text = append(text, choice.Text...)
		text = append(text, choice.Delta.Content...)
	}
	if err := stream.Event(offset, data, text); err != nil {
		return callerGone(err), false
	}
	return dispatcher.Result{}, true
}

func endStream(stream *dispatcher.Stream) dispatcher.Result {
	if err := stream.Sink.End(); err != nil {
		return callerGone(err)
	}
	return dispatcher.Result{
		Kind: dispatcher.Answered,
	}
}

func callerGone(err error) dispatcher.Result {
	return dispatcher.Result{
		Kind: dispatcher.CallerGone,
		Err:  errors.Join(io.ErrClosedPipe, err),
	}
}

package forwarder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

var (
	textKey    = []byte(`"text":"`)
	contentKey = []byte(`"content":"`)
	usageKey   = []byte(`"usage":{`)
	finishKey  = []byte(`"finish_reason":"`)
)

// eventFields holds the fields of a stream's event that the entry checks.
type eventFields struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string          `json:"text"`
		FinishReason json.RawMessage `json:"finish_reason"`
		Delta        struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// eventReader reads one stream's events into reused buffers.
type eventReader struct {
	id units.CallID
	// eventPrefix is the beginning of an event of this call whose id comes first.
	eventPrefix []byte
	text        []byte
	// multiple is set where the last event does not have exactly one choice: it may
	// hold several tokens or none.
	multiple bool
	finish   json.RawMessage
	usage    json.RawMessage
}

func newEventReader(id units.CallID) *eventReader {
	return &eventReader{
		id:          id,
		eventPrefix: []byte(`{"id":"` + string(id) + `",`),
	}
}

// read checks an event and returns its text, which is valid until the next call.
//
// Decoding each event would cost more than all other work per token, so the text of an
// event of the usual form is found by a search instead.
func (r *eventReader) read(data []byte) ([]byte, error) {
	r.multiple = false
	r.finish = nil
	r.usage = nil
	if text, ok := r.scanText(data); ok {
		return text, nil
	}
	return r.decode(data)
}

// scanText finds the text of an event without decoding it. It applies only to an event
// that begins with this call's id and has one text without escapes and neither usage nor
// a finish reason.
func (r *eventReader) scanText(data []byte) ([]byte, bool) {
	if !bytes.HasPrefix(data, r.eventPrefix) || !json.Valid(data) {
		return nil, false
	}
	if bytes.Contains(data, usageKey) || bytes.Contains(data, finishKey) {
		return nil, false
	}
	key := contentKey
	start := bytes.Index(data, key)
	other := bytes.Index(data, textKey)
	if start < 0 {
		key, start, other = textKey, other, start
	}
	if start < 0 || other >= 0 || data[start-1] == '\\' {
		return nil, false
	}
	rest := data[start+len(key):]
	end := bytes.IndexByte(rest, '"')
	if end < 0 || bytes.IndexByte(rest[:end], '\\') >= 0 || bytes.Contains(rest[end:], key) {
		return nil, false
	}
	return rest[:end], true
}

func (r *eventReader) decode(data []byte) ([]byte, error) {
	var event eventFields
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, fmt.Errorf("event is not valid JSON: %w", err)
	}
	if event.ID != string(r.id) {
		return nil, fmt.Errorf("event belongs to another call, %q", event.ID)
	}
	r.multiple = len(event.Choices) != 1
	r.text = r.text[:0]
	for _, choice := range event.Choices {
		r.text = append(r.text, choice.Text...)
		r.text = append(r.text, choice.Delta.Content...)
		if len(choice.FinishReason) > 0 && string(choice.FinishReason) != "null" {
			r.finish = slices.Clone(choice.FinishReason)
		}
	}
	if len(event.Usage) > 0 && string(event.Usage) != "null" {
		r.usage = slices.Clone(event.Usage)
	}
	return r.text, nil
}

// recordEnd records the finish reason and the usage of the last event in the stream.
func (r *eventReader) recordEnd(stream *dispatcher.Stream) {
	if r.finish != nil {
		stream.FinishReason = r.finish
	}
	if r.usage != nil {
		stream.Usage = r.usage
	}
}

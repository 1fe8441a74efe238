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

// chunk is the part of a stream's event that the entry checks.
type chunk struct {
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

// eventReader reads one stream's events into buffers that it uses again.
type eventReader struct {
	id units.CallID
	// prefix is how an event of this call begins where its id stands first.
	prefix []byte
	text   []byte
	// several says that the event just read has more than one token or none.
	several bool
	finish  json.RawMessage
	usage   json.RawMessage
}

func newEventReader(id units.CallID) *eventReader {
	return &eventReader{
		id:     id,
		prefix: []byte(`{"id":"` + string(id) + `",`),
	}
}

// read checks an event and returns its text, which holds until the next event.
//
// Decoding each event whole would cost more than all else that is done for a
// token, so that an event of the usual form is searched instead.
func (r *eventReader) read(data []byte) ([]byte, error) {
	r.several = false
	r.finish = nil
	r.usage = nil
	if text, ok := r.plainText(data); ok {
		return text, nil
	}
	return r.decode(data)
}

// plainText finds the text of an event that has this call's id first, one text
// without escapes, and neither usage nor a reason to finish.
func (r *eventReader) plainText(data []byte) ([]byte, bool) {
	if !bytes.HasPrefix(data, r.prefix) || !json.Valid(data) {
		return nil, false
	}
	if bytes.Contains(data, usageKey) || bytes.Contains(data, finishKey) {
		return nil, false
	}
	key := contentKey
	at := bytes.Index(data, key)
	other := bytes.Index(data, textKey)
	if at < 0 {
		key, at, other = textKey, other, at
	}
	if at < 0 || other >= 0 || data[at-1] == '\\' {
		return nil, false
	}
	rest := data[at+len(key):]
	end := bytes.IndexByte(rest, '"')
	if end < 0 || bytes.IndexByte(rest[:end], '\\') >= 0 || bytes.Contains(rest[end:], key) {
		return nil, false
	}
	return rest[:end], true
}

func (r *eventReader) decode(data []byte) ([]byte, error) {
	var event chunk
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, fmt.Errorf("an event is not whole JSON: %w", err)
	}
	if event.ID != string(r.id) {
		return nil, fmt.Errorf("an event belongs to call %q", event.ID)
	}
	r.several = len(event.Choices) != 1
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

// note keeps what the event just read says of the stream's end.
func (r *eventReader) note(stream *dispatcher.Stream) {
	if r.finish != nil {
		stream.FinishReason = r.finish
	}
	if r.usage != nil {
		stream.Usage = r.usage
	}
}

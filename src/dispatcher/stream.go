package dispatcher

import (
	"encoding/json"
	"net/http"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Stream is the caller's side of a streamed call over all its attempts.
type Stream struct {
	Sink Sink
	// FinishReason and Usage are what the upstream said at the end, nil before.
	FinishReason json.RawMessage
	Usage        json.RawMessage

	begun  bool
	opened bool
	ended  bool
	offset units.Tokens
	// text is what was generated so far, which another upstream needs to go on.
	text    []byte
	version units.ModelVersion
	engine  engine
}

// engine is one life of one upstream.
type engine struct {
	name        units.Upstream
	incarnation units.Incarnation
}

// Offset returns the count of tokens that the caller has.
func (s *Stream) Offset() units.Tokens { return s.offset }

// Text returns the generated text that the caller has.
func (s *Stream) Text() []byte { return s.text }

// Version returns the model version that generated the stream so far, or "".
func (s *Stream) Version() units.ModelVersion { return s.version }

// Begin starts the caller's stream unless an earlier attempt has; it reports
// false where the stream may not go on with what this upstream generates.
func (s *Stream) Begin(header http.Header, upstream *tracker.Upstream, version units.ModelVersion) (bool, error) {
	from := engine{
		name:        upstream.Name,
		incarnation: upstream.Incarnation,
	}
	if s.begun {
		// Half an answer from one version and half from another is an answer
		// that no model gave. An upstream that names no version may only go on
		// with its own stream.
		spliced := version == s.version && (version != "" || from == s.engine)
		return spliced, nil
	}
	s.begun = true
	s.version = version
	s.engine = from
	return true, s.Sink.Begin(header)
}

// Event passes one event on unless the caller has its tokens already.
func (s *Stream) Event(offset units.Tokens, data, text []byte) error {
	if offset <= s.offset {
		return s.around(offset, data)
	}
	s.opened = true
	s.offset = offset
	s.text = append(s.text, text...)
	return s.Sink.Event(offset, data)
}

// around passes on an event without a token of its own: the one that opens a
// stream, before its first token, and the one with the usage, after its last.
func (s *Stream) around(offset units.Tokens, data []byte) error {
	opening := offset == 0 && !s.opened
	closing := offset == s.offset && s.Usage != nil && !s.ended
	if !opening && !closing {
		return nil
	}
	s.opened = true
	s.ended = s.ended || closing
	return s.Sink.Event(offset, data)
}

// Beside passes on an event that has no place of its own and stands behind the
// last one that was passed on.
func (s *Stream) Beside(data []byte) error {
	s.opened = true
	return s.Sink.Event(s.offset, data)
}

package dispatcher

import (
	"net/http"

	"github.com/rosecroft/rosecroft/src/units"
)

// Stream is the caller's side of a streamed call over all its attempts.
type Stream struct {
	Sink Sink

	begun  bool
	offset units.Tokens
	// text is what was generated so far, which another upstream needs to go on.
	text    []byte
	version units.ModelVersion
}

// Offset returns the count of tokens that the caller has.
func (s *Stream) Offset() units.Tokens { return s.offset }

// Text returns the generated text that the caller has.
func (s *Stream) Text() []byte { return s.text }

// Version returns the model version that generated the stream so far, or "".
func (s *Stream) Version() units.ModelVersion { return s.version }

// Begin starts the caller's stream unless an earlier attempt has; it reports
// false where the version differs from the one that the stream began with.
func (s *Stream) Begin(header http.Header, version units.ModelVersion) (bool, error) {
	if s.begun {
		return version == s.version, nil
	}
	s.begun = true
	s.version = version
	return true, s.Sink.Begin(header)
}

// Event passes one event on unless the caller has its tokens already.
func (s *Stream) Event(offset units.Tokens, data, text []byte) error {
	if offset <= s.offset {
		return nil
	}
	s.offset = offset
	s.text = append(s.text, text...)
	return s.Sink.Event(offset, data)
}

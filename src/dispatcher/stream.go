package dispatcher

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Stream is the caller's stream of one call across all attempts.
type Stream struct {
	Sink Sink
	// FinishReason and Usage are what the upstream reported at the end, nil before.
	FinishReason json.RawMessage
	Usage        json.RawMessage

	// header is that of the answer that begins the stream, begun is set once the caller has it.
	header    http.Header
	begun     bool
	eventSent bool
	usageSent bool
	offset    units.Tokens
	// text is the text generated so far, which another upstream needs to resume.
	text chunkedText
	// version and source are those that the stream began with.
	version units.ModelVersion
	source  upstreamIncarnation
	// current is the upstream of the last attempt that has begun to answer.
	current *tracker.Upstream
	// release is the software version of the events that the caller has; isBound is set once it has any.
	release units.Release
	isBound bool
	// isDoubted is set if the upstream of the attempt under way, or once the stream is bound that of its first event,
	// may run another version than it is known for.
	isDoubted bool
}

// VersionError is the error for output that does not continue a stream.
type VersionError struct {
	Upstream units.Upstream
	// Of is what has another version, and Stream and Got are the two.
	Of          string
	Stream, Got string
}

// Error names the versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the stream began with version %q of the %s, but %s has version %q", e.Stream, e.Of, e.Upstream, e.Got)
}

// upstreamIncarnation identifies one incarnation of an upstream.
type upstreamIncarnation struct {
	name        units.Upstream
	incarnation units.Incarnation
}

// NewStream returns a stream whose caller has received its events up to an offset.
func NewStream(sink Sink, offset units.Tokens) *Stream {
	return &Stream{
		Sink:   sink,
		offset: offset,
	}
}

// NewResumedStream returns a stream whose caller has received its events up to an offset, which are the
// text that a version of the model has generated.
func NewResumedStream(sink Sink, offset units.Tokens, text []byte, version units.ModelVersion) *Stream {
	return &Stream{
		Sink:    sink,
		offset:  offset,
		text:    newText(text),
		version: version,
	}
}

// Offset returns how many tokens the caller has received.
func (s *Stream) Offset() units.Tokens { return s.offset }

// Text returns the generated text that the caller has received; it must not be changed.
func (s *Stream) Text() []byte { return s.text.after(0) }

// TextAfter returns the part of Text after a number of bytes.
func (s *Stream) TextAfter(count int) []byte { return s.text.after(count) }

// TextSize returns the length of Text in bytes.
func (s *Stream) TextSize() int { return s.text.size }

// Version returns the model version that generated the stream so far, or "".
func (s *Stream) Version() units.ModelVersion { return s.version }

// Bind binds the stream to a software version: the caller gets output of no other.
func (s *Stream) Bind(release units.Release) {
	s.release = release
	s.isBound = true
}

// Release returns the software version that the stream is bound to, false if it is not bound yet.
func (s *Stream) Release() (units.Release, bool) { return s.release, s.isBound }

// mayGoOnAt reports whether an upstream runs the software version that the stream is bound to, if it is bound.
func (s *Stream) mayGoOnAt(upstream *tracker.Upstream) bool {
	return !s.isBound || upstream.Release == s.release && !s.isDoubted
}

// SetDoubted sets whether the upstream of the next attempt may run another software version than it is known for. A
// stream that begins there goes on nowhere else.
func (s *Stream) SetDoubted(isDoubted bool) {
	if !s.isBound {
		s.isDoubted = isDoubted
	}
}

// IsDoubted reports whether the stream begins at an upstream that may run another software version than it is known
// for.
func (s *Stream) IsDoubted() bool { return s.isDoubted && !s.isBound }

// HasEvents reports whether an event was sent.
func (s *Stream) HasEvents() bool { return s.eventSent }

// Begin begins an attempt's part of the stream; the caller gets the head with the first event. The error is a
// *VersionError where the output of this upstream must not continue the stream.
func (s *Stream) Begin(header http.Header, upstream *tracker.Upstream, version units.ModelVersion) error {
	if s.isBound && upstream.Release != s.release {
		return &VersionError{
			Upstream: upstream.Name,
			Of:       "software",
			Stream:   string(s.release),
			Got:      string(upstream.Release),
		}
	}
	s.current = upstream
	current := upstreamIncarnation{
		name:        upstream.Name,
		incarnation: upstream.Incarnation,
	}
	if s.eventSent {
		// An answer must not combine output of two model versions. An upstream that
		// names no version may continue only a stream that it began itself.
		if version == s.version && (version != "" || current == s.source) {
			return nil
		}
		return &VersionError{
			Upstream: upstream.Name,
			Of:       "model",
			Stream:   string(s.version),
			Got:      string(version),
		}
	}
	s.header = header
	s.version = version
	s.source = current
	return nil
}

// End ends the caller's stream as complete.
func (s *Stream) End() error {
	if err := s.beginSink(); err != nil {
		return err
	}
	return s.Sink.End()
}

func (s *Stream) beginSink() error {
	if s.begun {
		return nil
	}
	s.begun = true
	return s.Sink.Begin(s.header)
}

// send sends an event. The first one binds the stream.
func (s *Stream) send(offset units.Tokens, data []byte) error {
	s.eventSent = true
	if !s.isBound && s.current != nil {
		s.Bind(s.current.Release)
	}
	if err := s.beginSink(); err != nil {
		return err
	}
	return s.Sink.Event(offset, data)
}

// Event sends one event to the caller unless the caller already has its tokens.
func (s *Stream) Event(offset units.Tokens, data, text []byte) error {
	if offset <= s.offset {
		return s.eventWithoutTokens(offset, data)
	}
	s.offset = offset
	s.text.append(text)
	return s.send(offset, data)
}

// EventWithOwnText is Event for a text that nothing else uses, so that a long one need not be copied.
func (s *Stream) EventWithOwnText(offset units.Tokens, data, text []byte) error {
	if offset <= s.offset {
		return s.eventWithoutTokens(offset, data)
	}
	s.offset = offset
	s.text.adopt(text)
	return s.send(offset, data)
}

// eventWithoutTokens sends an event without new tokens if it is the first event of the
// stream, before any token, or the one with the usage, after the last token. Others are
// repeats and are dropped.
func (s *Stream) eventWithoutTokens(offset units.Tokens, data []byte) error {
	opening := offset == 0 && !s.eventSent
	closing := offset == s.offset && s.Usage != nil && !s.usageSent
	if !opening && !closing {
		return nil
	}
	s.usageSent = s.usageSent || closing
	return s.send(offset, data)
}

// EventWithoutOffset sends an event that has no offset of its own; it follows the last event sent.
func (s *Stream) EventWithoutOffset(data []byte) error {
	return s.send(s.offset, data)
}

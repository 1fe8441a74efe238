package server

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	streamType = "text/event-stream"
	// holdSize is the most bytes that wait for a later event.
	holdSize = 8 << 10
)

// sink writes one call's answer to its caller.
type sink struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	begun   bool
	// held says that the buffer waits for a later event.
	held   bool
	buffer []byte
}

func newSink(writer http.ResponseWriter) *sink {
	return &sink{
		writer:  writer,
		flusher: http.NewResponseController(writer),
	}
}

// Answer writes a whole answer.
func (s *sink) Answer(answer *dispatcher.Answer) error {
	maps.Copy(s.writer.Header(), answer.Header)
	s.writer.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	s.writer.WriteHeader(answer.Status)
	_, err := s.writer.Write(answer.Body)
	return err
}

// Begin starts a stream.
func (s *sink) Begin(http.Header) error {
	s.begun = true
	s.writer.Header().Set("Content-Type", streamType)
	s.writer.Header().Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
	// The header goes out with the first event, in one write.
	return nil
}

// Event writes one event, whose id is the count of tokens up to it.
func (s *sink) Event(offset units.Tokens, data []byte) error {
	s.buffer = append(s.buffer, "id: "...)
	s.buffer = strconv.AppendInt(s.buffer, int64(offset), 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, data...)
	return s.flush()
}

// Hold keeps events back until the first that is not held.
func (s *sink) Hold(hold bool) { s.held = hold }

// End writes the final marker of a stream.
func (s *sink) End() error {
	s.held = false
	s.buffer = append(s.buffer, "data: [DONE]"...)
	return s.flush()
}

// refuse ends a call that gets no answer. A stream that has begun ends with an
// error event and without the final marker, so that no caller takes it for whole.
func (s *sink) refuse(id units.CallID, refusal *dispatcher.Refusal) {
	if !s.begun {
		writeProblem(s.writer, id, refusal)
		return
	}
	content, err := json.Marshal(problemOf(id, refusal))
	if err != nil {
		return
	}
	s.held = false
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, content...)
	_ = s.flush()
}

func (s *sink) flush() error {
	s.buffer = append(s.buffer, "\n\n"...)
	if s.held && len(s.buffer) < holdSize {
		return nil
	}
	content := s.buffer
	s.buffer = s.buffer[:0]
	if _, err := s.writer.Write(content); err != nil {
		return err
	}
	return s.flusher.Flush()
}

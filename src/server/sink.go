package server

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	streamType = "text/event-stream"
	// writeTimeout bounds one write; a stream may last as long as its caller reads.
	writeTimeout = 10 * time.Second
	// writeSize is how much of a whole answer one write holds, so that a slow
	// caller of a long one is told from one that reads nothing.
	writeSize = 64 << 10
	// holdSize is the most bytes that wait for a later event.
	holdSize = 8 << 10
)

// sink writes one call's answer to its caller.
type sink struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	begun   bool
	// timeout bounds each write; without it a caller that stops reading would
	// hold its call, its memory and its upstream's slot for good.
	timeout time.Duration
	meters  *serviceMeters
	// last is when the call began or its last event was written.
	last   time.Time
	events int
	// held says that the buffer waits for a later event.
	held   bool
	buffer []byte

	// mu guards what decides between an answer and a word where to collect it.
	mu sync.Mutex
	// ended says that the caller has its final answer.
	ended bool
}

func (s *Server) newSink(writer http.ResponseWriter, call *dispatcher.Call, began time.Time) *sink {
	out := &sink{
		writer:  writer,
		flusher: http.NewResponseController(writer),
		timeout: writeTimeout,
		meters:  s.meters.of(s.Scope, call.Service),
		last:    began,
	}
	if s.WriteTimeout > 0 {
		out.timeout = s.WriteTimeout
	}
	return out
}

// Answer writes a whole answer.
func (s *sink) Answer(answer *dispatcher.Answer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	s.ended = true
	maps.Copy(s.writer.Header(), answer.Header)
	s.writer.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	s.writer.WriteHeader(answer.Status)
	for part := range slices.Chunk(answer.Body, writeSize) {
		s.extend()
		if _, err := s.writer.Write(part); err != nil {
			return err
		}
	}
	s.meters.whole.RecordDuration(time.Since(s.last))
	return s.flusher.Flush()
}

// extend gives the next write its time.
func (s *sink) extend() {
	_ = s.flusher.SetWriteDeadline(time.Now().Add(s.timeout))
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
	s.record()
	return s.flush()
}

func (s *sink) record() {
	now := time.Now()
	if s.events == 0 {
		s.meters.firstToken.RecordDuration(now.Sub(s.last))
	} else {
		s.meters.betweenTokens.RecordDuration(now.Sub(s.last))
	}
	s.events++
	s.last = now
}

// SetBuffering keeps events back until the first that is not held.
func (s *sink) SetBuffering(hold bool) { s.held = hold }

// End writes the final marker of a stream.
func (s *sink) End() error {
	s.held = false
	s.buffer = append(s.buffer, "data: [DONE]"...)
	return s.flush()
}

// refuse ends a call that gets no answer. A stream that has begun ends with an
// error event and without the final marker, so that no caller takes it for whole.
func (s *sink) refuse(id units.CallID, refusal *dispatcher.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
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

// collectLater tells the caller of a call that still runs where to collect its answer.
func (s *sink) collectLater(call *dispatcher.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.begun {
		return
	}
	s.ended = true
	s.extend()
	writeCollect(s.writer, location(call))
	_ = s.flusher.Flush()
}

// moved ends the answer of a call that another entry has taken. A stream that has
// begun ends with an event that names where the whole answer is, and without the
// final marker.
func (s *sink) moved(call *dispatcher.Call) {
	if !s.begun {
		s.collectLater(call)
		return
	}
	s.held = false
	s.buffer = append(s.buffer, "event: moved\ndata: {\"location\":"...)
	s.buffer = strconv.AppendQuote(s.buffer, location(call))
	s.buffer = append(s.buffer, ",\"retry-after\":1}"...)
	_ = s.flush()
}

func (s *sink) flush() error {
	s.buffer = append(s.buffer, "\n\n"...)
	if s.held && len(s.buffer) < holdSize {
		return nil
	}
	content := s.buffer
	s.buffer = s.buffer[:0]
	s.extend()
	if _, err := s.writer.Write(content); err != nil {
		return err
	}
	return s.flusher.Flush()
}

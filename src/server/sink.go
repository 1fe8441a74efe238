package server

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	streamContentType = "text/event-stream"
	// defaultWriteTimeout bounds one write; a stream may last as long as its caller keeps
	// reading.
	defaultWriteTimeout = 10 * time.Second
	// writeChunkBytes is how much of an unstreamed answer goes into one write, so that a
	// caller that reads a long answer slowly can be told from one that reads nothing.
	writeChunkBytes = 64 << 10
	// maxHeldBytes is the buffer size from which held events are written anyway.
	maxHeldBytes = 8 << 10
)

// sink writes one call's answer to its caller.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// account is what the caller holds.
	account   *admitter.Account
	streaming bool
	// timeout bounds each write; without it, a caller that stops reading would keep its
	// call, the memory and the upstream's slot occupied forever.
	timeout time.Duration
	metrics *serviceMetrics
	// lastWriteAt is when the call started or the last event was recorded.
	lastWriteAt time.Time
	eventCount  int
	// holding is set while events are buffered for a later write.
	holding bool
	buffer  []byte

	// mu guards ended, which decides between sending the answer and sending the location
	// from which to collect it.
	mu sync.Mutex
	// ended is set once the caller has been sent its final answer.
	ended bool
}

func (s *Server) newSink(writer http.ResponseWriter, account *admitter.Account, call *dispatcher.Call, startedAt time.Time) *sink {
	callerSink := &sink{
		writer:      writer,
		controller:  http.NewResponseController(writer),
		account:     account,
		timeout:     defaultWriteTimeout,
		metrics:     s.metrics.forService(s.Scope, call.Service),
		lastWriteAt: startedAt,
	}
	if s.WriteTimeout > 0 {
		callerSink.timeout = s.WriteTimeout
	}
	return callerSink
}

// Answer writes an unstreamed answer.
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
	s.account.Answer(int64(len(answer.Body)))
	for chunk := range slices.Chunk(answer.Body, writeChunkBytes) {
		s.extendWriteDeadline()
		if _, err := s.writer.Write(chunk); err != nil {
			return err
		}
	}
	s.metrics.wholeAnswer.RecordDuration(time.Since(s.lastWriteAt))
	return s.controller.Flush()
}

// extendWriteDeadline restarts the timeout for the next write.
func (s *sink) extendWriteDeadline() {
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.timeout))
}

// Begin starts a stream.
func (s *sink) Begin(http.Header) error {
	s.streaming = true
	s.writer.Header().Set("Content-Type", streamContentType)
	s.writer.Header().Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
	// The header is sent with the first event, in one write.
	return nil
}

// Event writes one event, whose id is the number of tokens up to and including it.
func (s *sink) Event(offset units.Tokens, data []byte) error {
	s.buffer = append(s.buffer, "id: "...)
	s.buffer = strconv.AppendInt(s.buffer, int64(offset), 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, data...)
	s.recordLatency()
	return s.flush()
}

func (s *sink) recordLatency() {
	now := time.Now()
	if s.eventCount == 0 {
		s.metrics.firstToken.RecordDuration(now.Sub(s.lastWriteAt))
	} else {
		s.metrics.betweenTokens.RecordDuration(now.Sub(s.lastWriteAt))
	}
	s.eventCount++
	s.lastWriteAt = now
}

// SetBuffering sets whether events are buffered; the first event that is not held is written along
// with the buffered ones.
func (s *sink) SetBuffering(hold bool) { s.holding = hold }

// End writes the final marker of a stream.
func (s *sink) End() error {
	s.holding = false
	s.buffer = append(s.buffer, "data: [DONE]"...)
	return s.flush()
}

// refuse ends a call without an answer. A stream that has begun ends with an error event
// and without the final marker, so that no caller takes it for complete.
func (s *sink) refuse(id units.CallID, refusal *dispatcher.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	if !s.streaming {
		writeProblem(s.writer, id, refusal)
		return
	}
	content, err := json.Marshal(newProblem(id, refusal))
	if err != nil {
		return
	}
	s.holding = false
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, content...)
	_ = s.flush()
}

// answerCollectLater tells the caller of a call that is still running where to collect its
// answer.
func (s *sink) answerCollectLater(call *dispatcher.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.streaming {
		return
	}
	s.ended = true
	s.extendWriteDeadline()
	writeAccepted(s.writer, collectPath(call))
	_ = s.controller.Flush()
}

// answerMoved ends the answer of a call that was handed over to another entry. A stream
// that has begun ends with an event that holds the location of the whole answer, and
// without the final marker.
func (s *sink) answerMoved(call *dispatcher.Call) {
	if !s.streaming {
		s.answerCollectLater(call)
		return
	}
	s.holding = false
	s.buffer = append(s.buffer, "event: moved\ndata: {\"location\":"...)
	s.buffer = strconv.AppendQuote(s.buffer, collectPath(call))
	s.buffer = append(s.buffer, ",\"retry-after\":1}"...)
	_ = s.flush()
}

func (s *sink) flush() error {
	s.buffer = append(s.buffer, "\n\n"...)
	if s.holding && len(s.buffer) < maxHeldBytes {
		return nil
	}
	content := s.buffer
	s.buffer = s.buffer[:0]
	s.extendWriteDeadline()
	if _, err := s.writer.Write(content); err != nil {
		return err
	}
	return s.controller.Flush()
}

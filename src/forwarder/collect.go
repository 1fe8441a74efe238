package forwarder

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// discardSink is the sink of a call whose streamed answer is collected into one
// response.
type discardSink struct{}

func (discardSink) Answer(*dispatcher.Answer) error  { return nil }
func (discardSink) Begin(http.Header) error          { return nil }
func (discardSink) Event(units.Tokens, []byte) error { return nil }
func (discardSink) End() error                       { return nil }

type wholeAnswer struct {
	ID      units.CallID    `json:"id"`
	Object  string          `json:"object"`
	Model   units.Model     `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type wholeChoice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *wholeMessage   `json:"message,omitempty"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// collect assembles the whole answer from the stream.
func (e *exchange) collect() dispatcher.Result {
	// Without a finish reason the caller could not tell a complete answer from one
	// that was stopped by its token limit, and without usage it could not be billed.
	if e.stream.FinishReason == nil || e.stream.Usage == nil {
		return lostResult(errors.New("the stream ended without a finish reason and usage"))
	}
	text := string(e.stream.Text())
	answer := &wholeAnswer{
		ID:     e.call.ID,
		Object: "text_completion",
		Model:  e.call.Model,
		Choices: []wholeChoice{{
			FinishReason: e.stream.FinishReason,
		}},
		Usage: e.stream.Usage,
	}
	if strings.HasSuffix(e.call.Path, "/chat/completions") {
		answer.Object = "chat.completion"
		answer.Choices[0].Message = &wholeMessage{
			Role:    "assistant",
			Content: text,
		}
	} else {
		answer.Choices[0].Text = &text
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return lostResult(fmt.Errorf("encode the collected answer: %w", err))
	}
	if err := e.hold.Grow(int64(len(body))); err != nil {
		return lostResult(err)
	}
	return dispatcher.Result{
		Kind: dispatcher.Answered,
		Answer: &dispatcher.Answer{
			Status: http.StatusOK,
			Header: http.Header{
				"Content-Type": []string{"application/json"},
			},
			Body: body,
		},
	}
}

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

// discard is the sink of a call whose caller gets the answer whole.
type discard struct{}

func (discard) Answer(*dispatcher.Answer) error  { return nil }
func (discard) Begin(http.Header) error          { return nil }
func (discard) Event(units.Tokens, []byte) error { return nil }
func (discard) End() error                       { return nil }

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

// collect puts the whole answer together from the stream.
func (e *exchange) collect() dispatcher.Result {
	// Without these the caller could not tell a whole answer from one that was
	// stopped by its limit, nor be billed.
	if e.stream.FinishReason == nil || e.stream.Usage == nil {
		return lost(errors.New("the stream ended without a finish reason and usage"))
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
		return lost(fmt.Errorf("form the whole answer: %w", err))
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

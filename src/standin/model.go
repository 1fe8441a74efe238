package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/emicklei/go-restful/v3"
)

// Headers of the upstream protocol, as docs/UPSTREAMS.md describes them.
const (
	headerCall         = "Rosecroft-Call"
	headerExecuted     = "Rosecroft-Executed"
	headerModelVersion = "Rosecroft-Model-Version"
	headerLastEvent    = "Last-Event-ID"
	// headerReference is a caller's own header, which entries pass on.
	headerReference = "X-Reference"
)

// ModelServer serves an engine over HTTP.
type ModelServer struct {
	Engine *Engine
	Ledger *Ledger
	// Leaving makes the server refuse new calls.
	Leaving atomic.Bool
}

type completionRequest struct {
	Model        string `json:"model"`
	Stream       bool   `json:"stream"`
	MaxTokens    int    `json:"max_tokens"`
	Prompt       string `json:"prompt"`
	ContinueText string `json:"continue_text"`
	Messages     []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

const defaultMaxTokens = 256

// Services returns the engine's routes.
func (m *ModelServer) Services() []*restful.WebService {
	service := new(restful.WebService)
	service.Path("/v1")
	service.Route(service.POST("/chat/completions").To(m.complete))
	service.Route(service.POST("/completions").To(m.complete))
	return []*restful.WebService{service}
}

func (m *ModelServer) complete(request *restful.Request, response *restful.Response) {
	call := request.HeaderParameter(headerCall)
	response.AddHeader(headerCall, call)
	response.AddHeader(headerModelVersion, m.Engine.Options.ModelVersion)
	if m.Leaving.Load() {
		refuse(response, "this engine is leaving")
		return
	}
	body := &completionRequest{}
	if err := json.NewDecoder(request.Request.Body).Decode(body); err != nil {
		response.AddHeader(headerExecuted, "no")
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	prompt, err := m.prompt(request, call, body)
	if err != nil {
		refuse(response, err.Error())
		return
	}
	m.Ledger.Ran(call, request.HeaderParameter(headerReference))
	sequence := m.Engine.Start(prompt)
	chat := strings.HasSuffix(request.Request.URL.Path, "/chat/completions")
	if body.Stream {
		m.stream(request, response, sequence, prompt.Offset, chat)
		return
	}
	m.whole(request, response, sequence, chat)
}

func (m *ModelServer) prompt(request *restful.Request, call string, body *completionRequest) (Prompt, error) {
	text := body.Prompt
	for _, message := range body.Messages {
		text += message.Role + "\n" + message.Content + "\n"
	}
	prompt := Prompt{
		Call:      call,
		Text:      text,
		Continued: body.ContinueText,
		Most:      body.MaxTokens,
	}
	if prompt.Most <= 0 {
		prompt.Most = defaultMaxTokens
	}
	last := request.HeaderParameter(headerLastEvent)
	if last == "" {
		return prompt, nil
	}
	if request.HeaderParameter(headerModelVersion) != m.Engine.Options.ModelVersion {
		return prompt, errors.New("the stream began with another model version")
	}
	offset, err := strconv.Atoi(last)
	if err != nil {
		return prompt, fmt.Errorf("the last event's id is no offset: %w", err)
	}
	prompt.Offset = offset
	return prompt, nil
}

func (m *ModelServer) stream(request *restful.Request, response *restful.Response, s *sequence, have int, chat bool) {
	response.AddHeader("Content-Type", "text/event-stream")
	response.WriteHeader(http.StatusOK)
	ctx := request.Request.Context()
	for have < s.most {
		generated, err := m.Engine.wait(ctx, s, have)
		if err != nil || generated == have {
			m.Engine.Cancel(s)
			return
		}
		for ; have < generated; have++ {
			content, _ := json.Marshal(m.chunk(s, have, chat))
			_, _ = fmt.Fprintf(response, "id: %d\ndata: %s\n\n", have+1, content)
		}
		response.Flush()
	}
	_, _ = fmt.Fprint(response, "data: [DONE]\n\n")
	response.Flush()
}

func (m *ModelServer) chunk(s *sequence, index int, chat bool) *completion {
	part := choice{}
	if chat {
		part.Delta = &message{
			Content: s.token(index),
		}
	} else {
		part.Text = s.token(index)
	}
	if index == s.most-1 {
		part.FinishReason = finished()
	}
	return &completion{
		ID:      s.call,
		Object:  "chat.completion.chunk",
		Model:   m.Engine.Options.Model,
		Choices: []choice{part},
	}
}

func (m *ModelServer) whole(request *restful.Request, response *restful.Response, s *sequence, chat bool) {
	for have := 0; have < s.most; {
		generated, err := m.Engine.wait(request.Request.Context(), s, have)
		if err != nil || generated == have {
			m.Engine.Cancel(s)
			return
		}
		have = generated
	}
	var text strings.Builder
	for i := range s.most {
		text.WriteString(s.token(i))
	}
	part := choice{
		FinishReason: finished(),
	}
	if chat {
		part.Message = &message{
			Role:    "assistant",
			Content: text.String(),
		}
	} else {
		part.Text = text.String()
	}
	writeJSON(response, &completion{
		ID:      s.call,
		Object:  "chat.completion",
		Model:   m.Engine.Options.Model,
		Choices: []choice{part},
		Usage: &usage{
			CompletionTokens: s.most,
		},
	})
}

func finished() *string {
	reason := "length"
	return &reason
}

func refuse(response *restful.Response, reason string) {
	response.AddHeader(headerExecuted, "no")
	response.AddHeader("Retry-After", "1")
	http.Error(response, reason, http.StatusServiceUnavailable)
}

func writeJSON(response *restful.Response, content any) {
	encoded, err := json.Marshal(content)
	if err != nil {
		http.Error(response, err.Error(), http.StatusInternalServerError)
		return
	}
	response.AddHeader("Content-Type", "application/json")
	response.AddHeader("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = response.Write(encoded)
}

package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"
)

// Headers of the upstream protocol, as docs/UPSTREAMS.md describes them.
const (
	headerCall         = "Rosecroft-Call"
	headerAttempt      = "Rosecroft-Attempt"
	headerPriority     = "Rosecroft-Priority"
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
	Faults *Faults
	// Client reaches other engines; nil stands for the default one.
	Client *http.Client
	// Leaving makes the server refuse new calls.
	Leaving atomic.Bool
	// Loading makes the server refuse calls until a model is loaded.
	Loading atomic.Bool
}

type completionRequest struct {
	Model         string           `json:"model"`
	Stream        bool             `json:"stream"`
	StreamOptions streamOptions    `json:"stream_options"`
	MaxTokens     int              `json:"max_tokens"`
	Seed          *json.RawMessage `json:"seed"`
	Temperature   *float64         `json:"temperature"`
	Prompt        string           `json:"prompt"`
	ContinueText  string           `json:"continue_text"`
	Messages      []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
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
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

const defaultMaxTokens = 256

// Services returns the engine's routes.
func (m *ModelServer) Services() []*restful.WebService {
	service := new(restful.WebService)
	service.Path("/v1")
	service.Route(service.POST("/chat/completions").To(m.complete))
	service.Route(service.POST("/completions").To(m.complete))
	service.Route(service.DELETE("/calls/{call}").To(m.cancel))
	service.Route(service.GET("/kv/{call}").To(m.exportKV))
	service.Route(service.POST("/kv").To(m.importKV))
	work := new(restful.WebService)
	work.Path("/work")
	work.Route(work.GET("").To(func(_ *restful.Request, response *restful.Response) {
		writeJSON(response, m.Engine.Work())
	}))
	return []*restful.WebService{service, work}
}

func (m *ModelServer) cancel(request *restful.Request, response *restful.Response) {
	m.Engine.Cancel(request.PathParameter("call"))
	response.WriteHeader(http.StatusNoContent)
}

func (m *ModelServer) complete(request *restful.Request, response *restful.Response) {
	call := request.HeaderParameter(headerCall)
	if call == "" {
		call = uuid.NewString()
	}
	ctx := request.Request.Context()
	body := &completionRequest{}
	decoded := json.NewDecoder(request.Request.Body).Decode(body)
	m.Faults.hush(ctx)
	m.Faults.delay(ctx)
	response.AddHeader(headerCall, m.Faults.answerID(call))
	response.AddHeader(headerModelVersion, m.Engine.Version())
	if m.Faults.Current().Refuse {
		refuse(response, "this engine was told to refuse")
		return
	}
	if decoded != nil {
		response.AddHeader(headerExecuted, "no")
		http.Error(response, decoded.Error(), http.StatusBadRequest)
		return
	}
	prompt, err := m.prompt(request, call, body)
	if err != nil {
		refuse(response, err.Error())
		return
	}
	// A call that runs here already may be read again while the engine leaves.
	leaving := m.Leaving.Load() && !m.Faults.Current().AcceptLeaving
	if (leaving || m.Loading.Load()) && !m.Engine.Runs(call) {
		refuse(response, "this engine is leaving")
		return
	}
	sequence, begun := m.Engine.Start(prompt)
	defer func() { m.Engine.Detach(sequence, time.Now()) }()
	if begun {
		m.Ledger.Ran(call, request.HeaderParameter(headerReference))
	}
	chat := strings.HasSuffix(request.Request.URL.Path, "/chat/completions")
	if body.Stream {
		m.stream(ctx, response, sequence, prompt.Offset, chat, body.StreamOptions.IncludeUsage)
		return
	}
	m.whole(ctx, response, sequence, chat)
}

func (m *ModelServer) prompt(request *restful.Request, call string, body *completionRequest) (Prompt, error) {
	text := body.Prompt
	for _, message := range body.Messages {
		text += message.Role + "\n" + message.Content + "\n"
	}
	prompt := Prompt{
		Call:      call,
		Seed:      strconv.FormatUint(rand.Uint64(), 16),
		Text:      text,
		Continued: body.ContinueText,
		Most:      body.MaxTokens,
	}
	if body.Seed != nil {
		prompt.Seed = string(*body.Seed)
	}
	// At temperature 0 nothing is drawn, so that no seed counts.
	if body.Temperature != nil && *body.Temperature == 0 {
		prompt.Seed = ""
	}
	prompt.Attempt, _ = strconv.Atoi(request.HeaderParameter(headerAttempt))
	prompt.Priority, _ = strconv.Atoi(request.HeaderParameter(headerPriority))
	if prompt.Most <= 0 {
		prompt.Most = defaultMaxTokens
	}
	last := request.HeaderParameter(headerLastEvent)
	if last == "" {
		return prompt, nil
	}
	if request.HeaderParameter(headerModelVersion) != m.Engine.Version() {
		return prompt, errors.New("the stream began with another model version")
	}
	offset, err := strconv.Atoi(last)
	if err != nil {
		return prompt, fmt.Errorf("the last event's id is no offset: %w", err)
	}
	prompt.Offset = offset
	return prompt, nil
}

func (m *ModelServer) stream(ctx context.Context, response *restful.Response, s *sequence, have int, chat, withUsage bool) {
	response.AddHeader("Content-Type", "text/event-stream")
	response.WriteHeader(http.StatusOK)
	response.Flush()
	began := have
	for have < s.most {
		generated, err := m.Engine.wait(ctx, s, have)
		if err != nil {
			return
		}
		for ; have < generated; have++ {
			cut := m.Faults.Current().CutAfter
			if cut > 0 && have-began >= cut {
				return
			}
			content, _ := json.Marshal(m.chunk(s, have, chat))
			m.Faults.hush(ctx)
			_, _ = fmt.Fprintf(response, "id: %d\ndata: %s\n\n", have+1, content)
		}
		response.Flush()
	}
	if withUsage {
		content, _ := json.Marshal(&completion{
			ID:      m.Faults.answerID(s.call),
			Object:  "chat.completion.chunk",
			Model:   m.Engine.Options.Model,
			Choices: []choice{},
			Usage:   s.usage(),
		})
		_, _ = fmt.Fprintf(response, "id: %d\ndata: %s\n\n", have, content)
	}
	_, _ = fmt.Fprint(response, "data: [DONE]\n\n")
	response.Flush()
}

func (s *sequence) usage() *usage {
	return &usage{
		PromptTokens:     s.prompt,
		CompletionTokens: s.most,
		TotalTokens:      s.prompt + s.most,
	}
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
		ID:      m.Faults.answerID(s.call),
		Object:  "chat.completion.chunk",
		Model:   m.Engine.Options.Model,
		Choices: []choice{part},
	}
}

func (m *ModelServer) whole(ctx context.Context, response *restful.Response, s *sequence, chat bool) {
	for have := 0; have < s.most; {
		generated, err := m.Engine.wait(ctx, s, have)
		if err != nil {
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
	m.Faults.hush(ctx)
	writeJSON(response, &completion{
		ID:      m.Faults.answerID(s.call),
		Object:  "chat.completion",
		Model:   m.Engine.Options.Model,
		Choices: []choice{part},
		Usage:   s.usage(),
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

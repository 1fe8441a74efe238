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
	// headerReference is set by callers; entries forward it unchanged.
	headerReference = "X-Reference"
)

// ModelServer serves an engine over HTTP.
type ModelServer struct {
	Engine *Engine
	Ledger *Ledger
	Faults *Faults
	// Client is used to fetch KV cache from other engines; nil means http.DefaultClient.
	Client *http.Client
	// Leaving makes the server refuse new calls.
	Leaving atomic.Bool
	// Loading makes the server refuse new calls until a model is loaded.
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

// Services returns the engine's routes, including /work for its counts.
func (m *ModelServer) Services() []*restful.WebService {
	service := new(restful.WebService)
	service.Path("/v1")
	service.Route(service.POST("/chat/completions").To(m.handleCompletion))
	service.Route(service.POST("/completions").To(m.handleCompletion))
	service.Route(service.DELETE("/calls/{call}").To(m.handleCancel))
	service.Route(service.GET("/kv/{call}").To(m.handleExport))
	service.Route(service.POST("/kv").To(m.handleImport))
	work := new(restful.WebService)
	work.Path("/work")
	work.Route(work.GET("").To(func(_ *restful.Request, response *restful.Response) {
		writeJSON(response, m.Engine.Work())
	}))
	return []*restful.WebService{service, work}
}

func (m *ModelServer) handleCancel(request *restful.Request, response *restful.Response) {
	m.Engine.Cancel(request.PathParameter("call"))
	response.WriteHeader(http.StatusNoContent)
}

func (m *ModelServer) handleCompletion(request *restful.Request, response *restful.Response) {
	call := request.HeaderParameter(headerCall)
	if call == "" {
		call = uuid.NewString()
	}
	ctx := request.Request.Context()
	body := &completionRequest{}
	decodeErr := json.NewDecoder(request.Request.Body).Decode(body)
	m.Faults.blockIfSilent(ctx)
	m.Faults.delay(ctx)
	response.AddHeader(headerCall, m.Faults.answerID(call))
	response.AddHeader(headerModelVersion, m.Engine.Version())
	if m.Faults.Current().Refuse {
		refuse(response, "this engine was told to refuse")
		return
	}
	if decodeErr != nil {
		response.AddHeader(headerExecuted, "no")
		http.Error(response, decodeErr.Error(), http.StatusBadRequest)
		return
	}
	prompt, err := m.parsePrompt(request, call, body)
	if err != nil {
		refuse(response, err.Error())
		return
	}
	// A call that already runs here may still be resumed while the engine leaves.
	leaving := m.Leaving.Load() && !m.Faults.Current().AcceptLeaving
	if (leaving || m.Loading.Load()) && !m.Engine.HasSequence(call) {
		refuse(response, "this engine is leaving")
		return
	}
	sequence, started := m.Engine.Start(prompt)
	defer func() { m.Engine.Detach(sequence, time.Now()) }()
	if started {
		m.Ledger.RecordRun(call, request.HeaderParameter(headerReference))
	}
	chat := strings.HasSuffix(request.Request.URL.Path, "/chat/completions")
	if body.Stream {
		m.writeStream(ctx, response, sequence, prompt.Offset, chat, body.StreamOptions.IncludeUsage)
		return
	}
	m.writeCompletion(ctx, response, sequence, chat)
}

func (m *ModelServer) parsePrompt(request *restful.Request, call string, body *completionRequest) (Prompt, error) {
	text := body.Prompt
	for _, message := range body.Messages {
		text += message.Role + "\n" + message.Content + "\n"
	}
	prompt := Prompt{
		Call:      call,
		Seed:      strconv.FormatUint(rand.Uint64(), 16),
		Text:      text,
		Continued: body.ContinueText,
		MaxTokens: body.MaxTokens,
	}
	if body.Seed != nil {
		prompt.Seed = string(*body.Seed)
	}
	// At temperature 0 generation is deterministic, so that the seed has no effect.
	if body.Temperature != nil && *body.Temperature == 0 {
		prompt.Seed = ""
	}
	prompt.Attempt, _ = strconv.Atoi(request.HeaderParameter(headerAttempt))
	prompt.Priority, _ = strconv.Atoi(request.HeaderParameter(headerPriority))
	if prompt.MaxTokens <= 0 {
		prompt.MaxTokens = defaultMaxTokens
	}
	lastEvent := request.HeaderParameter(headerLastEvent)
	if lastEvent == "" {
		return prompt, nil
	}
	if request.HeaderParameter(headerModelVersion) != m.Engine.Version() {
		return prompt, errors.New("the stream was started with another model version")
	}
	offset, err := strconv.Atoi(lastEvent)
	if err != nil {
		return prompt, fmt.Errorf("the last event's id is not a token offset: %w", err)
	}
	prompt.Offset = offset
	return prompt, nil
}

func (m *ModelServer) writeStream(ctx context.Context, response *restful.Response, s *sequence, sent int, chat, includeUsage bool) {
	response.AddHeader("Content-Type", "text/event-stream")
	response.WriteHeader(http.StatusOK)
	response.Flush()
	first := sent
	for sent < s.maxTokens {
		generated, err := m.Engine.waitForTokens(ctx, s, sent)
		if err != nil {
			return
		}
		for ; sent < generated; sent++ {
			cutAfter := m.Faults.Current().CutAfter
			if cutAfter > 0 && sent-first >= cutAfter {
				return
			}
			content, _ := json.Marshal(m.chunk(s, sent, chat))
			m.Faults.blockIfSilent(ctx)
			_, _ = fmt.Fprintf(response, "id: %d\ndata: %s\n\n", sent+1, content)
		}
		response.Flush()
	}
	if includeUsage {
		content, _ := json.Marshal(&completion{
			ID:      m.Faults.answerID(s.call),
			Object:  "chat.completion.chunk",
			Model:   m.Engine.Options.Model,
			Choices: []choice{},
			Usage:   s.usage(),
		})
		_, _ = fmt.Fprintf(response, "id: %d\ndata: %s\n\n", sent, content)
	}
	_, _ = fmt.Fprint(response, "data: [DONE]\n\n")
	response.Flush()
}

func (s *sequence) usage() *usage {
	return &usage{
		PromptTokens:     s.promptTokens,
		CompletionTokens: s.maxTokens,
		TotalTokens:      s.promptTokens + s.maxTokens,
	}
}

func (m *ModelServer) chunk(s *sequence, index int, chat bool) *completion {
	only := choice{}
	if chat {
		only.Delta = &message{
			Content: s.token(index),
		}
	} else {
		only.Text = s.token(index)
	}
	if index == s.maxTokens-1 {
		only.FinishReason = finishReason()
	}
	return &completion{
		ID:      m.Faults.answerID(s.call),
		Object:  "chat.completion.chunk",
		Model:   m.Engine.Options.Model,
		Choices: []choice{only},
	}
}

func (m *ModelServer) writeCompletion(ctx context.Context, response *restful.Response, s *sequence, chat bool) {
	for ready := 0; ready < s.maxTokens; {
		generated, err := m.Engine.waitForTokens(ctx, s, ready)
		if err != nil {
			return
		}
		ready = generated
	}
	var text strings.Builder
	for i := range s.maxTokens {
		text.WriteString(s.token(i))
	}
	only := choice{
		FinishReason: finishReason(),
	}
	if chat {
		only.Message = &message{
			Role:    "assistant",
			Content: text.String(),
		}
	} else {
		only.Text = text.String()
	}
	m.Faults.blockIfSilent(ctx)
	writeJSON(response, &completion{
		ID:      m.Faults.answerID(s.call),
		Object:  "chat.completion",
		Model:   m.Engine.Options.Model,
		Choices: []choice{only},
		Usage:   s.usage(),
	})
}

func finishReason() *string {
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

package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"
)

const (
	headerTokens = "Rosecroft-Tokens"
	// importFor is how long an engine holds imported KV cache for its call.
	importFor     = 10 * time.Second
	maxImports    = 256
	transferChunk = 64 << 10
	importTimeout = 10 * time.Second
)

// imported is KV cache that waits for its call.
type imported struct {
	tokens int
	at     time.Time
}

type importRequest struct {
	Call   string `json:"call"`
	Source string `json:"source"`
}

// takeImport returns how many tokens of the call's KV cache were imported; the lock is held.
func (e *Engine) takeImport(call string) int {
	held := e.imports[call]
	delete(e.imports, call)
	if time.Since(held.at) > importFor {
		return 0
	}
	return held.tokens
}

func (e *Engine) keepImport(call string, tokens int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	for known, held := range e.imports {
		if now.Sub(held.at) > importFor || len(e.imports) >= maxImports {
			delete(e.imports, known)
		}
	}
	e.imports[call] = imported{
		tokens: tokens,
		at:     now,
	}
	e.work.Imported += tokens
}

// exportable returns how many tokens of KV cache a call has here.
func (e *Engine) exportable(call string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sequences[call]
	if s == nil || !s.scheduled || s.prefill > 0 {
		return 0
	}
	e.work.Exported += s.context()
	return s.context()
}

// reserve returns when the link has carried size bytes after all that is queued on it.
func (e *Engine) reserve(now time.Time, size int) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.linkFree.Before(now) {
		e.linkFree = now
	}
	e.linkFree = e.linkFree.Add(time.Duration(size) * time.Second / time.Duration(e.Options.KVBytesPerSecond))
	return e.linkFree
}

// exportKV sends a call's KV cache at the link's pace; the call goes on meanwhile.
func (m *ModelServer) exportKV(request *restful.Request, response *restful.Response) {
	tokens := 0
	if m.Engine.Options.KVBytesPerSecond > 0 {
		tokens = m.Engine.exportable(request.PathParameter("call"))
	}
	if tokens == 0 {
		http.Error(response, "this engine has no KV cache of the call to export", http.StatusNotFound)
		return
	}
	size := tokens * m.Engine.Options.KVBytesPerToken
	response.AddHeader(headerTokens, strconv.Itoa(tokens))
	response.AddHeader("Content-Length", strconv.Itoa(size))
	chunk := make([]byte, transferChunk)
	for sent := 0; sent < size; {
		part := min(transferChunk, size-sent)
		if !pause(request.Request.Context(), time.Until(m.Engine.reserve(time.Now(), part))) {
			return
		}
		if _, err := response.Write(chunk[:part]); err != nil {
			return
		}
		sent += part
	}
}

// importKV fetches a call's KV cache from the engine that has it.
func (m *ModelServer) importKV(request *restful.Request, response *restful.Response) {
	if m.Leaving.Load() {
		refuse(response, "this engine is leaving")
		return
	}
	order := &importRequest{}
	if err := json.NewDecoder(request.Request.Body).Decode(order); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	tokens, err := m.fetchKV(request.Request.Context(), order)
	if err != nil {
		http.Error(response, err.Error(), http.StatusBadGateway)
		return
	}
	m.Engine.keepImport(order.Call, tokens, time.Now())
	writeJSON(response, struct {
		Tokens int `json:"tokens"`
	}{
		Tokens: tokens,
	})
}

func (m *ModelServer) fetchKV(ctx context.Context, order *importRequest) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, order.Source+"/v1/kv/"+order.Call, bytes.NewReader(nil))
	if err != nil {
		return 0, err
	}
	client := m.Client
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("reach the exporting engine: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("the exporting engine answered %d", response.StatusCode)
	}
	// A cut export is shorter than its announced length, which the copy reports.
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, fmt.Errorf("read the export: %w", err)
	}
	return strconv.Atoi(response.Header.Get(headerTokens))
}

// pause waits for d and reports false where ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

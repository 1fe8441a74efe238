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
	// importTTL is how long an engine keeps imported KV cache for its call.
	importTTL          = 10 * time.Second
	maxImports         = 256
	transferChunkBytes = 64 << 10
	importTimeout      = 10 * time.Second
)

// kvImport is imported KV cache whose call has not arrived yet.
type kvImport struct {
	tokens     int
	importedAt time.Time
}

type importRequest struct {
	Call   string `json:"call"`
	Source string `json:"source"`
}

// takeImport removes the call's import and returns its tokens, 0 if there is none or
// it has expired; the caller holds the lock.
func (e *Engine) takeImport(call string) int {
	held := e.imports[call]
	delete(e.imports, call)
	if time.Since(held.importedAt) > importTTL {
		return 0
	}
	return held.tokens
}

func (e *Engine) storeImport(call string, tokens int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	for known, held := range e.imports {
		if now.Sub(held.importedAt) > importTTL || len(e.imports) >= maxImports {
			delete(e.imports, known)
		}
	}
	e.imports[call] = kvImport{
		tokens:     tokens,
		importedAt: now,
	}
	e.work.Imported += tokens
}

// countExport returns how many tokens of KV cache a call has here, 0 before its
// prefill is done, and counts them as exported.
func (e *Engine) countExport(call string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sequences[call]
	if s == nil || !s.scheduled || s.prefillLeft > 0 {
		return 0
	}
	e.work.Exported += s.contextTokens()
	return s.contextTokens()
}

// reserveLink queues size bytes on the link and returns when they will have been sent.
func (e *Engine) reserveLink(now time.Time, size int) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.linkFreeAt.Before(now) {
		e.linkFreeAt = now
	}
	e.linkFreeAt = e.linkFreeAt.Add(time.Duration(size) * time.Second / time.Duration(e.Options.KVBytesPerSecond))
	return e.linkFreeAt
}

// handleExport sends a call's KV cache at the link's rate; the call continues to run.
func (m *ModelServer) handleExport(request *restful.Request, response *restful.Response) {
	tokens := 0
	if m.Engine.Options.KVBytesPerSecond > 0 {
		tokens = m.Engine.countExport(request.PathParameter("call"))
	}
	if tokens == 0 {
		http.Error(response, "this engine has no KV cache of the call to export", http.StatusNotFound)
		return
	}
	size := tokens * m.Engine.Options.KVBytesPerToken
	response.AddHeader(headerTokens, strconv.Itoa(tokens))
	response.AddHeader("Content-Length", strconv.Itoa(size))
	chunk := make([]byte, transferChunkBytes)
	for sent := 0; sent < size; {
		count := min(transferChunkBytes, size-sent)
		if !sleep(request.Request.Context(), time.Until(m.Engine.reserveLink(time.Now(), count))) {
			return
		}
		if _, err := response.Write(chunk[:count]); err != nil {
			return
		}
		sent += count
	}
}

// handleImport fetches a call's KV cache from the engine that has it.
func (m *ModelServer) handleImport(request *restful.Request, response *restful.Response) {
	if m.Leaving.Load() {
		refuse(response, "this engine is leaving")
		return
	}
	wanted := &importRequest{}
	if err := json.NewDecoder(request.Request.Body).Decode(wanted); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	tokens, err := m.fetchKV(request.Request.Context(), wanted)
	if err != nil {
		http.Error(response, err.Error(), http.StatusBadGateway)
		return
	}
	m.Engine.storeImport(wanted.Call, tokens, time.Now())
	writeJSON(response, struct {
		Tokens int `json:"tokens"`
	}{
		Tokens: tokens,
	})
}

func (m *ModelServer) fetchKV(ctx context.Context, wanted *importRequest) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, wanted.Source+"/v1/kv/"+wanted.Call, bytes.NewReader(nil))
	if err != nil {
		return 0, err
	}
	client := m.Client
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("fetch KV cache from the exporting engine: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("the exporting engine answered %d", response.StatusCode)
	}
	// An export that breaks off is shorter than its Content-Length, which makes the copy fail.
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, fmt.Errorf("read the exported KV cache: %w", err)
	}
	return strconv.Atoi(response.Header.Get(headerTokens))
}

// sleep waits for d and reports false where ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
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

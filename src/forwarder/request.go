package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/parser"

	"github.com/rosecroft/rosecroft/src/units"
)

// Headers between entries and upstreams; docs/UPSTREAMS.md describes them.
const (
	HeaderCall         = "Rosecroft-Call"
	HeaderAttempt      = "Rosecroft-Attempt"
	HeaderExecuted     = "Rosecroft-Executed"
	HeaderModelVersion = "Rosecroft-Model-Version"
	HeaderPriority     = "Rosecroft-Priority"
	HeaderLastEvent    = "Last-Event-ID"
)

// seedBits is the size of a derived seed, which JSON readers that hold numbers as
// doubles represent exactly.
const seedBits = 53

// hopHeaders are not forwarded in either direction. Authorization is among them because
// it holds the caller's key, which upstreams must not see.
//
// Idempotency-Key is among them because the HTTP client resends a request that has it by
// itself, so that a charge would run twice.
var hopHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Host", "Idempotency-Key", "X-Idempotency-Key",
	"Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	HeaderLastEvent,
}

// internalHeaders are used between entries and upstreams only.
var internalHeaders = []string{HeaderCall, HeaderAttempt, HeaderExecuted, HeaderModelVersion, HeaderPriority}

// plan is how a call's body is sent to upstreams.
type plan struct {
	fields map[string]json.RawMessage
	// resumable is set where the answer is a single text, which can resume at an
	// offset.
	resumable bool
	// collects is set where the upstream streams an answer that the caller wants in
	// one response.
	collects bool
}

// collectableFields are the request fields with which a whole answer can be assembled
// from a stream; a request with any other field is sent unchanged in this respect.
var collectableFields = map[string]bool{
	"model": true, "messages": true, "prompt": true, "max_tokens": true, "temperature": true, "top_p": true,
	"top_k": true, "seed": true, "stop": true, "user": true, "stream": true, "n": true,
	"presence_penalty": true, "frequency_penalty": true,
}

func newPlan(call *dispatcher.Call) (*plan, error) {
	p := &plan{}
	if call.Kind != parser.ModelService {
		return p, nil
	}
	if err := json.Unmarshal(call.Body, &p.fields); err != nil {
		return nil, fmt.Errorf("read the request: %w", err)
	}
	p.resumable = isSingle(p.fields["n"]) && isSingle(p.fields["best_of"])
	p.collects = !call.Stream && p.resumable
	for name := range p.fields {
		p.collects = p.collects && collectableFields[name]
	}
	if p.collects {
		p.fields["stream"] = json.RawMessage("true")
		p.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if len(p.fields["seed"]) == 0 || string(p.fields["seed"]) == "null" {
		p.fields["seed"] = strconv.AppendUint(nil, seedOf(call.ID), 10)
	}
	return p, nil
}

// IsResumable reports whether a call's answer can resume at another upstream.
func IsResumable(call *dispatcher.Call) bool {
	p, err := newPlan(call)
	return err == nil && p.resumable
}

func isSingle(count json.RawMessage) bool {
	return len(count) == 0 || string(count) == "1" || string(count) == "null"
}

// seedOf returns the sampling seed of a call whose caller gave none. All engines then
// sample alike, so that a stream can resume at another one.
func seedOf(id units.CallID) uint64 {
	return xxhash.Sum64String(string(id)) >> (64 - seedBits)
}

// body returns the request body: the call's body, with the text generated so far where a
// stream resumes.
func (p *plan) body(call *dispatcher.Call, stream *dispatcher.Stream) ([]byte, error) {
	if p.fields == nil {
		return call.Body, nil
	}
	if stream.Offset() > 0 {
		text, err := json.Marshal(string(stream.Text()))
		if err != nil {
			return nil, fmt.Errorf("encode the text to resume from: %w", err)
		}
		p.fields["continue_text"] = text
	}
	return json.Marshal(p.fields)
}

func (e *exchange) request(ctx context.Context) (*http.Request, error) {
	call := e.call
	body, err := e.plan.body(call, e.stream)
	if err != nil {
		return nil, err
	}
	address := e.upstream.Address + call.Path
	if call.Query != "" {
		address += "?" + call.Query
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, address, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create the request to %s: %w", e.upstream.Name, err)
	}
	preventRetry(request, call, body)
	request.Header = forwardedHeaders(call.Header)
	request.Header.Set(HeaderCall, string(call.ID))
	request.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(e.attempt), 10))
	if call.Account != nil {
		request.Header.Set(HeaderPriority, strconv.Itoa(call.Account.Priority))
	}
	if e.stream.Offset() > 0 {
		request.Header.Set(HeaderLastEvent, strconv.FormatInt(int64(e.stream.Offset()), 10))
		request.Header.Set(HeaderModelVersion, string(e.stream.Version()))
	}
	return request, nil
}

// preventRetry keeps the HTTP client from resending a request by itself, which only the
// dispatcher may decide. The client resends a request whose body it can rewind and a GET
// without a body; a body that is set and cannot be rewound prevents both.
func preventRetry(request *http.Request, call *dispatcher.Call, body []byte) {
	request.GetBody = nil
	if call.Repeatable {
		return
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
}

func forwardedHeaders(header http.Header) http.Header {
	passed := header.Clone()
	if passed == nil {
		passed = make(http.Header)
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	for _, name := range internalHeaders {
		passed.Del(name)
	}
	return passed
}

// contextTokens returns how many tokens an upstream must compute before it can generate
// the next one.
func contextTokens(call *dispatcher.Call, stream *dispatcher.Stream) units.Tokens {
	return call.PromptTokens + stream.Offset()
}

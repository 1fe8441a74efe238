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

// seedBits keeps a derived seed exact in readers that hold numbers as doubles.
const seedBits = 53

// hopHeaders are not passed on in either direction; Authorization holds the
// caller's key, which is no upstream's business.
//
// Idempotency-Key must stay out too: the HTTP client takes a request that bears
// it for one that it may send again by itself, so that a charge would run twice.
var hopHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Host", "Idempotency-Key", "X-Idempotency-Key",
	"Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	HeaderLastEvent,
}

// ownHeaders are between entries and upstreams alone.
var ownHeaders = []string{HeaderCall, HeaderAttempt, HeaderExecuted, HeaderModelVersion, HeaderPriority}

// plan is how a call's body goes to upstreams.
type plan struct {
	fields map[string]json.RawMessage
	// resumable says that the answer is one text, which can go on at an offset.
	resumable bool
	// collected says that the upstream streams what the caller wants whole.
	collected bool
}

// collectable are the fields of a request whose whole answer can be put
// together from a stream; with any other the call runs as it came.
var collectable = map[string]bool{
	"model": true, "messages": true, "prompt": true, "max_tokens": true, "temperature": true, "top_p": true,
	"top_k": true, "seed": true, "stop": true, "user": true, "stream": true, "n": true,
	"presence_penalty": true, "frequency_penalty": true,
}

func planOf(call *dispatcher.Call) (*plan, error) {
	p := &plan{}
	if call.Kind != parser.ModelService {
		return p, nil
	}
	if err := json.Unmarshal(call.Body, &p.fields); err != nil {
		return nil, fmt.Errorf("read the request: %w", err)
	}
	p.resumable = single(p.fields["n"]) && single(p.fields["best_of"])
	p.collected = !call.Stream && p.resumable
	for name := range p.fields {
		p.collected = p.collected && collectable[name]
	}
	if p.collected {
		p.fields["stream"] = json.RawMessage("true")
		p.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if len(p.fields["seed"]) == 0 || string(p.fields["seed"]) == "null" {
		p.fields["seed"] = strconv.AppendUint(nil, seedOf(call.ID), 10)
	}
	return p, nil
}

func single(count json.RawMessage) bool {
	return len(count) == 0 || string(count) == "1" || string(count) == "null"
}

// seedOf returns the sampling seed of a call whose caller gave none. Every
// engine then samples the same way, so that a stream can go on elsewhere.
func seedOf(id units.CallID) uint64 {
	return xxhash.Sum64String(string(id)) >> (64 - seedBits)
}

// body returns what to send: the call's body, with the text so far where a stream goes on.
func (p *plan) body(call *dispatcher.Call, stream *dispatcher.Stream) ([]byte, error) {
	if p.fields == nil {
		return call.Body, nil
	}
	if stream.Offset() > 0 {
		text, err := json.Marshal(string(stream.Text()))
		if err != nil {
			return nil, fmt.Errorf("form the request to resume: %w", err)
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
		return nil, fmt.Errorf("form the request to %s: %w", e.upstream.Name, err)
	}
	protect(request, call, body)
	request.Header = passHeaders(call.Header)
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

// protect keeps the HTTP client from repeating a request on its own, which is
// the dispatcher's decision. It repeats one whose body it can read anew, and a
// GET without a body; a body that is set and that it cannot rewind stops both.
func protect(request *http.Request, call *dispatcher.Call, body []byte) {
	request.GetBody = nil
	if call.Repeatable {
		return
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
}

func passHeaders(header http.Header) http.Header {
	passed := header.Clone()
	if passed == nil {
		passed = make(http.Header)
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	for _, name := range ownHeaders {
		passed.Del(name)
	}
	return passed
}

// recomputes returns the tokens that an upstream must compute before the next one.
func recomputes(call *dispatcher.Call, stream *dispatcher.Stream) units.Tokens {
	return call.Prompt + stream.Offset()
}

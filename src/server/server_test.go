package server

import (
	"bytes"
	"cmp"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/parser"
)

const (
	validKey      = "Bearer k1.secret"
	otherBrandKey = "Bearer k2.secret"
	modelURL      = "/v1/chat/completions"
	validBody     = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`
)

// dispatcherFunc is a Dispatcher that calls the function for each call.
type dispatcherFunc func(ctx context.Context, call *dispatcher.Call, sink dispatcher.Sink) error

func (f dispatcherFunc) Do(ctx context.Context, call *dispatcher.Call, sink dispatcher.Sink) error {
	return f(ctx, call, sink)
}

func answerOK(_ context.Context, _ *dispatcher.Call, sink dispatcher.Sink) error {
	return sink.Answer(&dispatcher.Answer{Status: http.StatusOK, Body: []byte("{}")})
}

func testConfiguration(t *testing.T) *parser.Configuration {
	t.Helper()
	salt := bytes.Repeat([]byte{1}, 8)
	hash := hex.EncodeToString(indexer.HashKey(salt, "secret"))
	document := fmt.Sprintf(`version: 1
brands: [{name: b, hosts: [b.example]}, {name: c, hosts: [c.example]}]
client-accounts:
  - {name: a1, brand: b, keys: [{id: k1, salt: %[1]x, sha256: %[2]s}]}
  - {name: a2, brand: c, keys: [{id: k2, salt: %[1]x, sha256: %[2]s}]}
services:
  - {name: s, kind: model, brands: [b], models: [m]}
  - {name: p, kind: plain, brands: [b], route: /p}
`, salt, hash)
	configuration, err := parser.ParseConfiguration("test", []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	return configuration
}

// serve runs a server until the end of the test and returns its address.
func serve(t *testing.T, server *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Listener = listener
	server.Log = zerolog.Nop()
	server.Scope = tally.NoopScope
	server.DrainTimeout = 400 * time.Millisecond
	server.Snapshot = &atomic.Pointer[indexer.Snapshot]{}
	server.Snapshot.Store(indexer.Build(testConfiguration(t), nil))
	if server.Ready == nil {
		server.Ready = func() bool { return true }
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		// A connection that a test leaves open may outlast the drain.
		if err := <-ended; err != nil && !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Run: got error %v, want none", err)
		}
	})
	return listener.Addr().String()
}

// Guards against refusals that a caller cannot act on: each invalid request must be
// answered with a problem body that states the kind of the problem, whether to retry, and
// whether the call was executed. The call id in the body must be the one in the header and
// in the log.
func TestInvalidRequestsGetProblems(t *testing.T) {
	cases := map[string]struct {
		method, path, host, key, contentType, body, idempotency string
		unready                                                 bool
		want                                                    int
		kind                                                    dispatcher.ProblemKind
		retry                                                   bool
		executed                                                dispatcher.Executed
	}{
		"bad JSON":              {body: "{", want: 400, kind: dispatcher.ProblemBadRequest},
		"no body":               {body: "", want: 400, kind: dispatcher.ProblemBadRequest},
		"two documents":         {body: validBody + validBody, want: 400, kind: dispatcher.ProblemBadRequest},
		"no model":              {body: "{}", want: 400, kind: dispatcher.ProblemBadRequest},
		"negative tokens":       {body: `{"model":"m","max_tokens":-1}`, want: 400, kind: dispatcher.ProblemBadRequest},
		"tokens above limit":    {body: `{"model":"m","max_tokens":99999999999}`, want: 400, kind: dispatcher.ProblemBadRequest},
		"tokens not an integer": {body: `{"model":"m","max_tokens":1e99}`, want: 400, kind: dispatcher.ProblemBadRequest},
		"long key":              {body: validBody, idempotency: strings.Repeat("x", maxKeyLength+1), want: 400, kind: dispatcher.ProblemBadRequest},
		"no API key":            {body: validBody, key: "none", want: 401, kind: dispatcher.ProblemBadKey},
		"wrong secret":          {body: validBody, key: "Bearer k1.wrong", want: 401, kind: dispatcher.ProblemBadKey},
		"unknown key":           {body: validBody, key: "Bearer k9.secret", want: 401, kind: dispatcher.ProblemBadKey},
		"another brand":         {body: validBody, key: otherBrandKey, want: 403, kind: dispatcher.ProblemForbidden},
		"unknown model":         {body: `{"model":"x"}`, want: 404, kind: dispatcher.ProblemNotFound},
		"unknown route":         {path: "/q", body: validBody, want: 404, kind: dispatcher.ProblemNotFound},
		"unknown model route": {
			path: "/v1/nothing", body: validBody, want: 404, kind: dispatcher.ProblemNotFound,
		},
		"wrong method":  {method: http.MethodDelete, body: validBody, want: 405, kind: dispatcher.ProblemMethod},
		"too large":     {body: strings.Repeat(" ", maxBodyBytes+1), want: 413, kind: dispatcher.ProblemTooLarge},
		"not JSON":      {contentType: "text/plain", body: validBody, want: 415, kind: dispatcher.ProblemMediaType},
		"unknown brand": {host: "x.example", body: validBody, want: 421, kind: dispatcher.ProblemUnknownHost},
		"unready":       {unready: true, body: validBody, want: 503, kind: dispatcher.ProblemUnready, retry: true},
		"unready, may be a resend": {
			unready: true, idempotency: "k", body: validBody, want: 503, kind: dispatcher.ProblemUnready, retry: true,
			executed: dispatcher.ExecutedUnknown,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ran := atomic.Bool{}
			address := serve(t, &Server{
				Dispatcher: dispatcherFunc(func(ctx context.Context, call *dispatcher.Call, sink dispatcher.Sink) error {
					ran.Store(true)
					return answerOK(ctx, call, sink)
				}),
				Ready: func() bool { return !c.unready },
			})
			request, err := http.NewRequestWithContext(t.Context(), orDefault(c.method, http.MethodPost),
				"http://"+address+orDefault(c.path, modelURL), strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			request.Host = orDefault(c.host, "b.example")
			request.Header.Set("Authorization", orDefault(c.key, validKey))
			request.Header.Set("Content-Type", orDefault(c.contentType, jsonContentType))
			request.Header.Set(headerKey, c.idempotency)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			var got problem
			if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
				t.Fatalf("body: got %v, want a problem", err)
			}
			if response.StatusCode != c.want || got.Status != c.want || got.Title != string(c.kind) {
				t.Errorf("problem: got %d %+v, want %d %s", response.StatusCode, got, c.want, c.kind)
			}
			wantExecuted := cmp.Or(c.executed, dispatcher.ExecutedNo)
			if got.Executed != wantExecuted || ran.Load() {
				t.Errorf("executed: got %q and dispatched %t, want %q and not dispatched", got.Executed, ran.Load(), wantExecuted)
			}
			if id := response.Header.Get(headerCallID); id == "" || id != got.Instance {
				t.Errorf("call id: got %q in the header and %q in the body, want the same", id, got.Instance)
			}
			if retry := response.Header.Get("Retry-After") != ""; retry != c.retry || (got.RetryAfter > 0) != c.retry {
				t.Errorf("Retry-After: got %t, want %t", retry, c.retry)
			}
		})
	}
}

func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// A caller sends its headers and part of a body, then nothing. It must be answered with a
// retryable refusal; otherwise it would hold memory forever.
func TestSlowBodyIsRefused(t *testing.T) {
	address := serve(t, &Server{
		Dispatcher:  dispatcherFunc(answerOK),
		BodyTimeout: 50 * time.Millisecond,
	})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	head := "POST " + modelURL + " HTTP/1.1\r\nHost: b.example\r\nAuthorization: " + validKey +
		"\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{"
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"HTTP/1.1 408", "Retry-After: 1", `"executed":"no"`} {
		if got := string(content); !strings.Contains(got, want) {
			t.Errorf("answer: got %q, want %q in it", got, want)
		}
	}
}

// A stream lasts longer than the timeout for a request's body. That timeout must not end
// the stream, which would leave the caller with part of an answer.
func TestStreamOutlastsBodyTimeout(t *testing.T) {
	const limit = 50 * time.Millisecond
	address := serve(t, &Server{
		BodyTimeout:  limit,
		WriteTimeout: limit,
		Dispatcher: dispatcherFunc(func(ctx context.Context, _ *dispatcher.Call, sink dispatcher.Sink) error {
			if err := sink.Begin(http.Header{}); err != nil {
				return err
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(4 * limit):
			}
			return errors.Join(sink.Event(1, []byte("{}")), sink.End())
		}),
	})
	status, body := post(t, address)
	if want := "data: [DONE]\n\n"; status != http.StatusOK || !strings.HasSuffix(body, want) {
		t.Errorf("stream: got %d %q, want the suffix %q", status, body, want)
	}
}

func post(t *testing.T, address string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+modelURL, strings.NewReader(validBody))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "b.example"
	request.Header.Set("Authorization", validKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(content)
}

// A caller requests a stream and reads none of it. Once the socket buffers are full,
// writes to it block; the call must end so that its slot at the engine is freed.
func TestCallEndsWhenCallerStopsReading(t *testing.T) {
	ended := make(chan error, 1)
	address := serve(t, &Server{
		WriteTimeout: 50 * time.Millisecond,
		Dispatcher: dispatcherFunc(func(_ context.Context, _ *dispatcher.Call, sink dispatcher.Sink) error {
			err := sink.Begin(http.Header{})
			event := bytes.Repeat([]byte("x"), 1<<20)
			for err == nil {
				err = sink.Event(1, event)
			}
			ended <- err
			return err
		}),
	})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := "POST " + modelURL + " HTTP/1.1\r\nHost: b.example\r\nAuthorization: " + validKey +
		"\r\nContent-Length: " + fmt.Sprint(len(validBody)) + "\r\n\r\n" + validBody
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err == nil {
			t.Error("call: got no error, want a write error")
		}
	case <-time.After(30 * time.Second):
		t.Error("call: still running after 30 s, want it ended")
	}
}

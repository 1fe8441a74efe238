package forwarder

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const testTimeout = 20 * time.Second

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// recordingSink is a sink that records what the caller would receive.
type recordingSink struct {
	discardSink
	events []string
	ended  bool
}

func (r *recordingSink) Event(offset units.Tokens, data []byte) error {
	r.events = append(r.events, fmt.Sprintf("%d %s", offset, data))
	return nil
}

func (r *recordingSink) End() error {
	r.ended = true
	return nil
}

func upstreamAt(address string) *tracker.Upstream {
	return &tracker.Upstream{
		Name:        "ember-1",
		Address:     address,
		Incarnation: 1,
		Step:        time.Millisecond,
		Local:       &tracker.LocalState{},
	}
}

func plainCall(method, body string) *dispatcher.Call {
	return &dispatcher.Call{
		ID:         "call-1",
		Kind:       parser.PlainService,
		Method:     method,
		Path:       "/bookings",
		Header:     http.Header{"Idempotency-Key": []string{"key-1"}},
		Body:       []byte(body),
		Deadline:   time.Now().Add(testTimeout),
		Repeatable: false,
	}
}

func streamCall() *dispatcher.Call {
	return &dispatcher.Call{
		ID:         "call-1",
		Kind:       parser.ModelService,
		Method:     http.MethodPost,
		Path:       "/v1/completions",
		Body:       []byte(`{"model":"ember-1","stream":true,"prompt":"x"}`),
		Deadline:   time.Now().Add(testTimeout),
		Repeatable: true,
		Stream:     true,
	}
}

func (f *Forwarder) exchangeAt(t *testing.T, call *dispatcher.Call, address string, stream *dispatcher.Stream) dispatcher.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return f.Exchange(ctx, call, 1, upstreamAt(address), stream)
}

// A server receives a charge on a reused idle connection, runs it, and closes the
// connection before it answers. The HTTP client resends requests that it considers safe
// to repeat, so the charge would run twice. It must not, whatever the method, the body
// and the caller's key are.
func TestClientNeverRetriesACall(t *testing.T) {
	cases := map[string]*dispatcher.Call{
		"POST with a body":    plainCall(http.MethodPost, `{"flue":1}`),
		"POST without a body": plainCall(http.MethodPost, ""),
		"GET, not repeatable": plainCall(http.MethodGet, ""),
		"DELETE":              plainCall(http.MethodDelete, ""),
	}
	for name, call := range cases {
		t.Run(name, func(t *testing.T) {
			address, runs := closingServer(t)
			f := &Forwarder{
				Pools: &Pools{},
			}
			first := f.exchangeAt(t, call, address, &dispatcher.Stream{})
			if got, want := first.Kind, dispatcher.Answered; got != want {
				t.Fatalf("first exchange: got %v (error %v), want %v", got, first.Err, want)
			}
			second := f.exchangeAt(t, call, address, &dispatcher.Stream{})
			if got, want := second.Kind, dispatcher.OutcomeUnknown; got != want {
				t.Errorf("exchange over the closed connection: got %v, want %v", got, want)
			}
			if got, want := runs(), 2; got != want {
				t.Errorf("runs: got %d, want %d", got, want)
			}
		})
	}
}

// closingServer answers the first request and closes the connection without an answer on
// each later one.
func closingServer(t *testing.T) (address string, runs func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var mu sync.Mutex
	count := 0
	serve := func(connection net.Conn) {
		defer func() { _ = connection.Close() }()
		reader := bufio.NewReader(connection)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			mu.Lock()
			count++
			last := count > 1
			mu.Unlock()
			if last {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nRosecroft-Call: call-1\r\nContent-Length: 2\r\n\r\nok")
		}
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	}()
	return "http://" + listener.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}

// An upstream answers with another call's id or without one, or truncates its answer. The
// caller must receive none of it, and the next call must use another connection, since this one may
// go on mixing up answers.
func TestUnverifiedAnswerIsNotForwarded(t *testing.T) {
	cases := map[string]string{
		"another call's id":       "HTTP/1.1 200 OK\r\nRosecroft-Call: call-2\r\nContent-Length: 2\r\n\r\nok",
		"no id":                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"shorter than its length": "HTTP/1.1 200 OK\r\nRosecroft-Call: call-1\r\nContent-Length: 9\r\n\r\nok",
		"no length":               "HTTP/1.1 200 OK\r\nRosecroft-Call: call-1\r\nConnection: close\r\n\r\nok",
		"half a chunk":            "HTTP/1.1 200 OK\r\nRosecroft-Call: call-1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				reader := bufio.NewReader(connection)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(connection, answer)
				if !strings.Contains(name, "id") {
					_ = connection.Close()
					return
				}
				_, _ = reader.ReadByte()
				_ = connection.Close()
			}()
			f := &Forwarder{
				Pools: &Pools{},
			}
			result := f.exchangeAt(t, plainCall(http.MethodPost, "{}"), "http://"+listener.Addr().String(), &dispatcher.Stream{})
			if got, want := result.Kind, dispatcher.OutcomeUnknown; got != want {
				t.Errorf("result: got %v, want %v", got, want)
			}
			if result.Answer != nil {
				t.Errorf("answer: got %q, want none", result.Answer.Body)
			}
			select {
			case <-closed:
			case <-time.After(testTimeout):
				t.Error("connection: got it open, want it closed")
			}
		})
	}
}

// script is what a fake engine sends over one connection.
type script struct {
	version string
	events  string
}

// scriptedEngine serves each script once, in order, and records the requests.
func scriptedEngine(t *testing.T, scripts ...script) (address string, seen func() []*http.Request) {
	t.Helper()
	var mu sync.Mutex
	var requests []*http.Request
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodDelete {
			return
		}
		mu.Lock()
		requests = append(requests, request)
		number := len(requests)
		mu.Unlock()
		if number > len(scripts) {
			writer.Header().Set(HeaderExecuted, "no")
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writer.Header().Set(HeaderCall, "call-1")
		writer.Header().Set(HeaderModelVersion, scripts[number-1].version)
		_, _ = io.WriteString(writer, scripts[number-1].events)
	}))
	t.Cleanup(server.Close)
	return server.URL, func() []*http.Request {
		mu.Lock()
		defer mu.Unlock()
		return requests
	}
}

func events(call string, from, to int) string {
	var text strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"text\":\"t%d \"}]}\n\n", i, call, i)
	}
	return text.String()
}

const doneEvent = "data: [DONE]\n\n"

// A stream is cut, or its connection delivers a wrong event. The caller must get each
// remaining token once and in order over a new connection under the same attempt, or no
// more tokens; the answer must never continue with tokens of another version, call or
// engine.
func TestStreamResumesAtTheExactToken(t *testing.T) {
	cases := map[string]struct {
		scripts    []script
		wantTokens int
		wantKind   dispatcher.ResultKind
	}{
		"cut": {
			scripts:    []script{{"1", events("call-1", 1, 3)}, {"1", events("call-1", 4, 6) + doneEvent}},
			wantTokens: 6,
			wantKind:   dispatcher.Answered,
		},
		"repeated tokens": {
			scripts:    []script{{"1", events("call-1", 1, 3)}, {"1", events("call-1", 1, 6) + doneEvent}},
			wantTokens: 6,
			wantKind:   dispatcher.Answered,
		},
		"another call's event": {
			scripts:    []script{{"1", events("call-1", 1, 3) + events("call-2", 4, 9) + doneEvent}, {"1", events("call-1", 4, 6) + doneEvent}},
			wantTokens: 6,
			wantKind:   dispatcher.Answered,
		},
		"half an event": {
			scripts:    []script{{"1", events("call-1", 1, 3) + "id: 4\ndata: {\"id\":\"call-1\",\"cho\n\n"}, {"1", events("call-1", 4, 6) + doneEvent}},
			wantTokens: 6,
			wantKind:   dispatcher.Answered,
		},
		"missing token": {
			scripts:    []script{{"1", events("call-1", 1, 3) + events("call-1", 5, 9) + doneEvent}, {"1", events("call-1", 4, 6) + doneEvent}},
			wantTokens: 6,
			wantKind:   dispatcher.Answered,
		},
		"another version": {
			scripts:    []script{{"1", events("call-1", 1, 3)}, {"2", events("call-1", 4, 6) + doneEvent}},
			wantTokens: 3,
			wantKind:   dispatcher.OutcomeUnknown,
		},
		"no version on the same engine": {
			scripts:    []script{{"", events("call-1", 1, 3)}, {"", events("call-1", 4, 6) + doneEvent}},
			wantTokens: 6,
			wantKind:   dispatcher.Answered,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, seen := scriptedEngine(t, c.scripts...)
			sink := &recordingSink{}
			f := &Forwarder{
				Pools: &Pools{},
			}
			result := f.exchangeAt(t, streamCall(), address, &dispatcher.Stream{Sink: sink})
			if got, want := result.Kind, c.wantKind; got != want {
				t.Errorf("result: got %v (error %v), want %v", got, result.Err, want)
			}
			if got, want := sink.ended, c.wantKind == dispatcher.Answered; got != want {
				t.Errorf("final marker: got %t, want %t", got, want)
			}
			for i, event := range sink.events {
				if want := fmt.Sprintf(`%d {"id":"call-1","choices":[{"text":"t%d "}]}`, i+1, i+1); event != want {
					t.Errorf("event: got %s, want %s", event, want)
				}
			}
			if got, want := len(sink.events), c.wantTokens; got != want {
				t.Errorf("tokens: got %d, want %d", got, want)
			}
			second := seen()[1]
			if got, want := second.Header.Get(HeaderLastEvent), "3"; got != want {
				t.Errorf("resumed after token: got %s, want %s", got, want)
			}
			if got, want := second.Header.Get(HeaderAttempt), "1"; got != want {
				t.Errorf("attempt: got %s, want %s", got, want)
			}
		})
	}
}

// An engine changes its model version, and a call arrives there before its new
// announcement has reached the entry. The caller must get nothing of a version that the
// configuration does not name; another engine answers.
func TestChangedVersionIsNotForwarded(t *testing.T) {
	address, _ := scriptedEngine(t, script{"2", events("call-1", 1, 3) + doneEvent}, script{"2", events("call-1", 1, 3) + doneEvent})
	sink := &recordingSink{}
	f := &Forwarder{
		Pools: &Pools{},
	}
	upstream := upstreamAt(address)
	upstream.ModelVersion = "1"
	result := f.Exchange(t.Context(), streamCall(), 1, upstream, &dispatcher.Stream{Sink: sink})
	if got, want := result.Kind, dispatcher.OutcomeUnknown; got != want {
		t.Errorf("result: got %v, want %v", got, want)
	}
	if got, want := len(sink.events), 0; got != want {
		t.Errorf("tokens: got %d, want %d", got, want)
	}
}

// An engine that states no model version dies, and another one that states none takes the
// stream over. Their weights may differ, so the caller must not get the rest of the
// answer from it.
func TestUnversionedStreamIsNotSplicedElsewhere(t *testing.T) {
	first, _ := scriptedEngine(t, script{"", events("call-1", 1, 3)})
	second, _ := scriptedEngine(t, script{"", events("call-1", 4, 6) + doneEvent}, script{"", events("call-1", 4, 6) + doneEvent})
	sink := &recordingSink{}
	stream := &dispatcher.Stream{Sink: sink}
	f := &Forwarder{
		Pools: &Pools{},
	}
	f.exchangeAt(t, streamCall(), first, stream)
	other := upstreamAt(second)
	other.Name = "ember-2"
	result := f.Exchange(t.Context(), streamCall(), 2, other, stream)
	if got, want := result.Kind, dispatcher.OutcomeUnknown; got != want {
		t.Errorf("result: got %v, want %v", got, want)
	}
	if got, want := len(sink.events), 3; got != want {
		t.Errorf("tokens: got %d, want %d", got, want)
	}
}

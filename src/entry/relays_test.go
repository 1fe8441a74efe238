package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/forwarder"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	plainService units.Service = "diary-app"
	modelService units.Service = "ember-llm"
	// streamTokens and tokenTime make a stream last longer than a partition takes to be noticed.
	streamTokens = 100
	tokenTime    = 25 * time.Millisecond
	// noticeTime is how long an entry has to notice that it is partitioned.
	noticeTime = 3 * time.Second
)

// partitionForm is how an entry is partitioned from upstreams.
type partitionForm int

const (
	partitionNone partitionForm = iota
	// partitionHang lets open connections and new ones hang.
	partitionHang
	// partitionReset resets open connections and refuses new ones.
	partitionReset
	// partitionRefuse leaves open connections alone and refuses new ones.
	partitionRefuse
)

// gate opens one entry's connections to upstreams and partitions it from them.
type gate struct {
	mu    sync.Mutex
	form  partitionForm
	conns map[*gateConn]bool
}

type gateConn struct {
	net.Conn
	gate *gate
}

func (g *gate) current() partitionForm {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.form
}

func (g *gate) partition(form partitionForm) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.form = form
	if form == partitionReset {
		for c := range g.conns {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		clear(g.conns)
	}
}

// DialContext opens a connection unless the entry is partitioned.
func (g *gate) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	switch g.current() {
	case partitionHang:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	case partitionReset, partitionRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case partitionNone:
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &gateConn{Conn: conn, gate: g}
	if g.conns == nil {
		g.conns = make(map[*gateConn]bool)
	}
	g.conns[c] = true
	return c, nil
}

// Read drops what arrives while the connection hangs.
func (c *gateConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil || c.gate.current() != partitionHang {
			return n, err
		}
	}
}

// Write drops what is sent while the connection hangs.
func (c *gateConn) Write(data []byte) (int, error) {
	if c.gate.current() == partitionHang {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// startTestUpstream starts an upstream that answers plain calls and streams tokens, from where the
// caller's stream broke off.
func startTestUpstream(t *testing.T, name units.Upstream, service units.Service) *tracker.Upstream {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(forwarder.HeaderCall, r.Header.Get(forwarder.HeaderCall))
		if service == plainService {
			_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL, body)
			return
		}
		streamTestTokens(w, r, body)
	}))
	t.Cleanup(server.CloseClientConnections)
	return &tracker.Upstream{
		Name:         name,
		Service:      service,
		Address:      server.URL,
		Incarnation:  1,
		Step:         time.Millisecond,
		Model:        "ember-1",
		ModelVersion: "v1",
		AnnouncedAt:  time.Now().Add(time.Hour),
		Local:        &tracker.LocalState{},
	}
}

func streamTestTokens(w http.ResponseWriter, r *http.Request, body []byte) {
	var request struct {
		ContinueText string `json:"continue_text"`
	}
	first := 0
	_, _ = fmt.Sscan(r.Header.Get(forwarder.HeaderLastEvent), &first)
	if err := json.Unmarshal(body, &request); err != nil || request.ContinueText != testText(first) {
		http.Error(w, fmt.Sprintf("a stream that resumes at %d has the text %q", first, request.ContinueText), http.StatusBadRequest)
		return
	}
	w.Header().Set(forwarder.HeaderModelVersion, "v1")
	for n := first + 1; n <= streamTokens; n++ {
		end := ""
		if n == streamTokens {
			end = `,"finish_reason":"stop"`
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"text\":\"t%d \"%s}]", n, r.Header.Get(forwarder.HeaderCall), n, end)
		if n == streamTokens {
			_, _ = fmt.Fprintf(w, `,"usage":{"completion_tokens":%d}`, streamTokens)
		}
		_, _ = fmt.Fprint(w, "}\n\n")
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(tokenTime): // The time that a token takes.
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// testText returns the text of a stream's first tokens.
func testText(tokens int) string {
	var text strings.Builder
	for n := 1; n <= tokens; n++ {
		_, _ = fmt.Fprintf(&text, "t%d ", n)
	}
	return text.String()
}

// relayEntry is an entry without its callers' server.
type relayEntry struct {
	*Entry
	gate       *gate
	dispatcher *dispatcher.Dispatcher
	peers      string
}

func startRelayEntry(t *testing.T, name units.Instance, upstreams []*tracker.Upstream) *relayEntry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &relayEntry{
		Entry: &Entry{
			Settings: &parser.Settings{Name: name},
			Client:   &connector.Client{},
		},
		gate:  &gate{},
		peers: listener.Addr().String(),
	}
	e.traffic = newTraffic(e.Entry)
	e.traffic.pools.Dialer = e.gate
	e.relays = newRelays(e.Entry, e.traffic)
	snapshot := indexer.Build(&parser.Configuration{
		Services: []parser.Service{
			{Name: plainService, Kind: parser.PlainService, Policy: parser.RoundRobin},
			{Name: modelService, Kind: parser.ModelService, Policy: parser.LeastLoaded, Models: []units.Model{"ember-1"}},
		},
	}, upstreams)
	e.snapshot.Store(snapshot)
	e.relays.onSnapshot(snapshot)
	server := &connector.Server{Listener: listener}
	e.relays.register(server)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Run(ctx) }()
	go func() { _ = e.relays.run(ctx) }()
	e.dispatcher = &dispatcher.Dispatcher{
		Limiter:   admitAll{},
		Recorder:  recordNothing{},
		Router:    e.traffic.router,
		Exchanger: &pathExchanger{relays: e.relays},
		Observer:  e.traffic.router,
	}
	return e
}

// startRelayEntries starts entries that know each other, and three upstreams of each service.
func startRelayEntries(t *testing.T, count int) []*relayEntry {
	t.Helper()
	var upstreams []*tracker.Upstream
	for n := range 3 {
		upstreams = append(upstreams,
			startTestUpstream(t, units.Upstream(fmt.Sprintf("diary-%d", n)), plainService),
			startTestUpstream(t, units.Upstream(fmt.Sprintf("ember-%d", n)), modelService))
	}
	entries := make([]*relayEntry, count)
	view := &messages.EntryView{}
	for i := range entries {
		var own []*tracker.Upstream
		for _, u := range upstreams {
			known := *u
			known.Local = &tracker.LocalState{}
			own = append(own, &known)
		}
		entries[i] = startRelayEntry(t, units.Instance(fmt.Sprintf("e%d", i)), own)
		view.Members = append(view.Members, &messages.EntryMember{
			Entry:       string(entries[i].Settings.Name),
			PeerAddress: entries[i].peers,
		})
	}
	for _, e := range entries {
		e.relays.onView(view)
	}
	return entries
}

// admitAll admits every call, and recordNothing keeps no outcome.
type (
	admitAll      struct{}
	recordNothing struct{}
)

func (admitAll) Admit(context.Context, *dispatcher.Call) (func(), error) { return func() {}, nil }

func (recordNothing) Begin(context.Context, *dispatcher.Call) (*dispatcher.Answer, error) {
	return nil, nil
}

func (recordNothing) BeforeDispatch(context.Context, *dispatcher.Call, units.Attempt, units.Upstream) error {
	return nil
}

func (recordNothing) Finish(_ context.Context, _ *dispatcher.Call, _ *dispatcher.Answer, refusal *dispatcher.Refusal) *dispatcher.Refusal {
	return refusal
}

// textSink keeps what the caller gets.
type textSink struct {
	answer string
	text   strings.Builder
	begun  chan struct{}
}

func (s *textSink) Answer(answer *dispatcher.Answer) error {
	s.answer = string(answer.Body)
	return nil
}

func (s *textSink) Begin(http.Header) error { return nil }

func (s *textSink) Event(_ units.Tokens, data []byte) error {
	var event struct {
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return err
	}
	if s.text.Len() == 0 && s.begun != nil {
		close(s.begun)
	}
	for _, choice := range event.Choices {
		s.text.WriteString(choice.Text)
	}
	return nil
}

func (s *textSink) End() error { return nil }

// relayCall is a kind of call.
type relayCall struct {
	service    units.Service
	stream     bool
	repeatable bool
}

// do makes a call and returns what the caller got.
func (e *relayEntry) do(ctx context.Context, id string, c relayCall, sink *textSink) (string, error) {
	call := &dispatcher.Call{
		ID:         units.CallID(id),
		Key:        id,
		Service:    c.service,
		Kind:       parser.PlainService,
		Policy:     parser.RoundRobin,
		Method:     http.MethodPost,
		Path:       "/bookings",
		Query:      "q=1",
		Header:     http.Header{},
		Body:       []byte("flue"),
		Deadline:   time.Now().Add(10 * time.Second),
		Repeatable: c.repeatable,
		Stream:     c.stream,
	}
	if c.service == modelService {
		call.Kind, call.Policy, call.Model = parser.ModelService, parser.LeastLoaded, "ember-1"
		call.Path, call.Query, call.Body = "/v1/completions", "", []byte(fmt.Sprintf(`{"model":"ember-1","stream":%t,"prompt":"x"}`, c.stream))
	}
	if err := e.dispatcher.Do(ctx, call, sink); err != nil {
		return "", err
	}
	if c.stream {
		return sink.text.String(), nil
	}
	return sink.answer, nil
}

// Guards against an entry that refuses its callers because it reaches no upstream, while others reach
// them all.
func TestPartitionedEntryServesItsCallers(t *testing.T) {
	const calls = 30
	kinds := map[string]relayCall{
		"plain, once":       {service: plainService},
		"plain, repeatable": {service: plainService, repeatable: true},
		"stream":            {service: modelService, stream: true, repeatable: true},
		"whole answer":      {service: modelService, repeatable: true},
	}
	forms := map[string]partitionForm{"hanging": partitionHang, "reset": partitionReset, "refused": partitionRefuse}
	for formName, form := range forms {
		for kindName, kind := range kinds {
			t.Run(formName+", "+kindName, func(t *testing.T) {
				t.Parallel()
				entries := startRelayEntries(t, 3)
				send := func(count int) (failed []error) {
					errs := make([]error, count)
					var running sync.WaitGroup
					for n := range count {
						running.Go(func() { errs[n] = entries[0].check(t.Context(), fmt.Sprintf("c%d", n), kind) })
					}
					running.Wait()
					for _, err := range errs {
						if err != nil {
							failed = append(failed, err)
						}
					}
					return failed
				}
				if failed := send(calls); len(failed) > 0 {
					t.Fatalf("failed calls before the partition: got %d of %d, the first with %v", len(failed), calls, failed[0])
				}
				entries[0].gate.partition(form)
				for until := time.Now().Add(noticeTime); time.Now().Before(until); {
					_ = send(3)
				}
				if failed := send(calls); len(failed) > 0 {
					t.Errorf("failed calls in the partition: got %d of %d, the first with %v", len(failed), calls, failed[0])
				}
				entries[0].gate.partition(partitionNone)
				for deadline := time.Now().Add(noticeTime); len(entries[0].relays.reach.Unreached()) > 0; {
					if time.Now().After(deadline) {
						t.Fatalf("unreached upstreams %v after the partition: got %+v, want none", noticeTime, entries[0].relays.reach.Unreached())
					}
					time.Sleep(10 * time.Millisecond) // The interval between two looks.
				}
			})
		}
	}
}

// check makes a call and returns an error unless the caller gets the whole answer.
func (e *relayEntry) check(ctx context.Context, id string, c relayCall) error {
	got, err := e.do(ctx, id, c, &textSink{})
	want := "POST /bookings?q=1 flue"
	if c.service == modelService {
		want = testText(streamTokens)
	}
	if err == nil && !strings.Contains(got, want) {
		err = fmt.Errorf("answer: got %.80q, want %.80q", got, want)
	}
	return err
}

// Guards against a stream that is lost, or continues with other text, because its entry is partitioned
// while it runs.
func TestStreamContinuesThroughAPartition(t *testing.T) {
	for name, form := range map[string]partitionForm{"hanging": partitionHang, "reset": partitionReset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			entries := startRelayEntries(t, 2)
			sink := &textSink{begun: make(chan struct{})}
			go func() {
				<-sink.begun
				entries[0].gate.partition(form)
			}()
			got, err := entries[0].do(t.Context(), "c", relayCall{service: modelService, stream: true, repeatable: true}, sink)
			if want := testText(streamTokens); err != nil || got != want {
				t.Errorf("stream: got %.80q (%v), want %.80q", got, err, want)
			}
		})
	}
}

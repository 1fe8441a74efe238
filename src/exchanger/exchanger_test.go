package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// fakeUpstream is a server that answers each request with bytes that the test provides.
type fakeUpstream struct {
	*tracker.Upstream
	listener net.Listener
	// end closes all connections.
	end context.CancelFunc
	// answer receives the number of the connection and of the request on it. An empty
	// answer closes the connection at once, and one that ends with a marker after it.
	answer func(connection, request int, head string) string

	mu          sync.Mutex
	connections int
	heads       []string
}

// Markers at the end of an answer close or reset the connection after it; endMarker closes the
// listener before, as when the process ends.
const (
	closeMarker = "\x00close"
	resetMarker = "\x00reset"
	endMarker   = "\x00end"
	// slowEndMarker closes the connection, and what else the upstream has open some time later.
	slowEndMarker = "\x00slow end"
	// slowEnd is the time between the two.
	slowEnd = 5 * time.Millisecond
)

func newUpstream(t *testing.T, answer func(connection, request int, head string) string) *fakeUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &fakeUpstream{
		Upstream: &tracker.Upstream{
			Name:    "u1",
			Service: "s",
			Address: listener.Addr().String(),
			Local:   &tracker.LocalState{},
		},
		listener: listener,
		answer:   answer,
	}
	var served sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	u.end = cancel
	served.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { _ = c.Close() })
			served.Go(func() { u.serve(c) })
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		served.Wait()
	})
	return u
}

func (u *fakeUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	u.mu.Lock()
	u.connections++
	connection := u.connections
	u.mu.Unlock()
	reader := bufio.NewReader(c)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		head := request.Method + " " + request.RequestURI + " " + request.Host + " " + string(body)
		u.mu.Lock()
		u.heads = append(u.heads, head)
		u.mu.Unlock()
		text := u.answer(connection, number, head)
		text, marker, ends := strings.Cut(text, "\x00")
		_, _ = io.WriteString(c, text)
		switch "\x00" + marker {
		case resetMarker:
			_ = c.(*net.TCPConn).SetLinger(0)
		case endMarker:
			_ = u.listener.Close()
		case slowEndMarker:
			_ = c.Close()
			time.Sleep(slowEnd)
			_ = u.listener.Close()
			u.end()
		}
		if text == "" || ends {
			return
		}
	}
}

func (u *fakeUpstream) counts() (connections, requests int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.connections, len(u.heads)
}

// fakeDialect is a minimal protocol that uses only headers.
type fakeDialect struct{}

func (fakeDialect) RequestHeader(call *dispatcher.Call, sending RequestInfo) http.Header {
	header := http.Header{"Id": {string(call.ID)}}
	if sending.ResumeAfter > 0 {
		header["From"] = []string{strconv.FormatInt(int64(sending.ResumeAfter), 10)}
	}
	return header
}

func (fakeDialect) CheckAnswer(call *dispatcher.Call, _ *tracker.Upstream, status int, header http.Header) Verdict {
	return Verdict{
		MatchesAttempt: header.Get("Id") == string(call.ID),
		NotRun:         header.Get("Not-Run") != "",
		Verified:       status != http.StatusOK || header.Get("Proof") != "",
		IsEventStream:  header.Get("Content-Type") == "text/event-stream",
		ModelVersion:   units.ModelVersion(header.Get("Version")),
	}
}

func (fakeDialect) IdentityPath() string { return "/identity" }

func (fakeDialect) ParseIdentity(status int, body []byte) (units.Incarnation, bool) {
	number, err := strconv.ParseUint(string(body), 10, 64)
	return units.Incarnation(number), status == http.StatusOK && err == nil
}

// fakeGuard refuses calls with err if it is set.
type fakeGuard struct{ err error }

func (g *fakeGuard) Check(*dispatcher.Call, *tracker.Upstream) (time.Duration, error) {
	return time.Second, g.err
}

// recordingSink records what the caller receives.
type recordingSink struct {
	text  strings.Builder
	ended bool
}

func (s *recordingSink) Answer(*dispatcher.Answer) error { return nil }
func (s *recordingSink) Begin(http.Header) error         { return nil }
func (s *recordingSink) Event(_ units.Tokens, data []byte) error {
	s.text.Write(data)
	return nil
}

func (s *recordingSink) End() error {
	s.ended = true
	return nil
}

func newExchanger(g *fakeGuard) *Exchanger {
	return &Exchanger{
		Pool:    &Pool{MaxConnections: func(*tracker.Upstream) int { return 2 }},
		Dialect: fakeDialect{},
		Guard:   g,
	}
}

func newCall() *dispatcher.Call {
	return &dispatcher.Call{
		ID:     "c1",
		Method: http.MethodPost,
		Host:   "h.example",
		Path:   "/a/b?c=%20d",
		Body:   []byte("body"),
	}
}

const (
	okHead      = "HTTP/1.1 200 OK\r\nId: c1\r\nProof: p\r\n"
	wholeAnswer = okHead + "Content-Length: 2\r\n\r\nhi"
)

// An upstream answers late, twice, with another call's answer, with a truncated one or
// not at all. A caller must get the complete answer to its own call or the information
// that the outcome is unknown. Calls that provably did not run must be reported as such,
// since only these may be resent where a call may run at most once.
func TestExchangeResults(t *testing.T) {
	cases := map[string]struct {
		answer string
		want   dispatcher.ResultKind
		body   string
		// reusable is set where the next call may use the connection, replaced where another one is
		// opened for it.
		reusable, replaced bool
	}{
		"whole":                      {answer: wholeAnswer, want: dispatcher.Answered, body: "hi", reusable: true},
		"in chunks":                  {answer: okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", want: dispatcher.Answered, body: "hi", reusable: true},
		"ends with its connection":   {answer: okHead + "\r\nhi" + closeMarker, want: dispatcher.Answered, body: "hi", replaced: true},
		"after an informational one": {answer: "HTTP/1.1 102 Processing\r\n\r\n" + wholeAnswer, want: dispatcher.Answered, body: "hi", reusable: true},
		"asks to close":              {answer: okHead + "Connection: close\r\nContent-Length: 2\r\n\r\nhi", want: dispatcher.Answered, body: "hi"},
		"bytes after it":             {answer: wholeAnswer + "HTTP/1.1 200 OK\r\n", want: dispatcher.Answered, body: "hi"},
		"a failure of its own":       {answer: "HTTP/1.1 500 No\r\nId: c1\r\nContent-Length: 0\r\n\r\n", want: dispatcher.Answered, reusable: true},
		"of another call":            {answer: "HTTP/1.1 200 OK\r\nId: c2\r\nProof: p\r\nContent-Length: 2\r\n\r\nhi", want: dispatcher.OutcomeUnknown},
		"without its proof":          {answer: "HTTP/1.1 200 OK\r\nId: c1\r\nContent-Length: 2\r\n\r\nhi", want: dispatcher.OutcomeUnknown},
		"cut in the body":            {answer: okHead + "Content-Length: 5\r\n\r\nhi" + closeMarker, want: dispatcher.OutcomeUnknown},
		"cut in the chunks":          {answer: okHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhi" + closeMarker, want: dispatcher.OutcomeUnknown},
		"cut in the head":            {answer: "HTTP/1.1 200 OK\r\nId: c1" + closeMarker, want: dispatcher.OutcomeUnknown},
		"no answer":                  {answer: "", want: dispatcher.OutcomeUnknown},
		"no HTTP":                    {answer: "garbage\r\n\r\n" + closeMarker, want: dispatcher.OutcomeUnknown},
		"refused before it ran":      {answer: "HTTP/1.1 503 Busy\r\nId: c1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", want: dispatcher.NotRun, reusable: true},
		"refusal of another call":    {answer: "HTTP/1.1 503 Busy\r\nId: c2\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", want: dispatcher.OutcomeUnknown},
		"refused and then cut short": {answer: "HTTP/1.1 503 Busy\r\nId: c1\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\n" + closeMarker, want: dispatcher.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(int, int, string) string { return c.answer })
			x := newExchanger(&fakeGuard{})
			opened := 0
			x.Pool.OnDialed = func(*tracker.Upstream, time.Time, error) { opened++ }
			result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
			if result.Kind != c.want {
				t.Fatalf("result: got %v (%v), want %v", result.Kind, result.Err, c.want)
			}
			if result.Answer != nil && string(result.Answer.Body) != c.body {
				t.Errorf("body: got %q, want %q", result.Answer.Body, c.body)
			}
			if got, want := x.Pool.HasIdle(u.Upstream), c.reusable || c.replaced; got != want {
				t.Errorf("connection kept: got %t, want %t", got, want)
			}
			wantOpened := 1
			if c.replaced {
				wantOpened = 2
			}
			if opened != wantOpened {
				t.Errorf("connections opened: got %d, want %d", opened, wantOpened)
			}
			if got, want := u.heads[0], "POST /a/b?c=%20d h.example body"; got != want {
				t.Errorf("request: got %q, want %q", got, want)
			}
		})
	}
}

// An upstream closes an idle connection, or sends unrequested bytes on it. The next call
// must use a new connection: on the old one it would be lost, or get those bytes as its
// answer.
func TestDeadConnectionsAreNotUsed(t *testing.T) {
	cases := map[string]string{
		"closed":          wholeAnswer + closeMarker,
		"an extra answer": wholeAnswer + wholeAnswer,
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(connection, _ int, _ string) string {
				if connection == 1 {
					return first
				}
				return wholeAnswer
			})
			x := newExchanger(&fakeGuard{})
			for range 3 {
				result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
				if result.Kind != dispatcher.Answered {
					t.Fatalf("result: got %v (%v), want it answered", result.Kind, result.Err)
				}
				// Waits until what follows the first answer has arrived.
				for deadline := time.Now().Add(time.Second); x.Pool.HasIdle(u.Upstream) && time.Now().Before(deadline); {
					stale := x.Pool.removeStale()
					for _, c := range stale {
						x.Pool.drop(c)
					}
					if connections, _ := u.counts(); len(stale) > 0 || connections > 1 {
						break
					}
				}
			}
			if got, _ := u.counts(); got != 2 {
				t.Errorf("connections: got %d, want 2: the first and one that is reused", got)
			}
		})
	}
}

// The instance is suspended, or a key is revoked, between the choice of an upstream and
// the first byte. Nothing may be sent, and the result must say so.
func TestGuardRefusesBeforeTheFirstByte(t *testing.T) {
	u := newUpstream(t, func(int, int, string) string { return wholeAnswer })
	refusal := errors.New("too late")
	x := newExchanger(&fakeGuard{err: refusal})
	result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
	if result.Kind != dispatcher.NotRun || !errors.Is(result.Err, refusal) {
		t.Errorf("result: got %v (%v), want it not run", result.Kind, result.Err)
	}
	if _, requests := u.counts(); requests != 0 {
		t.Errorf("requests at the upstream: got %d, want none", requests)
	}
}

// TestLineBreaksInHeadersAreNotSent guards against values from outside that bring headers of their own to an upstream.
func TestLineBreaksInHeadersAreNotSent(t *testing.T) {
	for name, value := range map[string]string{
		"a header":       "c1\r\nX-Account: other",
		"line feed":      "c1\nX-Account: other",
		"end of a head":  "c1\r\n\r\n",
		"return":         "c1\rX-Account: other",
		"zero byte":      "c1\x00",
		"only a newline": "\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(int, int, string) string { return wholeAnswer })
			call := newCall()
			call.ID = units.CallID(value)
			result := newExchanger(&fakeGuard{}).Exchange(t.Context(), call, 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
			var invalid *HeadError
			if result.Kind != dispatcher.NotRun || !result.Unsent || !errors.As(result.Err, &invalid) {
				t.Errorf("result: got %v (%v), unsent %t, want it not run, unsent and a *HeadError", result.Kind, result.Err, result.Unsent)
			}
			if _, requests := u.counts(); requests != 0 {
				t.Errorf("requests at the upstream: got %d, want none", requests)
			}
		})
	}
}

func TestUnreachableUpstreamDidNotRun(t *testing.T) {
	u := newUpstream(t, nil)
	_ = u.listener.Close()
	result := newExchanger(&fakeGuard{}).Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
	if result.Kind != dispatcher.NotRun || !result.ConnectFailed {
		t.Errorf("result: got %v, unreached %t, want it not run and unreached", result.Kind, result.ConnectFailed)
	}
}

// A caller leaves while its call waits. The connection must be closed; otherwise the
// upstream would continue to work although no caller waits.
func TestCallerWhoLeavesEndsTheExchange(t *testing.T) {
	reached := make(chan struct{})
	release := make(chan struct{})
	u := newUpstream(t, func(int, int, string) string {
		close(reached)
		<-release
		return ""
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reached
		cancel()
	}()
	x := newExchanger(&fakeGuard{})
	result := x.Exchange(ctx, newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
	close(release)
	if result.Kind != dispatcher.CallerGone {
		t.Errorf("result: got %v, want the caller gone", result.Kind)
	}
	if x.Pool.HasIdle(u.Upstream) {
		t.Error("connection kept: got it, want it closed")
	}
}

// An upstream limits its connections from all entries together; beyond the limit it
// resets connections that carry calls.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(int, int, string) string {
		<-release
		return wholeAnswer
	})
	x := newExchanger(&fakeGuard{})
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() {
			_ = x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
		})
	}
	for {
		if connections, requests := u.counts(); connections == 2 && requests == 2 {
			break
		}
	}
	result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
	close(release)
	calls.Wait()
	var limitErr *ConnectionLimitError
	if result.Kind != dispatcher.NotRun || !errors.As(result.Err, &limitErr) || result.ConnectFailed {
		t.Errorf("third call: got %v (%v), want it not run because of the connection limit", result.Kind, result.Err)
	}
}

const streamHead = okHead + "Content-Type: text/event-stream\r\nVersion: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// An engine dies in the middle of an event, and another one resumes the stream. The caller
// must get each event once, complete and in order, and the end of the stream only when the
// last engine sent it.
func TestStreamResumesAfterTheLastCompleteEvent(t *testing.T) {
	answers := []string{
		streamHead + chunk("id: 0\ndata: a\n\n") + chunk("id: 1\ndata: b\n\nid: 2\ndata: ha") + closeMarker,
		streamHead + chunk("id: 1\ndata: b\n\n") + chunk("id: 2\ndata: c\n\n") + chunk("data: last\n\n") + "0\r\n\r\n",
	}
	u := newUpstream(t, func(connection, _ int, _ string) string { return answers[connection-1] })
	x := newExchanger(&fakeGuard{})
	call := newCall()
	call.Stream = true
	call.Repeatable = true
	s := &recordingSink{}
	stream := &dispatcher.Stream{Sink: s}
	if got, want := x.Exchange(t.Context(), call, 1, u.Upstream, stream).Kind, dispatcher.OutcomeUnknown; got != want {
		t.Fatalf("first engine: got %v, want %v", got, want)
	}
	if got, want := s.text.String(), "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"; got != want || s.ended {
		t.Fatalf("caller received %q (ended %t), want %q", got, s.ended, want)
	}
	if got, want := x.Exchange(t.Context(), call, 2, u.Upstream, stream).Kind, dispatcher.Answered; got != want {
		t.Fatalf("second engine: got %v, want %v", got, want)
	}
	if got, want := s.text.String(), "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\ndata: last\n\n"; got != want || !s.ended {
		t.Errorf("caller received %q (ended %t), want %q", got, s.ended, want)
	}
}

// A stream that may not be repeated is lost with its engine: running the call again would
// answer it a second time although a part was already delivered.
func TestCutStreamThatMayNotBeRepeatedIsBroken(t *testing.T) {
	u := newUpstream(t, func(int, int, string) string {
		return streamHead + chunk("id: 0\ndata: a\n\n") + closeMarker
	})
	call := newCall()
	call.Stream = true
	result := newExchanger(&fakeGuard{}).Exchange(t.Context(), call, 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
	if got, want := result.Kind, dispatcher.Unresumable; got != want {
		t.Errorf("result: got %v, want %v", got, want)
	}
}

// The engine that resumes a stream has other weights than the one before. An answer with
// parts from both is one that no model would give.
func TestStreamIsNotResumedWithAnotherVersion(t *testing.T) {
	u := newUpstream(t, func(connection, _ int, _ string) string {
		if connection == 1 {
			return streamHead + chunk("id: 0\ndata: a\n\n") + closeMarker
		}
		return strings.Replace(streamHead, "Version: 1", "Version: 2", 1) + chunk("id: 1\ndata: b\n\n") + "0\r\n\r\n"
	})
	x := newExchanger(&fakeGuard{})
	call := newCall()
	call.Stream = true
	call.Repeatable = true
	s := &recordingSink{}
	stream := &dispatcher.Stream{Sink: s}
	_ = x.Exchange(t.Context(), call, 1, u.Upstream, stream)
	if got, want := x.Exchange(t.Context(), call, 2, u.Upstream, stream).Kind, dispatcher.Unresumable; got != want {
		t.Errorf("result: got %v, want %v", got, want)
	}
	if strings.Contains(s.text.String(), "data: b") {
		t.Error("caller got events of another version, want none")
	}
}

// An upstream answers a large request before it has read the body, and continues to read.
// It would take the next call's head for the rest of the body.
func TestConnectionIsClosedAfterAnEarlyAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served sync.WaitGroup
	served.Go(func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, wholeAnswer)
		// The body is not read before the answer is sent.
		_, _ = io.Copy(io.Discard, c)
	})
	u := &tracker.Upstream{Name: "u1", Address: listener.Addr().String(), Local: &tracker.LocalState{}}
	x := newExchanger(&fakeGuard{})
	call := newCall()
	call.Body = make([]byte, 64<<20)
	result := x.Exchange(t.Context(), call, 1, u, &dispatcher.Stream{Sink: &recordingSink{}})
	if got, want := result.Kind, dispatcher.Answered; got != want {
		t.Errorf("result: got %v (%v), want %v", got, result.Err, want)
	}
	if x.Pool.HasIdle(u) {
		t.Error("connection kept: got it, want it closed")
	}
	_ = listener.Close()
	served.Wait()
}

func TestParseKeepAlive(t *testing.T) {
	cases := map[string]struct {
		value string
		want  time.Duration
		found bool
	}{
		"stated":        {value: "timeout=7", want: 7 * time.Second, found: true},
		"among others":  {value: "max=100, timeout=2", want: 2 * time.Second, found: true},
		"not a number":  {value: "timeout=soon"},
		"nothing there": {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got, found := parseKeepAlive(c.value); got != c.want || found != c.found {
				t.Errorf("idle timeout: got %v %t, want %v %t", got, found, c.want, c.found)
			}
		})
	}
}

// Guards against a call that is refused although other upstreams accept it, because the chosen one
// asked for no more calls while a connection to it was being made: the attempt was never sent, and
// costs no retry.
func TestWithheldAttemptIsUnsent(t *testing.T) {
	u := newUpstream(t, func(int, int, string) string { return wholeAnswer })
	x := newExchanger(&fakeGuard{err: &WithheldError{Upstream: u.Name, State: "backing-off"}})
	result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}})
	if result.Kind != dispatcher.NotRun || !result.Unsent || result.ConnectFailed {
		t.Errorf("result: got %v, unsent %t, unreached %t, want it not run and unsent alone", result.Kind, result.Unsent, result.ConnectFailed)
	}
	if _, requests := u.counts(); requests != 0 {
		t.Errorf("requests at the upstream: got %d, want none", requests)
	}
}

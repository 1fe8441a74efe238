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

// upstream is a server that answers each request with bytes of the test's choice.
type upstream struct {
	*tracker.Upstream
	listener net.Listener
	// answer gets the number of the connection and of the request on it; an empty
	// answer closes the connection, and what stands behind closeMark does too.
	answer func(connection, request int, head string) string

	mu          sync.Mutex
	connections int
	heads       []string
}

// closeMark ends an answer with the end of its connection.
const closeMark = "\x00close"

func newUpstream(t *testing.T, answer func(connection, request int, head string) string) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{
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

func (u *upstream) serve(c net.Conn) {
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
		text, ends := strings.CutSuffix(text, closeMark)
		_, _ = io.WriteString(c, text)
		if text == "" || ends {
			return
		}
	}
}

func (u *upstream) counts() (connections, requests int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.connections, len(u.heads)
}

// dialect is a protocol of three headers.
type dialect struct{}

func (dialect) Head(call *dispatcher.Call, sending Sending) http.Header {
	header := http.Header{"Id": {string(call.ID)}}
	if sending.From > 0 {
		header["From"] = []string{strconv.FormatInt(int64(sending.From), 10)}
	}
	return header
}

func (dialect) Read(call *dispatcher.Call, _ *tracker.Upstream, status int, header http.Header) Verdict {
	return Verdict{
		Own:     header.Get("Id") == string(call.ID),
		NotRun:  header.Get("Not-Run") != "",
		Whole:   status != http.StatusOK || header.Get("Proof") != "",
		Events:  header.Get("Content-Type") == "text/event-stream",
		Version: units.ModelVersion(header.Get("Version")),
	}
}

// guard lets calls out until it is closed.
type guard struct{ err error }

func (g *guard) Check(*dispatcher.Call) (time.Duration, error) { return time.Second, g.err }

// sink keeps what the caller gets.
type sink struct {
	text  strings.Builder
	ended bool
}

func (s *sink) Answer(*dispatcher.Answer) error { return nil }
func (s *sink) Begin(http.Header) error         { return nil }
func (s *sink) Event(_ units.Tokens, data []byte) error {
	s.text.Write(data)
	return nil
}

func (s *sink) End() error {
	s.ended = true
	return nil
}

func newExchanger(g *guard) *Exchanger {
	return &Exchanger{
		Pool:    &Pool{Most: func(*tracker.Upstream) int { return 2 }},
		Dialect: dialect{},
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
	okHead = "HTTP/1.1 200 OK\r\nId: c1\r\nProof: p\r\n"
	whole  = okHead + "Content-Length: 2\r\n\r\nhi"
)

// An upstream answers late, twice, with another call's answer, cut short or not
// at all. A caller must get the whole answer to its own call or learn that
// nobody knows; what provably did not run must be told apart, since it alone may
// be sent again where a call may run once.
func TestEndsOfAnExchange(t *testing.T) {
	cases := map[string]struct {
		answer string
		want   dispatcher.ResultKind
		body   string
		// again says that the next call may use the connection.
		again bool
	}{
		"whole":                      {answer: whole, want: dispatcher.Answered, body: "hi", again: true},
		"in chunks":                  {answer: okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", want: dispatcher.Answered, body: "hi", again: true},
		"ends with its connection":   {answer: okHead + "\r\nhi" + closeMark, want: dispatcher.Answered, body: "hi"},
		"behind an announcement":     {answer: "HTTP/1.1 102 Processing\r\n\r\n" + whole, want: dispatcher.Answered, body: "hi", again: true},
		"asks to close":              {answer: okHead + "Connection: close\r\nContent-Length: 2\r\n\r\nhi", want: dispatcher.Answered, body: "hi"},
		"bytes behind it":            {answer: whole + "HTTP/1.1 200 OK\r\n", want: dispatcher.Answered, body: "hi"},
		"a failure of its own":       {answer: "HTTP/1.1 500 No\r\nId: c1\r\nContent-Length: 0\r\n\r\n", want: dispatcher.Answered, again: true},
		"of another call":            {answer: "HTTP/1.1 200 OK\r\nId: c2\r\nProof: p\r\nContent-Length: 2\r\n\r\nhi", want: dispatcher.Lost},
		"without its proof":          {answer: "HTTP/1.1 200 OK\r\nId: c1\r\nContent-Length: 2\r\n\r\nhi", want: dispatcher.Lost},
		"cut in the body":            {answer: okHead + "Content-Length: 5\r\n\r\nhi" + closeMark, want: dispatcher.Lost},
		"cut in the chunks":          {answer: okHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhi" + closeMark, want: dispatcher.Lost},
		"cut in the head":            {answer: "HTTP/1.1 200 OK\r\nId: c1" + closeMark, want: dispatcher.Lost},
		"no answer":                  {answer: "", want: dispatcher.Lost},
		"no HTTP":                    {answer: "garbage\r\n\r\n" + closeMark, want: dispatcher.Lost},
		"refused before it ran":      {answer: "HTTP/1.1 503 Busy\r\nId: c1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", want: dispatcher.NotRun, again: true},
		"refusal of another call":    {answer: "HTTP/1.1 503 Busy\r\nId: c2\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", want: dispatcher.Lost},
		"refused and then cut short": {answer: "HTTP/1.1 503 Busy\r\nId: c1\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\n" + closeMark, want: dispatcher.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(int, int, string) string { return c.answer })
			x := newExchanger(&guard{})
			result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &sink{}})
			if result.Kind != c.want {
				t.Fatalf("end: got %v (%v), want %v", result.Kind, result.Err, c.want)
			}
			if result.Answer != nil && string(result.Answer.Body) != c.body {
				t.Errorf("body: got %q, want %q", result.Answer.Body, c.body)
			}
			if got, want := x.Pool.Idle(u.Upstream), c.again; got != want {
				t.Errorf("connection kept: got %t, want %t", got, want)
			}
			if got, want := u.heads[0], "POST /a/b?c=%20d h.example body"; got != want {
				t.Errorf("request: got %q, want %q", got, want)
			}
		})
	}
}

// An upstream closes a connection that waits in the pool, or puts bytes on it
// that nobody asked for. The next call must go out on a new one: on the old one it
// would be lost, or get those bytes as its answer.
func TestDeadConnectionsAreNotUsed(t *testing.T) {
	cases := map[string]string{
		"closed":             whole + closeMark,
		"an answer too many": whole + whole,
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(connection, _ int, _ string) string {
				if connection == 1 {
					return first
				}
				return whole
			})
			x := newExchanger(&guard{})
			for range 3 {
				result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &sink{}})
				if result.Kind != dispatcher.Answered {
					t.Fatalf("end: got %v (%v), want it answered", result.Kind, result.Err)
				}
				// What follows the first answer arrives before the next call.
				for deadline := time.Now().Add(time.Second); x.Pool.Idle(u.Upstream) && time.Now().Before(deadline); {
					stale := x.Pool.stale()
					for _, c := range stale {
						x.Pool.drop(c)
					}
					if connections, _ := u.counts(); len(stale) > 0 || connections > 1 {
						break
					}
				}
			}
			if got, _ := u.counts(); got != 2 {
				t.Errorf("connections: got %d, want the first and one that stays", got)
			}
		})
	}
}

// A machine is suspended, or a key is taken away, between the choice of an
// upstream and the first byte. Nothing may go out, and that must be known.
func TestGuardStopsBeforeTheFirstByte(t *testing.T) {
	u := newUpstream(t, func(int, int, string) string { return whole })
	closed := errors.New("too late")
	x := newExchanger(&guard{err: closed})
	result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &sink{}})
	if result.Kind != dispatcher.NotRun || !errors.Is(result.Err, closed) {
		t.Errorf("end: got %v (%v), want it not run", result.Kind, result.Err)
	}
	if _, requests := u.counts(); requests != 0 {
		t.Errorf("requests at the upstream: got %d, want none", requests)
	}
}

func TestUnreachableUpstreamDidNotRun(t *testing.T) {
	u := newUpstream(t, nil)
	_ = u.listener.Close()
	result := newExchanger(&guard{}).Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &sink{}})
	if result.Kind != dispatcher.NotRun || !result.Unreached {
		t.Errorf("end: got %v, unreached %t, want it not run and unreached", result.Kind, result.Unreached)
	}
}

// A caller leaves while its call waits. The upstream must see the connection end,
// or it works on for nobody.
func TestCallerWhoLeavesEndsTheExchange(t *testing.T) {
	reached := make(chan struct{})
	release := make(chan struct{})
	u := newUpstream(t, func(int, int, string) string {
		close(reached)
		<-release
		return ""
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-reached
		leave()
	}()
	x := newExchanger(&guard{})
	result := x.Exchange(ctx, newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &sink{}})
	close(release)
	if result.Kind != dispatcher.CallerGone {
		t.Errorf("end: got %v, want the caller gone", result.Kind)
	}
	if x.Pool.Idle(u.Upstream) {
		t.Error("connection kept: got it, want it closed")
	}
}

// The bound on connections is the upstream's, over all entries; beyond it the
// upstream resets connections that carry calls.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(int, int, string) string {
		<-release
		return whole
	})
	x := newExchanger(&guard{})
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() {
			_ = x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &sink{}})
		})
	}
	for {
		if connections, requests := u.counts(); connections == 2 && requests == 2 {
			break
		}
	}
	result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &sink{}})
	close(release)
	calls.Wait()
	var full *FullError
	if result.Kind != dispatcher.NotRun || !errors.As(result.Err, &full) || result.Unreached {
		t.Errorf("third call: got %v (%v), want it not run for want of a connection", result.Kind, result.Err)
	}
}

const streamHead = okHead + "Content-Type: text/event-stream\r\nVersion: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// An engine dies in the middle of an event, and another goes on. The caller must
// get each event once, whole and in order, and see the end only where the last
// engine said it.
func TestStreamGoesOnBehindTheLastWholeEvent(t *testing.T) {
	answers := []string{
		streamHead + chunk("id: 0\ndata: a\n\n") + chunk("id: 1\ndata: b\n\nid: 2\ndata: ha") + closeMark,
		streamHead + chunk("id: 1\ndata: b\n\n") + chunk("id: 2\ndata: c\n\n") + chunk("data: last\n\n") + "0\r\n\r\n",
	}
	u := newUpstream(t, func(connection, _ int, _ string) string { return answers[connection-1] })
	x := newExchanger(&guard{})
	call := newCall()
	call.Stream = true
	call.Repeatable = true
	s := &sink{}
	stream := &dispatcher.Stream{Sink: s}
	if got, want := x.Exchange(t.Context(), call, 1, u.Upstream, stream).Kind, dispatcher.Lost; got != want {
		t.Fatalf("first engine: got %v, want %v", got, want)
	}
	if got, want := s.text.String(), "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"; got != want || s.ended {
		t.Fatalf("caller has %q (ended %t), want %q", got, s.ended, want)
	}
	if got, want := x.Exchange(t.Context(), call, 2, u.Upstream, stream).Kind, dispatcher.Answered; got != want {
		t.Fatalf("second engine: got %v, want %v", got, want)
	}
	if got, want := s.text.String(), "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\ndata: last\n\n"; got != want || !s.ended {
		t.Errorf("caller has %q (ended %t), want %q", got, s.ended, want)
	}
}

// A stream that may not be repeated is lost with its engine: another run would
// answer a question that was already answered in part.
func TestCutStreamThatMayNotBeRepeatedIsBroken(t *testing.T) {
	u := newUpstream(t, func(int, int, string) string {
		return streamHead + chunk("id: 0\ndata: a\n\n") + closeMark
	})
	call := newCall()
	call.Stream = true
	result := newExchanger(&guard{}).Exchange(t.Context(), call, 1, u.Upstream, &dispatcher.Stream{Sink: &sink{}})
	if got, want := result.Kind, dispatcher.Broken; got != want {
		t.Errorf("end: got %v, want %v", got, want)
	}
}

// The engine that goes on has other weights than the one before. Half an answer
// of each is an answer that no model gave.
func TestStreamIsNotJoinedOverVersions(t *testing.T) {
	u := newUpstream(t, func(connection, _ int, _ string) string {
		if connection == 1 {
			return streamHead + chunk("id: 0\ndata: a\n\n") + closeMark
		}
		return strings.Replace(streamHead, "Version: 1", "Version: 2", 1) + chunk("id: 1\ndata: b\n\n") + "0\r\n\r\n"
	})
	x := newExchanger(&guard{})
	call := newCall()
	call.Stream = true
	call.Repeatable = true
	s := &sink{}
	stream := &dispatcher.Stream{Sink: s}
	_ = x.Exchange(t.Context(), call, 1, u.Upstream, stream)
	if got, want := x.Exchange(t.Context(), call, 2, u.Upstream, stream).Kind, dispatcher.Broken; got != want {
		t.Errorf("end: got %v, want %v", got, want)
	}
	if strings.Contains(s.text.String(), "data: b") {
		t.Error("caller got events of another version")
	}
}

// An upstream answers a large request before it has read it, and reads on. The
// next call's head would be taken for the rest of the body.
func TestConnectionOfAnEarlyAnswerIsClosed(t *testing.T) {
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
		_, _ = io.WriteString(c, whole)
		// Nothing is read until the caller gives the connection up.
		_, _ = io.Copy(io.Discard, c)
	})
	u := &tracker.Upstream{Name: "u1", Address: listener.Addr().String(), Local: &tracker.LocalState{}}
	x := newExchanger(&guard{})
	call := newCall()
	call.Body = make([]byte, 64<<20)
	result := x.Exchange(t.Context(), call, 1, u, &dispatcher.Stream{Sink: &sink{}})
	if got, want := result.Kind, dispatcher.Answered; got != want {
		t.Errorf("end: got %v (%v), want %v", got, result.Err, want)
	}
	if x.Pool.Idle(u) {
		t.Error("connection kept: got it, want it closed")
	}
	_ = listener.Close()
	served.Wait()
}

func TestKeepAlive(t *testing.T) {
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
			if got, found := keepAlive(c.value); got != c.want || found != c.found {
				t.Errorf("idle timeout: got %v %t, want %v %t", got, found, c.want, c.found)
			}
		})
	}
}

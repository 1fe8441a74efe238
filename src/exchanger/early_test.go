package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/framer"
	"github.com/rosecroft/rosecroft/src/tracker"
)

// earlyTries is how often each case is tried: which of the two ends of a connection the kernel tells of a reset is chance.
const earlyTries = 10

// earlyUpstream answers as soon as it has read the head of a request; after is what it does after the answer.
type earlyUpstream struct {
	answer string
	after  func(c *net.TCPConn, body io.Reader)
}

// start returns the upstream at which it listens until the test ends.
func (u *earlyUpstream) start(t *testing.T) *tracker.Upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
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
			served.Go(func() { u.serve(c.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		served.Wait()
	})
	return &tracker.Upstream{
		Name:    "u1",
		Service: "s",
		Address: listener.Addr().String(),
		Local:   &tracker.LocalState{},
	}
}

func (u *earlyUpstream) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.WriteString(c, u.answer); err == nil {
		u.after(c, request.Body)
	}
}

// What an upstream may do after an answer that it has sent early.
func resetConnection(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }

func closeUnread(*net.TCPConn, io.Reader) {}

func closeLater(*net.TCPConn, io.Reader) { time.Sleep(20 * time.Millisecond) }

func resetLater(c *net.TCPConn, _ io.Reader) {
	time.Sleep(20 * time.Millisecond) // The entry has read what was sent.
	_ = c.SetLinger(0)
}

func readSomeAndReset(c *net.TCPConn, body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, 300_000)
	_ = c.SetLinger(0)
}

func endAndReset(c *net.TCPConn, _ io.Reader) {
	_ = c.CloseWrite()
	time.Sleep(20 * time.Millisecond) // The entry has read the end.
	_ = c.SetLinger(0)
}

func readRest(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }

func endAndReadRest(c *net.TCPConn, body io.Reader) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, body)
}

// Guards against a part of an answer that reaches its caller as a complete one: the upstream sends it while the request's body
// is on its way and resets the connection, which the kernel reports to the writer of the body alone.
func TestEarlyAnswersWithoutLengthAreNotComplete(t *testing.T) {
	const streamHead = okHead + "Content-Type: text/event-stream\r\n"
	text := strings.Repeat("x", 4<<10)
	event := "id: 1\ndata: " + text + "\n\n"
	cases := map[string]struct {
		upstream earlyUpstream
		stream   bool
		whole    bool
	}{
		"reset":                              {upstream: earlyUpstream{answer: okHead + "\r\n" + text, after: resetConnection}},
		"reset later":                        {upstream: earlyUpstream{answer: okHead + "\r\n" + text, after: resetLater}},
		"reset within the body":              {upstream: earlyUpstream{answer: okHead + "\r\n" + text, after: readSomeAndReset}},
		"closed":                             {upstream: earlyUpstream{answer: okHead + "\r\n" + text, after: closeUnread}},
		"closed later":                       {upstream: earlyUpstream{answer: okHead + "\r\n" + text, after: closeLater}},
		"ended, then reset":                  {upstream: earlyUpstream{answer: okHead + "\r\n" + text, after: endAndReset}},
		"stream, reset":                      {stream: true, upstream: earlyUpstream{answer: streamHead + "\r\n" + event, after: resetConnection}},
		"stream, reset later":                {stream: true, upstream: earlyUpstream{answer: streamHead + "\r\n" + event, after: resetLater}},
		"stream, closed":                     {stream: true, upstream: earlyUpstream{answer: streamHead + "\r\n" + event, after: closeUnread}},
		"stream, ended, then reset":          {stream: true, upstream: earlyUpstream{answer: streamHead + "\r\n" + event, after: endAndReset}},
		"whole, the body is read":            {whole: true, upstream: earlyUpstream{answer: okHead + "\r\n" + text, after: readRest}},
		"whole, ended, the body is read":     {whole: true, upstream: earlyUpstream{answer: okHead + "\r\n" + text, after: endAndReadRest}},
		"whole stream, the body is read":     {stream: true, whole: true, upstream: earlyUpstream{answer: streamHead + "\r\n" + event, after: readRest}},
		"whole with a length, closed":        {whole: true, upstream: earlyUpstream{answer: okHead + "Content-Length: 4096\r\n\r\n" + text, after: closeLater}},
		"whole with a length, reset":         {whole: true, upstream: earlyUpstream{answer: okHead + "Content-Length: 4096\r\n\r\n" + text, after: resetLater}},
		"whole in chunks, closed":            {whole: true, upstream: earlyUpstream{answer: okHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(text) + "0\r\n\r\n", after: closeLater}},
		"whole stream in chunks, closed":     {stream: true, whole: true, upstream: earlyUpstream{answer: streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event) + "0\r\n\r\n", after: closeLater}},
		"whole with a length, body is read":  {whole: true, upstream: earlyUpstream{answer: okHead + "Content-Length: 4096\r\n\r\n" + text, after: readRest}},
		"part of a length, reset":            {upstream: earlyUpstream{answer: okHead + "Content-Length: 4097\r\n\r\n" + text, after: resetConnection}},
		"part in chunks, reset":              {upstream: earlyUpstream{answer: okHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(text), after: resetConnection}},
		"stream, part in chunks, reset":      {stream: true, upstream: earlyUpstream{answer: streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event), after: resetConnection}},
		"stream, part in chunks, closed":     {stream: true, upstream: earlyUpstream{answer: streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event), after: closeUnread}},
		"stream inside an event, then reset": {stream: true, upstream: earlyUpstream{answer: streamHead + "\r\n" + event + "id: 2\nda", after: resetConnection}},
	}
	for name, c := range cases {
		for _, size := range []int{200 << 10, 1 << 20, 6 << 20} {
			t.Run(fmt.Sprintf("%s, body of %d KiB", name, size>>10), func(t *testing.T) {
				t.Parallel()
				upstream := c.upstream.start(t)
				answered := 0
				for range earlyTries {
					x := newExchanger(&fakeGuard{}) // A connection that the upstream has closed serves no next call.
					call := newCall()
					call.Body = bytes.Repeat([]byte("b"), size)
					call.Stream, call.Repeatable = c.stream, c.stream
					sink := &recordingSink{}
					result := x.Exchange(t.Context(), call, 1, upstream, &dispatcher.Stream{Sink: sink})
					if isAnswered := result.Kind == dispatcher.Answered; isAnswered {
						answered++
					} else if sink.ended {
						t.Errorf("result: got %v (%v) and the caller's stream ended, want it broken off", result.Kind, result.Err)
					}
				}
				want := 0
				if c.whole {
					want = earlyTries
				}
				if answered != want {
					t.Errorf("answers that count as complete: got %d of %d, want %d", answered, earlyTries, want)
				}
			})
		}
	}
}

// Guards against a call whose log line says that its answer was closed in order though its upload was not taken.
func TestReceiptOfAnEarlyAnswerNamesTheReset(t *testing.T) {
	upstream := (&earlyUpstream{answer: okHead + "\r\npart", after: resetLater}).start(t)
	call := newCall()
	call.Body = bytes.Repeat([]byte("b"), 6<<20)
	result := newExchanger(&fakeGuard{}).Exchange(t.Context(), call, 1, upstream, &dispatcher.Stream{Sink: &recordingSink{}})
	if got, want := result.Receipt, (framer.Receipt{Framing: framer.CloseDelimited, End: framer.Reset}); got != want {
		t.Errorf("receipt: got %+v, want %+v", got, want)
	}
	if !result.ConnectionLost || result.Err == nil || errors.Is(result.Err, io.EOF) {
		t.Errorf("result: got connection lost %t with %v, want the reset", result.ConnectionLost, result.Err)
	}
}

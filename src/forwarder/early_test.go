package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rosecroft/rosecroft/src/dispatcher"
)

// Guards against a part of an answer that reaches its caller as a complete one: the upstream sends it while the request's body
// is on its way and resets the connection, which the kernel may report to the writer of the body alone.
func TestEarlyAnswersAreNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + HeaderCall + ": call-1\r\n" + HeaderModelVersion + ": 1\r\n"
	const event = "id: 1\ndata: {\"id\":\"call-1\",\"choices\":[{\"text\":\"a\"}]}\n\n"
	cases := map[string]struct {
		answer string
		stream bool
	}{
		"no length":            {answer: head + "\r\n{}"},
		"part of a length":     {answer: head + "Content-Length: 4\r\n\r\n{}"},
		"no last chunk":        {answer: head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"},
		"stream":               {answer: head + "\r\n" + event, stream: true},
		"stream in chunks":     {answer: head + "Transfer-Encoding: chunked\r\n\r\n44\r\n" + event + "\r\n", stream: true},
		"stream without event": {answer: head + "\r\n", stream: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := earlyUpstream(t, c.answer)
			for range 10 {
				f := &Forwarder{Pools: &Pools{}}
				call := plainCall(http.MethodPost, strings.Repeat("b", 6<<20))
				if c.stream {
					call = streamCall()
					call.Body = []byte(strings.Repeat("b", 6<<20))
				}
				sink := &recordingSink{}
				result := f.exchangeAt(t, call, address, &dispatcher.Stream{Sink: sink})
				if result.Kind == dispatcher.Answered || sink.ended {
					t.Errorf("result: got %v with the caller's stream ended %t, want the answer lost", result.Kind, sink.ended)
				}
			}
		})
	}
}

// earlyUpstream answers as soon as it has read the head of a request, and resets the connection.
func earlyUpstream(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

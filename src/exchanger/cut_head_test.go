package exchanger

import (
	"fmt"
	"testing"

	"github.com/rosecroft/rosecroft/src/dispatcher"
)

// Guards against an answer whose upstream stops before its end, in the head, a chunk's size or the trailer, and which
// reaches the caller as a whole one: as the first answer on a connection and as a later one.
func TestAnswersCutAtAnyByteAreNotComplete(t *testing.T) {
	const streamHead = okHead + "Content-Type: text/event-stream\r\nVersion: 1\r\n"
	cases := map[string]struct {
		answer string
		stream bool
	}{
		"length":           {answer: okHead + "Content-Length: 12\r\n\r\nhello, world"},
		"length first":     {answer: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: c1\r\nProof: p\r\n\r\nhello, world"},
		"chunks":           {answer: okHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("hello, world, hello") + chunk("again") + "0\r\n\r\n"},
		"trailer":          {answer: okHead + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("hello") + "0\r\nSum: 12\r\n\r\n"},
		"neither":          {answer: okHead + "\r\n"},
		"interim":          {answer: "HTTP/1.1 102 Processing\r\nId: c1\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nhi"},
		"interim, neither": {answer: "HTTP/1.1 102 Processing\r\nId: c1\r\n\r\n" + okHead + "\r\n"},
		"line feeds only":  {answer: "HTTP/1.1 200 OK\nId: c1\nProof: p\nContent-Length: 2\n\nhi"},
		"stream, chunks":   {answer: streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n", stream: true},
		"stream, length":   {answer: streamHead + "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n", stream: true},
		"stream, neither":  {answer: streamHead + "\r\n", stream: true},
	}
	for name, c := range cases {
		for way, marker := range map[string]string{"closed": closeMarker, "reset": resetMarker} {
			for _, earlier := range []int{0, 1} {
				t.Run(fmt.Sprintf("%s, %s, after %d answers", name, way, earlier), func(t *testing.T) {
					for cut := 1; cut < len(c.answer); cut++ {
						checkCutAnswer(t, c.answer[:cut]+marker, c.stream, earlier)
					}
				})
			}
		}
	}
}

// checkCutAnswer checks that an answer is not taken for a whole one on a connection that has brought earlier ones.
func checkCutAnswer(t *testing.T, answer string, stream bool, earlier int) {
	t.Helper()
	u := newUpstream(t, func(_, request int, _ string) string {
		if request <= earlier {
			return wholeAnswer
		}
		return answer
	})
	x := newExchanger(&fakeGuard{})
	for range earlier {
		if result := x.Exchange(t.Context(), newCall(), 1, u.Upstream, &dispatcher.Stream{Sink: &recordingSink{}}); result.Kind != dispatcher.Answered {
			t.Fatalf("earlier answer: got %v (%v), want it whole", result.Kind, result.Err)
		}
	}
	call := newCall()
	call.Stream = stream
	call.Repeatable = true
	s := &recordingSink{}
	result := x.Exchange(t.Context(), call, 1, u.Upstream, &dispatcher.Stream{Sink: s})
	if result.Kind == dispatcher.Answered || s.ended {
		t.Errorf("answer %q: got %v with the caller's stream ended %t, want it not complete", answer, result.Kind, s.ended)
	}
}
